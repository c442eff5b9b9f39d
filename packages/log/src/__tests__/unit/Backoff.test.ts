import * as Vitest from 'vitest';
import * as Backoff from '../../Backoff.js';
import * as SeenRecords from '../../SeenRecords.js';

const { describe, expect, test } = Vitest;

describe('back-off', () => {
  test('doubles up to its maximum and keeps the lower half, so that retries never pile up', () => {
    const bounds = { baseMs: 100, maxMs: 1_000 };
    const least = [1, 2, 3, 4, 5, 500].map((n) => Backoff.computeBackoffMs(n, bounds, () => 0));
    const most = [1, 2, 3, 4, 5, 500].map((n) => Backoff.computeBackoffMs(n, bounds, () => 1));
    expect(least).toEqual([50, 100, 200, 400, 500, 500]);
    expect(most).toEqual([100, 200, 400, 800, 1_000, 1_000]);
  });
});

describe('rate limit', () => {
  test('lets a burst through and spaces the rest, so that the log never sees more', () => {
    const limit = Backoff.createRateLimit(10, 2);
    expect([0, 0, 0, 0].map((nowMs) => limit.claim(nowMs))).toEqual([0, 0, 100, 200]);
    expect(limit.claim(10_000)).toBe(0);
  });
});

describe('memory of record ids', () => {
  test('tells a repetition from a replay of the first copy, and stays bounded', () => {
    const seen = SeenRecords.createSeenRecords(2);
    expect(seen.observe('a', 5)).toBe(false);
    expect(seen.observe('a', 5)).toBe(false);
    expect(seen.observe('a', 7)).toBe(true);
    expect(seen.observe('a', 3)).toBe(false);
    expect(seen.observe('a', 5)).toBe(true);
    ['b', 'c', 'd'].forEach((id) => seen.observe(id, 9));
    expect(seen.size()).toBe(2);
  });
});
