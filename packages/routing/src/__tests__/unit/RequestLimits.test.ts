import * as Core from '@berylyoke/core';
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as RequestLimits from '../../RequestLimits.js';

const WINDOW_MS = 4_000;
const IDLE_MS = 30_000;
const DURATION_MS = 300_000;

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
      .toEqual({ previousPerS: undefined });
    expect(limits.observeResponse(incarnation, createNotice(2), 15, 30)).toBeUndefined();
    expect(limits.observeResponse(incarnation, createNotice(3), 15, 40))
      .toEqual({ previousPerS: 2 });
    expect(limits.getLimit(incarnation)).toBe(3);
    expect(limits.observeResponse(incarnation, UNLIMITED, 50, 60)).toEqual({ previousPerS: 3 });
    expect(limits.getLimit(incarnation)).toBeUndefined();
    expect(limits.countLimited()).toBe(0);
  });

  // Guards against a response on a slow connection that removes a limit announced after it.
  test('a response to a request sent before the announcement does not remove the limit', () => {
    const limits = createLimits();
    limits.observeResponse(incarnation, createNotice(2), 10, 20);
    expect(limits.observeResponse(incarnation, UNLIMITED, 19, 30)).toBeUndefined();
    expect(limits.getLimit(incarnation)).toBe(2);
  });

  test('a limit applies to one incarnation, and a malformed one changes nothing', () => {
    const limits = createLimits();
    limits.observeResponse(incarnation, createNotice(2), 10, 20);
    limits.observeResponse(incarnation, { _tag: 'Malformed', text: 'few' }, 30, 40);
    expect(limits.getLimit(incarnation)).toBe(2);
    expect(limits.getLimit({ ...incarnation, bornMs: 6 })).toBeUndefined();
  });

  // Guards against unlimited growth of memory as servers are replaced over months.
  test('the oldest entries are evicted beyond the maximum', () => {
    const limits = createLimits({ maxEntries: 2 });
    ['a', 'b', 'c'].forEach((id) => (
      limits.observeResponse({ bornMs: 0, id }, createNotice(1), 0, 0)
    ));
    expect(['a', 'b', 'c'].map((id) => limits.getLimit({ bornMs: 0, id })))
      .toEqual([undefined, 1, 1]);
  });
});

/** Lists the times of all sends of a fleet to one server. */
function simulateFleet(
  {
    daemonCount, durationMs, requestsPerS, stepMs,
  }: {
    readonly daemonCount: number;
    readonly durationMs: number;
    readonly requestsPerS: number;
    /** Interval at which each daemon has a request that it would send to the server. */
    readonly stepMs: number;
  },
): readonly number[] {
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
  Array.from({ length: durationMs / stepMs }, (_, step) => IDLE_MS + step * stepMs)
    .forEach((nowMs) => daemons.forEach((limits) => {
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
    const sentMs = simulateFleet({
      daemonCount, durationMs: DURATION_MS, requestsPerS, stepMs: 500,
    });
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

  test('a change of the limit or of the fleet neither grants nor takes whole permits', () => {
    fc.assert(fc.property(
      fc.array(fc.tuple(fc.nat(3_000), fc.integer({ max: 40, min: 1 })), { maxLength: 30 }),
      (steps) => {
        let share = 1;
        const limits = createLimits({ getShare: () => share });
        let nowMs = 0;
        let sends = 0;
        let allowed = 1;
        limits.observeResponse(incarnation, createNotice(1), 0, 0);
        steps.forEach(([stepMs, daemonCount]) => {
          nowMs += stepMs;
          allowed += (stepMs / 1_000) * share;
          while (limits.canSend(incarnation, nowMs)) {
            limits.recordSend(incarnation, nowMs);
            sends += 1;
          }
          share = 1 / daemonCount;
        });
        expect(sends).toBeLessThanOrEqual(allowed);
      },
    ));
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
