/**
 * Rate at which a pool takes work, by tier, from the daemon's own dispatches. Admission divides the
 * queued work by it to expect a wait.
 */
import type * as Core from '@berylyoke/core';

/** Observed rates of one pool. */
export interface ServiceRate {
  /** Records the work of a dispatch; `saturated` when a request was left waiting after it. */
  readonly recordDispatch: (
    tier: number, costTokens: number, nowMs: Core.Millis, saturated: boolean,
  ) => void;
  /** Rate of all tiers together, in tokens of work per second. */
  readonly getTotalRate: (nowMs: Core.Millis) => number;
  /** Rate that higher tiers leave to a tier, and never less than a small share of the total. */
  readonly getTierRate: (tier: number, nowMs: Core.Millis) => number;
}

/** Time constant of the rates; several dispatches of the slowest class fall into it. */
const WINDOW_MS = 5_000;

/** Share of the total that a tier is expected to get through the floors. */
const FLOOR_SHARE = 0.02;

/** Creates rates; `initialTokensPerSecond` holds until dispatches have filled one window. */
export function createServiceRate(initialTokensPerSecond: number): ServiceRate {
  const tiers: number[] = [];
  let updatedMs: Core.Millis | undefined;
  let startedMs: Core.Millis = 0;
  let peakTokensPerSecond = initialTokensPerSecond;

  const decay = (nowMs: Core.Millis): void => {
    if (updatedMs === undefined) {
      startedMs = nowMs;
      updatedMs = nowMs;
    }
    const factor = Math.exp(-Math.max(0, nowMs - updatedMs) / WINDOW_MS);
    tiers.forEach((tokens, tier) => {
      tiers[tier] = tokens * factor;
    });
    updatedMs = Math.max(updatedMs, nowMs);
  };

  const sumFrom = (tier: number): number => (
    tiers.reduce((sum, tokens, index) => (index >= tier ? sum + tokens : sum), 0)
  );

  const getTotalRate = (nowMs: Core.Millis): number => {
    decay(nowMs);
    return Math.max(peakTokensPerSecond, 1);
  };

  return {
    getTierRate: (tier, nowMs) => {
      const total = getTotalRate(nowMs);
      const higher = ((sumFrom(0) - sumFrom(tier)) * 1_000) / WINDOW_MS;
      return Math.max(total * FLOOR_SHARE, total - higher);
    },
    getTotalRate,
    recordDispatch: (tier, costTokens, nowMs, saturated) => {
      decay(nowMs);
      while (tiers.length <= tier) tiers.push(0);
      tiers[tier] = (tiers[tier] ?? 0) + costTokens;
      if (nowMs - startedMs < WINDOW_MS) return;
      const rate = (sumFrom(0) * 1_000) / WINDOW_MS;
      // Without a backlog the dispatches show the demand, which is only a lower bound.
      if (saturated) peakTokensPerSecond += (rate - peakTokensPerSecond) * 0.05;
      else peakTokensPerSecond = Math.max(peakTokensPerSecond, rate);
    },
  };
}
