/** Exponential back-off (stateless) and the rate limiter for appends, which keeps one number. */
import type * as Core from '@berylyoke/core';
import type * as LogClientOptions from './LogClientOptions.js';

/** Caps the exponent; after 20 doublings the wait is above any practical maximum. */
const MAX_DOUBLINGS = 20;

/**
 * Computes the wait after the given number of consecutive failures: exponential, with the upper
 * half random, so that clients that failed together do not retry at the same time.
 */
export function computeBackoffMs(
  failures: number,
  { baseMs, maxMs }: LogClientOptions.BackoffBounds,
  random: () => number,
): Core.Millis {
  const fullMs = Math.min(maxMs, baseMs * 2 ** Math.min(Math.max(failures - 1, 0), MAX_DOUBLINGS));
  return fullMs / 2 + (fullMs / 2) * random();
}

/** Limits the rate of an operation and allows bursts. */
export interface RateLimiter {
  /** Reserves one operation and returns the wait until it may start, in milliseconds. */
  readonly claim: (nowMs: Core.Millis) => Core.Millis;
}

/**
 * Creates a limiter for `perSecond` operations with at most `burst` at once, by the generic cell
 * rate algorithm (GCRA).
 */
export function createRateLimiter(perSecond: number, burst: number): RateLimiter {
  const intervalMs = 1_000 / perSecond;
  let theoreticalArrivalMs = -Infinity;
  return {
    claim: (nowMs) => {
      theoreticalArrivalMs = Math.max(theoreticalArrivalMs, nowMs) + intervalMs;
      return Math.max(0, theoreticalArrivalMs - burst * intervalMs - nowMs);
    },
  };
}
