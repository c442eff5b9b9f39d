/**
 * Throughput of a pool by tier, measured from this daemon's dispatches. Admission control divides
 * the queued work by it to estimate the queue wait.
 */
import type * as Core from '@berylyoke/core';

/** Measured throughput of one pool. */
export interface ServiceRate {
  /** Records the cost of a dispatch; `isSaturated` if requests are still queued after it. */
  readonly recordDispatch: (
    tier: number, costTokens: number, nowMs: Core.Millis, isSaturated: boolean,
  ) => void;
  /** Gets the throughput of all tiers together, in answer tokens per second. */
  readonly getTotalRate: (nowMs: Core.Millis) => number;
  /** Gets the throughput that higher tiers leave to a tier; at least a small share of the total. */
  readonly getTierRate: (tier: number, nowMs: Core.Millis) => number;
}

/** Time constant of the moving average; long enough for several dispatches of the slowest class. */
const TIME_CONSTANT_MS = 5_000;

/** Share of the total throughput that a tier is assumed to get at least, by its classes' floors. */
const MIN_TIER_SHARE = 0.02;

/**
 * Creates a measurement; `initialTokensPerSecond` is used until dispatches have been recorded for
 * one time constant.
 */
export function createServiceRate(initialTokensPerSecond: number): ServiceRate {
  const tokensByTier: number[] = [];
  let updatedMs: Core.Millis | undefined;
  let startedMs: Core.Millis = 0;
  let totalTokensPerSecond = initialTokensPerSecond;

  const decayTokens = (nowMs: Core.Millis): void => {
    if (updatedMs === undefined) {
      startedMs = nowMs;
      updatedMs = nowMs;
    }
    const factor = Math.exp(-Math.max(0, nowMs - updatedMs) / TIME_CONSTANT_MS);
    tokensByTier.forEach((tokens, tier) => {
      tokensByTier[tier] = tokens * factor;
    });
    updatedMs = Math.max(updatedMs, nowMs);
  };

  const sumTokensFromTier = (tier: number): number => (
    tokensByTier.reduce((sum, tokens, index) => (index >= tier ? sum + tokens : sum), 0)
  );

  const getTotalRate = (nowMs: Core.Millis): number => {
    decayTokens(nowMs);
    return Math.max(totalTokensPerSecond, 1);
  };

  return {
    getTierRate: (tier, nowMs) => {
      const totalRate = getTotalRate(nowMs);
      const higherTierRate = ((sumTokensFromTier(0) - sumTokensFromTier(tier)) * 1_000)
        / TIME_CONSTANT_MS;
      return Math.max(totalRate * MIN_TIER_SHARE, totalRate - higherTierRate);
    },
    getTotalRate,
    recordDispatch: (tier, costTokens, nowMs, isSaturated) => {
      decayTokens(nowMs);
      while (tokensByTier.length <= tier) tokensByTier.push(0);
      tokensByTier[tier] = (tokensByTier[tier] ?? 0) + costTokens;
      if (nowMs - startedMs < TIME_CONSTANT_MS) return;
      const rate = (sumTokensFromTier(0) * 1_000) / TIME_CONSTANT_MS;
      // Without queued requests, dispatches follow the demand, which is only a lower bound on the
      // throughput.
      if (isSaturated) totalTokensPerSecond += (rate - totalTokensPerSecond) * 0.05;
      else totalTokensPerSecond = Math.max(totalTokensPerSecond, rate);
    },
  };
}
