/**
 * Guards against a refusal that a server wrote once more and that is taken for the refusal of a
 * later request on the same connection, which the server runs.
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
  const started = await PathHarness.startPath(responders, route, 1);
  closables.push(started);
  return started;
}

afterEach(() => closables.splice(0).forEach(({ close }) => close()));

/** Time in which a second request starts to wait for the connection of the first. */
const RESPONSE_DELAY_MS = 100;

const REFUSALS: Readonly<Record<string, string>> = {
  'a misdirected response': 'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n',
  'a refusal': 'HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n',
};

/** Answers the first request, and writes the refusal of an earlier one for the second. */
function createResponder(refusal: string): PathHarness.RawResponder {
  return (socket, id, count) => {
    if (count > 1) socket.write(refusal);
    else setTimeout(() => PathHarness.writeResponse(socket, id, 'first'), RESPONSE_DELAY_MS);
  };
}

const respondWhole: PathHarness.RawResponder = (socket, id) => (
  PathHarness.writeResponse(socket, id, `for ${id}`)
);

describe('a request that waited for a used connection', () => {
  Object.entries(REFUSALS).forEach(([name, refusal]) => {
    test(`is not reported as not run because of a copy of ${name}`, async () => {
      const { path } = await setUp([createResponder(refusal)], { maxAttempts: 1 });
      const first = path.call();
      const second = path.call({ requestId: 'r2' });
      expect(await first).toMatchObject({ status: 200 });
      expect(await second).toMatchObject({ status: 502 });
    });

    test(`is not sent to another server because of a copy of ${name}`, async () => {
      const { path, servers } = await setUp([createResponder(refusal), respondWhole]);
      path.applyServer(1, { state: 'draining' });
      const calls = Promise.all([path.call(), path.call({ requestId: 'r2' })]);
      // The other server is ready only when both requests are at the first one.
      await expect.poll(() => servers[0]?.heads.length).toBe(1);
      path.applyServer(1);
      await calls;
      expect(servers[0]?.heads[1]).toMatch(/x-id: r2/i);
      expect(servers[1]?.heads.filter((head) => /x-id: r2/i.test(head))).toEqual([]);
    });
  });
});
