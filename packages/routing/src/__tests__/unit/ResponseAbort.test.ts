import {
  afterEach, expect, test,
} from 'vitest';
import * as http from 'node:http';
import * as net from 'node:net';
import * as ResponseAbort from '../../ResponseAbort.js';

const cleanups: (() => void)[] = [];

afterEach(() => cleanups.splice(0).forEach((cleanUp) => cleanUp()));

/** Sends a request to a server that handles it with `respond`; the caller reads nothing. */
async function openRequest(
  respond: (response: http.ServerResponse) => void,
  version = 'HTTP/1.1',
): Promise<net.Socket> {
  const server = http.createServer((_, response) => respond(response));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
  cleanups.push(() => {
    socket.destroy();
    server.close();
  });
  socket.pause();
  socket.write(`GET / ${version}\r\nHost: a\r\n\r\n`);
  return socket;
}

// Guards against a connection that stays open for as long as its caller reads nothing.
test('the connection is closed soon even if the caller reads nothing', async () => {
  let isClosed = false;
  await openRequest((response) => {
    response.on('close', () => {
      isClosed = true;
    });
    // More than the kernel buffers of both ends take.
    response.write(Buffer.alloc(64 * 1024 * 1024));
    ResponseAbort.abortResponse(response);
  });
  await expect.poll(() => isClosed, { timeout: 5_000 }).toBe(true);
});
