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
const OUTCOME_HALF_LIFE_MS = 6_000;

/** Age of a view beyond which it is worth nothing, also one that is nonsense. */
export const MAX_VIEW_AGE_MS = 5_000;

/** Servers that one message names: those of a large deployment. */
export const MAX_SERVERS = 512;

/** Requests of one server in one message above which it is taken for nonsense. */
const MAX_REPORTED_REQUESTS = 100_000;

/** Weight below which outcomes are forgotten. */
const MIN_WEIGHT = 0.05;

/** Outcomes of no request. */
function createEmptyOutcomes(server: string): ServerOutcomes {
  return { failures: 0, requests: 0, server };
}

function addOutcomes(a: ServerOutcomes, b: ServerOutcomes): ServerOutcomes {
  return {
    failures: a.failures + b.failures,
    requests: a.requests + b.requests,
    server: a.server,
  };
}

function computeDecayed(outcomes: ServerOutcomes, ageMs: Core.Millis): ServerOutcomes {
  const decay = 0.5 ** (ageMs / OUTCOME_HALF_LIFE_MS);
  return {
    failures: outcomes.failures * decay,
    requests: outcomes.requests * decay,
    server: outcomes.server,
  };
}

/** Checks outcomes that came from another daemon. */
export function isPlausible({ failures, requests }: ServerOutcomes): boolean {
  return failures >= 0 && failures <= requests && requests <= MAX_REPORTED_REQUESTS;
}

/** Outcomes that were not told on yet. */
export interface OutcomeBuffer {
  readonly add: (outcomes: ServerOutcomes) => void;
  /** Takes everything, the servers with most requests first, within the bound of a message. */
  readonly take: () => readonly ServerOutcomes[];
}

/** Creates an empty ledger. */
export function createOutcomeBuffer(): OutcomeBuffer {
  let byServer = new Map<string, ServerOutcomes>();
  return {
    add: (outcomes) => {
      const known = byServer.get(outcomes.server);
      if (known === undefined && byServer.size >= MAX_SERVERS) return;
      byServer.set(
        outcomes.server,
        addOutcomes(outcomes, known ?? createEmptyOutcomes(outcomes.server)),
      );
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
  let updatedMs = 0;
  const updateSums = (nowMs: Core.Millis): void => {
    const ageMs = Math.max(0, nowMs - updatedMs);
    updatedMs = nowMs;
    const decayed = [...sums.values()].map((each) => computeDecayed(each, ageMs))
      .filter(({ requests }) => requests > MIN_WEIGHT);
    sums = new Map(decayed.map((each) => [each.server, each]));
  };
  return {
    add: (outcomes, nowMs) => {
      updateSums(nowMs);
      outcomes.filter(isPlausible).forEach((each) => {
        const known = sums.get(each.server);
        if (known === undefined && sums.size >= MAX_SERVERS) return;
        sums.set(each.server, addOutcomes(each, known ?? createEmptyOutcomes(each.server)));
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
  let received = new Map<string, ServerOutcomes>();
  let receivedMs = -Infinity;
  const isFresh = (nowMs: Core.Millis): boolean => nowMs - receivedMs < MAX_VIEW_AGE_MS;
  const get = (server: string, nowMs: Core.Millis): ServerOutcomes => {
    const known = isFresh(nowMs) ? received.get(server) : undefined;
    return known === undefined
      ? createEmptyOutcomes(server)
      : computeDecayed(known, Math.max(0, nowMs - receivedMs));
  };
  return {
    get,
    isFresh,
    list: (nowMs) => [...received.keys()].map((server) => get(server, nowMs)),
    set: (outcomes, nowMs) => {
      received = new Map(outcomes.filter(isPlausible).slice(0, MAX_SERVERS)
        .map((each) => [each.server, each]));
      receivedMs = nowMs;
    },
  };
}
