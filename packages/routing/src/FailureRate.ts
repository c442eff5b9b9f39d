/**
 * Share of failures among the recent requests of one server. Old outcomes lose weight, so a server
 * that was avoided for its failures is tried again after a while.
 */
import type * as Core from '@berylyoke/core';

/** Recent outcomes of one server, weighted by age. */
export interface FailureRate {
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
export const INITIAL_FAILURE_RATE: FailureRate = { atMs: 0, failures: 0, requests: 0 };

function computeDecay({ atMs }: FailureRate, nowMs: Core.Millis): number {
  return 0.5 ** (Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
}

/** Adds one outcome. */
export function observeOutcome(
  rate: FailureRate,
  isFailure: boolean,
  nowMs: Core.Millis,
): FailureRate {
  const decay = computeDecay(rate, nowMs);
  return {
    atMs: nowMs,
    failures: rate.failures * decay + (isFailure ? 1 : 0),
    requests: rate.requests * decay + 1,
  };
}

/** Estimates the probability that the next request fails; `others` are outcomes of the fleet. */
export function estimateFailureRate(
  rate: FailureRate,
  nowMs: Core.Millis,
  fleetOutcomes: Pick<FailureRate, 'failures' | 'requests'> = INITIAL_FAILURE_RATE,
): number {
  const decay = computeDecay(rate, nowMs);
  return (rate.failures * decay + fleetOutcomes.failures + PRIOR_FAILURES)
    / (rate.requests * decay + fleetOutcomes.requests + PRIOR_REQUESTS);
}
