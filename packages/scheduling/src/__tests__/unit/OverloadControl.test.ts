import * as FastCheck from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as Scheduling from '../../index.js';
import { checkProperty } from './checkProperty.js';

const SMALL: Scheduling.RouteTerms = { priority: 0, targetMs: 411 };
const MIDDLE: Scheduling.RouteTerms = { priority: 1, targetMs: 619 };
const LARGE: Scheduling.RouteTerms = { priority: 2, targetMs: 2_027 };
const ROUTES = [LARGE, MIDDLE, SMALL];
const IDLE: Scheduling.FirstTokenPrediction = {
  hasRoom: true, nominalMs: 150, ownMs: 150, roomWaitMs: 0, waitMs: 0,
};

interface Trial {
  readonly terms: Scheduling.RouteTerms;
  readonly waitMs: number;
  readonly nowMs?: number;
  readonly decidedMs?: number;
  readonly deadlineMs?: number;
  readonly hasRoom?: boolean;
  readonly ownMs?: number;
  readonly account?: Scheduling.OverloadSituation['account'];
}

function createControl(floorShare = 0): Scheduling.OverloadControl {
  return Scheduling.createOverloadControl(floorShare, () => 0);
}

function decide(control: Scheduling.OverloadControl, {
  account = { accounts: 1, share: 1 }, deadlineMs = 8_000, decidedMs = 0, hasRoom = true,
  nowMs = 0, ownMs = IDLE.ownMs, terms, waitMs,
}: Trial): Scheduling.OverloadDecision {
  return control.decide(
    {
      deadlineMs, decidedMs, kind: `priority ${terms.priority}`, terms,
    },
    {
      account,
      routes: ROUTES,
    },
    {
      hasRoom, nominalMs: ownMs + waitMs, ownMs, roomWaitMs: hasRoom ? 0 : 400, waitMs,
    },
    nowMs,
  );
}

describe('admission to the engines of a service', () => {
  test('without load every kind is sent at once', () => {
    const control = createControl();
    const reasons = ROUTES.map((terms) => decide(control, { terms, waitMs: 4 }));
    expect(reasons).toMatchObject([
      { _tag: 'Send', reason: 'allowed' },
      { _tag: 'Send', reason: 'allowed' },
      { _tag: 'Send', reason: 'most-urgent' },
    ]);
  });

  test('capacity halves in a burst of large prompts: they wait, small ones are sent', () => {
    const control = createControl();
    const decisions = ROUTES.map((terms) => decide(control, { terms, waitMs: 600 })._tag);
    expect(decisions).toEqual(['Wait', 'Wait', 'Send']);
  });

  test('a burst that lasts: a large prompt waits an eighth of its target, then is refused', () => {
    const control = createControl();
    expect(decide(control, { terms: LARGE, waitMs: 600 })).toMatchObject({
      _tag: 'Wait', untilMs: 2_027 / 8,
    });
    expect(decide(control, { nowMs: 253, terms: LARGE, waitMs: 600 })._tag).toBe('Wait');
    expect(decide(control, { nowMs: 254, terms: LARGE, waitMs: 900 })).toMatchObject({
      _tag: 'Refuse', reason: 'overloaded', retryAfterMs: 900 - 411 * 0.8,
    });
  });

  test('a queue that shrinks meanwhile: the waiting request is sent', () => {
    const control = createControl();
    expect(decide(control, { terms: LARGE, waitMs: 600 })._tag).toBe('Wait');
    expect(decide(control, { nowMs: 100, terms: LARGE, waitMs: 200 })._tag).toBe('Send');
  });

  test('a caller would be gone before the answer: refused at once, also an urgent one', () => {
    const control = createControl();
    ROUTES.forEach((terms) => expect(decide(control, {
      deadlineMs: 700, terms, waitMs: 600,
    })).toMatchObject({ _tag: 'Refuse', reason: 'infeasible' }));
    expect(decide(control, { deadlineMs: 760, terms: SMALL, waitMs: 600 })._tag).toBe('Send');
  });

  test('no server has room: also the most urgent requests wait and are then refused', () => {
    const control = createControl(1);
    expect(decide(control, { hasRoom: false, terms: SMALL, waitMs: 0 })._tag).toBe('Wait');
    expect(decide(control, {
      hasRoom: false, nowMs: 52, terms: SMALL, waitMs: 0,
    })).toMatchObject({ _tag: 'Refuse', reason: 'overloaded', retryAfterMs: 400 });
  });

  test('an overload that lasts starves no kind: one in five is sent by the floor', () => {
    const control = createControl(0.2);
    const tags = Array.from({ length: 100 }, () => decide(control, {
      nowMs: 300, terms: LARGE, waitMs: 3_000,
    })._tag);
    expect(tags.filter((tag) => tag === 'Send')).toHaveLength(20);
  });

  test('many daemons with few requests each: their floors together are one in five', () => {
    let seed = 0;
    const tags = Array.from({ length: 500 }, () => {
      seed = (seed + 0.618) % 1;
      const control = Scheduling.createOverloadControl(0.2, () => seed);
      return decide(control, { nowMs: 300, terms: LARGE, waitMs: 3_000 })._tag;
    });
    const sent = tags.filter((tag) => tag === 'Send').length;
    expect(sent).toBeGreaterThan(80);
    expect(sent).toBeLessThan(120);
  });

  test('the floor saves no requests up while no server has room', () => {
    const control = createControl(0.2);
    Array.from({ length: 100 }, () => decide(control, {
      hasRoom: false, nowMs: 300, terms: LARGE, waitMs: 3_000,
    }));
    const tags = Array.from({ length: 10 }, () => decide(control, {
      nowMs: 300, terms: LARGE, waitMs: 3_000,
    })._tag);
    expect(tags.filter((tag) => tag === 'Send').length).toBeLessThanOrEqual(3);
  });

  test('one account sends ten times its usual: its allowance halves while others wait', () => {
    const control = createControl();
    const greedy = { accounts: 4, share: 0.7 };
    const fair = { accounts: 4, share: 0.1 };
    const waitMs = 250;
    expect(decide(control, { account: greedy, terms: LARGE, waitMs })._tag).toBe('Send');
    expect(decide(control, { account: fair, terms: LARGE, waitMs: 600 })._tag).toBe('Wait');
    expect(decide(control, { account: greedy, terms: LARGE, waitMs })._tag).toBe('Wait');
    expect(decide(control, { account: fair, terms: LARGE, waitMs })._tag).toBe('Send');
    // Nothing has waited for a while.
    expect(decide(control, {
      account: greedy, decidedMs: 2_000, nowMs: 2_000, terms: LARGE, waitMs,
    })._tag).toBe('Send');
  });

  test('predictions off by a factor of two: the floor goes on and retry times stay bounded', () => {
    const control = createControl(0.2);
    const decisions = Array.from({ length: 10 }, (_, index) => decide(control, {
      deadlineMs: 1e6, nowMs: 300, terms: LARGE, waitMs: 20_000 * (1 + (index % 2)),
    }));
    expect(decisions.some(({ _tag }) => _tag === 'Send')).toBe(true);
    decisions.forEach((decision) => {
      if (decision._tag === 'Refuse') expect(decision.retryAfterMs).toBeLessThanOrEqual(10_000);
    });
  });
});

