import * as http from 'node:http';
import * as net from 'node:net';
import {
  afterEach, describe, expect, test,
} from 'vitest';
import * as Core from '../../index.js';

const LIMITS: Core.GuardLimits = {
  bodyIdleMs: 10_000,
  maxBodyBytes: 100_000,
  maxBytes: 1_000_000,
  maxConnections: 100,
  maxRequestsAhead: 4,
};

const closables: (() => unknown)[] = [];

afterEach(() => closables.splice(0).forEach((close) => close()));

interface GuardedServer {
  readonly port: number;
  readonly guard: Core.ListenerGuard;
  readonly reasons: readonly Core.GuardReason[];
  readonly started: readonly (string | undefined)[];
  /** Largest number of requests that were handled at the same time. */
  readonly getPeak: () => number;
}

/** Starts a server whose handler reads the body and answers with its length, after a delay. */
async function startServer(
  limits: Partial<Core.GuardLimits> = {},
  delayMs = 0,
): Promise<GuardedServer> {
  const reasons: Core.GuardReason[] = [];
  const started: (string | undefined)[] = [];
  let active = 0;
  let peak = 0;
  const server = http.createServer();
  const guard = Core.guardListener(server, {
    clock: Core.systemClock,
    handleRequest: (request, response) => {
      started.push(request.url);
      active += 1;
      peak = Math.max(peak, active);
      response.on('finish', () => {
        active -= 1;
      });
      let bytes = 0;
      request.on('error', () => undefined);
      request.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
      });
      request.on('end', () => setTimeout(() => response.end(`${request.url} ${bytes}`), delayMs));
    },
    limits: { ...LIMITS, ...limits },
    onEnd: (reason) => reasons.push(reason),
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closables.push(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    getPeak: () => peak, guard, port, reasons, started,
  };
}

interface RawClient {
  readonly socket: net.Socket;
  readonly getText: () => string;
  readonly closed: Promise<unknown>;
}

function connectClient({ port }: GuardedServer, text: string): RawClient {
  const socket = net.connect(port, '127.0.0.1');
  closables.push(() => socket.destroy());
  let received = '';
  socket.setEncoding('latin1').on('data', (data: string) => {
    received += data;
  });
  socket.on('error', () => undefined);
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  socket.write(text);
  return { closed, getText: () => received, socket };
}

function buildGet(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
}

function buildPost(length: number, body: string): string {
  return `POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n\r\n${body}`;
}

describe('requests of one connection', () => {
  // Guards against as many requests in progress as a client sends ahead.
  test('are handled one after another, in order', async () => {
    const server = await startServer({}, 20);
    const { getText } = connectClient(server, ['/1', '/2', '/3'].map(buildGet).join(''));
    await expect.poll(getText).toContain('/3 0');
    expect(server.getPeak()).toBe(1);
    expect(server.started).toEqual(['/1', '/2', '/3']);
  });

  test('end their connection when too many are sent ahead', async () => {
    const server = await startServer({}, 50);
    const { closed } = connectClient(server, buildGet('/x').repeat(1_000));
    await closed;
    expect(server.started).toHaveLength(1);
    expect(server.reasons).toEqual(['requests_ahead']);
  });

  test('with a body are read one after another', async () => {
    const server = await startServer({}, 20);
    const { getText } = connectClient(server, buildPost(50_000, 'x'.repeat(50_000)).repeat(3));
    await expect.poll(() => getText().split('/p 50000').length - 1).toBe(3);
  });
});

