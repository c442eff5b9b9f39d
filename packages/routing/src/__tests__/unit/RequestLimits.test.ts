import * as Core from '@berylyoke/core';
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as RequestLimits from '../../RequestLimits.js';

const WINDOW_MS = 4_000;
const IDLE_MS = 30_000;
const DURATION_MS = 300_000;
/** Interval at which each daemon has a request that it would send to the server. */
const DEMAND_INTERVAL_MS = 500;

const incarnation = { bornMs: 5, id: 'i-1' };
const createNotice = (requestsPerS: number): RequestLimits.LimitNotice => (
  { _tag: 'Limited', requestsPerS }
);
const UNLIMITED: RequestLimits.LimitNotice = { _tag: 'Unlimited' };

function createLimits(
  extra: Partial<RequestLimits.RequestLimitsOptions> = {},
): RequestLimits.RequestLimits {
  return RequestLimits.createRequestLimits({ getShare: () => 1, random: () => 0, ...extra });
}

describe('announced request limits', () => {
  test('a limit lasts until a response to a later request states none', () => {
    const limits = createLimits();
    expect(limits.observeResponse(incarnation, createNotice(2), 10, 20))
      .toEqual({ previousPerS: undefined, requestsPerS: 2, server: 'i-1@5' });
    expect(limits.observeResponse(incarnation, createNotice(2), 15, 30)).toBeUndefined();
    expect(limits.observeResponse(incarnation, createNotice(3), 15, 40))
      .toEqual({ previousPerS: 2, requestsPerS: 3, server: 'i-1@5' });
    expect(limits.getLimit(incarnation, 60)).toBe(3);
    expect(limits.observeResponse(incarnation, UNLIMITED, 50, 60))
      .toEqual({ previousPerS: 3, requestsPerS: undefined, server: 'i-1@5' });
    expect(limits.getLimit(incarnation, 60)).toBeUndefined();
  });

  // Guards against a response on a slow connection that removes a limit announced after it.
  test('a response to a request sent before the announcement does not remove the limit', () => {
    const limits = createLimits();
    limits.observeResponse(incarnation, createNotice(2), 10, 20);
    expect(limits.observeResponse(incarnation, UNLIMITED, 19, 30)).toBeUndefined();
    expect(limits.getLimit(incarnation, 60)).toBe(2);
  });

  test('a limit applies to one incarnation, and a malformed one changes nothing', () => {
    const limits = createLimits();
    limits.observeResponse(incarnation, createNotice(2), 10, 20);
    limits.observeResponse(incarnation, { _tag: 'Malformed', text: 'few' }, 30, 40);
    expect(limits.getLimit(incarnation, 60)).toBe(2);
    expect(limits.getLimit({ ...incarnation, bornMs: 6 }, 60)).toBeUndefined();
  });

  // Guards against unlimited growth of memory as servers are replaced over months.
  test('the oldest entries are evicted beyond the maximum', () => {
    const limits = createLimits({ maxEntries: 2 });
    ['a', 'b', 'c'].forEach((id) => (
      limits.observeResponse({ bornMs: 0, id }, createNotice(1), 0, 0)
    ));
    expect(['a', 'b', 'c'].map((id) => limits.getLimit({ bornMs: 0, id }, 60)))
      .toEqual([undefined, 1, 1]);
  });
});

/** Lists the times of all sends of a fleet to one server. */
function simulateFleet(daemonCount: number, requestsPerS: number): readonly number[] {
  const daemons = Array.from({ length: daemonCount }, (_, index) => createLimits({
    getShare: () => 0.7 / daemonCount,
    random: () => Core.hashText(`daemon ${index}`) / 2 ** 32,
  }));
  const sentMs: number[] = [];
  // All daemons learn of the limit at once, and none has demand for a while.
  daemons.forEach((limits) => limits.observeResponse(
    incarnation,
    createNotice(requestsPerS),
    0,
    1,
  ));
  Array.from(
    { length: DURATION_MS / DEMAND_INTERVAL_MS },
    (_, step) => IDLE_MS + step * DEMAND_INTERVAL_MS,
  ).forEach((nowMs) => daemons.forEach((limits) => {
    if (!limits.canSend(incarnation, nowMs)) return;
    limits.recordSend(incarnation, nowMs);
    sentMs.push(nowMs);
  }));
  return sentMs;
}

