/**
 * Guards against bytes in a request or a response that Node.js reads and cannot write: passing them
 * on throws, which ended requests of other callers and then the daemon.
 */
import * as fastCheck from 'fast-check';
import {
  afterEach, describe, expect, test,
} from 'vitest';
import * as PathHarness from '../support/PathHarness.js';
import * as RawCaller from '../support/RawCaller.js';
import type * as Routing from '../../index.js';

const closables: { close: () => void }[] = [];

async function setUp(
  responders: readonly PathHarness.RawResponder[],
  route: Partial<Routing.Route> = {},
  limits: Partial<Routing.CallerLimits> = {},
): Promise<PathHarness.PathSetUp> {
  const started = await PathHarness.startPath(responders, route, undefined, limits);
  closables.push(started);
  return started;
}

afterEach(() => closables.splice(0).forEach(({ close }) => close()));

/** Text of which each character becomes one byte; odd bytes are as likely as plain ones. */
const oddText = fastCheck.array(fastCheck.oneof(
  fastCheck.integer({ max: 255, min: 0 }),
  fastCheck.constantFrom(0, 1, 9, 10, 11, 12, 13, 32, 58, 127, 128, 255),
  fastCheck.integer({ max: 122, min: 97 }),
), { maxLength: 12 }).map((codes) => String.fromCharCode(...codes));

const RUNS = 150;

/** Places in the head of a response. */
const RESPONSE_HEADS = {
  'a header': (id: string, odd: string) => (
    `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n${odd}\r\n`
  ),
  'the name of a header': (id: string, odd: string) => (
    `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n${odd}: v\r\n`
  ),
  'the reason phrase': (id: string, odd: string) => (
    `HTTP/1.1 200 O${odd}K\r\nX-Id: ${id}\r\nX-Signature: s\r\n`
  ),
  'the request id': (id: string, odd: string) => (
    `HTTP/1.1 200 OK\r\nX-Id: ${id}${odd}\r\nX-Signature: s\r\n`
  ),
  'the status': (id: string, odd: string) => (
    `HTTP/1.1 ${odd} OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n`
  ),
  'the value of a header': (id: string, odd: string) => (
    `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\nA: v${odd}\r\n`
  ),
} as const;

/** Places in a request. */
const REQUEST_HEADS = {
  'a header': (odd: string) => `POST /a/b HTTP/1.1\r\nX-Id: odd\r\n${odd}\r\n`,
  'the method': (odd: string) => `P${odd}OST /a/b HTTP/1.1\r\nX-Id: odd\r\n`,
  'the name of a header': (odd: string) => `POST /a/b HTTP/1.1\r\nX-Id: odd\r\n${odd}: v\r\n`,
  'the path': (odd: string) => `POST /a/b${odd} HTTP/1.1\r\nX-Id: odd\r\n`,
  'the request id': (odd: string) => `POST /a/b HTTP/1.1\r\nX-Id: ${odd}\r\n`,
  'the value of a header': (odd: string) => `POST /a/b HTTP/1.1\r\nX-Id: odd\r\nA: v${odd}\r\n`,
} as const;

const REQUEST_REST = 'Host: shop.example\r\nAuthorization: Bearer good\r\nX-Left: 1000\r\n'
  + 'Connection: close\r\nContent-Length: 0\r\n\r\n';