describe('heads of many short fields', () => {
  // Guards against the default of Node.js, which drops the fields after about the first thousand.
  test('are handled with all of their fields', async () => {
    const server = http.createServer();
    Core.guardListener(server, {
      clock: Core.systemClock,
      handleRequest: ({ headers, rawHeaders }, response) => {
        response.end(`${rawHeaders.length / 2} ${headers.last}`);
      },
      limits: LIMITS,
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    closables.push(() => server.close());
    const { port } = server.address() as net.AddressInfo;
    const fields = Array.from({ length: 3_898 }, () => 'a:');
    const answer = await new Promise<string>((resolve) => {
      const socket = net.connect(port, '127.0.0.1');
      closables.push(() => socket.destroy());
      socket.setEncoding('utf8').on('data', resolve);
      socket.write(`GET / HTTP/1.1\r\nHost: x\r\n${fields.join('\r\n')}\r\nlast: z\r\n\r\n`);
    });
    expect(answer).toMatch(/3900 z/);
  });
});

describe('incomplete bodies', () => {
  // Guards against connections that keep what they sent of a body for ever.
  test('are refused with 408 when they stop, and their connection is closed', async () => {
    const server = await startServer({ bodyIdleMs: 100 });
    const { closed, getText } = connectClient(server, buildPost(10, 'x'));
    await closed;
    expect(getText()).toContain('HTTP/1.1 408 ');
    expect(server.reasons).toEqual(['body_idle']);
  });

  test('are refused with 413 at their head if their length is over the limit', async () => {
    const server = await startServer();
    const { closed, getText } = connectClient(server, buildPost(100_001, ''));
    await closed;
    expect(getText()).toContain('HTTP/1.1 413 ');
    expect(server.started).toEqual([]);
  });

  test('are refused with 413 when their chunks are over the limit', async () => {
    const server = await startServer();
    const head = 'POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
    const chunk = `8000\r\n${'x'.repeat(0x8000)}\r\n`;
    const { closed, getText } = connectClient(server, `${head}${chunk.repeat(6)}`);
    await closed;
    expect(getText()).toContain('HTTP/1.1 413 ');
    await expect.poll(server.guard.getTotals).toEqual({ bytes: 0, connections: 0 });
  });

  test('do not add up to more than the limit, and an ordinary request is answered', async () => {
    const server = await startServer();
    const peaks: number[] = [];
    const clients = Array.from({ length: 30 }, () => (
      connectClient(server, buildPost(100_000, 'x'.repeat(99_999)))
    ));
    await expect.poll(() => {
      peaks.push(server.guard.getTotals().bytes);
      return server.reasons.length;
    }).toBeGreaterThan(10);
    const { getText } = connectClient(server, buildGet('/ordinary'));
    await expect.poll(getText).toContain('/ordinary 0');
    expect(Math.max(...peaks)).toBeLessThanOrEqual(LIMITS.maxBytes);
    await expect.poll(() => clients.some((each) => each.getText().includes(' 503 '))).toBe(true);
  });

  test('of requests that were refused by their handler get the whole refusal', async () => {
    const server = http.createServer();
    Core.guardListener(server, {
      clock: Core.systemClock,
      handleRequest: (request, response) => {
        response.writeHead(401, { connection: 'close', 'content-length': 6 });
        Core.endRefusal(request, response, 'no key');
      },
      limits: LIMITS,
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    closables.push(() => server.close());
    const { port } = server.address() as net.AddressInfo;
    const client = connectClient(
      { port } as GuardedServer,
      buildPost(90_000, 'x'.repeat(60_000)),
    );
    await expect.poll(client.getText).toContain('no key');
    client.socket.write('x'.repeat(20_000));
    await client.closed;
  });

  test('are not read by listeners without bodies', async () => {
    const server = await startServer({ maxBodyBytes: 0 });
    connectClient(server, buildPost(1_000_000, 'x'.repeat(500_000)));
    await expect.poll(() => server.started.length).toBe(1);
    expect(server.guard.getTotals().bytes).toBeLessThan(20_000);
  });
});

describe('counts of a listener', () => {
  // Guards against entries that stay after their connection and use up the limits.
  test('return to zero after connections that end in any way', async () => {
    const server = await startServer({ bodyIdleMs: 100 });
    const clients = [
      connectClient(server, buildGet('/a')),
      connectClient(server, buildPost(10, 'x')),
      connectClient(server, buildPost(10, 'x'.repeat(10))),
      connectClient(server, 'GET / HTTP/1.1\r\nA'),
      connectClient(server, 'not HTTP\r\n\r\n'),
      connectClient(server, buildGet('/x').repeat(100)),
    ];
    await expect.poll(() => server.started.length).toBeGreaterThan(2);
    clients.slice(0, 2).forEach(({ socket }) => socket.resetAndDestroy());
    clients.slice(2).forEach(({ socket }) => socket.end());
    await expect.poll(server.guard.getTotals, { timeout: 5_000 })
      .toEqual({ bytes: 0, connections: 0 });
  });

  test('keep the number of connections at the limit', async () => {
    const server = await startServer({ maxConnections: 10 });
    const clients = Array.from({ length: 30 }, () => connectClient(server, 'GET'));
    await expect.poll(() => server.reasons.length).toBe(20);
    const { getText } = connectClient(server, buildGet('/new'));
    await expect.poll(getText).toContain('/new 0');
    expect(clients).toHaveLength(30);
  });
});
