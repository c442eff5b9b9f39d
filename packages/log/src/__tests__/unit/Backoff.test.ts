import * as Vitest from 'vitest';
import * as Backoff from '../../Backoff.js';
import * as SeenRecords from '../../SeenRecords.js';

const { describe, expect, test } = Vitest;

describe('back-off', () => {
  test('doubles up to its maximum and never falls below half, so that retries stay spaced', () => {
    const bounds = { baseMs: 100, maxMs: 1_000 };
    const shortest = [1, 2, 3, 4, 5, 500].map((n) => Backoff.computeBackoffMs(n, bounds, () => 0));
    const longest = [1, 2, 3, 4, 5, 500].map((n) => Backoff.computeBackoffMs(n, bounds, () => 1));
    expect(shortest).toEqual([50, 100, 200, 400, 500, 500]);
    expect(longest).toEqual([100, 200, 400, 800, 1_000, 1_000]);
  });
});

describe('rate limiter', () => {
  test('allows a burst and spaces later appends, so that the rate at the log stays limited', () => {
    const rateLimiter = Backoff.createRateLimiter(10, 2);
    expect([0, 0, 0, 0].map((nowMs) => rateLimiter.claim(nowMs))).toEqual([0, 0, 100, 200]);
    expect(rateLimiter.claim(10_000)).toBe(0);
  });
});

describe('index of record ids', () => {
  test('distinguishes a duplicate from a replay of the first occurrence, and stays bounded', () => {
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