/** Counts the most sends within any window. */
function countBusiestWindow(sentMs: readonly number[]): number {
  let start = 0;
  let worst = 0;
  sentMs.forEach((atMs, index) => {
    while ((sentMs[start] as number) <= atMs - WINDOW_MS) start += 1;
    worst = Math.max(worst, index - start + 1);
  });
  return worst;
}

describe('a fleet that keeps to an announced limit', () => {
  // Guards against permits that are saved while there is no demand and are then used together by
  // all daemons, and against shares that are rounded up to whole requests.
  test.each([
    [1, 1], [8, 1], [8, 0.3], [8, 20], [195, 1], [195, 20], [2_600, 1], [2_600, 100],
  ])('%i daemons send at most 1.5 times the limit + 5 in 4 s, at %d a second', (
    daemonCount,
    requestsPerS,
  ) => {
    const sentMs = simulateFleet(daemonCount, requestsPerS);
    const worst = countBusiestWindow(sentMs);
    expect(worst).toBeLessThanOrEqual(1.5 * requestsPerS * (WINDOW_MS / 1_000) + 5);
    // Under steady demand the fleet uses at least half of the limit.
    expect(sentMs.length).toBeGreaterThan(0.5 * requestsPerS * (DURATION_MS / 1_000));
  });

  test('a daemon sends nothing right after an announcement or a send', () => {
    const limits = createLimits({ random: () => 0.5 });
    limits.observeResponse(incarnation, createNotice(2), 0, 1_000);
    expect(limits.canSend(incarnation, 1_000)).toBe(false);
    expect(limits.computeWait(incarnation, 1_000)).toBe(250);
    expect(limits.canSend(incarnation, 1_250)).toBe(true);
    limits.recordSend(incarnation, 1_250);
    expect(limits.canSend(incarnation, 1_250)).toBe(false);
  });

  // Guards against a server that can never announce the end of its limit.
  test('a limit of 0 still lets a request through every few seconds', () => {
    const limits = createLimits();
    limits.observeResponse(incarnation, createNotice(0), 0, 0);
    expect(limits.canSend(incarnation, 4_900)).toBe(false);
    expect(limits.canSend(incarnation, 5_001)).toBe(true);
  });

  test('the wait told to callers is at most the interval of the whole fleet', () => {
    const limits = createLimits({ getShare: () => 0.01 });
    limits.observeResponse(incarnation, createNotice(2), 0, 0);
    expect(limits.computeWait(incarnation, 0)).toBe(500);
    expect(limits.computeWait({ ...incarnation, bornMs: 6 }, 0)).toBe(0);
  });

  // Guards against a change of the rate that turns the time before it into permits.
  test('a raised limit grants no permits for the time before it', () => {
    const limits = createLimits();
    limits.observeResponse(incarnation, createNotice(1), 0, 0);
    limits.observeResponse(incarnation, createNotice(20), 400, 500);
    expect(limits.canSend(incarnation, 500)).toBe(false);
    expect(limits.canSend(incarnation, 526)).toBe(true);
  });

  test('changes of the limit and of the fleet grant no more permits than have accrued', () => {
    const step = fc.record({
      daemonCount: fc.integer({ max: 40, min: 1 }),
      hasDemand: fc.boolean(),
      requestsPerS: fc.integer({ max: 20, min: 1 }),
      stepMs: fc.nat(3_000),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      let share = 1;
      let rate = 1;
      const limits = createLimits({ getShare: () => share });
      let nowMs = 0;
      let sends = 0;
      let allowed = 1;
      limits.observeResponse(incarnation, createNotice(rate), 0, 0);
      steps.forEach(({
        daemonCount, hasDemand, requestsPerS, stepMs,
      }) => {
        nowMs += stepMs;
        allowed += (stepMs / 1_000) * rate * share;
        while (hasDemand && limits.canSend(incarnation, nowMs)) {
          limits.recordSend(incarnation, nowMs);
          sends += 1;
        }
        limits.observeResponse(incarnation, createNotice(requestsPerS), nowMs, nowMs);
        rate = requestsPerS;
        share = 1 / daemonCount;
      });
      expect(sends).toBeLessThanOrEqual(allowed);
    }));
  });
});

