import * as http from 'node:http';
import type * as net from 'node:net';
import * as workerThreads from 'node:worker_threads';
import { afterEach, expect, test } from 'vitest';
import * as Core from '../../index.js';

const CALLERS = 8;

/** Opens connections and sends a request on each, while the listener's own thread is blocked. */
const CALLER_SOURCE = `
const net = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const { callers, port, shared } = workerData;
const flags = new Int32Array(shared);
Atomics.wait(flags, 0, 0);
for (let index = 0; index < callers; index += 1) {
  let text = '';
  const socket = net.connect(port, '127.0.0.1', () => {
    socket.write('GET / HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n', () => {
      Atomics.add(flags, 1, 1);
      Atomics.notify(flags, 1);
    });
  });
  socket.on('data', (bytes) => { text += bytes; });
  socket.on('error', (error) => { text += error.code; });
  socket.on('close', () => parentPort.postMessage(text.split('\\r\\n')[0]));
}
`;

const closers: (() => unknown)[] = [];
afterEach(() => closers.splice(0).forEach((close) => close()));

async function startServer(): Promise<{ server: http.Server; port: number }> {
  const server = http.createServer((_, response) => {
    response.setHeader('connection', 'close');
    response.end('answer');
  });
  closers.push(() => server.closeAllConnections());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { port: (server.address() as net.AddressInfo).port, server };
}

// Guards against a planned stop under load that resets what came in while the event loop was busy:
// two callers of a rolling replacement were cut off so in one of 16 runs beside load.
test('callers that connected while the event loop was busy are answered', async () => {
  const { port, server } = await startServer();
  const shared = new SharedArrayBuffer(8);
  const flags = new Int32Array(shared);
  const worker = new workerThreads.Worker(CALLER_SOURCE, {
    eval: true, workerData: { callers: CALLERS, port, shared },
  });
  closers.push(() => worker.terminate());
  await new Promise((resolve) => {
    worker.once('online', resolve);
  });
  const answers: string[] = [];
  worker.on('message', (answer: string) => answers.push(answer));
  const waitForSent = (): void => {
    const sent = Atomics.load(flags, 1);
    if (sent === CALLERS) return;
    Atomics.wait(flags, 1, sent, 1_000);
    waitForSent();
  };
  const drained = new Promise<void>((resolve) => {
    setTimeout(() => resolve(Core.drainListener(server, 5_000)), 20);
    // Blocks this thread beyond the timer above, as a long turn of the event loop does.
    setTimeout(() => {
      Atomics.store(flags, 0, 1);
      Atomics.notify(flags, 0);
      waitForSent();
    }, 10);
  });
  await drained;
  await expect.poll(() => answers).toEqual(Array(CALLERS).fill('HTTP/1.1 200 OK'));
});

test('a listener without callers closes at once, and its port is free', async () => {
  const { port, server } = await startServer();
  await Core.drainListener(server, 5_000);
  const other = http.createServer();
  closers.push(() => other.close());
  await new Promise<void>((resolve) => {
    other.listen(port, '127.0.0.1', resolve);
  });
});

test('connections that stay busy are cut at the limit', async () => {
  const { port, server } = await startServer();
  server.removeAllListeners('request');
  server.on('request', () => undefined);
  const failure = new Promise((resolve) => {
    http.get({ agent: false, host: '127.0.0.1', port }).on('error', resolve);
  });
  await new Promise((resolve) => {
    server.once('request', resolve);
  });
  await Core.drainListener(server, 100);
  expect(await failure).toMatchObject({ code: 'ECONNRESET' });
});