const situations = FastCheck.record({
  hasRoom: FastCheck.boolean(),
  nowMs: FastCheck.nat(2_000),
  ownMs: FastCheck.nat(3_000),
  priorities: FastCheck.tuple(FastCheck.nat(3), FastCheck.nat(3)),
  routes: FastCheck.array(FastCheck.record({
    priority: FastCheck.nat(3), targetMs: FastCheck.integer({ max: 3_000, min: 1 }),
  }), { maxLength: 5, minLength: 1 }),
  targets: FastCheck.tuple(FastCheck.nat(), FastCheck.nat()),
  waitMs: FastCheck.nat(3_000),
});

type Allowance = typeof Scheduling.computeAllowance;

checkProperty<Allowance>('allowances of two priorities', {
  build: (implementation) => FastCheck.property(situations, ({
    ownMs, priorities, routes, targets,
  }) => {
    const [urgent, other] = [...priorities].sort((a, b) => a - b) as [number, number];
    const pick = (index: number): Scheduling.RouteTerms => (
      routes[index % routes.length] as Scheduling.RouteTerms
    );
    const allowances = [urgent, other].map((priority, index) => implementation(
      { priority, targetMs: pick(targets[index] as number).targetMs },
      routes,
      ownMs,
    )) as [number, number];
    return urgent === other || allowances[0] >= allowances[1];
  }),
  guardsAgainst: 'a more urgent request refused where a less urgent one of the same size is sent',
  implementation: Scheduling.computeAllowance,
  mutants: {
    'only the own target counts': ({ targetMs }, _routes, ownMs) => targetMs - ownMs,
    'a less urgent target may allow for more': ({ priority, targetMs }, routes, ownMs) => {
      const moreUrgent = routes.filter((route) => route.priority < priority);
      return moreUrgent.length === 0 ? Infinity : Math.max(0, Math.min(
        targetMs - ownMs,
        ...moreUrgent.map((route) => route.targetMs),
      ));
    },
  },
});

