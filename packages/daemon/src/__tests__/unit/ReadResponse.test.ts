import { afterEach, expect, test } from 'vitest';
import * as http from 'node:http';
import * as net from 'node:net';
import * as ReadResponse from '../../ReadResponse.js';

const servers: net.Server[] = [];

afterEach(() => servers.splice(0).forEach((server) => server.close()));

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

/** Reads the response of a server that answers every request with `respond`. */
async function readFrom(respond: (socket: net.Socket) => void): Promise<string | undefined> {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const response = await new Promise<http.IncomingMessage>((resolve) => {
    http.get({ agent: false, host: '127.0.0.1', port }, resolve);
  });
  return (await ReadResponse.readResponseBody(response, 1_000))?.toString();
}

// Guards against a reset that is taken for the end of a body without length.
test('a body without length that was reset is not complete', async () => {
  expect(await readFrom((socket) => {
    socket.write(`${HEAD}half`, () => socket.resetAndDestroy());
  })).toBeUndefined();
});

test('a body without length that ends with its connection is complete', async () => {
  expect(await readFrom((socket) => socket.end(`${HEAD}whole`))).toBe('whole');
});
