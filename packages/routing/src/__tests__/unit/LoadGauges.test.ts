import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const createLoad = (
  server: string,
  requests: number,
  extra: Partial<Routing.ServerLoad> = {},
): Routing.ServerLoad => ({
  heldTokens: requests * 1_000, pendingPromptTokens: requests * 100, requests, server, ...extra,
});

const createReport = (
  daemonId: string,
  servers: readonly Routing.ServerLoad[],
  extra: Partial<Routing.LoadReport> = {},
): Routing.LoadReport => ({
  ageMs: undefined, daemonId, demands: [], scope: 'daemon', servers, ...extra,
});

const createRoot = (): Routing.LoadGauges => {
  const gauges = Routing.createLoadGauges('root');
  [0, 1_000, 2_000].forEach((nowMs) => gauges.setScope('root', nowMs));
  return gauges;
};

const countRequests = (gauges: Routing.LoadGauges, nowMs: number, server = 'a'): number => (
  gauges.getLoad(server, nowMs).requests
);

describe('gauges of the load by other daemons', () => {
  // Guards against counting a request twice when an answer was lost and its daemon reports again.
  test('a report replaces the previous one of its daemon', () => {
    const gauges = createRoot();
    gauges.receiveReport(createReport('d1', [createLoad('a', 3)]), 2_000);
    gauges.receiveReport(createReport('d1', [createLoad('a', 3), createLoad('b', 1)]), 2_100);
    gauges.receiveReport(createReport('d2', [createLoad('a', 2)]), 2_200);
    expect(gauges.getLoad('a', 2_200)).toEqual({
      heldTokens: 5_000, pendingPromptTokens: 500, requests: 5,
    });
    expect(countRequests(gauges, 2_200, 'b')).toBe(1);
    gauges.receiveReport(createReport('d1', []), 2_300);
    expect(countRequests(gauges, 2_300)).toBe(2);
  });

  // Load pattern: a daemon freezes, is cut off or ends with requests in progress.
  test('a report that is not renewed expires after 2.5 s', () => {
    const gauges = createRoot();
    gauges.receiveReport(createReport('frozen', [createLoad('a', 3)]), 2_000);
    gauges.receiveReport(createReport('d', [createLoad('a', 1)]), 4_000);
    expect(countRequests(gauges, 4_499)).toBe(4);
    expect(gauges.countReporters(4_499)).toBe(2);
    expect(countRequests(gauges, 4_500)).toBe(1);
    expect(countRequests(gauges, 6_500)).toBe(0);
    expect(gauges.countReporters(6_500)).toBe(0);
  });

  test('an answer has the load by all daemons but the one that asks', () => {
    const gauges = createRoot();
    gauges.addOwn('a', createLoad('a', 4));
    gauges.receiveReport(createReport('d1', [createLoad('a', 3)]), 2_000);
    const answer = gauges.receiveReport(createReport('d2', [createLoad('a', 2)]), 2_000);
    expect(answer).toEqual(createReport('root', [createLoad('a', 7)], { ageMs: 0, scope: 'root' }));
  });

  // Guards against sums that drift from the reports they consist of.
  test('sums equal those of the newest report of each daemon in any order of messages', () => {
    const report = fc.record({
      daemon: fc.constantFrom('d1', 'd2', 'd3'),
      requests: fc.array(fc.nat(5), { maxLength: 3 }),
    });
    fc.assert(fc.property(fc.array(report, { maxLength: 30 }), (reports) => {
      const gauges = createRoot();
      const newest = new Map<string, readonly number[]>();
      reports.forEach(({ daemon, requests }) => {
        newest.set(daemon, requests);
        gauges.receiveReport(createReport(
          daemon,
          requests.map((count, index) => createLoad(`s${index}`, count)),
        ), 2_000);
      });
      [0, 1, 2].forEach((index) => expect(countRequests(gauges, 2_000, `s${index}`)).toBe(
        [...newest.values()].reduce((sum, counts) => sum + (counts[index] ?? 0), 0),
      ));
    }));
  });

  test.each([
    ['an amount that is not a number', { pendingPromptTokens: NaN }],
    ['an infinite amount', { heldTokens: Infinity }],
    ['a negative amount', { requests: -1 }],
    ['more than 10 million tokens', { heldTokens: 10_000_001 }],
    ['a server without a name', { server: '' }],
    ['a server with a name of 300 characters', { server: 'a'.repeat(300) }],
  ])('ignore %s in a report and in an answer, and keep the rest', (_, extra) => {
    const servers = [createLoad('a', 1, extra), createLoad('b', 2)];
    const root = createRoot();
    root.receiveReport(createReport('d', servers), 2_000);
    expect(root.countInvalid()).toBe(1);
    expect([countRequests(root, 2_000), countRequests(root, 2_000, 'b')]).toEqual([0, 2]);
    const daemon = Routing.createLoadGauges('d');
    daemon.applyAnswer(createReport('root', servers, { ageMs: 0, scope: 'root' }), 0);
    expect(daemon.countInvalid()).toBe(1);
    expect([countRequests(daemon, 0), countRequests(daemon, 0, 'b')]).toEqual([0, 2]);
  });

  test.each([NaN, -1, Infinity])('ignore an answer of an age of %d ms', (ageMs) => {
    const daemon = Routing.createLoadGauges('d');
    daemon.applyAnswer(createReport('r', [createLoad('a', 1)], { ageMs, scope: 'root' }), 1_000);
    expect(countRequests(daemon, 1_000)).toBe(0);
    expect(daemon.getAge(1_000)).toBe(Infinity);
  });

  test('ignore invalid demands', () => {
    const root = createRoot();
    const demands = [NaN, -1, Infinity, 1e11, 500].map((promptTokens, index) => (
      { account: `shop${index}`, promptTokens }
    ));
    root.receiveReport(createReport('d', [], { demands }), 2_000);
    expect([...root.sumDemands(2_000)]).toEqual([['shop4', 500]]);
  });

  // Guards against a caller that states absurd numbers of tokens, which cannot be encoded.
  test.each([NaN, Infinity, 1e300, -1e300, 0.5])('keep %d tokens of a caller in bounds', (n) => {
    const gauges = Routing.createLoadGauges('d');
    const change = { heldTokens: n, pendingPromptTokens: n, requests: 1 };
    gauges.addOwn('a', change);
    gauges.addOwn('a', change);
    const [load] = gauges.buildReport(0).servers;
    [load?.heldTokens, load?.pendingPromptTokens].forEach((amount) => {
      expect(Number.isInteger(amount)).toBe(true);
      expect(amount).toBeGreaterThanOrEqual(0);
      expect(amount).toBeLessThanOrEqual(10_000_000);
    });
    [1, 2].forEach(() => gauges.addOwn('a', {
      heldTokens: -n, pendingPromptTokens: -n, requests: -1,
    }));
    expect(gauges.buildReport(0).servers).toEqual([]);
  });

  test('have a bounded number of servers in a message and of daemons', () => {
    const root = createRoot();
    Array.from({ length: 1_000 }, (_, index) => (
      root.addOwn(`s${index}`, createLoad(`s${index}`, 1 + (index % 2)))
    ));
    Array.from({ length: 100 }, (_, index) => (
      root.receiveReport(createReport(`d${index}`, [createLoad('a', 1)]), 2_000)
    ));
    const { servers } = root.buildReport(2_000);
    expect(servers).toHaveLength(512);
    expect(servers.filter(({ requests }) => requests === 1).length).toBeLessThanOrEqual(12);
    expect(root.countReporters(2_000)).toBe(64);
  });
});