describe('reports of other daemons', () => {
  const report = { ageMs: 100, requestsPerS: 2, server: 'i-1@5' };
  const end = { ageMs: 100, server: 'i-1@5' };

  test('a limit that another daemon saw applies at once and expires without renewal', () => {
    const limits = createLimits();
    const change = { previousPerS: undefined, requestsPerS: 2, server: 'i-1@5' };
    expect(limits.applyReports([report], 1_000)).toEqual([change]);
    expect(limits.canSend(incarnation, 1_000)).toBe(false);
    expect(limits.applyReports([report], 2_000)).toEqual([]);
    expect(limits.getLimit(incarnation, 7_800)).toBe(2);
    expect(limits.getLimit(incarnation, 8_000)).toBeUndefined();
  });

  test('a limit announced to this daemon does not expire, and only a later end removes it', () => {
    const limits = createLimits();
    limits.observeResponse(incarnation, createNotice(1), 900, 1_000);
    expect(limits.applyReports([{ ...end, ageMs: 450 }], 1_500)).toEqual([]);
    expect(limits.getLimit(incarnation, 1e6)).toBe(1);
    limits.applyReports([end], 2_000);
    expect(limits.getLimit(incarnation, 2_000)).toBeUndefined();
    expect(limits.listReports(2_000)).toEqual([
      { ageMs: 200, requestsPerS: undefined, server: 'i-1@5' },
    ]);
    expect(limits.listReports(40_000)).toEqual([]);
  });

  test('an older report changes nothing, and an end without a limit is not stored', () => {
    const limits = createLimits();
    limits.applyReports([end], 1_000);
    expect(limits.listReports(1_000)).toEqual([]);
    limits.applyReports([report, { ...report, ageMs: 200, requestsPerS: 9 }], 1_000);
    expect(limits.getLimit(incarnation, 1_000)).toBe(2);
  });

  test.each([
    { ageMs: -1 }, { ageMs: NaN }, { ageMs: RequestLimits.MAX_LIMIT_REPORT_AGE_MS + 1 },
    { requestsPerS: -1 }, { requestsPerS: NaN }, { requestsPerS: Infinity },
  ])('an implausible report is ignored: %j', (extra) => {
    const limits = createLimits();
    expect(limits.applyReports([{ ...report, ...extra }], 1_000)).toEqual([]);
  });

  // Guards against reports that circulate without the newest one winning everywhere.
  test('daemons that exchanged their reports hold no two different limits', () => {
    const event = fc.record({
      daemon: fc.nat(2),
      limit: fc.option(fc.integer({ max: 9, min: 1 }), { nil: undefined }),
      stepMs: fc.integer({ max: 900, min: 1 }),
    });
    fc.assert(fc.property(fc.array(event, { maxLength: 20 }), (events) => {
      const daemons = [createLimits(), createLimits(), createLimits()];
      let nowMs = 1_000;
      events.forEach(({ daemon, limit, stepMs }) => {
        nowMs += stepMs;
        const notice = limit === undefined ? UNLIMITED : createNotice(limit);
        daemons[daemon]?.observeResponse(incarnation, notice, nowMs, nowMs);
      });
      // In two rounds, each daemon hears of what every other one knows.
      [0, 1].forEach(() => daemons.forEach((from) => daemons.forEach((to) => {
        to.applyReports(from.listReports(nowMs), nowMs);
      })));
      const known = daemons.map((each) => each.getLimit(incarnation, nowMs));
      const stated = known.filter((limit) => limit !== undefined);
      expect(new Set(stated).size).toBeLessThanOrEqual(1);
    }));
  });
});

describe('parsing of a request limit', () => {
  test.each([
    ['1', 1], ['0.5', 0.5], [' 2.25 ', 2.25], ['0', 0], ['1e9', 1_000_000], ['5e-1', 0.5],
  ])('%s', (text, requestsPerS) => {
    expect(RequestLimits.parseLimitNotice(text)).toEqual({ _tag: 'Limited', requestsPerS });
  });

  test.each(['', '-1', 'few', '1, 2', 'NaN', 'Infinity', '.'])('malformed: %j', (text) => {
    expect(RequestLimits.parseLimitNotice(text)).toEqual({ _tag: 'Malformed', text });
  });

  test('a response without the header states no limit', () => {
    expect(RequestLimits.parseLimitNotice(undefined)).toEqual({ _tag: 'Unlimited' });
  });
});
