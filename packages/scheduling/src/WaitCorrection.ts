/**
 * Correction of estimated queue waits by observed ones. The estimate divides queued work by
 * throughput. It ignores reserved slots and requests of higher tiers that arrive later, so it is
 * too short under overload.
 */
import type * as Core from '@berylyoke/core';

/** Exponentially decaying sums of observed and expected waits of one tier of a pool. */
export interface WaitCorrection {
  readonly observedMs: Core.Millis;
  readonly expectedMs: Core.Millis;
}

/** Bounds of the correction factor, so that a feedback loop cannot drive it to an extreme. */
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 8;

/** Factor by which the sums decay with each observation; they cover about the last 30 waits. */
const DECAY_FACTOR = 0.97;

/** Wait added to both sums, which pulls the factor towards 1 while there are few observations. */
const PRIOR_WAIT_MS = 500;

/** Correction before the first observation. */
export const initialWaitCorrection: WaitCorrection = { expectedMs: 0, observedMs: 0 };

/** Adds the observed wait of a request and its expected wait before correction. */
export function observeWait(
  correction: WaitCorrection,
  expectedMs: Core.Millis,
  observedMs: Core.Millis,
): WaitCorrection {
  return {
    expectedMs: correction.expectedMs * DECAY_FACTOR + expectedMs,
    observedMs: correction.observedMs * DECAY_FACTOR + observedMs,
  };
}

/** Computes the factor by which an expected wait is multiplied. */
export function computeWaitFactor({ expectedMs, observedMs }: WaitCorrection): number {
  const factor = (observedMs + PRIOR_WAIT_MS) / (expectedMs + PRIOR_WAIT_MS);
  return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
}
