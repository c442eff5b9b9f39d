/**
 * Reserve of free slots for urgent requests of higher tiers. Without it, long answers of lower
 * tiers could occupy all slots, and an urgent request would miss its latency target while it waits
 * for a slot. The reserve is the mean number of urgent requests plus a margin, a multiple of the
 * square root of that mean, minus the urgent requests already present.
 */
import type * as Core from '@berylyoke/core';

/** Counts the urgent requests of one pool, running and queued, and computes the reserve. */
export interface SlotReserve {
  readonly addRequest: (tier: number, nowMs: Core.Millis) => void;
  readonly removeRequest: (tier: number, nowMs: Core.Millis) => void;
  /** Computes the number of slots that a request of a tier must leave free for higher tiers. */
  readonly computeReserve: (tier: number, nowMs: Core.Millis) => number;
}

/** Time constant of the moving average of the request count. */
const MEAN_TIME_CONSTANT_MS = 10_000;

interface TierLoad {
  /** Urgent requests running or queued now. */
  readonly count: number;
  /** Exponential moving average of `count`. */
  readonly mean: number;
  readonly updatedMs: Core.Millis;
}

function updateMean({ count, mean, updatedMs }: TierLoad, nowMs: Core.Millis): TierLoad {
  const weight = 1 - Math.exp(-Math.max(0, nowMs - updatedMs) / MEAN_TIME_CONSTANT_MS);
  return { count, mean: mean + (count - mean) * weight, updatedMs: nowMs };
}

/**
 * Creates a reserve; `marginDeviations` is the margin as a multiple of the square root of the mean.
 */
export function createSlotReserve(marginDeviations: number): SlotReserve {
  const tiers = new Map<number, TierLoad>();
  const addCount = (tier: number, delta: number, nowMs: Core.Millis): void => {
    const load = updateMean(tiers.get(tier) ?? { count: 0, mean: 0, updatedMs: nowMs }, nowMs);
    tiers.set(tier, { ...load, count: Math.max(0, load.count + delta) });
  };
  return {
    addRequest: (tier, nowMs) => addCount(tier, 1, nowMs),
    computeReserve: (tier, nowMs) => {
      let count = 0;
      let mean = 0;
      tiers.forEach((load, loadTier) => {
        if (loadTier >= tier) return;
        count += load.count;
        mean += updateMean(load, nowMs).mean;
      });
      return Math.max(0, Math.ceil(mean + marginDeviations * Math.sqrt(mean) - count));
    },
    removeRequest: (tier, nowMs) => addCount(tier, -1, nowMs),
  };
}
