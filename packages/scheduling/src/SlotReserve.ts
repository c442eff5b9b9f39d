/**
 * Slots that are kept free for urgent requests of higher tiers. Long answers of lower tiers would
 * otherwise hold every slot, and a request whose target is shorter than the time until a slot ends
 * could not meet it. The reserve follows the mean number of urgent requests, with a margin of its
 * square root.
 */
import type * as Core from '@berylyoke/core';

/** Urgent requests of one pool, running or waiting. */
export interface SlotReserve {
  readonly addRequest: (tier: number, nowMs: Core.Millis) => void;
  readonly removeRequest: (tier: number, nowMs: Core.Millis) => void;
  /** Computes the slots that a request of a tier has to leave free. */
  readonly computeReserve: (tier: number, nowMs: Core.Millis) => number;
}

/** Time constant of the mean. */
const MEAN_MS = 10_000;

interface TierLoad {
  readonly count: number;
  readonly mean: number;
  readonly updatedMs: Core.Millis;
}

function advanceLoad({ count, mean, updatedMs }: TierLoad, nowMs: Core.Millis): TierLoad {
  const weight = 1 - Math.exp(-Math.max(0, nowMs - updatedMs) / MEAN_MS);
  return { count, mean: mean + (count - mean) * weight, updatedMs: nowMs };
}

/** Creates a reserve; `deviations` is the margin in units of the square root of the mean. */
export function createSlotReserve(deviations: number): SlotReserve {
  const tiers = new Map<number, TierLoad>();
  const addCount = (tier: number, delta: number, nowMs: Core.Millis): void => {
    const load = advanceLoad(tiers.get(tier) ?? { count: 0, mean: 0, updatedMs: nowMs }, nowMs);
    tiers.set(tier, { ...load, count: Math.max(0, load.count + delta) });
  };
  return {
    addRequest: (tier, nowMs) => addCount(tier, 1, nowMs),
    computeReserve: (tier, nowMs) => {
      let count = 0;
      let mean = 0;
      tiers.forEach((load, other) => {
        if (other >= tier) return;
        count += load.count;
        mean += advanceLoad(load, nowMs).mean;
      });
      return Math.max(0, Math.ceil(mean + deviations * Math.sqrt(mean) - count));
    },
    removeRequest: (tier, nowMs) => addCount(tier, -1, nowMs),
  };
}
