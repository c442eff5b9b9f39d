import {
  afterEach, describe, expect, test,
} from 'vitest';
import type * as PathContext from '../../PathContext.js';
import type * as Routing from '../../index.js';
import * as PathHarness from '../support/PathHarness.js';

const TERMS: Routing.EngineTerms = { concurrentRequests: 32, memoryTokens: 544_821 };
const URGENT_PATH = '/u/b';

/** Route of the harness, to which `/a/b` leads. */
const LARGE = {
  kind: 'stream', name: 'large', priority: 2, targetMs: 2_000, timeoutMs: 8_000,
} as const;

const URGENT = PathHarness.createRoute({
  kind: 'stream', name: 'small', pathPrefix: '/u/', priority: 0, targetMs: 400, timeoutMs: 8_000,
});

const STREAM = 'HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n'
  + 'Connection: close\r\n';
const EVENT = 'id: 1\ndata: x\n\n';

const setUps: PathHarness.PathSetUp[] = [];

afterEach(() => setUps.splice(0).forEach(({ close }) => close()));

/** Load that tests change while requests wait. */
interface TestLoad {
  amounts: Routing.LoadAmounts;
  isFresh: boolean;
  share: Routing.AccountShare;
  phase: PathContext.Phase;
}

const IDLE: Routing.LoadAmounts = { heldTokens: 0, pendingPromptTokens: 0, requests: 0 };

/** About a second of prefill at the default rate. */
const BUSY: Routing.LoadAmounts = { heldTokens: 60_000, pendingPromptTokens: 60_000, requests: 4 };

/** More tokens than leave room for any request. */
const FULL: Routing.LoadAmounts = { heldTokens: 544_000, pendingPromptTokens: 0, requests: 30 };

async function startService(
  amounts: Routing.LoadAmounts,
  overload: Partial<Routing.RoutingSettings['overload']> = {},
): Promise<PathHarness.PathSetUp & { readonly load: TestLoad }> {
  const load: TestLoad = {
    amounts, isFresh: true, phase: 'running', share: { accounts: 1, share: 1 },
  };
  const setUp = await PathHarness.startPath([
    (socket, requestId) => socket.end(
      `${STREAM}X-Id: ${requestId}\r\nContent-Length: ${EVENT.length}\r\n\r\n${EVENT}`,
    ),
  ], LARGE, 8, {}, {
    engine: TERMS,
    fleetLoad: {
      getAccountShare: () => load.share,
      getServerLoad: () => ({ ...load.amounts, ageMs: 700 }),
      getSlowdown: () => 1,
      isFresh: () => load.isFresh,
    },
    getPhase: () => load.phase,
    overload: { enabled: true, floorShare: 0, ...overload },
    routes: [URGENT],
  });
  setUps.push(setUp);
  return { ...setUp, load };
}

function buildCall(inputTokens: number, path = '/a/b', timeLeftMs = 6_000): Parameters<
  PathHarness.PathHarness['call']
>[0] {
  return {
    headers: { 'x-left': String(timeLeftMs), 'x-tokens': `${inputTokens},100` }, path,
  };
}

async function waitFor(isTrue: () => boolean): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    let tries = 0;
    const timer = setInterval(() => {
      tries += 1;
      if (!isTrue() && tries < 400) return;
      clearInterval(timer);
      if (isTrue()) resolve();
      else reject(new Error('condition not met'));
    }, 5);
  });
}

