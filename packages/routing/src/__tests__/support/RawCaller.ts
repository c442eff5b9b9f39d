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
