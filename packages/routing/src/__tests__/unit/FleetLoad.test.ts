import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import {
  afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import * as Routing from '../../index.js';
import * as RequestLimits from '../../RequestLimits.js';

const ROOTS = 2;
const RELAYS = 6;
const DAEMONS = 30;

interface Member {
  readonly exchange: Routing.OutcomeExchange;
  readonly gauges: Routing.LoadGauges;
  readonly load: Routing.FleetLoad;
}

/** Fate of a message: delivered, lost, or delivered while its answer is lost. */
type Fate = 'answer lost' | 'delivered' | 'lost';

/** Load pattern: daemons with a few long requests each at shared engines, below two root relays. */
describe('load of a fleet below two root relays', () => {
  let members: readonly Member[];
  let chooseFate: (from: number, to: number, message: number) => Fate;
  const frozen = new Set<number>();
  /** Daemons of the previous version, which neither send nor understand reports of load. */
  const previous = new Set<number>();

  const chooseUpstream = (index: number): number | undefined => {
    if (index < ROOTS) return undefined;
    return index < RELAYS ? index % ROOTS : index % RELAYS;
  };
  const removeNewFields = (
    index: number,
    { load, ...others }: Routing.FleetObservations,
  ): Routing.FleetObservations => {
    if (previous.has(index)) {
      return {
        ...others,
        outcomes: others.outcomes.map(({ failures, requests, server }) => (
          { failures, requests, server }
        )),
      };
    }
    return { ...others, load };
  };
  let messages = 0;
  const startMember = (index: number): Member => {
    const gauges = Routing.createLoadGauges(`d${index}`);
    const clock = Core.systemClock;
    const upstream = chooseUpstream(index);
    const exchange = Routing.startOutcomeExchange({
      choice: {
        choosePeer: () => (index < ROOTS ? `d${1 - index}` : undefined),
        chooseUpstream: () => (upstream === undefined ? undefined : `d${upstream}`),
        isRelay: () => index < RELAYS,
        isRoot: () => index < ROOTS,
      },
      client: {
        exchangeObservations: (address, observations) => Effect.suspend(() => {
          const to = Number(address.slice(1));
          messages += 1;
          const fate = frozen.has(index) || frozen.has(to)
            ? 'lost'
            : chooseFate(index, to, messages);
          const lost = Effect.fail(new Routing.RelayUnavailable({ detail: fate }));
          if (fate === 'lost') return lost;
          const received = removeNewFields(to, removeNewFields(index, observations));
          const answer = (members[to] as Member).exchange.receiveObservations(received);
          return fate === 'answer lost'
            ? lost
            : Effect.succeed(removeNewFields(index, removeNewFields(to, answer)));
        }),
      },
      clock,
      gauges,
      hasEngines: () => !previous.has(index),
      limits: RequestLimits.createRequestLimits({ getShare: () => 1, random: () => 0 }),
      logger: Core.createLogger('silent', {}),
      random: () => 0,
    });
    return {
      exchange, gauges, load: Routing.createFleetLoad({ clock, gauges, outcomes: exchange }),
    };
  };
  const run = (ms: number): Promise<unknown> => vi.advanceTimersByTimeAsync(ms);
  const send = (index: number, requests = 1): void => members[index]?.load.addOwn('a', {
    heldTokens: 1_000 * requests, pendingPromptTokens: 100 * requests, requests,
  });
  const listCounts = (): readonly number[] => members.map(({ load }) => (
    load.getServerLoad('a', performance.now()).requests
  ));
  const listFresh = (): readonly boolean[] => members.map(({ load }) => (
    load.isFresh(performance.now())
  ));
  const repeat = async (times: number, step: () => Promise<void>): Promise<void> => {
    if (times === 0) return;
    await step();
    await repeat(times - 1, step);
  };

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['Date', 'clearTimeout', 'performance', 'setTimeout'] });
    frozen.clear();
    previous.clear();
    messages = 0;
    chooseFate = () => 'delivered';
    members = Array.from({ length: DAEMONS }, (_, index) => startMember(index));
  });
  afterEach(() => {
    members.forEach(({ exchange }) => exchange.stop());
    vi.useRealTimers();
  });

  test('every daemon knows the load by all of them within 2 s of a change', async () => {
    await run(3_000);
    expect(listFresh()).toEqual(members.map(() => true));
    members.forEach((_, index) => send(index));
    expect(new Set(listCounts())).toEqual(new Set([1]));
    await run(2_000);
    expect(new Set(listCounts())).toEqual(new Set([DAEMONS]));
    expect(members[20]?.load.getServerLoad('a', performance.now())).toMatchObject({
      heldTokens: 1_000 * DAEMONS, pendingPromptTokens: 100 * DAEMONS,
    });
    send(20, 2);
    expect(listCounts()[20]).toBe(DAEMONS + 2);
    members.forEach((_, index) => send(index, index === 20 ? -3 : -1));
    await run(2_000);
    expect(new Set(listCounts())).toEqual(new Set([0]));
  });

  // Guards against counting load twice: the load stays the same, so no sum may exceed it.
  test('lost messages and answers make sums older but never larger', async () => {
    const fates = ['answer lost', 'delivered', 'lost', 'delivered'] as const;
    chooseFate = (from, to, message) => (
      fates[Core.hashText(`${from} ${to} ${message}`) % fates.length] as Fate
    );
    members.forEach((_, index) => send(index));
    await run(5_000);
    const complete: number[] = [];
    await repeat(60, async () => {
      await run(250);
      expect(Math.max(...listCounts())).toBeLessThanOrEqual(DAEMONS);
      complete.push(listCounts().filter((count) => count >= DAEMONS / 2).length);
    });
    // A view that got old is replaced by the daemon's own load until a message arrives.
    expect(Math.min(...complete)).toBeGreaterThan(0);
    chooseFate = () => 'delivered';
    await run(3_000);
    expect(new Set(listCounts())).toEqual(new Set([DAEMONS]));
  });

  test('the load by a frozen daemon expires everywhere, and it recovers afterwards', async () => {
    members.forEach((_, index) => send(index));
    await run(5_000);
    frozen.add(20);
    await run(2_000);
    expect(Math.max(...listCounts())).toBe(DAEMONS);
    await run(2_500);
    const others = listCounts().filter((_, index) => index !== 20);
    expect(new Set(others)).toEqual(new Set([DAEMONS - 1]));
    expect(listFresh().indexOf(false)).toBe(20);
    expect(listCounts()[20]).toBe(1);
    frozen.clear();
    await run(2_000);
    expect(new Set(listCounts())).toEqual(new Set([DAEMONS]));
  });

  test('readers of lost relays know only their own load and are not fresh', async () => {
    members.forEach((_, index) => send(index));
    await run(5_000);
    [2, 4].forEach((index) => frozen.add(index));
    await run(5_000);
    const lost = members.map((_, index) => frozen.has(index) || [2, 4].includes(index % RELAYS));
    expect(listFresh()).toEqual(lost.map((isLost) => !isLost));
    const known = lost.filter((isLost) => !isLost).length;
    listCounts().forEach((count, index) => {
      if (index >= RELAYS || !lost[index]) expect(count).toBe(lost[index] ? 1 : known);
    });
  });

  test('daemons below one root relay stay fresh after the loss of the other one', async () => {
    members.forEach((_, index) => send(index));
    await run(5_000);
    frozen.add(1);
    await run(5_000);
    const isBelowFirst = (index: number): boolean => (index % RELAYS) % ROOTS === 0;
    listFresh().forEach((isFresh, index) => expect(isFresh).toBe(isBelowFirst(index)));
  });

  // Guards a rolling update, during which both versions exchange messages.
  test('a reader of the previous version is not counted, and gets an answer', async () => {
    previous.add(20);
    members.forEach((_, index) => send(index));
    await run(4_000);
    const others = listCounts().filter((_, index) => index !== 20);
    expect(new Set(others)).toEqual(new Set([DAEMONS - 1]));
    expect(listFresh().indexOf(false)).toBe(20);
    members[4]?.exchange.observe({ failures: 5, requests: 10, server: 'a' });
    await run(4_000);
    expect(members[20]?.exchange.getOutcomes('a').requests).toBeGreaterThan(3);
  });

  test('readers of a relay of the previous version know only their own load', async () => {
    previous.add(4);
    members.forEach((_, index) => send(index));
    await run(4_000);
    const isBelow = (index: number): boolean => index % RELAYS === 4;
    const known = members.filter((_, index) => !isBelow(index)).length;
    listFresh().forEach((isFresh, index) => expect(isFresh).toBe(!isBelow(index)));
    listCounts().forEach((count, index) => expect(count).toBe(isBelow(index) ? 1 : known));
  });

  // Guards against a false or damaged relay whose load would close all servers.
  test('nonsense from a relay is dropped', async () => {
    members.forEach((_, index) => send(index));
    await run(4_000);
    vi.spyOn((members[4] as Member).exchange, 'receiveObservations').mockReturnValue({
      limits: [],
      load: {
        ageMs: 0,
        daemonId: 'd4',
        demands: [{ account: 'shop', promptTokens: Infinity }],
        scope: 'relay',
        servers: [{
          heldTokens: 1e12, pendingPromptTokens: NaN, requests: -5, server: 'a',
        }],
      },
      outcomes: [{
        expectedMs: NaN, failures: 0, observedMs: 1, requests: 1, server: 'a',
      }],
    });
    await run(2_000);
    const reader = members[4 + RELAYS] as Member;
    expect(reader.load.getServerLoad('a', performance.now()).requests).toBe(1);
    expect(reader.load.getSlowdown('a', performance.now())).toBe(1);
    expect(reader.load.getAccountShare('shop', performance.now())).toEqual({
      accounts: 0, share: 0,
    });
    expect(reader.gauges.countInvalid()).toBeGreaterThan(0);
  });

  // Load pattern: engines of unequal speed, of which each daemon sees few requests.
  test('all daemons learn the slowdown of a server and its refusals', async () => {
    members.forEach(({ load }) => {
      load.observeFirstToken('a', 100, 250);
      load.observeFirstToken('b', 100, 60);
      load.observeRefusal('a');
    });
    members[7]?.load.observeFirstToken('c', 100, 900);
    await run(2_500);
    members.forEach(({ load }) => {
      expect(load.getSlowdown('a', performance.now())).toBeCloseTo(2.5, 6);
      expect(load.getSlowdown('b', performance.now())).toBeCloseTo(0.6, 6);
      // One request says too little.
      expect(load.getSlowdown('c', performance.now())).toBe(1);
      expect(load.getRefusals('a')).toBeGreaterThan(5);
    });
  });

  test('all daemons know the share of an account', async () => {
    members.forEach(({ load }, index) => load.addDemand(index < 20 ? 'large' : 'small', 5_000));
    members[3]?.load.addDemand('third', 0);
    await run(4_000);
    members.forEach(({ load }) => {
      const { accounts, share } = load.getAccountShare('large', performance.now());
      expect(accounts).toBe(2);
      expect(share).toBeCloseTo(2 / 3, 2);
      expect(load.getAccountShare('none', performance.now()).share).toBe(0);
    });
    await run(60_000);
    expect(members[9]?.load.getAccountShare('large', performance.now()))
      .toEqual({ accounts: 0, share: 0 });
  });

  // Only ages by the monotonic clock are used.
  test('a jump of the wall clock changes nothing', async () => {
    members.forEach((_, index) => send(index));
    await run(4_000);
    vi.spyOn(Date, 'now').mockReturnValue(Date.now() + 3_600_000);
    await run(1_000);
    expect(new Set(listCounts())).toEqual(new Set([DAEMONS]));
    expect(listFresh()).toEqual(members.map(() => true));
  });
});
