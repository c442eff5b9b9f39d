import type * as Log from '@berylyoke/log';
import * as Vitest from 'vitest';
import type * as UsageAmounts from '../../UsageAmounts.js';
import type * as UsageRecords from '../../UsageRecords.js';
import * as UsageWindows from '../../UsageWindows.js';

const { describe, expect, test } = Vitest;

const limits: UsageWindows.UsageLimits = { allowedLateWindows: 5, windowMs: 100 };
const writer = { daemonId: 'd1', incarnation: '1-a' };

function useRequests(requests: number): UsageAmounts.AccountUsage {
  return { shop: { inputTokens: 0, outputTokens: 0, requests } };
}

function buildEntry(
  offset: number,
  timestampMs: number,
  kind: string,
  body: unknown,
): Log.LogEntry {
  const record = {
    body, kind, recordId: `r${offset}`, writer,
  };
  return { offset, records: [record], timestampMs };
}

function buildCounters(
  offset: number,
  timestampMs: number,
  window: number,
  requests: number,
): Log.LogEntry {
  const body: UsageRecords.UsageCounters = {
    accounts: useRequests(requests), source: writer, window,
  };
  return buildEntry(offset, timestampMs, 'usage.counters', body);
}

function buildSeal(
  offset: number,
  timestampMs: number,
  seal: Pick<UsageRecords.UsageSeal, 'base' | 'window'> & Partial<UsageRecords.UsageSeal>,
): Log.LogEntry {
  const body: UsageRecords.UsageSeal = {
    fence: 0, parts: [], plannedMs: timestampMs, ...seal,
  };
  return buildEntry(offset, timestampMs, 'usage.seal', body);
}

function reduceAll(
  entries: readonly Log.LogEntry[],
  start = UsageWindows.createUsageState(limits),
): UsageWindows.UsageState {
  return entries.reduce(UsageWindows.reduceUsage, start);
}

