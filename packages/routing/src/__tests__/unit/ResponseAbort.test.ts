import {
  afterEach, expect, test,
} from 'vitest';
import * as http from 'node:http';
import * as net from 'node:net';
import * as ResponseAbort from '../../ResponseAbort.js';

const cleanups: (() => void)[] = [];

afterEach(() => cleanups.splice(0).forEach((cleanUp) => cleanUp()));

/** Sends a request to a server that handles it with `respond`; the caller reads nothing yet. */
async function openRequest(
  respond: (response: http.ServerResponse) => void,
  version: '1.0' | '1.1',
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
  socket.write(`GET / HTTP/${version}\r\nHost: a\r\n\r\n`);
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
  }, '1.1');
  await expect.poll(() => isClosed, { timeout: 5_000 }).toBe(true);
});

interface ReceivedEnd {
  readonly text: string;
  /** Whether the connection was reset. */
  readonly isReset: boolean;
}

async function readToEnd(socket: net.Socket): Promise<ReceivedEnd> {
  let text = '';
  let isReset = false;
  socket.on('data', (bytes) => {
    text += bytes.toString();
  });
  socket.on('error', () => {
    isReset = true;
  });
  // libuv reports a reset that arrives with the last bytes as an end without a remote address.
  socket.on('end', () => {
    if (socket.remoteAddress === undefined) isReset = true;
  });
  socket.resume();
  await new Promise((resolve) => {
    socket.on('close', resolve);
  });
  return { isReset, text };
}

// Guards against an HTTP/1.0 caller that takes the end of the connection for the end of the body.
test.each(['1.0', '1.1'] as const)('a caller of HTTP/%s sees a cut body', async (version) => {
  const socket = await openRequest((response) => {
    response.write('first');
    setTimeout(() => {
      response.write('second');
      ResponseAbort.abortResponse(response);
    }, 50);
  }, version);
  const { isReset, text } = await readToEnd(socket);
  expect(text).toContain('first');
  // In HTTP/1.1 the last chunk is missing, so the connection may end properly.
  expect(text.endsWith('0\r\n\r\n')).toBe(false);
  expect(isReset).toBe(version === '1.0');
});
