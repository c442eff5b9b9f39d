/**
 * Outcomes of requests at backend servers, summed over the daemons of a fleet. A daemon of a large
 * fleet sends about one request a minute to each server, so its own observations are too few. The
 * observations of all daemons together show a failing server within a second or two. Outcomes decay
 * with age. They only rank servers, and correctness does not depend on them.
 */
import type * as Core from '@berylyoke/core';

/** Outcomes at one incarnation of a server. */
export interface ServerOutcomes {
  /** Name of the incarnation: the server's ID and its start time. */
  readonly server: string;
  readonly requests: number;
  readonly failures: number;
  /** Expected time to the first token, summed over streams that began. */
  readonly expectedMs?: Core.Millis;
  /** Observed time to the first token, summed over the same streams. */
  readonly observedMs?: Core.Millis;
  /** Requests that the server refused because it was full. */
  readonly refusals?: number;
}

/** Half-life of an outcome; a server that failed is thus tried again after some time. */
const OUTCOME_HALF_LIFE_MS = 6_000;

/**
 * Age in milliseconds at which a view of the fleet is discarded. It limits how long a false view
 * from a faulty relay has an effect.
 */
export const MAX_VIEW_AGE_MS = 5_000;

/** Maximum number of servers in one message; enough for a large deployment. */
export const MAX_SERVERS = 512;

/** Number of requests at one server in one message above which the entry is ignored as invalid. */
const MAX_REPORTED_REQUESTS = 100_000;

/** Sum of times at one server in one message above which the entry is ignored as invalid. */
const MAX_REPORTED_MS = 1e9;

/** Sum of times after decay at or below which the outcomes of a server are dropped. */
const MIN_EXPECTED_MS = 1;

/** Number of requests after decay at or below which the outcomes of a server are dropped. */
const MIN_WEIGHT = 0.05;

/** Creates the outcomes of a server without requests. */
function createEmptyOutcomes(server: string): ServerOutcomes {
  return { failures: 0, requests: 0, server };
}

/** Combines the optional values; those that are zero stay absent and take no bytes. */
function combineOptional(
  combine: (key: 'expectedMs' | 'observedMs' | 'refusals') => number,
): Partial<ServerOutcomes> {
  const expectedMs = combine('expectedMs');
  const refusals = combine('refusals');
  return {
    ...expectedMs > 0 ? { expectedMs, observedMs: combine('observedMs') } : {},
    ...refusals > 0 ? { refusals } : {},
  };
}

function addOutcomes(a: ServerOutcomes, b: ServerOutcomes): ServerOutcomes {
  return {
    failures: a.failures + b.failures,
    requests: a.requests + b.requests,
    server: a.server,
    ...combineOptional((key) => (a[key] ?? 0) + (b[key] ?? 0)),
  };
}

function computeDecayed(outcomes: ServerOutcomes, ageMs: Core.Millis): ServerOutcomes {
  const decay = 0.5 ** (ageMs / OUTCOME_HALF_LIFE_MS);
  return {
    failures: outcomes.failures * decay,
    requests: outcomes.requests * decay,
    server: outcomes.server,
    ...combineOptional((key) => (outcomes[key] ?? 0) * decay),
  };
}

/** Checks whether outcomes weigh enough to be kept. */
function isRelevant({ expectedMs = 0, refusals = 0, requests }: ServerOutcomes): boolean {
  return requests > MIN_WEIGHT || expectedMs > MIN_EXPECTED_MS || refusals > MIN_WEIGHT;
}

/** Checks whether outcomes from another daemon are consistent and within the bounds. */
export function isPlausible({
  expectedMs = 0, failures, observedMs = 0, refusals = 0, requests,
}: ServerOutcomes): boolean {
  return failures >= 0 && failures <= requests && requests <= MAX_REPORTED_REQUESTS
    && expectedMs >= 0 && expectedMs <= MAX_REPORTED_MS
    && observedMs >= 0 && observedMs <= MAX_REPORTED_MS
    && refusals >= 0 && refusals <= MAX_REPORTED_REQUESTS;
}

/** Buffer of outcomes that have not been passed on yet. */
export interface OutcomeBuffer {
  readonly add: (outcomes: ServerOutcomes) => void;
  /** Removes and returns all outcomes; they fit into one message. */
  readonly take: () => readonly ServerOutcomes[];
}

/** Creates an empty buffer. */
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

/** Outcomes of many daemons, which decay with age. */
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
      .filter(isRelevant);
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

/** Outcomes of the fleet, as last received by this daemon. */
export interface FleetView {
  readonly set: (outcomes: readonly ServerOutcomes[], nowMs: Core.Millis) => void;
  /** Returns the outcomes at a server; zero if none were received recently. */
  readonly get: (server: string, nowMs: Core.Millis) => ServerOutcomes;
  /** Checks whether outcomes were received recently enough to be used. */
  readonly isFresh: (nowMs: Core.Millis) => boolean;
  readonly list: (nowMs: Core.Millis) => readonly ServerOutcomes[];
}

/** Creates an empty view. */
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