describe('the fold of usage', () => {
  test('plans a late counter as a correction of the next seal, once', () => {
    const first = reduceAll([buildCounters(0, 1_050, 1_000, 2)]);
    const seal = UsageWindows.planSeal(first, 1_110, 0, 0);
    expect(seal).toMatchObject({ base: '', parts: [{ window: 1_000 }], window: 1_000 });
    const late = reduceAll([
      buildSeal(1, 1_110, seal as UsageRecords.UsageSeal),
      buildCounters(2, 1_120, 1_000, 5),
    ], first);
    const next = UsageWindows.planSeal(late, 1_210, 0, 0);
    expect(next).toMatchObject({
      base: 'r1', parts: [{ accounts: useRequests(3), window: 1_000 }], window: 1_100,
    });
    const corrected = reduceAll([buildSeal(3, 1_210, next as UsageRecords.UsageSeal)], late);
    expect(UsageWindows.planSeal(corrected, 1_310, 0, 0)?.parts).toEqual([]);
  });

  test('refuses seals of the future, an older window, another base and an old fence', () => {
    const state = reduceAll([
      buildSeal(0, 2_000, { base: '', fence: 4, window: 1_000 }),
      buildSeal(1, 2_000, { base: 'r0', fence: 4, window: 2_001 }),
      buildSeal(2, 2_000, { base: 'r0', fence: 4, window: 1_000 }),
      buildSeal(3, 2_000, { base: '', fence: 4, window: 1_100 }),
      buildSeal(4, 2_000, { base: 'r0', fence: 3, window: 1_200 }),
    ]);
    expect(state.last).toMatchObject({ recordId: 'r0', window: 1_000 });
  });

  test('does not make a second seal of a crashed reporter into a second report', () => {
    const state = reduceAll([
      buildSeal(0, 2_000, { base: '', window: 1_000 }),
      buildSeal(1, 2_000, {
        base: '', parts: [{ accounts: useRequests(1), window: 1_000 }], window: 1_000,
      }),
      buildEntry(2, 2_000, 'usage.reported', { sealId: 'r0', window: 1_000 }),
    ]);
    expect(state.unreported).toEqual([]);
  });

  test('takes a chain up after a gap only from a seal that another one names', () => {
    const gap = UsageWindows.reduceUsageGap(UsageWindows.createUsageState(limits), 9);
    const unknown = reduceAll([
      buildCounters(9, 1_990, 1_900, 1),
      buildSeal(10, 2_000, { base: 'r7', window: 1_800 }),
      buildSeal(11, 2_000, { base: 'r8', window: 1_800 }),
    ], gap);
    expect(unknown.last).toBeUndefined();
    expect(UsageWindows.planSeal(unknown, 2_200, 0, 0)).toBeUndefined();
    const known = reduceAll([buildSeal(12, 2_050, { base: 'r11', window: 1_900 })], unknown);
    expect(known.last).toMatchObject({ recordId: 'r12' });
    expect(known.unreported.map(({ recordId }) => recordId)).toEqual(['r11', 'r12']);
  });

  test('takes no repetition of a seal from before the gap for a part of the chain', () => {
    const gap = UsageWindows.reduceUsageGap(UsageWindows.createUsageState(limits), 9);
    const state = reduceAll([
      buildCounters(9, 2_000, 1_900, 1),
      buildSeal(10, 2_010, { base: 'r7', plannedMs: 1_990, window: 1_700 }),
      buildSeal(11, 2_010, { base: 'r10', plannedMs: 1_995, window: 1_800 }),
    ], gap);
    expect(state.last).toBeUndefined();
  });

  test('corrects no window after a gap whose earlier records may be lost', () => {
    const state = reduceAll([
      buildCounters(10, 2_000, 1_900, 9),
      buildCounters(11, 2_001, 2_100, 1),
      buildSeal(12, 2_250, { base: 'r5', window: 2_000 }),
      buildSeal(13, 2_250, { base: 'r12', window: 2_050 }),
    ], UsageWindows.reduceUsageGap(UsageWindows.createUsageState(limits), 10));
    expect(UsageWindows.planSeal(state, 2_210, 0, 0)).toMatchObject({
      parts: [{ accounts: useRequests(1), window: 2_100 }],
    });
  });

  test('begins a new chain after a gap when no seal can be recent', () => {
    const gap = UsageWindows.reduceUsageGap(UsageWindows.createUsageState(limits), 9);
    const quiet = reduceAll([
      buildCounters(9, 2_000, 1_900, 9), buildCounters(10, 2_100, 1_900, 9),
    ], gap);
    expect(UsageWindows.planSeal(quiet, 2_400, 0, 0)).toBeUndefined();
    const seal = UsageWindows.planSeal(quiet, 2_500, 0, 0);
    expect(seal).toMatchObject({ base: '' });
    const sealed = reduceAll([
      buildSeal(11, 2_500, { ...seal as UsageRecords.UsageSeal, plannedMs: 2_100 }),
    ], quiet);
    expect(sealed.last).toMatchObject({ recordId: 'r11' });
  });

  test('lets no reporter that lags behind the newest seal begin a new chain', () => {
    const sealed = reduceAll([buildSeal(0, 2_000, { base: '', window: 1_900 })]);
    const lagging = buildSeal(1, 2_600, { base: '', plannedMs: 2_000, window: 2_500 });
    const current = buildSeal(1, 2_600, { base: '', plannedMs: 2_001, window: 2_500 });
    expect(reduceAll([lagging], sealed).last).toMatchObject({ recordId: 'r0' });
    expect(reduceAll([current], sealed).last).toMatchObject({ recordId: 'r1' });
  });

  test('starts over where an unknown chain may have been broken by a new one', () => {
    const gap = UsageWindows.reduceUsageGap(UsageWindows.createUsageState(limits), 9);
    const state = reduceAll([
      buildCounters(9, 2_000, 1_900, 1),
      buildSeal(10, 2_100, { base: 'r7', window: 2_000 }),
      buildSeal(11, 2_200, { base: '', plannedMs: 0, window: 2_100 }),
      buildSeal(12, 2_200, { base: 'r10', plannedMs: 2_150, window: 2_100 }),
    ], gap);
    expect(state.last).toBeUndefined();
  });

  test('counts and skips records that do not decode', () => {
    expect(reduceAll([buildEntry(0, 1, 'usage.counters', { window: 'x' })]).skipped).toBe(1);
  });
});
