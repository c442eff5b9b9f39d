/**
 * Load of the backend servers by all daemons of a fleet, as far as this daemon knows it. A daemon
 * receives 1 to 6 requests a second, so its own requests alone say next to nothing about the load
 * of a server.
 */
import type * as Core from '@berylyoke/core';
import type * as FleetOutcomes from './FleetOutcomes.js';
import * as LoadGauges from './LoadGauges.js';
import type * as OutcomeExchange from './OutcomeExchange.js';

/** Load of a server by all daemons. */
export interface FleetServerLoad extends LoadGauges.LoadAmounts {
  /** Age of what is known of the other daemons; infinite if nothing is. */
  readonly ageMs: Core.Millis;
}

/** Part of a client account in the demand of all accounts. */
export interface AccountShare {
  /** Share in the prompt tokens that all accounts recently asked for; 0 without any. */
  readonly share: number;
  /** Number of accounts that recently asked for prompt tokens. */
  readonly accounts: number;
}

/** Load of the fleet; servers are named by their incarnation (`ServerTable.formatIncarnation`). */
export interface FleetLoad {
  /**
   * Returns the load of one server by all daemons: the newest sum without this daemon's own part,
   * plus its current own part.
   */
  readonly getServerLoad: (server: string, nowMs: Core.Millis) => FleetServerLoad;
  /** Ratio of observed to expected time to the first token; 1 where too little is known. */
  readonly getSlowdown: (server: string, nowMs: Core.Millis) => number;
  readonly getAccountShare: (account: string, nowMs: Core.Millis) => AccountShare;
  /** Whether the sums are recent enough to be decided on. */
  readonly isFresh: (nowMs: Core.Millis) => boolean;
  /** Adds a change of this daemon's own load; negative amounts for requests that ended. */
  readonly addOwn: (server: string, change: LoadGauges.LoadAmounts) => void;
  /**
   * Records the time to the first token of an answered request. `expectedMs` is computed with the
   * nominal rate of the service, so that a slow server is not counted twice.
   */
  readonly observeFirstToken: (
    server: string, expectedMs: Core.Millis, observedMs: Core.Millis,
  ) => void;
  /** Records that a full server refused a request. */
  readonly observeRefusal: (server: string) => void;
  /** Returns the number of requests that a full server recently refused; it decays with age. */
  readonly getRefusals: (server: string) => number;
  /** Adds the prompt tokens that a request of an account asks for. */
  readonly addDemand: (account: string, promptTokens: number) => void;
}

/**
 * Expected time to the first token, summed over recent requests, below which a slowdown is not
 * known: about three small prompts at an idle engine.
 */
const MIN_EXPECTED_MS = 300;

/** Bounds of a slowdown, so that a few extreme times neither attract nor exclude all requests. */
const MIN_SLOWDOWN = 0.1;
const MAX_SLOWDOWN = 20;

/** Tokens at or below which an account does not count as active. */
const MIN_ACTIVE_TOKENS = 1;

/** Dependencies of the load of the fleet. */
export interface FleetLoadContext {
  readonly clock: Core.Clock;
  readonly gauges: LoadGauges.LoadGauges;
  readonly outcomes: Pick<OutcomeExchange.OutcomeExchange, 'getOutcomes' | 'observe'>;
}

/** Creates the load of the fleet from the gauges and the outcomes that daemons exchange. */
export function createFleetLoad({ clock, gauges, outcomes }: FleetLoadContext): FleetLoad {
  const observe = (
    server: string,
    observed: Pick<FleetOutcomes.ServerOutcomes, 'expectedMs' | 'observedMs' | 'refusals'>,
  ): void => outcomes.observe({
    failures: 0, requests: 0, server, ...observed,
  });
  return {
    addDemand: (account, promptTokens) => (
      gauges.addDemand(account, promptTokens, clock.readMonotonic())
    ),
    addOwn: gauges.addOwn,
    getAccountShare: (account, nowMs) => {
      const active = [...gauges.sumDemands(nowMs)]
        .filter(([, tokens]) => tokens > MIN_ACTIVE_TOKENS);
      const total = active.reduce((sum, [, tokens]) => sum + tokens, 0);
      const own = active.find(([name]) => name === account)?.[1] ?? 0;
      return { accounts: active.length, share: total === 0 ? 0 : own / total };
    },
    getRefusals: (server) => outcomes.getOutcomes(server).refusals ?? 0,
    getServerLoad: (server, nowMs) => ({
      ...gauges.getLoad(server, nowMs), ageMs: gauges.getAge(nowMs),
    }),
    getSlowdown: (server) => {
      const { expectedMs = 0, observedMs = 0 } = outcomes.getOutcomes(server);
      if (expectedMs < MIN_EXPECTED_MS) return 1;
      return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, observedMs / expectedMs));
    },
    isFresh: (nowMs) => gauges.getAge(nowMs) <= LoadGauges.MAX_LOAD_AGE_MS,
    observeFirstToken: (server, expectedMs, observedMs) => {
      if (expectedMs > 0 && observedMs >= 0) observe(server, { expectedMs, observedMs });
    },
    observeRefusal: (server) => observe(server, { refusals: 1 }),
  };
}
