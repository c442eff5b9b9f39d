/**
 * Admission control. Checks the limits of the client account, then whether the request can meet its
 * latency target. A request that cannot is refused immediately with a retry time instead of being
 * queued.
 */
import type * as Core from '@berylyoke/core';
import * as Purify from 'purify-ts';
import type * as Explanation from './Explanation.js';
import type * as FairQueue from './FairQueue.js';

/** Limits of one account on this daemon. */
export interface AccountLimits {
  readonly concurrentRequests: number;
  readonly tokensPerMinute: number;
}

/** Properties of a request that admission control checks. */
export interface AdmissionRequest {
  readonly account: string;
  readonly limits: AccountLimits;
  readonly promptTokens: number;
  /** Pessimistic estimate (a high quantile) of the answer length. */
  readonly answerTokens: number;
  /** Latency target: until the first token, or until the complete answer of a plain service. */
  readonly targetMs: Core.Millis;
  /** Longest wait in the queue that the class allows. */
  readonly maxQueueMs: Core.Millis;
  /** Time that has passed since the request arrived. */
  readonly elapsedMs: Core.Millis;
}

/** Load of the request's pool, from which its queue wait is estimated. */
export interface PoolLoad {
  /** True if a server of the pool has a free slot now. */
  readonly hasFreeSlot: boolean;
  readonly workAhead: FairQueue.WorkAhead;
  /** Throughput of the pool for all tiers together. */
  readonly totalTokensPerSecond: number;
  /** Part of the throughput that higher tiers leave to the request's tier. */
  readonly tierTokensPerSecond: number;
  /** Pessimistic estimate of the time from dispatch to the first token. */
  readonly dispatchToFirstTokenMs: Core.Millis;
}

/** An admitted request. `tokens` counts against the account's limit until the grant is released. */
export interface AdmissionGrant {
  readonly account: string;
  readonly tokens: number;
  readonly expectedFirstTokenMs: Core.Millis;
  readonly latestStartMs: Core.Millis;
  readonly reason: Explanation.AdmissionReason;
}

/** A request that was refused before it ran. */
export interface AdmissionRefusal {
  readonly _tag: 'AdmissionRefusal';
  /** 429 when a limit of the account was exceeded, 503 when the latency target is infeasible. */
  readonly status: 429 | 503;
  readonly retryAfterMs: Core.Millis;
  readonly reason: Explanation.AdmissionReason;
}

/** Options of admission control. */
export interface AdmissionOptions {
  /**
   * Share of the latency target that the estimated time may use if the request has to queue; the
   * rest is a margin for estimation errors.
   */
  readonly usableTargetShare: number;
  readonly minRetryAfterMs: Core.Millis;
  readonly maxRetryAfterMs: Core.Millis;
}

/** Default options. */
export const defaultAdmissionOptions: AdmissionOptions = {
  maxRetryAfterMs: 60_000,
  minRetryAfterMs: 250,
  usableTargetShare: 1,
};

/** Admission control of one daemon. */
export interface Admission {
  /**
   * Admits a request or refuses it.
   *
   * @param random number in [0, 1); adds up to 25 % jitter to the retry time, so that refused
   *   callers do not all retry at the same time
   */
  readonly admitRequest: (
    request: AdmissionRequest, poolLoad: PoolLoad, nowMs: Core.Millis, random: number,
  ) => Purify.Either<AdmissionRefusal, AdmissionGrant>;
  /**
   * Counts a request as running again that was admitted before and resumes on another server.
   * Does not charge tokens.
   */
  readonly renewGrant: (account: string, latestStartMs: Core.Millis) => AdmissionGrant;
  /** Ends a running request and returns its unused tokens to the account. */
  readonly releaseGrant: (grant: AdmissionGrant, usedTokens: number) => void;
  readonly countRunningRequests: (account: string) => number;
}

const MINUTE_MS = 60_000;

/** Estimates the time to first token of a request that is admitted now, queue wait included. */
export function estimateFirstTokenMs(poolLoad: PoolLoad): Core.Millis {
  const { higherTokens, sameTierTokens } = poolLoad.workAhead;
  if (
    poolLoad.hasFreeSlot && higherTokens + sameTierTokens === 0
  ) return poolLoad.dispatchToFirstTokenMs;
  const higherMs = (higherTokens * 1_000) / Math.max(1, poolLoad.totalTokensPerSecond);
  const sameTierMs = (sameTierTokens * 1_000) / Math.max(1, poolLoad.tierTokensPerSecond);
  return poolLoad.dispatchToFirstTokenMs + higherMs + sameTierMs;
}

