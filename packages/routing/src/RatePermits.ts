/**
 * Permits under a rate limit that many daemons share. Each daemon accrues permits at its share of
 * the rate. A permit lapses if it is not used within a short time: the permits that many idle
 * daemons had saved would otherwise be used together when load rises. The daemons start at random
 * points of their interval, so that their permits are spread over time.
 */
import type * as Core from '@berylyoke/core';

/** Permits of one daemon for one purpose. */
export interface RatePermits {
  /** Available permits, and the accrued fraction of the next one. */
  readonly accrued: number;
  readonly updatedMs: Core.Millis;
}

/** Time for which a permit can be used. */
const PERMIT_LIFETIME_MS = 1_000;

const MS_PER_S = 1_000;

/** Creates permits at a random point before the first one. */
export function createRatePermits(nowMs: Core.Millis, random: () => number): RatePermits {
  return { accrued: random(), updatedMs: nowMs };
}

/** Accrues permits up to `nowMs` at a rate in permits per second, and drops lapsed ones. */
export function advanceRatePermits(
  { accrued, updatedMs }: RatePermits,
  ratePerS: number,
  nowMs: Core.Millis,
): RatePermits {
  const ratePerMs = ratePerS / MS_PER_S;
  const total = accrued + Math.max(0, nowMs - updatedMs) * ratePerMs;
  const maxAccrued = 1 + PERMIT_LIFETIME_MS * ratePerMs;
  return { accrued: total - Math.ceil(Math.max(0, total - maxAccrued)), updatedMs: nowMs };
}

/** Uses one permit. */
export function claimPermit({ accrued, updatedMs }: RatePermits): RatePermits {
  return { accrued: accrued - 1, updatedMs };
}

/** Computes the time until a permit is available; 0 if one is. */
export function computePermitWait({ accrued }: RatePermits, ratePerS: number): Core.Millis {
  return Math.max(0, ((1 - accrued) * MS_PER_S) / ratePerS);
}
