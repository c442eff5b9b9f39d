/**
 * Load of the backend servers by all daemons of a fleet, as far as this daemon knows it. A daemon
 * receives 1 to 6 requests a second, so its own requests alone say next to nothing about the load
 * of a server.
 */
import type * as Core from '@berylyoke/core';

/** Load of a server by requests with a prompt. */
export interface LoadAmounts {
  /** Uncached prompt tokens that were sent and have no first token yet. */
  readonly pendingPromptTokens: number;
  /** Requests in progress. */
  readonly requests: number;
  /** Tokens held in the memory of the server: prompt plus allowed output. */
  readonly heldTokens: number;
}

/** Load of a server by all daemons. */
export interface FleetServerLoad extends LoadAmounts {
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
  readonly addOwn: (server: string, change: LoadAmounts) => void;
  /**
   * Records the time to the first token of an answered request. `expectedMs` is computed with the
   * nominal rate of the service, so that a slow server is not counted twice.
   */
  readonly observeFirstToken: (
    server: string, expectedMs: Core.Millis, observedMs: Core.Millis,
  ) => void;
  /** Records that a full server refused a request. */
  readonly observeRefusal: (server: string) => void;
  /** Adds the prompt tokens that a request of an account asks for. */
  readonly addDemand: (account: string, promptTokens: number) => void;
}

const NO_LOAD: LoadAmounts = { heldTokens: 0, pendingPromptTokens: 0, requests: 0 };

/** Half-life of the demand of an account. */
const DEMAND_HALF_LIFE_MS = 4_000;

/** Half-life of observed and expected times to the first token. */
const FIRST_TOKEN_HALF_LIFE_MS = 6_000;

/** Expected time to first tokens, summed over requests, below which a slowdown is not known. */
const MIN_EXPECTED_MS = 200;

interface FirstTokens {
  readonly expectedMs: Core.Millis;
  readonly observedMs: Core.Millis;
  readonly updatedMs: Core.Millis;
}

/** Creates the load that is known without other daemons; it is never fresh. */
export function createFleetLoad(clock: Core.Clock): FleetLoad {
  const own = new Map<string, LoadAmounts>();
  const firstTokens = new Map<string, FirstTokens>();
  const demands = new Map<string, { readonly tokens: number; readonly updatedMs: number }>();
  const readDemand = (account: string, nowMs: Core.Millis): number => {
    const known = demands.get(account);
    return known === undefined
      ? 0
      : known.tokens * 0.5 ** (Math.max(0, nowMs - known.updatedMs) / DEMAND_HALF_LIFE_MS);
  };
  const readFirstTokens = (server: string, nowMs: Core.Millis): FirstTokens => {
    const { expectedMs, observedMs, updatedMs } = firstTokens.get(server)
      ?? { expectedMs: 0, observedMs: 0, updatedMs: nowMs };
    const decay = 0.5 ** (Math.max(0, nowMs - updatedMs) / FIRST_TOKEN_HALF_LIFE_MS);
    return { expectedMs: expectedMs * decay, observedMs: observedMs * decay, updatedMs: nowMs };
  };
  return {
    addDemand: (account, promptTokens) => {
      const nowMs = clock.readMonotonic();
      demands.set(account, {
        tokens: readDemand(account, nowMs) + promptTokens, updatedMs: nowMs,
      });
    },
    addOwn: (server, change) => {
      const known = own.get(server) ?? NO_LOAD;
      const requests = Math.max(0, known.requests + change.requests);
      if (requests === 0) own.delete(server);
      else {
        own.set(server, {
          heldTokens: Math.max(0, known.heldTokens + change.heldTokens),
          pendingPromptTokens: Math.max(
            0,
            known.pendingPromptTokens + change.pendingPromptTokens,
          ),
          requests,
        });
      }
    },
    getAccountShare: (account, nowMs) => {
      const all = [...demands.keys()].map((name) => readDemand(name, nowMs))
        .filter((tokens) => tokens >= 1);
      const total = all.reduce((sum, tokens) => sum + tokens, 0);
      return {
        accounts: all.length,
        share: total === 0 ? 0 : Math.min(1, readDemand(account, nowMs) / total),
      };
    },
    getServerLoad: (server) => ({ ...own.get(server) ?? NO_LOAD, ageMs: Infinity }),
    getSlowdown: (server, nowMs) => {
      const { expectedMs, observedMs } = readFirstTokens(server, nowMs);
      return expectedMs < MIN_EXPECTED_MS ? 1 : observedMs / expectedMs;
    },
    isFresh: () => false,
    observeFirstToken: (server, expectedMs, observedMs) => {
      const known = readFirstTokens(server, clock.readMonotonic());
      firstTokens.set(server, {
        expectedMs: known.expectedMs + expectedMs,
        observedMs: known.observedMs + observedMs,
        updatedMs: known.updatedMs,
      });
    },
    observeRefusal: () => undefined,
  };
}
