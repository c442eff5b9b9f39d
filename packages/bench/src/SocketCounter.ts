/**
 * Loaded into a daemon by `--import` during the fleet bench: counts the bytes of each connection by
 * port and answers every message of the parent process with the counts.
 */
import * as diagnosticsChannel from 'node:diagnostics_channel';
import type * as net from 'node:net';

/** Bytes of the connections of a process, and its processor time and memory. */
export interface ProcessUsage {
  /** Bytes read and written by port: the remote port of a client, the own port of a server. */
  readonly ports: Readonly<Record<number, { readonly read: number; readonly written: number }>>;
  readonly cpuMicros: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
}

interface Counted {
  readonly port: number;
  readonly socket: net.Socket;
}

const open = new Set<Counted>();
const closed = new Map<number, { read: number; written: number }>();

function addBytes({ port, socket }: Counted): void {
  const sum = closed.get(port) ?? { read: 0, written: 0 };
  closed.set(port, {
    read: sum.read + socket.bytesRead, written: sum.written + socket.bytesWritten,
  });
}

function register(socket: net.Socket, port: number): void {
  const counted = { port, socket };
  open.add(counted);
  socket.once('close', () => {
    open.delete(counted);
    addBytes(counted);
  });
}

function getUsage(): ProcessUsage {
  const sums = new Map(closed);
  open.forEach(({ port, socket }) => {
    const sum = sums.get(port) ?? { read: 0, written: 0 };
    sums.set(port, {
      read: sum.read + socket.bytesRead, written: sum.written + socket.bytesWritten,
    });
  });
  // Read before the collection, whose time is not the daemon's own.
  const { system, user } = process.cpuUsage();
  globalThis.gc?.();
  const { heapUsed, rss } = process.memoryUsage();
  return {
    cpuMicros: system + user,
    heapBytes: heapUsed,
    ports: Object.fromEntries(sums),
    residentBytes: rss,
  };
}

diagnosticsChannel.subscribe('net.client.socket', (message) => {
  const { socket } = message as { socket: net.Socket };
  socket.once('connect', () => register(socket, socket.remotePort ?? 0));
});
diagnosticsChannel.subscribe('net.server.socket', (message) => {
  const { socket } = message as { socket: net.Socket };
  register(socket, socket.localPort ?? 0);
});
process.on('message', () => process.send?.(getUsage()));
// The channel to the parent must not keep the daemon alive after its shutdown.
process.channel?.unref();
