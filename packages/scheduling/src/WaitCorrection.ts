/**
 * Correction of expected waits by observed ones. The fluid estimate of a wait takes no account of
 * reserved slots and of higher tiers that arrive meanwhile, so it is too short under overload.
 */
import type * as Core from '@berylyoke/core';

/** Ratio of observed to expected waits of one tier of a pool. */
export interface WaitCorrection {
  readonly observedMs: Core.Millis;
  readonly expectedMs: Core.Millis;
}

/** Bounds of the factor, against estimates that run away in either direction. */
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 8;

/** Part of the sums that is kept with each observation; about 30 waits are remembered. */
const KEPT = 0.97;

/** Weight of the prior factor 1, as a wait. */
const PRIOR_MS = 500;

/** Correction before the first observation. */
export const initialWaitCorrection: WaitCorrection = { expectedMs: 0, observedMs: 0 };

/** Adds a wait that ended, with what was expected of it before any correction. */
export function observeWait(
  correction: WaitCorrection,
  expectedMs: Core.Millis,
  observedMs: Core.Millis,
): WaitCorrection {
  return {
    expectedMs: correction.expectedMs * KEPT + expectedMs,
    observedMs: correction.observedMs * KEPT + observedMs,
  };
}

/** Computes the factor by which an expected wait is multiplied. */
export function computeWaitFactor({ expectedMs, observedMs }: WaitCorrection): number {
  const factor = (observedMs + PRIOR_MS) / (expectedMs + PRIOR_MS);
  return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
}
