/** Bounds of the claim service. */
import type * as Core from '@berylyoke/core';
import * as Either from 'effect/Either';
import * as Data from 'effect/Data';

/** Bounds of the claim service; times are in milliseconds. */
export interface ClaimLimits {
  /** Number of streams. All daemons must use the same number. */
  readonly shards: number;
  /** Time for which a key is remembered; at most the log's retention. */
  readonly windowMs: Core.Millis;
  /** Longest wait for the read-back of a claim. */
  readonly readBackMs: Core.Millis;
  /** Time from the append of a claim in which the call may be sent; at most half the window. */
  readonly sendWithinMs: Core.Millis;
  /** Longest wait of a repeat for the result of the running call. */
  readonly holderWaitMs: Core.Millis;
  /** Longest delay of an answer by the append of its result. */
  readonly resultWaitMs: Core.Millis;
  /** Time without contact to the log after which it counts as unavailable. */
  readonly contactMs: Core.Millis;
  /** Claims and releases in one shard, above which new keys are refused. */
  readonly claimsPerShard: number;
  /** Size of one stored body in bytes. */
  readonly bodyBytes: number;
  /** Bytes of all stored bodies of a shard, base64. */
  readonly storedBodyBytesPerShard: number;
  /** Releases and results that may wait for the log. */
  readonly pendingRecords: number;
}

/** Bounds for a fleet in which every daemon reads every shard. */
export const DEFAULT_CLAIM_LIMITS: ClaimLimits = {
  bodyBytes: 16 * 1024,
  // 0.95 KB of heap for each claim with a small answer (100,000 folded): 38 MB in 4 shards.
  claimsPerShard: 10_000,
  contactMs: 5_000,
  holderWaitMs: 2_000,
  pendingRecords: 10_000,
  readBackMs: 3_000,
  resultWaitMs: 500,
  sendWithinMs: 60_000,
  shards: 4,
  storedBodyBytesPerShard: 4 * 1024 * 1024,
  windowMs: 60 * 60 * 1_000,
};

/** Two bounds contradict each other. */
export class ClaimLimitsError extends Data.TaggedError('ClaimLimitsError')<{
  readonly limit: keyof ClaimLimits;
  readonly problem: string;
}> {
  get message(): string {
    return `claim limit ${this.limit} ${this.problem}`;
  }
}

/** Checks the relations that the promise rests on. */
export function checkClaimLimits(
  limits: ClaimLimits,
): Either.Either<ClaimLimits, ClaimLimitsError> {
  if (limits.shards < 1) {
    return Either.left(new ClaimLimitsError({ limit: 'shards', problem: 'must be at least 1' }));
  }
  if (limits.sendWithinMs * 2 > limits.windowMs) {
    return Either.left(new ClaimLimitsError({
      limit: 'sendWithinMs', problem: 'must be at most half of windowMs',
    }));
  }
  return Either.right(limits);
}
