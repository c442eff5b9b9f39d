import * as fc from 'fast-check';
import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import {
  afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import * as Routing from '../../index.js';
import * as RequestLimits from '../../RequestLimits.js';

const createOutcomes = (
  server: string,
  extra: Partial<Routing.ServerOutcomes> = {},
): Routing.ServerOutcomes => ({
  failures: 0, requests: 0, server, ...extra,
});

describe('sums of request outcomes', () => {
  test('do not depend on the order and grouping of the added outcomes', () => {
    const outcome = fc.record({
      failures: fc.nat(3), successes: fc.nat(5), server: fc.constantFrom('a', 'b', 'c'),
    }).map(({ failures, successes, server }) => createOutcomes(server, {
      failures, requests: failures + successes,
    }));
    fc.assert(fc.property(fc.array(outcome, { maxLength: 20 }), fc.nat(20), (list, splitAt) => {
      const sum = (parts: readonly (readonly Routing.ServerOutcomes[])[]): unknown => {
        const sums = Routing.createOutcomeSums();
        parts.forEach((part) => sums.add(part, 0));
        return [...sums.list(0)].sort((a, b) => (a.server < b.server ? -1 : 1));
      };
      expect(sum([list])).toEqual(sum([list.slice(splitAt), list.slice(0, splitAt).reverse()]));
    }));
  });

  test('decay with age and are dropped in the end', () => {
    const sums = Routing.createOutcomeSums();
    sums.add([createOutcomes('a', { failures: 2, requests: 4 })], 0);
    const [decayed] = sums.list(6_000);
    expect(decayed).toMatchObject({ failures: 1, requests: 2 });
    expect(sums.list(120_000)).toEqual([]);
  });

  test.each([
    ['more failures than requests', { failures: 2, requests: 1 }],
    ['a negative count', { failures: -1, requests: 1 }],
    ['a request count that is not a number', { requests: NaN }],
    ['an infinite number of requests', { requests: Infinity }],
    ['an absurd number of requests', { requests: 1e9 }],
  ])('ignore %s', (_, extra) => {
    const sums = Routing.createOutcomeSums();
    sums.add([createOutcomes('a', extra)], 0);
    expect(sums.list(0)).toEqual([]);
    const view = Routing.createFleetView();
    view.set([createOutcomes('a', extra)], 0);
    expect(view.list(0)).toEqual([]);
  });

  test('and buffers have a bounded number of servers', () => {
    const buffer = Routing.createOutcomeBuffer();
    const sums = Routing.createOutcomeSums();
    Array.from({ length: 2_000 }, (_, index) => {
      buffer.add(createOutcomes(`s${index}`, { requests: 1 }));
      return sums.add([createOutcomes(`s${index}`, { requests: 1 })], 0);
    });
    expect(buffer.take()).toHaveLength(512);
    expect(sums.list(0)).toHaveLength(512);
  });
});

test('a fleet view is discarded five seconds after it was received', () => {
  const view = Routing.createFleetView();
  view.set([createOutcomes('a', { failures: 5, requests: 5 })], 0);
  expect(view.get('a', 4_999).failures).toBeGreaterThan(2);
  expect(view.get('a', 5_000)).toEqual(createOutcomes('a'));
});

/** Load pattern: each of many daemons sends about one request in 15 s to each server. */
describe('exchange of outcomes in a large fleet', () => {
  const DAEMONS = 192;
  const RELAYS = 12;
  const ROOT_RELAYS = 2;
  const SERVERS = 6;
  const REQUESTS_PER_S = 0.4;

  interface Fleet {
    readonly daemons: readonly Routing.OutcomeExchange[];
    readonly broken: Set<string>;
    /** Sends requests for some seconds; server 0 fails half of its requests. */
    readonly run: (seconds: number) => Promise<void>;
    readonly listShares: (server: number) => readonly number[];
    readonly limits: readonly RequestLimits.RequestLimits[];
  }

  const chooseUpstream = (index: number): string | undefined => {
    if (index < ROOT_RELAYS) return undefined;
    return index < RELAYS ? `d${index % ROOT_RELAYS}` : `d${index % RELAYS}`;
  };
  const startFleet = (): Fleet => {
    const daemons: Routing.OutcomeExchange[] = [];
    const limits = Array.from({ length: DAEMONS }, () => RequestLimits.createRequestLimits({
      getShare: () => 0.7 / DAEMONS, random: Math.random,
    }));
    const broken = new Set<string>();
    Array.from({ length: DAEMONS }, (_, index) => daemons.push(Routing.startOutcomeExchange({
      choice: {
        choosePeer: () => (index < ROOT_RELAYS ? `d${1 - index}` : undefined),
        chooseUpstream: () => chooseUpstream(index),
        isRelay: () => index < RELAYS,
        isRoot: () => index < ROOT_RELAYS,
      },
      client: {
        exchangeObservations: (address, observations) => Effect.suspend(() => {
          const relay = daemons[Number(address.slice(1))];
          return broken.has(address) || relay === undefined
            ? Effect.fail(new Routing.RelayUnavailable({ detail: 'away' }))
            : Effect.succeed(relay.receiveObservations(observations));
        }),
      },
      clock: Core.systemClock,
      gauges: Routing.createLoadGauges(`d${index}`),
      hasEngines: () => false,
      limits: limits[index] as RequestLimits.RequestLimits,
      logger: Core.createLogger('silent', {}),
      random: () => 0,
    })));
    let sent = 0;
    const run = async (seconds: number): Promise<void> => {
      if (seconds <= 0) return;
      Array.from({ length: Math.round(DAEMONS * REQUESTS_PER_S * 0.1) }, () => {
        sent += 1;
        const server = sent % SERVERS;
        const isFailure = server === 0 && Math.floor(sent / SERVERS) % 2 === 0;
        const daemon = daemons[Core.hashText(`request ${sent}`) % DAEMONS];
        return daemon?.observe(createOutcomes(`s${server}`, {
          failures: isFailure ? 1 : 0, requests: 1,
        }));
      });
      await vi.advanceTimersByTimeAsync(100);
      await run(seconds - 0.1);
    };
    return {
      broken,
      daemons,
      limits,
      listShares: (server) => daemons.map((daemon) => Routing.estimateFailureRate(
        Routing.INITIAL_FAILURE_RATE,
        performance.now(),
        daemon.getOutcomes(`s${server}`),
      )),
      run,
    };
  };
  let fleet: Fleet;
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['Date', 'clearTimeout', 'performance', 'setTimeout'] });
    fleet = startFleet();
  });
  afterEach(() => {
    fleet.daemons.forEach(({ stop }) => stop());
    vi.useRealTimers();
  });

  test('all daemons detect a server that fails half of its requests within 3 s', async () => {
    await fleet.run(3);
    expect(Math.min(...fleet.listShares(0))).toBeGreaterThan(0.2);
    expect(Math.max(...fleet.listShares(1))).toBeLessThan(0.05);
  });

  test('the loss of a relay affects only its readers, which discard their view', async () => {
    await fleet.run(3);
    fleet.broken.add('d5');
    await fleet.run(6);
    const shares = fleet.listShares(0);
    const otherReaderShares = shares.filter((_, index) => index % RELAYS !== 5 || index < RELAYS);
    expect(Math.min(...otherReaderShares)).toBeGreaterThan(0.2);
    expect(shares[5 + RELAYS]).toBeLessThan(0.05);
  });

  test('false outcomes from a faulty relay are discarded 5 s after they stop', async () => {
    const [, , , , faultyRelay] = fleet.daemons;
    const falseOutcomes = createOutcomes('s1', { failures: 1_000, requests: 1_000 });
    vi.spyOn(faultyRelay as Routing.OutcomeExchange, 'receiveObservations')
      .mockReturnValue({ limits: [], outcomes: [falseOutcomes] });
    await fleet.run(1);
    expect(fleet.listShares(1)[4 + RELAYS]).toBeGreaterThan(0.9);
    fleet.broken.add('d4');
    await fleet.run(5);
    expect(fleet.listShares(1)[4 + RELAYS]).toBeLessThan(0.05);
  });

  const limitedServer = { bornMs: 1, id: 'i-1' };
  const announce = (index: number, notice: RequestLimits.LimitNotice): void => {
    const nowMs = performance.now();
    fleet.limits[index]?.observeResponse(limitedServer, notice, nowMs - 1, nowMs);
  };
  const countLimited = (): number => fleet.limits.filter((each) => (
    each.getLimit(limitedServer, performance.now()) !== undefined
  )).length;

  // Guards against daemons that find out about a limit, or about its end, only from a response of
  // their own: at one request a second for 192 daemons, the next one comes after minutes.
  test('all daemons learn of a request limit and of its end within 3 s', async () => {
    announce(100, { _tag: 'Limited', requestsPerS: 1 });
    await fleet.run(3);
    expect(countLimited()).toBe(DAEMONS);
    fleet.limits.forEach((_, index) => announce(index, { _tag: 'Limited', requestsPerS: 1 }));
    await fleet.run(1);
    announce(50, { _tag: 'Unlimited' });
    await fleet.run(3);
    expect(countLimited()).toBe(0);
  });

  test('false request limits from a faulty relay expire 6 s after they stop', async () => {
    const [, , , , faultyRelay] = fleet.daemons;
    vi.spyOn(faultyRelay as Routing.OutcomeExchange, 'receiveObservations')
      .mockReturnValue({ limits: [{ ageMs: 0, requestsPerS: 0, server: 'i-1@1' }], outcomes: [] });
    await fleet.run(2);
    expect(countLimited()).toBeGreaterThan(0);
    fleet.broken.add('d4');
    await fleet.run(RequestLimits.MAX_LIMIT_REPORT_AGE_MS / 1_000 + 0.1);
    expect(countLimited()).toBe(0);
  });
});