describe('admission to an overloaded service', () => {
  test('a less urgent request is refused and never sent, an urgent one is served', async () => {
    const { path, servers } = await startService(BUSY);
    const large = await path.call(buildCall(17_020));
    expect(large.status).toBe(503);
    expect(JSON.parse(large.body)).toMatchObject({ error: { code: 'overloaded' } });
    const retryAfter = large.headers['retry-after'] ?? '';
    expect(retryAfter).toMatch(/^\d+\.\d{3}$/);
    expect(Number(retryAfter)).toBeGreaterThanOrEqual(0.25);
    expect(Number(retryAfter)).toBeLessThanOrEqual(0.3 * 6);
    expect(servers[0]?.heads).toHaveLength(0);
    const urgent = await path.call(buildCall(1_460, URGENT_PATH));
    expect(urgent).toMatchObject({ body: EVENT, isTruncated: false, status: 200 });
    expect(servers[0]?.heads).toHaveLength(1);
    expect(path.countInFlight()).toBe(0);
    const metrics = await path.renderMetrics();
    expect(metrics).toContain(
      'berylyoke_admissions_total{reason="overloaded",result="refused",service="s"} 1',
    );
    expect(metrics).toContain('berylyoke_first_token_error_ms_count{service="s"} 1');
  });

  test('a short overload: the request waits and is sent when the load falls', async () => {
    const { load, path, servers } = await startService(BUSY);
    const answer = path.call(buildCall(17_020));
    await waitFor(() => path.admissionGate.countWaiting() === 1);
    expect(servers[0]?.heads).toHaveLength(0);
    load.amounts = IDLE;
    expect((await answer).status).toBe(200);
    expect(path.admissionGate.countWaiting()).toBe(0);
  });

  test('no server has room: the most urgent request of those that wait is sent first', async () => {
    const { load, path, servers } = await startService(FULL);
    const large = path.call({ ...buildCall(1_460), requestId: 'large' });
    await waitFor(() => path.admissionGate.countWaiting() === 1);
    const urgent = path.call({ ...buildCall(1_460, URGENT_PATH), requestId: 'urgent' });
    await waitFor(() => path.admissionGate.countWaiting() === 2);
    load.amounts = IDLE;
    expect((await urgent).status).toBe(200);
    expect((await large).status).toBe(200);
    expect(servers[0]?.heads[0]).toContain('x-id: urgent');
  });

  test('the caller would be gone before the first token: refused at once', async () => {
    const { path, servers } = await startService(BUSY);
    const answer = await path.call(buildCall(1_460, URGENT_PATH, 900));
    expect(answer.status).toBe(503);
    expect(JSON.parse(answer.body)).toMatchObject({ error: { code: 'infeasible' } });
    expect(servers[0]?.heads).toHaveLength(0);
  });

  test('a caller that leaves while its request waits: nothing is sent', async () => {
    const { load, path, servers } = await startService(BUSY);
    const answer = path.call({ ...buildCall(17_020), disconnectAfterMs: 60 });
    await waitFor(() => path.admissionGate.countWaiting() === 1);
    expect((await answer).isTruncated).toBe(true);
    await waitFor(() => path.admissionGate.countWaiting() === 0);
    load.amounts = IDLE;
    await new Promise((resolve) => {
      setTimeout(resolve, 60);
    });
    expect(servers[0]?.heads).toHaveLength(0);
  });

  test('a planned stop: waiting requests are refused at once', async () => {
    const { load, path, servers } = await startService(BUSY);
    const answer = path.call(buildCall(17_020));
    await waitFor(() => path.admissionGate.countWaiting() === 1);
    load.phase = 'draining';
    path.admissionGate.refuseWaiting();
    const { body, status } = await answer;
    expect(status).toBe(503);
    expect(JSON.parse(body)).toMatchObject({ error: { code: 'stopping' } });
    // One that would have to wait during the stop is refused as well.
    expect(JSON.parse((await path.call(buildCall(17_020))).body))
      .toMatchObject({ error: { code: 'stopping' } });
    expect(path.admissionGate.countWaiting()).toBe(0);
    expect(servers[0]?.heads).toHaveLength(0);
  });

  test('the sums become stale: what waits is sent, and so is everything then', async () => {
    const { load, path } = await startService(BUSY);
    const answer = path.call(buildCall(17_020));
    await waitFor(() => path.admissionGate.countWaiting() === 1);
    load.isFresh = false;
    expect((await answer).status).toBe(200);
    expect((await path.call(buildCall(17_020))).status).toBe(200);
  });

  test('more requests than may wait: the least urgent one gives way', async () => {
    const { path } = await startService(FULL, { maxWaiting: 1 });
    const large = path.call(buildCall(1_460));
    await waitFor(() => path.admissionGate.countWaiting() === 1);
    const urgent = path.call(buildCall(1_460, URGENT_PATH));
    const { body } = await large;
    expect(JSON.parse(body)).toMatchObject({ error: { code: 'overloaded' } });
    expect(path.admissionGate.countWaiting()).toBe(1);
    expect((await urgent).status).toBe(503);
  });

  test('an overload that lasts: the floor sends one in five of a kind', async () => {
    const { path, servers } = await startService(BUSY, { floorShare: 0.2 });
    const answers = await Promise.all(Array.from({ length: 10 }, () => (
      path.call(buildCall(17_020))
    )));
    expect(answers.filter(({ status }) => status === 200)).toHaveLength(2);
    expect(servers[0]?.heads).toHaveLength(2);
  });

  test.each<[string, Partial<Routing.RoutingSettings['overload']>, Record<string, string>]>([
    ['the setting is off', { enabled: false }, { 'x-tokens': '17020,100' }],
    ['the request has no prompt', {}, {}],
  ])('as before if %s', async (_, overload, headers) => {
    const { path } = await startService(FULL, overload);
    expect((await path.call({ headers })).status).toBe(200);
  });
});
