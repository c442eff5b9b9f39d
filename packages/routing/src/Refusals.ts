/**
 * Answers that the daemon gives itself. 429, 503 and 421 promise that the request has not run and
 * never will; 502 and 504 promise nothing.
 */
import type * as Core from '@berylyoke/core';

/** A refusal: status, sentence for people, and when trying again can help. */
export interface Refusal {
  readonly status: number;
  readonly message: string;
  /** Time to wait before the next try; undefined where trying again does not help. */
  readonly retryAfterMs?: Core.Millis;
}

/** All refusals by their code. */
export const REFUSALS = {
  body_too_large: { message: 'the body is larger than the limit', status: 413 },
  headers_too_large: { message: 'the headers are larger than the limit', status: 431 },
  internal_error: {
    message: 'an unexpected error ended the request; it may have run', status: 502,
  },
  internal_error_not_run: {
    message: 'an unexpected error ended the request before it was sent',
    retryAfterMs: 250,
    status: 503,
  },
  invalid_key: { message: 'the key is missing or not valid', status: 401 },
  keys_not_current: {
    message: 'the list of keys is not known to be current', retryAfterMs: 300, status: 503,
  },
  no_configuration: {
    message: 'no configuration is known yet', retryAfterMs: 500, status: 503,
  },
  no_route: { message: 'no route matches the host and path', status: 404 },
  no_server: {
    message: 'no backend server of the service could take the request',
    retryAfterMs: 250,
    status: 503,
  },
  not_run: {
    message: 'the backend server did not run the request', retryAfterMs: 150, status: 503,
  },
  outcome_unknown: {
    message: 'the connection to the backend server broke; the request may have run', status: 502,
  },
  stopping: { message: 'the daemon is stopping', retryAfterMs: 50, status: 503 },
  timed_out: { message: 'the time limit passed; the request may have run', status: 504 },
  timed_out_not_run: {
    message: 'the time limit passed before the request was sent', retryAfterMs: 250, status: 503,
  },
} as const satisfies Record<string, Refusal>;

/** Code of a refusal. */
export type RefusalCode = keyof typeof REFUSALS;

/** Share of the caller's remaining time above which a time to come back is useless to it. */
const MAX_RETRY_AFTER_SHARE = 0.3;

/** Random part by which callers that were refused together come back apart. */
const RETRY_AFTER_JITTER = 1;

/** Computes the time to come back, spread over callers and within the time that they have left. */
export function computeRetryAfter(
  retryAfterMs: Core.Millis,
  remainingMs: Core.Millis,
  random: () => number,
): Core.Millis {
  const jitteredMs = retryAfterMs * (1 + RETRY_AFTER_JITTER * random());
  return Math.max(1, Math.min(jitteredMs, remainingMs * MAX_RETRY_AFTER_SHARE));
}

/** Builds the body of a refusal. */
export function buildRefusalBody(code: RefusalCode): Buffer {
  return Buffer.from(JSON.stringify({
    error: { code, message: REFUSALS[code].message, type: 'berylyoke_refusal' },
  }));
}