describe('a response with odd bytes in', () => {
  test.each(Object.entries(RESPONSE_HEADS))('%s harms no other request', async (_, buildHead) => {
    let odd = '';
    const { path } = await setUp([(socket, id) => {
      if (id === 'sound') PathHarness.writeResponse(socket, id, 'sound');
      else socket.end(Buffer.from(`${buildHead(id, odd)}Content-Length: 3\r\n\r\nodd`, 'latin1'));
    }], { maxAttempts: 1 });
    await fastCheck.assert(fastCheck.asyncProperty(oddText, async (text) => {
      odd = text;
      const [response, sound] = await Promise.all([path.call(), path.call({ requestId: 'sound' })]);
      expect(sound).toMatchObject({ body: 'sound', status: 200 });
      // Odd bytes may end the head early; the rest of it is then a part of the body.
      expect(response.status === 502 || response.body.endsWith('odd')).toBe(true);
      expect(path.defects).toEqual([]);
      expect(path.countInFlight()).toBe(0);
    }), { numRuns: RUNS, seed: 45 });
  });

  test('its head counts as broken and is repeated where that is allowed', async () => {
    const { path, servers } = await setUp([
      (socket, id) => socket.write(
        `HTTP/1.1 200 O\x01K\r\nX-Id: ${id}\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n`,
      ),
      (socket, id) => PathHarness.writeResponse(socket, id, 'whole'),
    ], { kind: 'repeatable' });
    expect(await path.call()).toMatchObject({ body: 'whole', status: 200 });
    expect(servers[0]?.heads).toHaveLength(1);
    expect(path.takeObservedOutcomes().find(({ server }) => server === 's0@0'))
      .toMatchObject({ failures: 1 });
  });
});

describe('a request with odd bytes in', () => {
  test.each(Object.entries(REQUEST_HEADS))('%s harms no other request', async (_, buildHead) => {
    const { path } = await setUp([(socket, id) => (
      PathHarness.writeResponse(socket, id, id === 'sound' ? 'sound' : 'odd')
    )], { maxAttempts: 1 });
    await fastCheck.assert(fastCheck.asyncProperty(oddText, async (text) => {
      const bytes = Buffer.from(`${buildHead(text)}${REQUEST_REST}`, 'latin1');
      const [answer, sound] = await Promise.all([
        RawCaller.sendRawRequest(path.port, bytes), path.call({ requestId: 'sound' }),
      ]);
      expect(sound).toMatchObject({ body: 'sound', status: 200 });
      expect(answer).toMatch(/^HTTP\/1\.1 (200|400|401|404|502) |^$/);
      expect(path.defects).toEqual([]);
      expect(path.countInFlight()).toBe(0);
    }), { numRuns: RUNS, seed: 45 });
  });

  test('its path is refused without a time to come back, and reaches no server', async () => {
    const { path, servers } = await setUp([(socket, id) => (
      PathHarness.writeResponse(socket, id, 'unexpected')
    )]);
    const bytes = Buffer.from(`POST /a/b\tc HTTP/1.1\r\nX-Id: odd\r\n${REQUEST_REST}`, 'latin1');
    const answer = await RawCaller.sendRawRequest(path.port, bytes);
    // Some versions of Node.js refuse these bytes themselves, with a bare status.
    expect(answer).toMatch(/^HTTP\/1\.1 400 /);
    expect(answer).not.toMatch(/retry-after/i);
    expect(servers[0]?.heads).toEqual([]);
    path.setTarget('/a/b\tc');
    const refusal = await path.call();
    expect(refusal.status).toBe(400);
    expect(refusal.body).toMatch(/malformed_request/);
    expect(refusal.headers['retry-after']).toBeUndefined();
    expect(servers[0]?.heads).toEqual([]);
    expect(path.defects).toEqual([]);
    expect(path.countInFlight()).toBe(0);
  });
});

// Guards against a body without end: one that is refused was read on as long as its caller sent it.
describe('a body that its caller sends without end', () => {
  test.each([
    { code: 'body_in_pieces', piece: '1\r\nx\r\n', what: 'in chunks of one byte' },
    { code: 'body_too_large', piece: `3e8\r\n${'x'.repeat(1_000)}\r\n`, what: 'in large chunks' },
  ])('is refused, and its connection is closed: $what', async ({ code, piece }) => {
    const { path, servers } = await setUp([(socket, id) => (
      PathHarness.writeResponse(socket, id, 'sound')
    )], {}, { maxBodyBytes: 100_000 });
    const head = 'POST /a/b HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer good\r\n'
      + 'X-Id: endless\r\nTransfer-Encoding: chunked\r\n\r\n';
    const answer = await RawCaller.sendEndlessRequest(
      path.port,
      Buffer.from(head),
      Buffer.from(piece.repeat(500)),
    );
    expect(answer).toContain(code);
    expect(servers[0]?.heads).toEqual([]);
    expect(await path.call()).toMatchObject({ body: 'sound', status: 200 });
  });
});