interface AccountState {
  running: number;
  availableTokens: number;
  updatedMs: Core.Millis;
}

/** Creates admission control without running requests. */
export function createAdmission(options: AdmissionOptions = defaultAdmissionOptions): Admission {
  const accounts = new Map<string, AccountState>();

  const getAccount = (
    { account, limits }: AdmissionRequest,
    nowMs: Core.Millis,
  ): AccountState => {
    const existing = accounts.get(account);
    if (existing === undefined) {
      const created = { availableTokens: limits.tokensPerMinute, running: 0, updatedMs: nowMs };
      accounts.set(account, created);
      return created;
    }
    const refillTokens = (limits.tokensPerMinute * Math.max(0, nowMs - existing.updatedMs))
      / MINUTE_MS;
    existing.availableTokens = Math.min(
      limits.tokensPerMinute,
      existing.availableTokens + refillTokens,
    );
    existing.updatedMs = Math.max(existing.updatedMs, nowMs);
    return existing;
  };

  const buildRefusal = (
    reason: Explanation.AdmissionReason,
    status: 429 | 503,
    afterMs: Core.Millis,
    random: number,
  ): Purify.Either<AdmissionRefusal, AdmissionGrant> => {
    const { maxRetryAfterMs, minRetryAfterMs } = options;
    const boundedMs = Math.min(Math.max(minRetryAfterMs, afterMs), maxRetryAfterMs);
    return Purify.Left({
      _tag: 'AdmissionRefusal',
      reason,
      retryAfterMs: Math.ceil(boundedMs * (1 + random / 4)),
      status,
    });
  };

  return {
    admitRequest: (request, poolLoad, nowMs, random) => {
      const { limits, targetMs } = request;
      const state = getAccount(request, nowMs);
      const expectedFirstTokenMs = estimateFirstTokenMs(poolLoad);
      if (state.running >= limits.concurrentRequests) {
        return buildRefusal({
          _tag: 'ConcurrencyLimit', limit: limits.concurrentRequests, running: state.running,
        }, 429, expectedFirstTokenMs, random);
      }
      // A request that may need more tokens than the limit of one minute is admitted when the full
      // limit is available; otherwise it could never run.
      const neededTokens = Math.min(
        request.promptTokens + request.answerTokens,
        limits.tokensPerMinute,
      );
      if (state.availableTokens < neededTokens) {
        const missingTokens = neededTokens - state.availableTokens;
        return buildRefusal({
          _tag: 'TokenLimit', availableTokens: state.availableTokens, neededTokens,
        }, 429, (missingTokens * MINUTE_MS) / limits.tokensPerMinute, random);
      }
      const remainingMs = targetMs - request.elapsedMs;
      const queueMs = expectedFirstTokenMs - poolLoad.dispatchToFirstTokenMs;
      const isFeasible = poolLoad.dispatchToFirstTokenMs <= remainingMs
        && (queueMs === 0 || expectedFirstTokenMs <= remainingMs * options.usableTargetShare)
        && queueMs <= request.maxQueueMs;
      if (!isFeasible) {
        return buildRefusal({
          _tag: 'Infeasible', expectedFirstTokenMs, targetMs,
        }, 503, expectedFirstTokenMs - remainingMs * options.usableTargetShare, random);
      }
      state.running += 1;
      state.availableTokens -= neededTokens;
      return Purify.Right({
        account: request.account,
        expectedFirstTokenMs,
        latestStartMs: nowMs + Math.min(
          request.maxQueueMs,
          remainingMs - poolLoad.dispatchToFirstTokenMs,
        ),
        reason: { _tag: 'Admitted', expectedFirstTokenMs, targetMs },
        tokens: neededTokens,
      });
    },
    countRunningRequests: (account) => accounts.get(account)?.running ?? 0,
    releaseGrant: ({ account, tokens }, usedTokens) => {
      const state = accounts.get(account);
      if (state === undefined) return;
      state.running = Math.max(0, state.running - 1);
      state.availableTokens += tokens - usedTokens;
    },
    renewGrant: (account, latestStartMs) => {
      const state = accounts.get(account);
      if (state !== undefined) state.running += 1;
      return {
        account,
        expectedFirstTokenMs: 0,
        latestStartMs,
        reason: { _tag: 'Renewed' },
        tokens: 0,
      };
    },
  };
}
