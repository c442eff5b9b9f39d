/**
 * What follows a failed attempt. A request that may have run goes to another server only where it
 * may be repeated; one that did not run only within the attempts of its route. Both draw on the
 * budget of repeats that all daemons share, unless nothing reached a server.
 */
import type * as Core from '@berylyoke/core';
import type * as Refusals from './Refusals.js';
import type * as RoutingConfig from './RoutingConfig.js';

/**
 * How an attempt ended without a usable answer. `not-sent`: no byte left; `misdirected`: another
 * server has the address; `not-run`: the server said that it did not run the request; `broken`,
 * `silent`: it may have run; `failed`: the server answered with an error of its own.
 */
export type FailureKind = 'broken' | 'failed' | 'misdirected' | 'not-run' | 'not-sent' | 'silent';

/** A request after an attempt. */
export interface AttemptState {
  readonly route: RoutingConfig.Route;
  /** Attempts that reached a server of the service. */
  readonly sends: number;
  /** Attempts that reached no server of the service. */
  readonly undelivered: number;
  /** Whether the request may have run in any attempt. */
  readonly mayHaveRun: boolean;
  /** Whether the head of an answer went to the caller. */
  readonly isHeadSent: boolean;
  readonly remainingMs: Core.Millis;
}

/** Next step of a request. */
export type NextStep = { readonly _tag: 'Cut' }
  | { readonly _tag: 'Refuse'; readonly code: Refusals.RefusalCode }
  | { readonly _tag: 'Retry'; readonly needsRetryBudget: boolean };

/** Attempts that may reach nobody, since entries of crashed servers live for seconds. */
const MAX_UNDELIVERED = 4;

/** Least time in which another attempt can still succeed. */
const MIN_REMAINING_MS = 30;

/** Checks whether a request may run more than once. */
export function isRepeatable({ isResumable, kind }: RoutingConfig.Route): boolean {
  return kind === 'repeatable' || (kind === 'stream' && isResumable);
}

/** Checks whether a request that may have run may be sent to one more server. */
export function canRepeat(route: RoutingConfig.Route, sends: number): boolean {
  return isRepeatable(route) && sends < route.maxAttempts;
}

/** Checks whether an attempt with this end may be followed by another one. */
export function canRetry(kind: FailureKind, state: AttemptState): boolean {
  if (state.remainingMs < MIN_REMAINING_MS) return false;
  if (kind === 'not-sent' || kind === 'misdirected') return state.undelivered < MAX_UNDELIVERED;
  if (state.sends >= state.route.maxAttempts) return false;
  return kind === 'not-run' || isRepeatable(state.route);
}

/** Chooses the final answer of a request whose last attempt failed. */
export function chooseFinalStep(kind: FailureKind | undefined, state: AttemptState): NextStep {
  if (state.isHeadSent) return { _tag: 'Cut' };
  if (state.mayHaveRun) {
    return { _tag: 'Refuse', code: kind === 'silent' ? 'timed_out' : 'outcome_unknown' };
  }
  return { _tag: 'Refuse', code: kind === 'not-run' ? 'not_run' : 'no_server' };
}

/** Chooses what follows an attempt; `claimRepeat` is asked only where a repeat is possible. */
export function chooseNextStep(
  kind: FailureKind,
  state: AttemptState,
  claimRetry: () => boolean,
): NextStep {
  if (!canRetry(kind, state)) return chooseFinalStep(kind, state);
  const needsRetryBudget = kind !== 'not-sent';
  if (needsRetryBudget && !claimRetry()) return chooseFinalStep(kind, state);
  return { _tag: 'Retry', needsRetryBudget };
}
