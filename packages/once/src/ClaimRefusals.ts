/** Refusals of calls with an idempotency key, with what the caller of the router is told. */
import type * as Core from '@berylyoke/core';
import * as Data from 'effect/Data';

/** Why a call with an idempotency key is refused. */
export type ClaimRefusalReason = 'abandoned'
  | 'answer-not-kept'
  | 'behind'
  | 'body-differs'
  | 'held'
  | 'log-unavailable'
  | 'not-read-back'
  | 'table-full'
  | 'unknown';

interface RefusalRow {
  readonly status: number;
  /**
   * True when this attempt sent nothing and no other attempt of the key is known to have been sent.
   * Where the log cannot be read, an earlier attempt is covered by the answer that it got itself.
   */
  readonly notRun: boolean;
  readonly retryAfterMs: Core.Millis | undefined;
  readonly sentence: string;
}

const HTTP_CONFLICT = 409;
const HTTP_UNPROCESSABLE = 422;
const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;

/** A claim is usually decided within this time once the log answers again, in milliseconds. */
const RETRY_AFTER_LOG_MS = 2_000;
/** Time to come back for the result of a running call, in milliseconds. */
const RETRY_AFTER_HELD_MS = 1_000;
/** Keys leave a full table by expiry only, which takes a part of the window. */
const RETRY_AFTER_FULL_MS = 10_000;

const REFUSAL_ROWS: Readonly<Record<ClaimRefusalReason, RefusalRow>> = {
  abandoned: {
    notRun: true,
    retryAfterMs: RETRY_AFTER_HELD_MS,
    sentence: 'the attempt ended before the call was sent',
    status: HTTP_UNAVAILABLE,
  },
  'answer-not-kept': {
    notRun: false,
    retryAfterMs: undefined,
    sentence: 'the call ran, but its answer was too large to be kept',
    status: HTTP_CONFLICT,
  },
  behind: {
    notRun: true,
    retryAfterMs: RETRY_AFTER_LOG_MS,
    sentence: 'earlier claims have not all been read from the log yet',
    status: HTTP_UNAVAILABLE,
  },
  'body-differs': {
    notRun: true,
    retryAfterMs: undefined,
    sentence: 'the idempotency key was used with a different body',
    status: HTTP_UNPROCESSABLE,
  },
  held: {
    notRun: false,
    retryAfterMs: RETRY_AFTER_HELD_MS,
    sentence: 'a call with this idempotency key is in progress',
    status: HTTP_CONFLICT,
  },
  'log-unavailable': {
    notRun: true,
    retryAfterMs: RETRY_AFTER_LOG_MS,
    sentence: 'the log is unavailable, so the call cannot be claimed',
    status: HTTP_UNAVAILABLE,
  },
  'not-read-back': {
    notRun: true,
    retryAfterMs: RETRY_AFTER_LOG_MS,
    sentence: 'the claim was not read back from the log in time',
    status: HTTP_UNAVAILABLE,
  },
  'table-full': {
    notRun: true,
    retryAfterMs: RETRY_AFTER_FULL_MS,
    sentence: 'too many idempotency keys are in use',
    status: HTTP_UNAVAILABLE,
  },
  unknown: {
    notRun: false,
    retryAfterMs: undefined,
    sentence: 'an earlier call with this idempotency key was sent or may have been sent, and its '
      + 'outcome is unknown',
    status: HTTP_BAD_GATEWAY,
  },
};

/** A call with an idempotency key was refused; nothing of this attempt was sent. */
export class ClaimRefusal extends Data.TaggedError('ClaimRefusal')<{
  readonly reason: ClaimRefusalReason;
  readonly status: number;
  readonly notRun: boolean;
  readonly retryAfterMs: Core.Millis | undefined;
}> {
  get message(): string {
    return REFUSAL_ROWS[this.reason].sentence;
  }
}

/** Creates the refusal for a reason. */
export function createClaimRefusal(reason: ClaimRefusalReason): ClaimRefusal {
  const { notRun, retryAfterMs, status } = REFUSAL_ROWS[reason];
  return new ClaimRefusal({
    notRun, reason, retryAfterMs, status,
  });
}
