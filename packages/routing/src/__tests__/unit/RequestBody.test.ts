import * as net from 'node:net';
import { afterEach, expect, test } from 'vitest';
import * as PathHarness from '../support/PathHarness.js';

const closables: { close: () => void }[] = [];

afterEach(() => closables.splice(0).forEach(({ close }) => close()));

async function setUp(): Promise<PathHarness.PathSetUp> {
  const started = await PathHarness.startPath([(socket, id) => (
    PathHarness.writeResponse(socket, id, 'answer')
  )], {}, undefined, { maxBodyBytes: 100_000 });
  closables.push(started);
  return started;
}

interface BodyCaller {
  readonly socket: net.Socket;
  readonly getText: () => string;
}

/** Sends the head of a request with a body of this length, and the beginning of the body. */
function sendHead(port: number, key: string, length: number, body: string): BodyCaller {
  const socket = net.connect(port, '127.0.0.1');
  closables.push({ close: () => socket.destroy() });
  let text = '';
  socket.setEncoding('latin1').on('data', (data: string) => {
    text += data;
  });
  socket.on('error', () => undefined);
  socket.write('POST /a/b HTTP/1.1\r\nHost: shop.example\r\nX-Id: r\r\nX-Left: 2000\r\n'
    + `Authorization: Bearer ${key}\r\nContent-Length: ${length}\r\n\r\n${body}`);
  return { getText: () => text, socket };
}

// Guards against callers without a key who hold memory with bodies that they don't complete.
test('a request without a valid key is refused before its body is complete', async () => {
  const { path } = await setUp();
  const { getText } = sendHead(path.port, 'bad', 50_000, 'x');
  await expect.poll(getText).toContain('invalid_key');
  expect(getText()).toMatch(/^HTTP\/1\.1 401 [^]*connection: close/i);
});

// Guards against a key that is used after its withdrawal, because it was checked before the body.
test('a key that may be withdrawn while the body arrives is checked again', async () => {
  const { path, servers } = await setUp();
  const { getText, socket } = sendHead(path.port, 'good', 10, 'x');
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  path.setKeysCurrent(false);
  socket.write('x'.repeat(9));
  await expect.poll(getText).toContain('keys_not_current');
  expect(servers[0]?.heads).toEqual([]);
});

// Guards against bytes that are received although the head shows that they exceed the limit.
test('a body whose length is over the limit is refused at its head', async () => {
  const { path } = await setUp();
  const { getText } = sendHead(path.port, 'good', 100_001, '');
  await expect.poll(getText).toMatch(/^HTTP\/1\.1 413 /);
});

// Guards against bodies that stop and are held until the time limit of their route.
test('a body that stops is refused as not run', async () => {
  const { path, servers } = await setUp();
  const { getText } = sendHead(path.port, 'good', 10, 'x');
  await expect.poll(getText, { timeout: 1_400 }).toMatch(/^HTTP\/1\.1 408 [^]*body_idle/);
  expect(servers[0]?.heads).toEqual([]);
});

test('a refusal of a request that arrived as a whole keeps the connection open', async () => {
  const { path } = await setUp();
  const { getText, socket } = sendHead(path.port, 'bad', 5, 'xxxxx');
  await expect.poll(getText).toContain('invalid_key');
  expect(getText()).not.toMatch(/connection: close/i);
  socket.write('POST /a/b HTTP/1.1\r\nHost: shop.example\r\nX-Id: s\r\nX-Left: 900\r\n'
    + 'Authorization: Bearer good\r\nContent-Length: 1\r\n\r\nx');
  await expect.poll(getText).toContain('answer');
});
