/**
 * Admission: limits of the client account, then feasibility of the latency target. A request that
 * cannot meet its target any more is refused at once, with the time after which to retry; it is
 * never held.
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

/** A request that asks for admission. */
export interface AdmissionRequest {
  readonly account: string;
  readonly limits: AccountLimits;
  readonly promptTokens: number;
  /** Pessimistic quantile of the answer length. */
  readonly answerTokens: number;
  /** Target for the first token, or for the whole answer of a plain service. */
  readonly targetMs: Core.Millis;
  /** Longest wait in the queue that the class allows. */
  readonly maxQueueMs: Core.Millis;
  /** Time that has passed since the request arrived. */
  readonly elapsedMs: Core.Millis;
}

/** What the request would wait for. */
export interface AdmissionOutlook {
  /** True when a server could take the request now. */
  readonly hasFreeSlot: boolean;
  readonly workAhead: FairQueue.WorkAhead;
  /** Work that the pool finishes for all tiers together. */
  readonly totalTokensPerSecond: number;
  /** Part of it that higher tiers leave to the request's tier. */
  readonly tierTokensPerSecond: number;
  /** Pessimistic time from dispatch to the first token. */
  readonly serviceMs: Core.Millis;
}

/** An admitted request. `tokens` is held against the account's limit until it is settled. */
export interface AdmissionGrant {
  readonly account: string;
  readonly tokens: number;
  readonly expectedFirstTokenMs: Core.Millis;
  readonly latestStartMs: Core.Millis;
  readonly reason: Explanation.AdmissionReason;
}

/** A request that is refused at once, without having run. */
export interface AdmissionRefusal {
  readonly _tag: 'AdmissionRefusal';
  /** Limits belong to the account (429), feasibility to the system (503). */
  readonly status: 429 | 503;
  readonly retryAfterMs: Core.Millis;
  readonly reason: Explanation.AdmissionReason;
}

/** How admission estimates. */
export interface AdmissionOptions {
  /** Share of the target that may be planned; the rest absorbs what the estimates miss. */
  readonly plannedShare: number;
  readonly minRetryAfterMs: Core.Millis;
  readonly maxRetryAfterMs: Core.Millis;
}

/** Values used when nothing else is set. */
export const defaultAdmissionOptions: AdmissionOptions = {
  maxRetryAfterMs: 60_000,
  minRetryAfterMs: 250,
  plannedShare: 1,
};

/** Admission of one daemon. */
export interface Admission {
  /**
   * Admits a request or refuses it.
   *
   * @param random in [0, 1); spreads retry times by up to a quarter so that callers do not return
   *   together
   */
  readonly admitRequest: (
    request: AdmissionRequest, outlook: AdmissionOutlook, nowMs: Core.Millis, random: number,
  ) => Purify.Either<AdmissionRefusal, AdmissionGrant>;
  /** Counts a request again that was admitted before and resumes on another server. */
  readonly renewGrant: (account: string, latestStartMs: Core.Millis) => AdmissionGrant;
  /** Releases a grant, giving back the tokens that were not used. */
  readonly releaseGrant: (grant: AdmissionGrant, usedTokens: number) => void;
  readonly countRunning: (account: string) => number;
}

const MINUTE_MS = 60_000;

/** Expects the time to the first token of a request that is admitted now. */
export function estimateFirstTokenMs(outlook: AdmissionOutlook): Core.Millis {
  const { higherTokens, sameTierTokens } = outlook.workAhead;
  if (outlook.hasFreeSlot && higherTokens + sameTierTokens === 0) return outlook.serviceMs;
  const higherMs = (higherTokens * 1_000) / Math.max(1, outlook.totalTokensPerSecond);
  const sameTierMs = (sameTierTokens * 1_000) / Math.max(1, outlook.tierTokensPerSecond);
  return outlook.serviceMs + higherMs + sameTierMs;
}

interface AccountState {
  running: number;
  availableTokens: number;
  updatedMs: Core.Millis;
}

/** Creates admission without any running request. */
export function createAdmission(options: AdmissionOptions = defaultAdmissionOptions): Admission {
  const accounts = new Map<string, AccountState>();

  const getAccount = (
    { account, limits }: AdmissionRequest,
    nowMs: Core.Millis,
  ): AccountState => {
    const known = accounts.get(account);
    if (known === undefined) {
      const added = { availableTokens: limits.tokensPerMinute, running: 0, updatedMs: nowMs };
      accounts.set(account, added);
      return added;
    }
    const refill = (limits.tokensPerMinute * Math.max(0, nowMs - known.updatedMs)) / MINUTE_MS;
    known.availableTokens = Math.min(limits.tokensPerMinute, known.availableTokens + refill);
    known.updatedMs = Math.max(known.updatedMs, nowMs);
    return known;
  };

  const refuse = (
    reason: Explanation.AdmissionReason,
    status: 429 | 503,
    afterMs: Core.Millis,
    random: number,
  ): Purify.Either<AdmissionRefusal, AdmissionGrant> => {
    const { maxRetryAfterMs, minRetryAfterMs } = options;
    const bounded = Math.min(Math.max(minRetryAfterMs, afterMs), maxRetryAfterMs);
    return Purify.Left({
      _tag: 'AdmissionRefusal', reason, retryAfterMs: Math.ceil(bounded * (1 + random / 4)), status,
    });
  };

  return {
    admitRequest: (request, outlook, nowMs, random) => {
      const { limits, targetMs } = request;
      const state = getAccount(request, nowMs);
      const expectedFirstTokenMs = estimateFirstTokenMs(outlook);
      if (state.running >= limits.concurrentRequests) {
        return refuse({
          _tag: 'ConcurrencyLimit', limit: limits.concurrentRequests, running: state.running,
        }, 429, expectedFirstTokenMs, random);
      }
      // An answer that could use more than a minute's tokens needs the whole minute's, not more.
      const neededTokens = Math.min(
        request.promptTokens + request.answerTokens,
        limits.tokensPerMinute,
      );
      if (state.availableTokens < neededTokens) {
        const missingTokens = neededTokens - state.availableTokens;
        return refuse({
          _tag: 'TokenLimit', availableTokens: state.availableTokens, neededTokens,
        }, 429, (missingTokens * MINUTE_MS) / limits.tokensPerMinute, random);
      }
      const remainingMs = targetMs - request.elapsedMs;
      const queueMs = expectedFirstTokenMs - outlook.serviceMs;
      const isFeasible = outlook.serviceMs <= remainingMs
        && (queueMs === 0 || expectedFirstTokenMs <= remainingMs * options.plannedShare)
        && queueMs <= request.maxQueueMs;
      if (!isFeasible) {
        return refuse({
          _tag: 'Infeasible', expectedFirstTokenMs, targetMs,
        }, 503, expectedFirstTokenMs - remainingMs * options.plannedShare, random);
      }
      state.running += 1;
      state.availableTokens -= neededTokens;
      return Purify.Right({
        account: request.account,
        expectedFirstTokenMs,
        latestStartMs: nowMs + Math.min(request.maxQueueMs, remainingMs - outlook.serviceMs),
        reason: { _tag: 'Admitted', expectedFirstTokenMs, targetMs },
        tokens: neededTokens,
      });
    },
    countRunning: (account) => accounts.get(account)?.running ?? 0,
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
