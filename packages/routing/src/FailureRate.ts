/**
 * Failure rate of one server's recent requests. The weight of an outcome decays with age, so that a
 * server that was avoided because of failures is tried again after a while.
 */
import type * as Core from '@berylyoke/core';

/** Decayed counts of recent outcomes of one server, as of `atMs`. */
export interface FailureRate {
  readonly failures: number;
  readonly requests: number;
  readonly atMs: Core.Millis;
}

/** Age at which the weight of an outcome has halved. */
const HALF_LIFE_MS = 6_000;

/** Prior counts, added to those observed so that a single failure does not rule out a server. */
const PRIOR_REQUESTS = 2;
const PRIOR_FAILURES = 0.04;

/** State before the first outcome. */
export const INITIAL_FAILURE_RATE: FailureRate = { atMs: 0, failures: 0, requests: 0 };

function computeDecay({ atMs }: FailureRate, nowMs: Core.Millis): number {
  return 0.5 ** (Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
}

/** Adds the outcome of one request. */
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

/**
 * Estimates the probability that the next request fails. `fleetOutcomes` are the outcomes that
 * other daemons observed.
 */
export function estimateFailureRate(
  rate: FailureRate,
  nowMs: Core.Millis,
  fleetOutcomes: Pick<FailureRate, 'failures' | 'requests'> = INITIAL_FAILURE_RATE,
): number {
  const decay = computeDecay(rate, nowMs);
  return (rate.failures * decay + fleetOutcomes.failures + PRIOR_FAILURES)
    / (rate.requests * decay + fleetOutcomes.requests + PRIOR_REQUESTS);
}
