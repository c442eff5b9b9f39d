/**
 * Error responses that the daemon generates itself. Status 408, 421, 429 and 503 guarantee that the
 * request has not run and never will; 502 and 504 guarantee nothing.
 */
import type * as Core from '@berylyoke/core';
import * as CrashSuspects from './CrashSuspects.js';

/** An error response: its status, a message for people, and the delay after which to retry. */
export interface Refusal {
  readonly status: number;
  readonly message: string;
  /** Minimum delay before a retry; undefined if a retry does not help. */
  readonly retryAfterMs?: Core.Millis;
  /** Whether any earlier return would be refused as well. */
  readonly isLasting?: boolean;
}

/** Retry-After of a blocked prompt, which an answer to another request may unblock. */
const BLOCKED_RETRY_AFTER_MS = 30_000;

/** All refusals by code. */
export const REFUSALS = {
  body_idle: { message: 'the body stopped before its end', status: 408 },
  body_in_pieces: { message: 'the body comes in too many pieces', status: 400 },
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
  malformed_request: {
    message: 'the path or a header contains characters that cannot be sent on', status: 400,
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
  origin_unknown: {
    message: 'it is not known now which software version began the stream; it was not resumed',
    retryAfterMs: 250,
    status: 503,
  },
  outcome_unknown: {
    message: 'the connection to the backend server broke; the request may have run', status: 502,
  },
  overloaded_memory: {
    message: 'the memory for requests is used up', retryAfterMs: 250, status: 503,
  },
  prompt_blocked: {
    isLasting: true,
    message: 'backend servers crashed under requests with a part of this prompt; it was not sent',
    retryAfterMs: BLOCKED_RETRY_AFTER_MS,
    status: 503,
  },
  request_blocked: {
    isLasting: true,
    message: 'backend servers crashed under this request; it was not sent',
    retryAfterMs: CrashSuspects.BLOCK_MS,
    status: 503,
  },
  stopped: {
    message: 'the daemon ended before the backend server answered; the request may have run',
    status: 502,
  },
  stopping: { message: 'the daemon is stopping', retryAfterMs: 50, status: 503 },
  timed_out: { message: 'the time limit passed; the request may have run', status: 504 },
  timed_out_not_run: {
    message: 'the time limit passed before the request was sent', retryAfterMs: 250, status: 503,
  },
} as const satisfies Record<string, Refusal>;

/** Code of a refusal. */
export type RefusalCode = keyof typeof REFUSALS;

/** Longest useful retry delay, as a share of the time for which the caller still waits. */
const MAX_RETRY_AFTER_SHARE = 0.3;

/** Random part of the retry delay; spreads the retries of callers that were refused together. */
const RETRY_AFTER_JITTER = 1;

/** Computes the retry delay: with jitter, and limited to a share of the caller's time. */
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
