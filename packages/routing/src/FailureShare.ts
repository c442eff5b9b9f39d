/**
 * Share of failures among the recent requests of one server. Old outcomes lose weight, so a server
 * that was avoided for its failures is tried again after a while.
 */
import type * as Core from '@berylyoke/core';

/** Recent outcomes of one server, weighted by age. */
export interface FailureShare {
  readonly failures: number;
  readonly requests: number;
  readonly atMs: Core.Millis;
}

/** Age at which an outcome counts half. */
const HALF_LIFE_MS = 6_000;

/** Outcomes that are assumed before any was seen; one failure alone must not condemn a server. */
const PRIOR_REQUESTS = 2;
const PRIOR_FAILURES = 0.04;

/** Share before the first outcome. */
export const INITIAL_FAILURE_SHARE: FailureShare = { atMs: 0, failures: 0, requests: 0 };

function computeDecay({ atMs }: FailureShare, nowMs: Core.Millis): number {
  return 0.5 ** (Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
}

/** Adds one outcome. */
export function observeOutcome(
  share: FailureShare,
  isFailure: boolean,
  nowMs: Core.Millis,
): FailureShare {
  const decay = computeDecay(share, nowMs);
  return {
    atMs: nowMs,
    failures: share.failures * decay + (isFailure ? 1 : 0),
    requests: share.requests * decay + 1,
  };
}

/** Estimates the probability that the next request fails; `others` are outcomes of the fleet. */
export function estimateFailure(
  share: FailureShare,
  nowMs: Core.Millis,
  others: Pick<FailureShare, 'failures' | 'requests'> = INITIAL_FAILURE_SHARE,
): number {
  const decay = computeDecay(share, nowMs);
  return (share.failures * decay + others.failures + PRIOR_FAILURES)
    / (share.requests * decay + others.requests + PRIOR_REQUESTS);
}
