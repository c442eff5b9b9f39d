import * as http from 'node:http';
import * as net from 'node:net';
import * as workerThreads from 'node:worker_threads';
import { afterEach, expect, test } from 'vitest';
import * as Core from '../../index.js';

const CLIENTS = 8;

/** Worker that connects and sends a request per client while the thread of the listener blocks. */
const CLIENT_SOURCE = `
const net = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const { clients, port, shared } = workerData;
const flags = new Int32Array(shared);
Atomics.wait(flags, 0, 0);
for (let index = 0; index < clients; index += 1) {
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

const cleanups: (() => unknown)[] = [];
afterEach(() => cleanups.splice(0).forEach((cleanup) => cleanup()));

async function startServer(): Promise<{ server: http.Server; port: number }> {
  const server = http.createServer((_, response) => {
    response.setHeader('connection', 'close');
    response.end('answer');
  });
  cleanups.push(() => server.closeAllConnections());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { port: (server.address() as net.AddressInfo).port, server };
}

// Guards against a graceful stop that resets the connections which arrived during a long event loop
// iteration. Two clients lost their connection this way in one of 16 runs of a rolling restart on a
// loaded machine.
test('clients that connect while the event loop is blocked are answered', async () => {
  const { port, server } = await startServer();
  const shared = new SharedArrayBuffer(8);
  const flags = new Int32Array(shared);
  const worker = new workerThreads.Worker(CLIENT_SOURCE, {
    eval: true, workerData: { clients: CLIENTS, port, shared },
  });
  cleanups.push(() => worker.terminate());
  await new Promise((resolve) => {
    worker.once('online', resolve);
  });
  const answers: string[] = [];
  worker.on('message', (answer: string) => answers.push(answer));
  const waitForRequestsSent = (): void => {
    const sentCount = Atomics.load(flags, 1);
    if (sentCount === CLIENTS) return;
    Atomics.wait(flags, 1, sentCount, 1_000);
    waitForRequestsSent();
  };
  const drained = new Promise<void>((resolve) => {
    setTimeout(() => resolve(Core.drainListener(server, 5_000)), 20);
    // Blocks this thread until after the timer above is due, as a long event loop iteration does.
    setTimeout(() => {
      Atomics.store(flags, 0, 1);
      Atomics.notify(flags, 0);
      waitForRequestsSent();
    }, 10);
  });
  await drained;
  await expect.poll(() => answers).toEqual(Array(CLIENTS).fill('HTTP/1.1 200 OK'));
});

/** Blocks this thread, as a busy machine does. */
function block(timeMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, timeMs);
}

// Guards against a close while connections arrive in every iteration, on a machine on which none is
// short: the accept queue, whose connections are reset, is not empty then.
test('a listener whose event loop is slow is not closed while connections arrive', async () => {
  const { server } = await startServer();
  const ARRIVALS_MS = 800;
  const startMs = performance.now();
  let closedAfterArrivals: boolean | undefined;
  let hasArrived = false;
  const iterate = (): void => {
    if (closedAfterArrivals !== undefined) return;
    block(5);
    hasArrived = performance.now() - startMs < ARRIVALS_MS;
    if (hasArrived) server.emit('connection', new net.Socket());
    setImmediate(iterate);
  };
  const { close } = server;
  server.close = (...values) => {
    closedAfterArrivals = !hasArrived;
    return close.apply(server, values);
  };
  iterate();
  await Core.drainListener(server, 5_000);
  expect(closedAfterArrivals).toBe(true);
});

// Guards against a stop that never ends while connections go on to arrive.
test('a listener is closed even if connections arrive without end', async () => {
  const { server } = await startServer();
  let isOver = false;
  const iterate = (): void => {
    if (isOver) return;
    server.emit('connection', new net.Socket());
    setImmediate(iterate);
  };
  iterate();
  await Core.drainListener(server, 1_500);
  isOver = true;
  expect(server.listening).toBe(false);
});

test('a listener without connections closes at once and frees its port', async () => {
  const { port, server } = await startServer();
  await Core.drainListener(server, 5_000);
  const other = http.createServer();
  cleanups.push(() => other.close());
  await new Promise<void>((resolve) => {
    other.listen(port, '127.0.0.1', resolve);
  });
});

test('connections that stay busy are destroyed at the timeout', async () => {
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
