/** Caller that sends the bytes of a request as they are given. */
import * as net from 'node:net';

/** Sends bytes on a connection of its own; resolves with all that came back when it is closed. */
export function sendRawRequest(port: number, bytes: Buffer): Promise<string> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const socket = net.connect({ host: '127.0.0.1', port });
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')));
    socket.write(bytes);
  });
}

/** Sends a head and then a block again and again; resolves with what came back before the end. */
export function sendEndlessRequest(port: number, head: Buffer, block: Buffer): Promise<string> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const socket = net.connect({ host: '127.0.0.1', port });
    const sendBlock = (): void => {
      if (socket.writable) socket.write(block, () => setImmediate(sendBlock));
    };
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')));
    socket.write(head, sendBlock);
  });
}
