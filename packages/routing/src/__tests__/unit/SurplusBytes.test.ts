/**
 * Guards against a whole answer that is thrown away because bytes follow it that belong to no
 * request: its caller got 502, although the server had run the request.
 */
import {
  afterEach, describe, expect, test,
} from 'vitest';
import * as PathHarness from '../support/PathHarness.js';
import type * as Routing from '../../index.js';

const closables: { close: () => void }[] = [];

afterEach(() => closables.splice(0).forEach(({ close }) => close()));

const SURPLUS: Readonly<Record<string, string>> = {
  'a second response': 'HTTP/1.1 200 OK\r\nX-Id: r9\r\nContent-Length: 5\r\n\r\nother',
  'bytes that are not HTTP': 'xxxxxxxx',
  'control characters': '\u0000\u0001\u0002',
  'many bytes': 'x'.repeat(100_000),
};

const EVENT = 'id: 1\ndata: a\n\n';

interface Answer {
  readonly head: string;
  readonly body: string;
  readonly route: Partial<Routing.Route>;
  /** Body as the caller gets it. */
  readonly expected: string;
}

const ANSWERS: Readonly<Record<string, Answer>> = {
  'a call that may be repeated': {
    body: 'whole', expected: 'whole', head: 'Content-Length: 5\r\n', route: { kind: 'repeatable' },
  },
  'a call that may run once': {
    body: 'whole', expected: 'whole', head: 'Content-Length: 5\r\n', route: { kind: 'once' },
  },
  'a stream in chunks': {
    body: `${EVENT.length.toString(16)}\r\n${EVENT}\r\n0\r\n\r\n`,
    expected: EVENT,
    head: 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n',
    route: { kind: 'stream' },
  },
  'a stream with a length': {
    body: EVENT,
    expected: EVENT,
    head: `Content-Type: text/event-stream\r\nContent-Length: ${EVENT.length}\r\n`,
    route: { kind: 'stream' },
  },
};

/** Time after which bytes arrive separately from the answer. */
const LATER_MS = 20;

describe.each(Object.entries(ANSWERS))('%s', (_, {
  body, expected, head, route,
}) => {
  describe.each(Object.entries(SURPLUS))('that is followed by %s', (__, surplus) => {
    test.each([
      { isTogether: true, when: 'in the same read' }, { isTogether: false, when: 'later' },
    ])('is delivered, and its connection is closed: $when', async ({ isTogether }) => {
      const started = await PathHarness.startPath([(socket, id, count) => {
        if (count > 1) {
          PathHarness.writeResponse(socket, id, EVENT);
          return;
        }
        const whole = `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n${head}\r\n${body}`;
        socket.write(isTogether ? `${whole}${surplus}` : whole);
        if (!isTogether) setTimeout(() => socket.write(surplus), LATER_MS);
      }], { maxAttempts: 1, ...route });
      closables.push(started);
      const { path, servers: [server] } = started;
      expect(await path.call()).toMatchObject({ body: expected, isTruncated: false, status: 200 });
      await expect.poll(() => server?.countClosed()).toBe(1);
      expect(await path.call({ requestId: 'r2' })).toMatchObject({ body: EVENT, status: 200 });
      expect(path.defects).toEqual([]);
      expect(path.countInFlight()).toBe(0);
    });
  });
});
