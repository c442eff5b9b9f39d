/**
 * Guards against a stream that had begun, broke off and was sent to another server, which responds
 * with something else than the rest of the stream: callers found its error in their stream, or the
 * stream ended as if it were complete.
 */
import {
  afterEach, describe, expect, test,
} from 'vitest';
import * as PathHarness from '../support/PathHarness.js';
import type * as Routing from '../../index.js';

const closables: { close: () => void }[] = [];

async function setUp(
  responders: readonly PathHarness.RawResponder[],
  route: Partial<Routing.Route> = {},
): Promise<PathHarness.PathSetUp> {
  const started = await PathHarness.startPath(responders, {
    isResumable: true, kind: 'stream', maxAttempts: 3, ...route,
  });
  closables.push(started);
  return started;
}

afterEach(() => closables.splice(0).forEach(({ close }) => close()));

const FIRST_EVENT = 'id: 1\ndata: a\n\n';
const SECOND_EVENT = 'id: 2\ndata: b\n\n';

/** Time after which a server breaks off, so that its event arrives first. */
const BREAK_DELAY_MS = 20;

function buildHead(id: string, status: string, extra: string): string {
  return `HTTP/1.1 ${status}\r\nX-Id: ${id}\r\nX-Signature: s\r\n${extra}\r\n`;
}

const EVENT_STREAM = 'Content-Type: text/event-stream\r\n';

/** Sends one event and resets the connection. */
const breakOff: PathHarness.RawResponder = (socket, id) => {
  socket.write(`${buildHead(id, '200 OK', EVENT_STREAM)}${FIRST_EVENT}`);
  setTimeout(() => socket.resetAndDestroy(), BREAK_DELAY_MS);
};

const respondWithRest: PathHarness.RawResponder = (socket, id) => (
  PathHarness.writeResponse(socket, id, SECOND_EVENT, `X-Signature: s\r\n${EVENT_STREAM}`)
);

/** Responses of the next server that are not the rest of the stream. */
const OTHER_RESPONSES: Readonly<Record<string, PathHarness.RawResponder>> = {
  'a client error': (socket, id) => socket.write(
    `${buildHead(id, '404 Gone', 'Content-Length: 4\r\n')}gone`,
  ),
  'a response of another type': (socket, id) => PathHarness.writeResponse(
    socket,
    id,
    '{"error":"x"}\n',
    'X-Signature: s\r\nContent-Type: application/json\r\n',
  ),
  'a server error': (socket, id) => socket.write(
    `${buildHead(id, '500 Failed', 'Content-Length: 8\r\n')}error: x`,
  ),
  'a server error that is a stream': (socket, id) => socket.end(
    `${buildHead(id, '500 Failed', EVENT_STREAM)}${SECOND_EVENT}`,
  ),
  'a server error without length': (socket, id) => socket.end(
    `${buildHead(id, '500 Failed', '')}error: x`,
  ),
  'an end after its head': (socket, id) => socket.end(
    buildHead(id, '200 OK', EVENT_STREAM),
  ),
  'an end inside its head': (socket, id) => socket.end(
    buildHead(id, '200 OK', EVENT_STREAM).slice(0, -2),
  ),
  'an unidentified server error': (socket) => socket.write(
    'HTTP/1.1 500 Failed\r\nContent-Length: 8\r\n\r\nerror: x',
  ),
};

describe('a stream that broke off, and whose next server responds with', () => {
  Object.entries(OTHER_RESPONSES).forEach(([name, respond]) => {
    test(`${name}, goes on at a third server`, async () => {
      const { path, servers } = await setUp([breakOff, respond, respondWithRest]);
      const { body, isTruncated, status } = await path.call();
      expect({ body, isTruncated, status })
        .toEqual({ body: FIRST_EVENT + SECOND_EVENT, isTruncated: false, status: 200 });
      expect(servers[2]?.heads[0]).toMatch(/last-event-id: 1/);
      expect(path.defects).toEqual([]);
    });

    test(`${name}, is broken off after its last event if no server is left`, async () => {
      const { path } = await setUp([breakOff, respond], { maxAttempts: 2 });
      const { body, isTruncated } = await path.call();
      expect({ body, isTruncated }).toEqual({ body: FIRST_EVENT, isTruncated: true });
      expect(path.defects).toEqual([]);
    });
  });
});

test('a resumed stream of which no event was left is complete', async () => {
  const { path } = await setUp([breakOff, (socket, id) => (
    PathHarness.writeResponse(socket, id, '', `X-Signature: s\r\n${EVENT_STREAM}`)
  )]);
  expect(await path.call()).toMatchObject({ body: FIRST_EVENT, isTruncated: false });
});

// Guards against a stream whose events were written by two software versions of its service.
describe('a stream that broke off beside servers of another version', () => {
  test('goes on at a server of the version that began it', async () => {
    const { path, servers } = await setUp([breakOff, respondWithRest, respondWithRest]);
    path.applyServer(1, { version: 'v2' });
    expect(await path.call()).toMatchObject({ body: `${FIRST_EVENT}${SECOND_EVENT}`, status: 200 });
    expect(servers.map(({ heads }) => heads.length)).toEqual([1, 0, 1]);
  });

  test('is broken off if no other server has that version', async () => {
    const { path, servers } = await setUp([breakOff, respondWithRest]);
    path.applyServer(1, { version: 'v2' });
    expect(await path.call()).toMatchObject({ body: FIRST_EVENT, isTruncated: true });
    expect(servers[1]?.heads).toEqual([]);
  });

  test('goes to any of them if no event had reached the caller', async () => {
    const { path } = await setUp([(socket) => socket.resetAndDestroy(), respondWithRest]);
    path.applyServer(1, { version: 'v2' });
    expect(await path.call()).toMatchObject({ body: SECOND_EVENT, status: 200 });
  });
});
