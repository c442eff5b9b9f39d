/**
 * Outcomes of requests at backend servers, summed over the daemons of a fleet. A daemon of a large
 * fleet sends a server one request in a minute, so what it observes alone tells it nothing; what
 * all observe shows a failing server within a second or two. Outcomes lose weight
 * with age and nothing depends on them for correctness: they only rank servers.
 */
import type * as Core from '@berylyoke/core';

/** Outcomes at one life of a server. */
export interface ServerOutcomes {
  readonly server: string;
  readonly requests: number;
  readonly failures: number;
}

/** Age at which a failure counts half; a server that recovered is tried again after a while. */
const FAILURES_HALF_LIFE_MS = 6_000;

/** Age of a view beyond which it is worth nothing, also one that is nonsense. */
export const MAX_VIEW_AGE_MS = 5_000;

/** Servers that one message names: those of a large deployment. */
export const MAX_SERVERS = 512;

/** Requests of one server in one message above which it is taken for nonsense. */
const MAX_REQUESTS = 100_000;

/** Weight below which outcomes are forgotten. */
const MIN_WEIGHT = 0.05;

/** Outcomes of no request. */
function createNone(server: string): ServerOutcomes {
  return { failures: 0, requests: 0, server };
}

function addOutcomes(a: ServerOutcomes, b: ServerOutcomes): ServerOutcomes {
  return {
    failures: a.failures + b.failures,
    requests: a.requests + b.requests,
    server: a.server,
  };
}

function computeFaded(outcomes: ServerOutcomes, ageMs: Core.Millis): ServerOutcomes {
  const failuresLeft = 0.5 ** (ageMs / FAILURES_HALF_LIFE_MS);
  return {
    failures: outcomes.failures * failuresLeft,
    requests: outcomes.requests * failuresLeft,
    server: outcomes.server,
  };
}

/** Checks outcomes that came from another daemon. */
export function isPlausible({ failures, requests }: ServerOutcomes): boolean {
  return failures >= 0 && failures <= requests && requests <= MAX_REQUESTS;
}

/** Outcomes that were not told on yet. */
export interface OutcomeLedger {
  readonly add: (outcomes: ServerOutcomes) => void;
  /** Takes everything, the servers with most requests first, within the bound of a message. */
  readonly take: () => readonly ServerOutcomes[];
}

/** Creates an empty ledger. */
export function createOutcomeLedger(): OutcomeLedger {
  let byServer = new Map<string, ServerOutcomes>();
  return {
    add: (outcomes) => {
      const known = byServer.get(outcomes.server);
      if (known === undefined && byServer.size >= MAX_SERVERS) return;
      byServer.set(outcomes.server, addOutcomes(outcomes, known ?? createNone(outcomes.server)));
    },
    take: () => {
      const taken = [...byServer.values()];
      byServer = new Map();
      return taken;
    },
  };
}

/** Outcomes of many daemons, fading with age. */
export interface OutcomeSums {
  readonly add: (outcomes: readonly ServerOutcomes[], nowMs: Core.Millis) => void;
  readonly list: (nowMs: Core.Millis) => readonly ServerOutcomes[];
}

/** Creates sums without outcomes. */
export function createOutcomeSums(): OutcomeSums {
  let sums = new Map<string, ServerOutcomes>();
  let asOfMs = 0;
  const updateSums = (nowMs: Core.Millis): void => {
    const ageMs = Math.max(0, nowMs - asOfMs);
    asOfMs = nowMs;
    const faded = [...sums.values()].map((each) => computeFaded(each, ageMs))
      .filter(({ requests }) => requests > MIN_WEIGHT);
    sums = new Map(faded.map((each) => [each.server, each]));
  };
  return {
    add: (outcomes, nowMs) => {
      updateSums(nowMs);
      outcomes.filter(isPlausible).forEach((each) => {
        const known = sums.get(each.server);
        if (known === undefined && sums.size >= MAX_SERVERS) return;
        sums.set(each.server, addOutcomes(each, known ?? createNone(each.server)));
      });
    },
    list: (nowMs) => {
      updateSums(nowMs);
      return [...sums.values()];
    },
  };
}

/** What the fleet observed, as this daemon was last told. */
export interface FleetView {
  readonly set: (outcomes: readonly ServerOutcomes[], nowMs: Core.Millis) => void;
  /** Outcomes at a server; none where nothing was told lately. */
  readonly get: (server: string, nowMs: Core.Millis) => ServerOutcomes;
  readonly isFresh: (nowMs: Core.Millis) => boolean;
  readonly list: (nowMs: Core.Millis) => readonly ServerOutcomes[];
}

/** Creates a view of nothing. */
export function createFleetView(): FleetView {
  let told = new Map<string, ServerOutcomes>();
  let toldMs = -Infinity;
  const isFresh = (nowMs: Core.Millis): boolean => nowMs - toldMs < MAX_VIEW_AGE_MS;
  const get = (server: string, nowMs: Core.Millis): ServerOutcomes => {
    const known = isFresh(nowMs) ? told.get(server) : undefined;
    return known === undefined
      ? createNone(server)
      : computeFaded(known, Math.max(0, nowMs - toldMs));
  };
  return {
    get,
    isFresh,
    list: (nowMs) => [...told.keys()].map((server) => get(server, nowMs)),
    set: (outcomes, nowMs) => {
      told = new Map(outcomes.filter(isPlausible).slice(0, MAX_SERVERS)
        .map((each) => [each.server, each]));
      toldMs = nowMs;
    },
  };
}
