/**
 * Orders to engines to load models and adapters. The weight store limits their rate, so the most
 * urgent ones go first and the rest waits for the next step.
 */
import type * as Core from '@berylyoke/core';

/** A load that should happen. */
export interface WantedLoad {
  readonly serverId: string;
  readonly model: string;
  readonly adapter?: string;
  /** Tokens per second that wait for it. */
  readonly demandTokensPerSecond: number;
}

/** Loads that may still be ordered now. */
export interface LoadBudget {
  readonly credit: number;
  readonly updatedMs: Core.Millis;
}

/** An order and why it was given. */
export interface LoadOrder extends WantedLoad {
  readonly reason: {
    readonly _tag: 'LoadDemand';
    readonly rank: number;
    readonly demandTokensPerSecond: number;
  };
}

/** Orders of one step. */
export interface LoadPlan {
  readonly budget: LoadBudget;
  readonly orders: readonly LoadOrder[];
  /** Loads that wait for the rate. */
  readonly waiting: readonly WantedLoad[];
}

/** Plans loads within the rate, one at a time for each server. */
export function planLoads(
  budget: LoadBudget,
  wanted: readonly WantedLoad[],
  loadsPerMinute: number,
  nowMs: Core.Millis,
): LoadPlan {
  const elapsedMs = Math.max(0, nowMs - budget.updatedMs);
  const credit = Math.min(loadsPerMinute, budget.credit + (elapsedMs * loadsPerMinute) / 60_000);
  const ranked = [...wanted].sort((a, b) => (
    b.demandTokensPerSecond - a.demandTokensPerSecond || (a.serverId < b.serverId ? -1 : 1)
  ));
  const firsts = ranked.filter(({ serverId }, index) => (
    ranked.findIndex((other) => other.serverId === serverId) === index
  ));
  const chosen = firsts.slice(0, Math.floor(credit));
  return {
    budget: { credit: credit - chosen.length, updatedMs: nowMs },
    orders: chosen.map((load, rank) => ({
      ...load,
      reason: {
        _tag: 'LoadDemand', demandTokensPerSecond: load.demandTokensPerSecond, rank,
      },
    })),
    waiting: ranked.filter((load) => !chosen.includes(load)),
  };
}
