/** Waits between attempts, and the rate of appends. Pure apart from the limiter's one number. */
import type * as Core from '@berylyoke/core';
import type * as LogClientOptions from './LogClientOptions.js';

/** Doublings after which the wait has reached any sensible maximum. */
const MAX_DOUBLINGS = 20;

/**
 * Computes the wait after the given number of consecutive failures: exponential, with the upper
 * half random, so that clients that failed together do not return together.
 */
export function computeBackoffMs(
  failures: number,
  { baseMs, maxMs }: LogClientOptions.BackoffBounds,
  random: () => number,
): Core.Millis {
  const fullMs = Math.min(maxMs, baseMs * 2 ** Math.min(Math.max(failures - 1, 0), MAX_DOUBLINGS));
  return fullMs / 2 + (fullMs / 2) * random();
}

/** Limits a rate with a burst. */
export interface RateLimit {
  /** Takes one use and returns the wait until it may take place, in milliseconds. */
  readonly claim: (nowMs: Core.Millis) => Core.Millis;
}

/** Creates a limit of `perSecond` uses with at most `burst` at once (generic cell rate). */
export function createRateLimit(perSecond: number, burst: number): RateLimit {
  const intervalMs = 1_000 / perSecond;
  let arrivalMs = -Infinity;
  return {
    claim: (nowMs) => {
      arrivalMs = Math.max(arrivalMs, nowMs) + intervalMs;
      return Math.max(0, arrivalMs - burst * intervalMs - nowMs);
    },
  };
}