checkProperty<typeof Scheduling.createOverloadControl>('decisions', {
  build: (create) => FastCheck.property(
    FastCheck.array(situations, { maxLength: 30 }),
    FastCheck.double({ max: 1, min: 0, noNaN: true }),
    (steps, floorShare) => {
      const control = create(floorShare, () => 0.5);
      return steps.every(({
        hasRoom, nowMs, ownMs, priorities, routes, waitMs,
      }) => {
        const [{ targetMs }] = routes as [Scheduling.RouteTerms];
        const decision = control.decide(
          {
            deadlineMs: 2_500,
            decidedMs: 0,
            kind: 'k',
            terms: { priority: priorities[0], targetMs },
          },
          {
            account: { accounts: 2, share: 0.5 },
            routes,
          },
          {
            hasRoom, nominalMs: ownMs + waitMs, ownMs, roomWaitMs: waitMs, waitMs,
          },
          nowMs,
        );
        switch (decision._tag) {
          case 'Send':
            return hasRoom && nowMs + ownMs + waitMs < 2_500;
          case 'Wait':
            return decision.untilMs > nowMs && decision.untilMs <= Math.min(2_500, targetMs / 8);
          default:
            return decision.retryAfterMs >= 250 && decision.retryAfterMs <= 10_000;
        }
      });
    },
  ),
  guardsAgainst: 'a request sent for nothing or to a full engine, a wait too long, a retry time '
    + 'out of bounds',
  implementation: Scheduling.createOverloadControl,
  mutants: {
    'everything is sent': () => ({
      isAllowed: () => true,
      decide: () => ({ _tag: 'Send', allowanceMs: 0, reason: 'allowed' }),
    }),
    'waits end late': (floorShare, random) => {
      const control = Scheduling.createOverloadControl(floorShare, random);
      return {
        ...control,
        decide: (...values) => {
          const decision = control.decide(...values);
          return decision._tag === 'Wait'
            ? { ...decision, untilMs: decision.untilMs + 1 }
            : decision;
        },
      };
    },
    'retry times are not bounded': (floorShare, random) => {
      const control = Scheduling.createOverloadControl(floorShare, random);
      return {
        ...control,
        decide: (...values) => {
          const decision = control.decide(...values);
          return decision._tag === 'Refuse' ? { ...decision, retryAfterMs: 1 } : decision;
        },
      };
    },
  },
});

type WaitingFactory = typeof Scheduling.createWaitingRequests;

const waitingSteps = FastCheck.array(FastCheck.record({
  deadlineMs: FastCheck.nat(50), isRemoval: FastCheck.boolean(), priority: FastCheck.nat(3),
}), { maxLength: 400, minLength: 100 });

checkProperty<WaitingFactory>('waiting requests', {
  build: (create) => FastCheck.property(waitingSteps, FastCheck.integer({ max: 20, min: 1 }), (
    steps,
    maxWaiting,
  ) => {
    const waiting = create(maxWaiting);
    const isOrdered = steps.every(({ deadlineMs, isRemoval, priority }) => {
      const before = waiting.list();
      const first = before[0];
      if (isRemoval && first !== undefined) return waiting.remove(first);
      const evicted = waiting.add({ deadlineMs, priority });
      const after = waiting.list();
      return after.length <= maxWaiting
        && (evicted === undefined) === (before.length < maxWaiting)
        && after.every((each, index) => (
          index === 0 || Scheduling.compareWaiting(after[index - 1] as typeof each, each) <= 0
        ))
        && (evicted === undefined || after.every((each) => (
          Scheduling.compareWaiting(each, evicted) <= 0
        )));
    });
    waiting.list().forEach((each) => waiting.remove(each));
    return isOrdered && waiting.list().length === 0;
  }),
  guardsAgainst: 'an unbounded set, a wrong order, an urgent request that gives way, and requests '
    + 'that stay',
  implementation: Scheduling.createWaitingRequests,
  mutants: {
    'the newcomer always has to leave': <T extends Scheduling.WaitingOrder>(
      maxWaiting: number,
    ) => {
      const waiting = Scheduling.createWaitingRequests<T>(maxWaiting);
      return {
        ...waiting,
        add: (request: T) => (
          waiting.list().length >= maxWaiting ? request : waiting.add(request)
        ),
      };
    },
    'the set is not bounded': () => Scheduling.createWaitingRequests(Infinity),
  },
});

describe('waiting requests', () => {
  test('callers return after refusals: they go before newcomers of their kind', () => {
    const waiting = Scheduling.createWaitingRequests(256);
    const newcomer = { deadlineMs: 8_100, priority: 2 };
    const returning = { deadlineMs: 5_700, priority: 2 };
    const urgent = { deadlineMs: 9_000, priority: 1 };
    [newcomer, returning, urgent].forEach((request) => waiting.add(request));
    expect(waiting.list()).toEqual([urgent, returning, newcomer]);
  });

  test('a burst of requests: at most 256 wait, the least urgent ones with most time leave', () => {
    const waiting = Scheduling.createWaitingRequests(256);
    const evicted = Array.from({ length: 300 }, (_, index) => (
      waiting.add({ deadlineMs: index, priority: index % 3 })
    )).filter((request) => request !== undefined);
    expect(waiting.list()).toHaveLength(256);
    expect(new Set(evicted.map(({ priority }) => priority))).toEqual(new Set([2]));
  });
});
