/**
 * Planning of model and adapter loads on engines. The weight store limits the rate of loads, so the
 * loads with the highest demand are ordered first and the others wait for a later plan.
 */
import type * as Core from '@berylyoke/core';

/** A model or adapter to load on a server. */
export interface ModelLoad {
  readonly serverId: string;
  readonly model: string;
  readonly adapter?: string;
  /** Demand that the load would serve, in tokens per second. */
  readonly demandTokensPerSecond: number;
}

/** Token bucket for the rate of loads; `credit` is the number of loads that may be ordered now. */
export interface ModelLoadBudget {
  readonly credit: number;
  readonly updatedMs: Core.Millis;
}

/** An order to load a model or adapter, and its reason. */
export interface ModelLoadOrder extends ModelLoad {
  readonly reason: {
    readonly _tag: 'LoadDemand';
    readonly rank: number;
    readonly demandTokensPerSecond: number;
  };
}

/** Load orders, and the budget after them. */
export interface ModelLoadPlan {
  readonly budget: ModelLoadBudget;
  readonly orders: readonly ModelLoadOrder[];
  /** Loads postponed by the rate limit, or because the server gets another load first. */
  readonly waiting: readonly ModelLoad[];
}

/** Plans loads within the rate limit, at most one for each server. */
export function planModelLoads(
  budget: ModelLoadBudget,
  requestedLoads: readonly ModelLoad[],
  loadsPerMinute: number,
  nowMs: Core.Millis,
): ModelLoadPlan {
  const elapsedMs = Math.max(0, nowMs - budget.updatedMs);
  const credit = Math.min(loadsPerMinute, budget.credit + (elapsedMs * loadsPerMinute) / 60_000);
  const ranked = [...requestedLoads].sort((a, b) => (
    b.demandTokensPerSecond - a.demandTokensPerSecond || (a.serverId < b.serverId ? -1 : 1)
  ));
  const firstPerServer = ranked.filter(({ serverId }, index) => (
    ranked.findIndex((other) => other.serverId === serverId) === index
  ));
  const chosen = firstPerServer.slice(0, Math.floor(credit));
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
