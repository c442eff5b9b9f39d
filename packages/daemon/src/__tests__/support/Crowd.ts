/**
 * Crowds of misbehaving clients on raw connections. A crowd never reconnects and ends by itself:
 * each of its connections sends a fixed number of bytes.
 */
import * as http2 from 'node:http2';
import * as net from 'node:net';

/** Longest time that a crowd gets to send its bytes, in milliseconds. */
const SEND_TIMEOUT_MS = 8_000;
/** Time after the last byte in which the daemon processes what it received, in milliseconds. */
const SETTLE_MS = 1_000;
const TRICKLE_INTERVAL_MS = 200;
const CONNECT_FLAGS_AND_LENGTH_BYTES = 5;

/** A connected crowd. */
export interface Crowd {
  readonly close: () => void;
}

/** What each connection of a crowd does. */
export interface CrowdPlan {
  readonly url: string;
  readonly connections: number;
  readonly bytes: Buffer;
  /** Whether answers are read; without it the connection never reads. */
  readonly isReading?: boolean;
  /** Sends the bytes one at a time. */
  readonly isTrickling?: boolean;
}

function wait(timeMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, timeMs);
  });
}

/** Waits until all is sent, for at most the send timeout, and then for the daemon to process it. */
async function waitUntilSent(sent: readonly Promise<void>[]): Promise<void> {
  await Promise.race([Promise.all(sent), wait(SEND_TIMEOUT_MS)]);
  await wait(SETTLE_MS);
}

function sendTrickle(socket: net.Socket, bytes: Buffer): Promise<void> {
  let position = 0;
  const timer = setInterval(() => {
    socket.write(bytes.subarray(position, position + 1));
    position += 1;
    if (position === bytes.length) clearInterval(timer);
  }, TRICKLE_INTERVAL_MS);
  return new Promise((resolve) => {
    socket.once('close', () => {
      clearInterval(timer);
      resolve();
    });
  });
}

function sendAll(socket: net.Socket, bytes: Buffer): Promise<void> {
  return new Promise((resolve) => {
    socket.once('close', () => resolve());
    socket.write(bytes, () => resolve());
  });
}

/** Connects a crowd; resolves when its bytes are sent, or 8 s later. */
export async function startCrowd({
  bytes, connections, isReading = false, isTrickling = false, url,
}: CrowdPlan): Promise<Crowd> {
  const { hostname, port } = new URL(url);
  const sockets = Array.from({ length: connections }, () => net.connect(Number(port), hostname));
  const sent = sockets.map((socket) => {
    socket.on('error', () => undefined);
    if (isReading) socket.resume();
    return isTrickling ? sendTrickle(socket, bytes) : sendAll(socket, bytes);
  });
  await waitUntilSent(sent);
  return { close: () => sockets.forEach((socket) => socket.destroy()) };
}

/** What each connection of a crowd at the membership listener does. */
export interface PeerCrowdPlan {
  readonly address: string;
  readonly connections: number;
  readonly streams: number;
  /** Size of the message of each stream, which lacks its last byte. */
  readonly messageBytes: number;
}

/** Connects a crowd to the membership listener; resolves when its bytes are sent, or 8 s later. */
export async function startPeerCrowd({
  address, connections, messageBytes, streams,
}: PeerCrowdPlan): Promise<Crowd> {
  const bytes = Buffer.alloc(CONNECT_FLAGS_AND_LENGTH_BYTES + messageBytes - 1);
  bytes.writeUInt32BE(messageBytes, 1);
  const sessions = Array.from({ length: connections }, () => http2.connect(`http://${address}`));
  const sent = sessions.flatMap((session) => {
    session.on('error', () => undefined);
    return Array.from({ length: streams }, () => new Promise<void>((resolve) => {
      const stream = session.request({
        ':method': 'POST',
        ':path': '/berylyoke.peer.v1.PeerService/Exchange',
        'content-type': 'application/connect+proto',
      });
      stream.on('error', () => undefined);
      stream.once('close', () => resolve());
      stream.write(bytes, () => resolve());
    }));
  });
  await waitUntilSent(sent);
  return { close: () => sessions.forEach((session) => session.destroy()) };
}