describe('place of a daemon in the tree of relays', () => {
  const createRelay = (): Routing.LoadGauges => {
    const gauges = Routing.createLoadGauges('relay');
    gauges.setScope('relay', 0);
    return gauges;
  };

  test('a relay reports its own load and that of its readers, but not what it was answered', () => {
    const relay = createRelay();
    relay.addOwn('a', createLoad('a', 1));
    relay.receiveReport(createReport('d', [createLoad('a', 2)]), 0);
    const view = createReport('root', [createLoad('a', 8)], { ageMs: 100, scope: 'root' });
    relay.applyAnswer(view, 0);
    expect(relay.buildReport(0)).toEqual(
      createReport('relay', [createLoad('a', 3)], { scope: 'relay' }),
    );
    expect(countRequests(relay, 0)).toBe(11);
    expect(relay.receiveReport(createReport('d', [createLoad('a', 2)]), 50)).toEqual(
      createReport('relay', [createLoad('a', 9)], { ageMs: 150, scope: 'relay' }),
    );
  });

  test('a root relay sends another one only the load by the daemons below itself', () => {
    const root = createRoot();
    const other = createReport('root2', [createLoad('a', 7)], { scope: 'root' });
    root.receiveReport(createReport('relay', [createLoad('a', 2)], { scope: 'relay' }), 2_000);
    expect(root.receiveReport(other, 2_000)).toEqual(
      createReport('root', [createLoad('a', 2)], { scope: 'root' }),
    );
    expect(countRequests(root, 2_000)).toBe(9);
    expect(root.buildReport(2_000).servers).toEqual([createLoad('a', 2)]);
    root.applyAnswer(createReport('root2', [createLoad('a', 5)], { scope: 'root' }), 2_100);
    expect(countRequests(root, 2_100)).toBe(7);
  });

  // Guards against load that goes around and grows while daemons have different lists of relays.
  test('a relay accepts only reports from below and answers from above', () => {
    const relay = createRelay();
    (['relay', 'root'] as const).forEach((scope) => {
      const answer = relay.receiveReport(createReport('x', [createLoad('a', 4)], { scope }), 0);
      expect(answer).toMatchObject({ ageMs: undefined, servers: [] });
    });
    (['daemon', 'relay'] as const).forEach((scope) => (
      relay.applyAnswer(createReport('x', [createLoad('a', 4)], { ageMs: 0, scope }), 0)
    ));
    expect(countRequests(relay, 0)).toBe(0);
    expect(relay.getAge(0)).toBe(Infinity);
  });

  // Load pattern: all daemons restart; a root relay without reports would call all servers idle.
  test('a root relay knows the load of the fleet 1.5 s after it became one or was frozen', () => {
    const root = Routing.createLoadGauges('root');
    root.setScope('root', 1_000);
    root.setScope('root', 2_000);
    root.receiveReport(createReport('d', []), 2_000);
    expect(root.getAge(2_499)).toBe(Infinity);
    expect(root.getAge(2_500)).toBe(0);
    expect(root.getAge(3_500)).toBe(Infinity);
    root.setScope('root', 3_500);
    expect(root.getAge(3_600)).toBe(Infinity);
  });

  // Guards against a root relay that takes all servers for idle while it is cut off.
  test('a root relay that no daemon reports to does not know the load of the fleet', () => {
    const root = createRoot();
    expect(root.getAge(2_000)).toBe(Infinity);
    root.receiveReport(createReport('d', []), 2_000);
    expect(root.getAge(2_000)).toBe(0);
    [3_000, 4_000, 4_500].forEach((nowMs) => root.setScope('root', nowMs));
    expect(root.getAge(4_499)).toBe(0);
    expect(root.getAge(4_500)).toBe(Infinity);
  });

  test('an answer ages and is discarded after 2.5 s, counted from when it was known', () => {
    const daemon = Routing.createLoadGauges('d');
    daemon.addOwn('a', createLoad('a', 1));
    daemon.applyAnswer(
      createReport('r', [createLoad('a', 4)], { ageMs: 500, scope: 'relay' }),
      10_000,
    );
    expect(daemon.getAge(10_300)).toBe(800);
    expect(countRequests(daemon, 12_000)).toBe(5);
    expect(countRequests(daemon, 12_001)).toBe(1);
  });
});

describe('demand of accounts', () => {
  test('is summed over daemons and halves every 4 s', () => {
    const root = createRoot();
    root.addDemand('shop', 1_000, 2_000);
    const report = createReport('d', [], { demands: [{ account: 'shop', promptTokens: 400 }] });
    root.receiveReport(report, 4_000);
    expect(root.sumDemands(6_000).get('shop')).toBeCloseTo(1_000 / 2 + 400 * 0.5 ** 0.5, 3);
    const answer = root.receiveReport(report, 6_000);
    expect(answer.demands).toHaveLength(1);
    expect(answer.demands[0]?.promptTokens).toBeCloseTo(500, 3);
  });

  test('is kept for at most 256 accounts', () => {
    const daemon = Routing.createLoadGauges('d');
    Array.from({ length: 400 }, (_, index) => daemon.addDemand(`shop${index}`, 100, 0));
    expect(daemon.buildReport(0).demands).toHaveLength(256);
    expect(daemon.buildReport(60_000).demands).toHaveLength(0);
  });
});
