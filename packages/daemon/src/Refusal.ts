/**
 * Error responses of the daemon, in the format of OpenAI's error bodies. `notRun` is true only if
 * no byte of the request was sent to a backend server.
 */
import type * as Core from '@berylyoke/core';

/** Codes of all refusals, with their HTTP status and OpenAI error type. */
export const REFUSAL_CODES = {
  account_limit: { status: 429, type: 'rate_limit_error' },
  answer_not_kept: { status: 409, type: 'conflict_error' },
  backend_failed: { status: 502, type: 'server_error' },
  body_differs: { status: 422, type: 'invalid_request_error' },
  body_too_large: { status: 413, type: 'invalid_request_error' },
  caller_left: { status: 499, type: 'invalid_request_error' },
  claim_in_progress: { status: 409, type: 'conflict_error' },
  class_not_allowed: { status: 403, type: 'permission_error' },
  draining: { status: 503, type: 'server_error' },
  header_too_large: { status: 431, type: 'invalid_request_error' },
  invalid_json: { status: 400, type: 'invalid_request_error' },
  invalid_key: { status: 401, type: 'authentication_error' },
  invalid_request: { status: 400, type: 'invalid_request_error' },
  isolated: { status: 503, type: 'server_error' },
  key_withdrawn: { status: 401, type: 'authentication_error' },
  log_unavailable: { status: 503, type: 'server_error' },
  method_not_allowed: { status: 405, type: 'invalid_request_error' },
  model_not_allowed: { status: 403, type: 'permission_error' },
  model_not_found: { status: 404, type: 'invalid_request_error' },
  no_server: { status: 503, type: 'server_error' },
  not_found: { status: 404, type: 'invalid_request_error' },
  not_ready: { status: 503, type: 'server_error' },
  outcome_unknown: { status: 502, type: 'server_error' },
  overloaded: { status: 503, type: 'server_error' },
  request_timeout: { status: 408, type: 'invalid_request_error' },
  target_missed: { status: 503, type: 'server_error' },
} as const;

export type RefusalCode = keyof typeof REFUSAL_CODES;

/** An error response to a request that was not executed, or whose outcome is unknown. */
export interface Refusal {
  readonly _tag: 'Refusal';
  readonly code: RefusalCode;
  readonly message: string;
  /** True if no byte of the request was sent to a backend server. */
  readonly notRun: boolean;
  /** Time after which the caller should retry, in milliseconds. */
  readonly retryAfterMs?: Core.Millis;
}

/** Creates a refusal of a request of which no byte was sent to a backend server. */
export function createRefusal(
  code: RefusalCode,
  message: string,
  retryAfterMs?: Core.Millis,
): Refusal {
  const refusal: Refusal = {
    _tag: 'Refusal', code, message, notRun: true,
  };
  return retryAfterMs === undefined ? refusal : { ...refusal, retryAfterMs };
}

/** Creates the error response to a request that may have been executed. */
export function createUnknownOutcome(code: RefusalCode, message: string): Refusal {
  return {
    _tag: 'Refusal', code, message, notRun: false,
  };
}

/** Checks whether a value is a refusal. */
export function isRefusal(value: unknown): value is Refusal {
  return typeof value === 'object' && value !== null && '_tag' in value && value._tag === 'Refusal';
}

const MS_PER_SECOND = 1_000;

/** Builds the headers of a refusal; `Retry-After` is in whole seconds, at least 1. */
export function buildRefusalHeaders(refusal: Refusal): Record<string, string> {
  return {
    'content-type': 'application/json',
    'x-berylyoke-outcome': refusal.notRun ? 'not-run' : 'unknown',
    ...refusal.retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.max(1, Math.ceil(refusal.retryAfterMs / MS_PER_SECOND))) },
  };
}

/** Builds the OpenAI-shaped error body. */
export function buildRefusalBody({ code, message }: Refusal): string {
  return JSON.stringify({
    error: {
      code, message, param: null, type: REFUSAL_CODES[code].type,
    },
  });
}
