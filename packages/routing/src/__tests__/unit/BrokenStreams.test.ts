/** Guards against streams that were broken off by their server and reach callers as complete. */
import {
  afterEach, describe, expect, test,
} from 'vitest';
import type * as net from 'node:net';
import * as PathHarness from '../support/PathHarness.js';
import type * as Routing from '../../index.js';

const closables: { close: () => void }[] = [];

async function setUp(
  responders: readonly PathHarness.RawResponder[],
  route: Partial<Routing.Route>,
): Promise<PathHarness.PathSetUp> {
  const started = await PathHarness.startPath(responders, route);
  closables.push(started);
  return started;
}

afterEach(() => closables.splice(0).forEach(({ close }) => close()));

const LATER_MS = 5;
const RESUMABLE = { isResumable: true, kind: 'stream' as const };
const NOT_RESUMABLE = { kind: 'stream' as const };

type Framing = 'chunks' | 'connection' | 'length';

/** Writes a response that is properly ended, whatever its body. */
function writeEndedResponse(
  socket: net.Socket,
  id: string,
  body: string,
  { framing, isEndLater }: { readonly framing: Framing; readonly isEndLater: boolean },
): void {
  const head = `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n`
    + 'Content-Type: text/event-stream\r\n';
  const end = (): void => {
    if (framing === 'chunks') socket.write('0\r\n\r\n');
    if (framing === 'connection') socket.end();
  };
  const writeByFraming: Readonly<Record<Framing, () => void>> = {
    chunks: () => socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n${
      body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`
    }`),
    connection: () => socket.write(`${head}\r\n${body}`),
    length: () => socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`),
  };
  writeByFraming[framing]();
  if (isEndLater) setTimeout(end, LATER_MS);
  else end();
}

interface StreamCase {
  readonly framing: Framing;
  readonly isEndLater: boolean;
  readonly lineEnd: string;
}

const CASES: readonly StreamCase[] = (['chunks', 'connection', 'length'] as const)
  .flatMap((framing) => [false, true].flatMap((isEndLater) => (
    ['\n', '\r\n'].map((lineEnd) => ({ framing, isEndLater, lineEnd }))
  )));

function buildEvent(id: number, lineEnd: string): string {
  return `id: ${id}${lineEnd}data: a${lineEnd}${lineEnd}`;
}

/** Builds a responder that sends as many bytes of two events as the request id says. */
function createResponder(streamCase: StreamCase): PathHarness.RawResponder {
  const body = [1, 2].map((id) => buildEvent(id, streamCase.lineEnd)).join('');
  return (socket, id) => (
    writeEndedResponse(socket, id, body.slice(0, Number(id.slice(1))), streamCase)
  );
}

/** Lists the lengths of all responses that end inside the given event. */
function listPartialLengths(event: number, { lineEnd }: StreamCase): readonly number[] {
  const { length } = buildEvent(event, lineEnd);
  return Array.from({ length: length - 1 }, (_, index) => (event - 1) * length + index + 1);
}

/** Sends a request for a response of each length, one after the other. */
async function callInTurn(
  path: PathHarness.PathHarness,
  lengths: readonly number[],
): Promise<readonly PathHarness.CallerResponse[]> {
  const [length, ...rest] = lengths;
  if (length === undefined) return [];
  const response = await path.call({ requestId: `r${length}` });
  return [response, ...await callInTurn(path, rest)];
}

describe('a stream that ends inside an event, by any framing', () => {
  test('and is not resumable is broken off towards its caller, after the last event', async () => {
    await Promise.all(CASES.map(async (each) => {
      const { path } = await setUp([createResponder(each)], NOT_RESUMABLE);
      const lengths = listPartialLengths(2, each);
      const responses = await callInTurn(path, lengths);
      const body = buildEvent(1, each.lineEnd);
      expect({ each, responses: responses.map((got) => [got.body, got.isTruncated]) })
        .toEqual({ each, responses: lengths.map(() => [body, true]) });
    }));
  });

  test('and has no event before is no success', async () => {
    await Promise.all(CASES.map(async (each) => {
      const { path } = await setUp([createResponder(each)], NOT_RESUMABLE);
      const lengths = listPartialLengths(1, each);
      const responses = await callInTurn(path, lengths);
      expect({ each, statuses: responses.map(({ status }) => status) })
        .toEqual({ each, statuses: lengths.map(() => 502) });
    }));
  });

  test('and is resumable goes on at another server', async () => {
    await Promise.all(CASES.map(async (each) => {
      const { lineEnd } = each;
      const { path, servers } = await setUp([
        createResponder(each),
        (socket, id) => writeEndedResponse(socket, id, buildEvent(2, lineEnd), each),
      ], RESUMABLE);
      const whole = buildEvent(1, lineEnd) + buildEvent(2, lineEnd);
      const partialLength = buildEvent(1, lineEnd).length + 4;
      const { body, isTruncated } = await path.call({ requestId: `r${partialLength}` });
      expect({ body, each, isTruncated }).toEqual({ body: whole, each, isTruncated: false });
      expect(servers[1]?.heads[0]).toMatch(/last-event-id: 1/);
    }));
  });

  test('counts as a failure of its server', async () => {
    await Promise.all(CASES.map(async (each) => {
      const { path } = await setUp([createResponder(each)], NOT_RESUMABLE);
      await path.call({ requestId: `r${buildEvent(1, each.lineEnd).length + 4}` });
      expect({ each, outcomes: path.takeObservedOutcomes() })
        .toEqual({ each, outcomes: [{ failures: 1, requests: 1, server: 's0@0' }] });
    }));
  });

  test('is not confused with one that ends after an event', async () => {
    await Promise.all(CASES.map(async (each) => {
      const { path } = await setUp([createResponder(each)], NOT_RESUMABLE);
      const first = buildEvent(1, each.lineEnd);
      const body = first + buildEvent(2, each.lineEnd);
      const responses = await callInTurn(path, [first.length, body.length]);
      expect({ each, responses: responses.map((got) => [got.body, got.isTruncated]) })
        .toEqual({ each, responses: [[first, false], [body, false]] });
    }));
  });
});

// Guards against taking a body that has no events at all for one partial event.
test('a response on a stream route that is declared as another type is relayed whole', async () => {
  const { path } = await setUp([(socket, id) => (
    PathHarness.writeResponse(socket, id, '{"a":1}', 'X-Signature: s\r\nContent-Type: a/json\r\n')
  )], NOT_RESUMABLE);
  expect(await path.call()).toMatchObject({ body: '{"a":1}', isTruncated: false, status: 200 });
});

test('a stream may end with empty lines after its last event', async () => {
  const { path } = await setUp([(socket, id) => (
    PathHarness.writeResponse(socket, id, 'data: a\n\n\n')
  )], NOT_RESUMABLE);
  expect(await path.call()).toMatchObject({ body: 'data: a\n\n\n', isTruncated: false });
});

describe('a stream without length and chunks that another response follows', () => {
  const surplus = 'HTTP/1.1 500 Failed\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nerror';
  const head = 'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n\r\n';
  const lineEnds = ['\n', '\r\n'];

  // Guards against the head of the other response as an event of the stream.
  test('is broken off before the other response', async () => {
    await Promise.all(lineEnds.map(async (lineEnd) => {
      const event = buildEvent(1, lineEnd);
      const { path } = await setUp([(socket) => (
        socket.end(`${head}${event}${lineEnd}${surplus}`)
      )], NOT_RESUMABLE);
      const { body, isTruncated } = await path.call();
      expect({ body, isTruncated }).toEqual({ body: event, isTruncated: true });
    }));
  });

  test('goes on at another server if it is resumable', async () => {
    const { path } = await setUp([
      (socket) => socket.end(`${head}${buildEvent(1, '\n')}${surplus}`),
      (socket, id) => PathHarness.writeResponse(socket, id, buildEvent(2, '\n')),
    ], RESUMABLE);
    expect(await path.call())
      .toMatchObject({ body: buildEvent(1, '\n') + buildEvent(2, '\n'), isTruncated: false });
  });
});

describe('a plain response without length that another response follows', () => {
  const head = 'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n\r\n';
  const surplus = 'HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r2\r\nContent-Length: 5\r\n\r\nother';
  const bodies = ['own', 'own\n', ''];

  // Guards against a caller that gets the answer to another request behind its own.
  test('is a broken response', async () => {
    const responses = await Promise.all(bodies.map(async (body) => {
      const { path } = await setUp([(socket) => socket.end(`${head}${body}${surplus}`)], {
        kind: 'once', maxAttempts: 1,
      });
      return path.call();
    }));
    expect(responses.map(({ body, status }) => [status, body.includes('other')]))
      .toEqual(bodies.map(() => [502, false]));
  });

  test('is repeated at another server if it may be', async () => {
    const { path } = await setUp([
      (socket) => socket.end(`${head}own${surplus}`),
      (socket, id) => PathHarness.writeResponse(socket, id, 'whole'),
    ], { kind: 'repeatable' });
    expect(await path.call()).toMatchObject({ body: 'whole', status: 200 });
  });

  // Guards against a body that is withheld because it is about HTTP.
  test('is passed on if it only quotes a response', async () => {
    const quote = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nX-Id: r2';
    const { path } = await setUp([(socket) => socket.end(`${head}${quote}`)], { kind: 'once' });
    expect(await path.call()).toMatchObject({ body: quote, status: 200 });
  });
});
