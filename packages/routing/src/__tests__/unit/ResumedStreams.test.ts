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

const respondWithStream: PathHarness.RawResponder = (socket, id) => (
  PathHarness.writeResponse(
    socket,
    id,
    `${FIRST_EVENT}${SECOND_EVENT}`,
    `X-Signature: s\r\n${EVENT_STREAM}`,
  )
);

/** Sends one event and no more. */
const beginStream: PathHarness.RawResponder = (socket, id) => (
  socket.write(`${buildHead(id, '200 OK', EVENT_STREAM)}${FIRST_EVENT}`)
);

/** Time after which a caller has what was sent at once. */
const RECEIVED_MS = 150;

// Guards against a stream whose version nobody knows when all daemons have ended.
describe('the beginning of a stream', () => {
  test('is not recorded at the base version', async () => {
    const { path } = await setUp([respondWithStream]);
    expect(await path.call()).toMatchObject({ status: 200 });
    expect(path.streamRecords.size).toBe(0);
  });

  test('is recorded at any other version before its first event reaches the caller', async () => {
    const { path } = await setUp([beginStream]);
    path.setBaseVersion('v0');
    path.setRecordsStored(false);
    expect(await path.call({ disconnectAfterMs: RECEIVED_MS })).toMatchObject({ body: '' });
    path.setRecordsStored(true);
    expect(await path.call({ disconnectAfterMs: RECEIVED_MS, requestId: 'r2' }))
      .toMatchObject({ body: FIRST_EVENT });
    expect(path.streamRecords.get('r2')).toBe('v1');
  });

  test('is recorded while the base version is not known', async () => {
    const { path } = await setUp([respondWithStream]);
    path.setBaseVersion(undefined);
    await path.call();
    expect(path.streamRecords.get('r1')).toBe('v1');
  });

  // Guards against ready answers that are withheld while the store is away.
  test('needs no record if the whole stream is ready', async () => {
    const { path } = await setUp([respondWithStream]);
    path.setBaseVersion('v0');
    path.setRecordsStored(false);
    expect(await path.call())
      .toMatchObject({ body: `${FIRST_EVENT}${SECOND_EVENT}`, isTruncated: false, status: 200 });
  });

  // Guards against short events without end, of which each takes many times its bytes.
  test('is not waited for with any number of events', async () => {
    const { path } = await setUp([(socket, id) => (
      socket.write(`${buildHead(id, '200 OK', EVENT_STREAM)}${'data\n\n'.repeat(1_000)}`)
    )], { isResumable: true, maxAttempts: 1 });
    path.setBaseVersion('v0');
    path.setRecordsStored(false);
    expect(await path.call({ headers: { 'x-left': '20000' } })).toMatchObject({ status: 502 });
  });

  test('is made anew at another version if no event of the first one got out', async () => {
    const { path } = await setUp([breakOff, respondWithStream]);
    path.applyServer(1, { version: 'v2' });
    path.setBaseVersion('v0');
    path.setRecordsStored(false);
    expect(await path.call())
      .toMatchObject({ body: `${FIRST_EVENT}${SECOND_EVENT}`, isTruncated: false, status: 200 });
    path.setRecordsStored(true);
    expect(path.streamRecords.get('r1')).toBe('v2');
  });

  // Guards against the record of a failed attempt that outlasts one at the base version.
  test('is recorded at the base version as well after an attempt at another one', async () => {
    const { path } = await setUp([(socket) => socket.resetAndDestroy(), respondWithStream]);
    path.applyServer(0, { version: 'v2' });
    await path.call();
    expect(path.streamRecords.get('r1')).toBe('v1');
  });
});

// Guards against the rest of a stream from another version at a daemon that did not begin it.
describe('a caller that resumes a stream', () => {
  const setUpVersions = async (): Promise<PathHarness.PathSetUp> => {
    const started = await setUp([respondWithRest, respondWithRest]);
    started.path.applyServer(1, { version: 'v2' });
    started.path.streamRecords.set('began', 'v2');
    return started;
  };
  const callAgain = (
    path: PathHarness.PathHarness,
    resumes: Readonly<Record<string, string>>,
  ): Promise<PathHarness.CallerResponse> => (
    path.call({ headers: { 'last-event-id': '1', ...resumes }, requestId: 'again' })
  );
  const countRequests = ({ servers }: PathHarness.PathSetUp): readonly number[] => (
    servers.map(({ heads }) => heads.length)
  );

  test('gets the rest from the recorded version', async () => {
    const started = await setUpVersions();
    expect(await callAgain(started.path, { 'x-resumes': 'began' })).toMatchObject({ status: 200 });
    expect(countRequests(started)).toEqual([0, 1]);
  });

  test('gets the rest from the base version if there is no record', async () => {
    const started = await setUpVersions();
    expect(await callAgain(started.path, { 'x-resumes': 'other' })).toMatchObject({ status: 200 });
    expect(countRequests(started)).toEqual([1, 0]);
  });

  test('is refused as not run while the base version is not known', async () => {
    const started = await setUpVersions();
    started.path.setBaseVersion(undefined);
    const response = await callAgain(started.path, { 'x-resumes': 'other' });
    expect([response.status, Number(response.headers['retry-after']) > 0]).toEqual([503, true]);
    expect(countRequests(started)).toEqual([0, 0]);
  });

  test('is refused as not run without a server of the version', async () => {
    const started = await setUpVersions();
    started.path.streamRecords.set('began', 'v3');
    expect(await callAgain(started.path, { 'x-resumes': 'began' })).toMatchObject({ status: 503 });
    expect(countRequests(started)).toEqual([0, 0]);
  });

  describe.each([
    { name: undefined, what: 'none' },
    { name: 'began, other', what: 'two' },
    { name: 'x'.repeat(300), what: 'an endless one' },
  ])('and names $what as its beginning', ({ name }) => {
    const resumes: Readonly<Record<string, string>> = name === undefined
      ? {}
      : { 'x-resumes': name };

    test('gets the rest if only one version can have begun the stream', async () => {
      const { path } = await setUp([respondWithRest, respondWithRest]);
      expect(await callAgain(path, resumes)).toMatchObject({ status: 200 });
    });

    test('is refused as not run beside servers of another version', async () => {
      const { path } = await setUpVersions();
      expect(await callAgain(path, resumes)).toMatchObject({ status: 503 });
    });

    // Guards against a server that began streams, crashed, and is not listed any more.
    test('is refused as not run if a server of another version was listed before', async () => {
      const { path } = await setUpVersions();
      path.applyServer(1);
      expect(await callAgain(path, resumes)).toMatchObject({ status: 503 });
    });

    // Guards against a daemon that is cut off while servers of another version join.
    test('is refused as not run if the list of servers cannot be read now', async () => {
      const { path } = await setUp([respondWithRest, respondWithRest]);
      path.setListReadable(false);
      expect(await callAgain(path, resumes)).toMatchObject({ status: 503 });
    });
  });

  // Guards against a record that names the try in the middle, which brought no first event.
  test('is not recorded as a beginning itself', async () => {
    const { path } = await setUpVersions();
    await callAgain(path, { 'x-resumes': 'began' });
    expect(path.streamRecords.has('again')).toBe(false);
  });
});
