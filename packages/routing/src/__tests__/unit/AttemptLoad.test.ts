/** Guards against load of a server that is not reported, or that stays after its request ended. */
import {
  afterEach, describe, expect, test,
} from 'vitest';
import type * as net from 'node:net';
import * as PathHarness from '../support/PathHarness.js';
import type * as Routing from '../../index.js';

const closables: { close: () => void }[] = [];
const PROMPT = { 'x-parts': 'shared:300,own:100', 'x-tokens': '400,50' };

async function setUp(
  responders: readonly PathHarness.RawResponder[],
  route: Partial<Routing.Route> = { kind: 'stream' },
): Promise<PathHarness.PathHarness> {
  const started = await PathHarness.startPath(responders, route);
  closables.push(started);
  return started.path;
}

afterEach(() => closables.splice(0).forEach(({ close }) => close()));

async function waitUntil(isMet: () => boolean, attempts = 100): Promise<void> {
  if (attempts === 0 || isMet()) return;
  await new Promise((resolve) => {
    setTimeout(resolve, 10);
  });
  await waitUntil(isMet, attempts - 1);
}

function startStream(socket: net.Socket, id: string): void {
  socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n`
    + 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n');
}

const writeEvent = (socket: net.Socket): void => {
  socket.write('9\r\ndata: a\n\n\r\n');
};

const FULL_LOAD = [{
  heldTokens: 450, pendingPromptTokens: 400, requests: 1, server: 's0@0',
}];

describe('load of an attempt', () => {
  test('is pending until the first event and held until the end', async () => {
    const sockets: net.Socket[] = [];
    const path = await setUp([(socket) => sockets.push(socket)]);
    const response = path.call({ headers: PROMPT });
    await waitUntil(() => sockets.length > 0);
    const [socket] = sockets as [net.Socket];
    expect(path.buildLoadReport()).toMatchObject({
      demands: [{ account: 'shop' }], servers: FULL_LOAD,
    });
    startStream(socket, 'r1');
    writeEvent(socket);
    await waitUntil(() => path.buildLoadReport().servers[0]?.pendingPromptTokens === 0);
    expect(path.buildLoadReport().servers).toEqual([{ ...FULL_LOAD[0], pendingPromptTokens: 0 }]);
    socket.write('0\r\n\r\n');
    expect(await response).toMatchObject({ isTruncated: false, status: 200 });
    expect(path.buildLoadReport().servers).toEqual([]);
    const observed = path.takeObservedOutcomes().find(({ server }) => server === 's0@0');
    // 400 tokens at 60 a millisecond, and 90 ms for the first token.
    expect(observed?.expectedMs).toBeCloseTo(96.7, 1);
    expect(observed?.observedMs).toBeGreaterThan(0);
  });

  test('moves to another server after a refusal, which is reported', async () => {
    const refuse: PathHarness.RawResponder = (socket, id) => {
      socket.write(`HTTP/1.1 503 Busy\r\nX-Id: ${id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`);
    };
    const path = await setUp([refuse, () => undefined], { kind: 'stream', maxAttempts: 2 });
    path.open({ headers: PROMPT });
    await waitUntil(() => path.buildLoadReport().servers[0]?.server === 's1@0');
    expect(path.buildLoadReport().servers).toEqual([{ ...FULL_LOAD[0], server: 's1@0' }]);
    expect(path.takeObservedOutcomes()).toEqual(expect.arrayContaining([
      expect.objectContaining({ refusals: 1, server: 's0@0' }),
    ]));
  });

  test.each([
    ['the caller leaves', { disconnectAfterMs: 50 }, () => undefined],
    ['the time limit passes', { headers: { ...PROMPT, 'x-left': '100' } }, () => undefined],
    ['the connection breaks', {}, (socket: net.Socket) => socket.destroy()],
    ['the stream breaks', {}, (socket: net.Socket, id: string) => {
      startStream(socket, id);
      writeEvent(socket);
      setTimeout(() => socket.destroy(), 20);
    }],
    ['the server fails', {}, (socket: net.Socket, id: string) => {
      socket.write(`HTTP/1.1 500 No\r\nX-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
    }],
  ])('ends when %s', async (_, options, respond) => {
    const path = await setUp([respond]);
    await path.call({ headers: PROMPT, ...options });
    await waitUntil(() => path.buildLoadReport().servers.length === 0);
    expect(path.buildLoadReport().servers).toEqual([]);
  });

  test('is not counted for a request without a prompt', async () => {
    const path = await setUp([() => undefined]);
    path.open();
    await waitUntil(() => path.countInFlight() > 0);
    expect(path.buildLoadReport()).toMatchObject({ demands: [], servers: [] });
  });

  test('has no part in the time to the first token if the response is no stream', async () => {
    const extra = 'X-Signature: s\r\nContent-Type: application/json\r\n';
    const path = await setUp([(socket, id) => PathHarness.writeResponse(socket, id, '{}', extra)]);
    expect(await path.call({ headers: PROMPT })).toMatchObject({ status: 200 });
    const observed = path.takeObservedOutcomes();
    expect(observed).toHaveLength(1);
    expect(observed[0]).not.toHaveProperty('expectedMs');
  });
});
