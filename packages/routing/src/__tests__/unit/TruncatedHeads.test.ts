/**
 * Guards against a response whose head ends in its middle and that reaches the caller as a success
 * with an empty or short body.
 */
import {
  afterEach, describe, expect, test,
} from 'vitest';
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

function buildHead(id: string, extra: string): string {
  return `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n${extra}\r\n`;
}

/** Builds the head of a response for each framing, and for an interim response before it. */
const HEADS: Readonly<Record<string, (id: string) => string>> = {
  chunks: (id) => buildHead(id, 'Transfer-Encoding: chunked\r\n'),
  connection: (id) => buildHead(id, ''),
  interim: (id) => `HTTP/1.1 103 Early Hints\r\n\r\n${buildHead(id, '')}`,
  length: (id) => buildHead(id, 'Content-Length: 4\r\n'),
};

/** A request id of a fixed length says how many bytes of the head are written. */
function formatId(length: number): string {
  return `r${String(length).padStart(3, '0')}`;
}

const ENDS: Readonly<Record<string, (socket: Parameters<PathHarness.RawResponder>[0]) => void>> = {
  close: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
};

async function callInTurn(
  path: PathHarness.PathHarness,
  lengths: readonly number[],
): Promise<readonly (number | undefined)[]> {
  const [length, ...rest] = lengths;
  if (length === undefined) return [];
  const { status } = await path.call({ requestId: formatId(length) });
  return [status, ...await callInTurn(path, rest)];
}

const ROUTES: Readonly<Record<string, Partial<Routing.Route>>> = {
  'a call': { kind: 'once' }, 'a stream': { kind: 'stream' },
};

describe('a head that ends after any of its bytes is no success of', () => {
  Object.entries(ROUTES).forEach(([name, route]) => test(name, async () => {
    await Promise.all(Object.entries(HEADS).flatMap(([framing, build]) => (
      Object.entries(ENDS).map(async ([end, close]) => {
        const { path } = await setUp([(socket, id) => {
          socket.write(build(id).slice(0, Number(id.slice(1))), () => close(socket));
        }], route);
        const headLength = build(formatId(0)).length;
        const lengths = Array.from({ length: headLength - 1 }, (_, index) => index + 1);
        const statuses = await callInTurn(path, lengths);
        expect({ end, framing, statuses })
          .toEqual({ end, framing, statuses: lengths.map(() => 502) });
      })
    )));
  }));
});
