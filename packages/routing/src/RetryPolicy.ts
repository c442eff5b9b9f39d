/**
 * Decides what follows a failed attempt. A request that may have run is retried only if its route
 * allows it to run more than once. A request that did not run is retried within the attempt limit
 * of its route. Each retry is charged to the retry budget that all daemons share, except after an
 * attempt of which no byte was sent.
 */
import type * as Core from '@berylyoke/core';
import type * as Refusals from './Refusals.js';
import type * as RoutingConfig from './RoutingConfig.js';

/**
 * Why an attempt gave no usable response. `not-sent`: no byte of the request was sent;
 * `misdirected`: a different server now has the address; `not-run`: the server stated that it did
 * not run the request; `broken`: the connection or the response was invalid; `silent`: the server
 * sent nothing for too long; `failed`: the server returned a 5xx status. After `broken`, `silent`
 * and `failed` the request may have run.
 */
export type FailureKind = 'broken' | 'failed' | 'misdirected' | 'not-run' | 'not-sent' | 'silent';

/** State of a request after an attempt. */
export interface AttemptState {
  readonly route: RoutingConfig.Route;
  /** Attempts that may have reached a server of the service. */
  readonly sends: number;
  /** Attempts that certainly reached no server of the service. */
  readonly undelivered: number;
  /** Whether any attempt may have run the request. */
  readonly mayHaveRun: boolean;
  /** Whether a response head was sent to the caller. */
  readonly isHeadSent: boolean;
  /** Whether the id of an event tells another server where to continue the sent events. */
  readonly canContinue: boolean;
  readonly remainingMs: Core.Millis;
}

/** Next step of a request: abort the started response, refuse the request, or retry it. */
export type NextStep = { readonly _tag: 'Cut' }
  | { readonly _tag: 'Refuse'; readonly code: Refusals.RefusalCode }
  | { readonly _tag: 'Retry'; readonly needsRetryBudget: boolean };

/** Limit of undelivered attempts; the store keeps entries of crashed servers for seconds. */
const MAX_UNDELIVERED = 4;

/** Shortest remaining time in which another attempt can still succeed. */
const MIN_REMAINING_MS = 30;

/** Checks whether requests of a route may run more than once. */
export function isRepeatable({ isResumable, kind }: RoutingConfig.Route): boolean {
  return kind === 'repeatable' || (kind === 'stream' && isResumable);
}

/** Checks whether a request that may have run may be sent to one more server. */
export function canRepeat(route: RoutingConfig.Route, sends: number): boolean {
  return isRepeatable(route) && sends < route.maxAttempts;
}

/** Checks whether the limits of time and attempts allow a retry after this kind of failure. */
export function canRetry(kind: FailureKind, state: AttemptState): boolean {
  if (state.remainingMs < MIN_REMAINING_MS || !state.canContinue) return false;
  if (kind === 'not-sent' || kind === 'misdirected') return state.undelivered < MAX_UNDELIVERED;
  if (state.sends >= state.route.maxAttempts) return false;
  return kind === 'not-run' || isRepeatable(state.route);
}

/** Chooses how a request ends whose last attempt failed; `kind` is undefined if there was none. */
export function chooseFinalStep(kind: FailureKind | undefined, state: AttemptState): NextStep {
  if (state.isHeadSent) return { _tag: 'Cut' };
  if (state.mayHaveRun) {
    return { _tag: 'Refuse', code: kind === 'silent' ? 'timed_out' : 'outcome_unknown' };
  }
  return { _tag: 'Refuse', code: kind === 'not-run' ? 'not_run' : 'no_server' };
}

/** Chooses what follows a failed attempt; calls `claimRetry` only if a retry is possible. */
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
