/**
 * Selection of a backend server for a request. Candidates have the model and adapter loaded, the
 * required role, and a free slot in this daemon's share. A few of them are compared by expected
 * time to first token: the server that rendezvous hashing with bounded loads selects for the
 * prompt's prefix, the servers whose cache may hold the prefix, and two random ones (power of two
 * choices).
 *
 * The load of a server is the number of this daemon's requests in flight plus that of the other
 * daemons. The latter is the load in the server's last report minus this daemon's own requests at
 * the time when the report was taken.
 */
import * as Core from '@berylyoke/core';
import * as Purify from 'purify-ts';
import * as CacheIndex from './CacheIndex.js';
import type * as Explanation from './Explanation.js';
import type * as Outliers from './Outliers.js';

/** A backend server as listed in the server directory. */
export interface ServerView {
  readonly serverId: string;
  readonly dataCentre: string;
  readonly kind: 'cheap' | 'dear';
  readonly role: 'decode' | 'mixed' | 'prefill';
  readonly state: 'leaving' | 'live' | 'loading';
  /** Models, or the plain service, that the server serves. */
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
  /** Network round-trip time from this daemon. */
  readonly roundTripMs: Core.Millis;
}

/** Load report of a server; it may arrive late. */
export interface LoadReport {
  readonly serverId: string;
  /** Requests running or queued in the server, from all daemons. */
  readonly inFlight: number;
  /** Time at which the load was sampled, by this daemon's clock. */
  readonly sampledMs: Core.Millis;
}

/** Requirements of a request on its server. */
export interface ChoiceRequest {
  readonly requestId: string;
  readonly model: string;
  readonly adapter?: string;
  readonly phase: 'decode' | 'prefill' | 'whole';
  readonly promptTokens: number;
  /** Hash and length of the prompt's prefix; absent for plain services. */
  readonly prefix?: { readonly hash: number; readonly tokens: number };
  /** Added to the expected time by server kind, to keep servers of a kind free for others. */
  readonly kindPenaltyMs?: { readonly cheap: Core.Millis; readonly dear: Core.Millis };
  /** Servers on which this request has already failed; they are not chosen again. */
  readonly excluded?: readonly string[];
}

/** The server chosen for a request. */
export interface ServerChoice {
  readonly serverId: string;
  readonly expectedFirstTokenMs: Core.Millis;
  readonly cachedTokens: number;
  readonly reason: Explanation.ChoiceReason;
}

/** All suitable servers are busy (`AllBusy`), or no suitable server exists (`NoCandidate`). */
export interface ChoiceRefusal {
  readonly _tag: 'ChoiceRefusal';
  readonly reason: Explanation.ChoiceReason;
}

/** Options of the server selection. */
export interface ChoiceOptions {
  /** Multiple of the mean load up to which requests with a prefix stay on the same server. */
  readonly loadBound: number;
  /** Expected prefill time of one prompt token on a server without slowdown. */
  readonly promptTokenMs: Core.Millis;
  /** Initial estimate of the time for which a request occupies a slot. */
  readonly occupancyMs: Core.Millis;
  /** Initial estimate of the time between tokens. */
  readonly betweenTokensMs: Core.Millis;
}

/** Estimates of this daemon about one server. */
export interface ServerEstimate {
  readonly serverId: string;
  readonly ownInFlight: number;
  readonly othersInFlight: number;
  readonly ownSlots: number;
  /** Moving average of the ratio of observed to expected time to first token; at least 1. */
  readonly slowdown: number;
  readonly betweenTokensMs: Core.Millis;
}

/** Chooses servers, and updates its estimates from the progress of dispatched requests. */
export interface ServerChooser {
  /** Replaces the list of servers; `slotShare` is this daemon's share of each server's slots. */
  readonly setServers: (views: readonly ServerView[], slotShare: number) => void;
  readonly setOutliers: (state: Outliers.OutlierState) => void;
  readonly recordReport: (report: LoadReport) => void;
  readonly recordCacheEvent: (event: CacheIndex.CacheEvent, nowMs: Core.Millis) => void;
  /** @param random returns numbers in [0, 1) */
  readonly chooseServer: (
    request: ChoiceRequest, nowMs: Core.Millis, random: () => number,
  ) => Purify.Either<ChoiceRefusal, ServerChoice>;
  readonly recordDispatch: (
    request: ChoiceRequest, choice: ServerChoice, nowMs: Core.Millis,
  ) => void;
  readonly recordFirstToken: (
    serverId: string, requestId: string, nowMs: Core.Millis,
  ) => void;
  readonly recordTokenGap: (serverId: string, gapMs: Core.Millis) => void;
  readonly recordEnd: (serverId: string, requestId: string, nowMs: Core.Millis) => void;
  /** Counts the servers that can serve a model, busy ones included. */
  readonly countCandidates: (model: string) => number;
  /** Counts the free slots for a model in this daemon's share. */
  readonly countFreeSlots: (model: string) => number;
  readonly listEstimates: () => readonly ServerEstimate[];
}

/** Default options. */
export const defaultChoiceOptions: ChoiceOptions = {
  betweenTokensMs: 30,
  occupancyMs: 5_000,
  loadBound: 1.25,
  promptTokenMs: 0.2,
};

/** Weight of a new observation in moving averages; about ten observations replace an estimate. */
const OBSERVATION_WEIGHT = 0.2;

/** Time constant with which a slowdown decays without new observations. */
const SLOWDOWN_DECAY_MS = 10_000;

/** Maximum slowdown of one observation; limits how long a single stall affects a server. */
const MAX_SLOWDOWN = 20;

/** Maximum number of available servers that are all compared; of more, two random ones are. */
const MAX_FULLY_COMPARED = 4;

/** Maximum observed time between tokens, as a multiple of `betweenTokensMs` in the options. */
const MAX_TOKEN_GAP_RATIO = 10;

/** Maximum number of changes of the own in-flight count kept to interpret late load reports. */
const MAX_HISTORY_ENTRIES = 64;

const ROLES_BY_PHASE: Readonly<Record<ChoiceRequest['phase'], readonly ServerView['role'][]>> = {
  decode: ['decode', 'mixed'],
  prefill: ['mixed', 'prefill'],
  whole: ['mixed'],
};

interface PendingFirstToken {
  readonly startedMs: Core.Millis;
  readonly expectedFirstTokenMs: Core.Millis;
}

interface Server {
  readonly serverId: string;
  readonly hash: number;
  /** Start times of this daemon's requests in flight, by request. */
  readonly running: Map<string, Core.Millis>;
  /** Those of the requests that wait for their first token, oldest first. */
  readonly pendingFirstTokens: Map<string, PendingFirstToken>;
  view: ServerView;
  ownSlots: number;
  isOnProbation: boolean;
  isEjected: boolean;
  ownInFlight: number;
  othersInFlight: number;
  reportSampledMs: Core.Millis;
  /** Values of `ownInFlight` over time, oldest first. */
  history: { readonly atMs: Core.Millis; readonly inFlight: number }[];
  slowdown: number;
  slowdownAtMs: Core.Millis;
  betweenTokensMs: Core.Millis;
  occupancyMs: Core.Millis;
}

interface ServerCost {
  readonly server: Server;
  readonly cachedTokens: number;
  readonly expectedFirstTokenMs: Core.Millis;
  /** Expected time to first token plus the penalty for the server's kind. */
  readonly costMs: Core.Millis;
}

/* eslint-disable no-bitwise -- The hash function needs bit operations. */
/** Combines two 32-bit hashes (MurmurHash3 finalizer); fast, as it runs for every candidate. */
function mixHashes(a: number, b: number): number {
  let mixed = Math.imul(a ^ (b >>> 16), 0x85_eb_ca_6b) ^ b;
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2_b2_ae_35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */

function getSlotLimit(server: Server): number {
  return server.isOnProbation ? 1 : server.ownSlots;
}

function getLoad(server: Server): number {
  return server.ownInFlight + server.othersInFlight;
}

function hasFreeSlot(server: Server): boolean {
  return server.ownInFlight < getSlotLimit(server);
}

function getSlowdown({ slowdown, slowdownAtMs }: Server, nowMs: Core.Millis): number {
  const factor = Math.exp(-Math.max(0, nowMs - slowdownAtMs) / SLOWDOWN_DECAY_MS);
  return 1 + (slowdown - 1) * factor;
}

function recordInFlight(server: Server, delta: number, nowMs: Core.Millis): void {
  const current = server;
  current.ownInFlight = Math.max(0, server.ownInFlight + delta);
  current.history.push({ atMs: nowMs, inFlight: current.ownInFlight });
  if (
    current.history.length > MAX_HISTORY_ENTRIES
  ) current.history.splice(0, MAX_HISTORY_ENTRIES / 2);
}

/** Creates a chooser without servers. */
export function createServerChooser(
  options: ChoiceOptions = defaultChoiceOptions,
): ServerChooser {
  const cache = CacheIndex.createCacheIndex();
  const servers = new Map<string, Server>();
  const candidateLists = new Map<string, readonly Server[]>();

  const createServer = (view: ServerView): Server => ({
    betweenTokensMs: options.betweenTokensMs,
    hash: Core.hashText(view.serverId),
    history: [],
    occupancyMs: options.occupancyMs,
    isEjected: false,
    isOnProbation: false,
    othersInFlight: 0,
    ownInFlight: 0,
    ownSlots: 1,
    pendingFirstTokens: new Map(),
    reportSampledMs: -Infinity,
    running: new Map(),
    serverId: view.serverId,
    slowdown: 1,
    slowdownAtMs: 0,
    view,
  });

  const listCandidates = ({
    adapter, model, phase,
  }: Pick<ChoiceRequest, 'adapter' | 'model' | 'phase'>): readonly Server[] => {
    const key = `${phase} ${model} ${adapter ?? ''}`;
    const existing = candidateLists.get(key);
    if (existing !== undefined) return existing;
    const matching = [...servers.values()].filter(({ isEjected, view }) => (
      !isEjected && view.state === 'live' && view.models.includes(model)
      && (adapter === undefined || view.adapters.includes(adapter))
      && ROLES_BY_PHASE[phase].includes(view.role)
    ));
    candidateLists.set(key, matching);
    return matching;
  };

  const getOverdueSlowdown = ({ pendingFirstTokens }: Server, nowMs: Core.Millis): number => {
    const oldest = pendingFirstTokens.values().next().value;
    if (oldest === undefined) return 1;
    return Math.min(
      MAX_SLOWDOWN,
      (nowMs - oldest.startedMs) / Math.max(1, oldest.expectedFirstTokenMs),
    );
  };

  const estimateServerCost = (
    server: Server,
    request: ChoiceRequest,
    nowMs: Core.Millis,
  ): ServerCost => {
    const { prefix, promptTokens } = request;
    const cachedTokens = prefix === undefined
      ? 0
      : Math.min(prefix.tokens, cache.estimateCachedTokens(server.serverId, prefix.hash, nowMs));
    const { kind, roundTripMs, slots } = server.view;
    const load = getLoad(server);
    const promptMs = (promptTokens - cachedTokens) * options.promptTokenMs;
    const waitMs = load < slots ? 0 : ((load - slots + 1) * server.occupancyMs) / slots;
    // Prefill is interleaved with the decode steps of the running requests, so it takes longer on a
    // server with many of them.
    const batchDelayMs = (load / slots) * options.betweenTokensMs;
    const slowdown = Math.max(getSlowdown(server, nowMs), getOverdueSlowdown(server, nowMs));
    const engineMs = (promptMs + batchDelayMs + options.betweenTokensMs) * slowdown;
    const expectedFirstTokenMs = roundTripMs + engineMs + waitMs;
    const penaltyMs = request.kindPenaltyMs?.[kind] ?? 0;
    return {
      cachedTokens, costMs: expectedFirstTokenMs + penaltyMs, expectedFirstTokenMs, server,
    };
  };

  const findAffinityServer = (
    available: readonly Server[],
    prefixHash: number,
  ): Server | undefined => {
    let load = 1;
    let slots = 0;
    available.forEach((server) => {
      load += getLoad(server);
      slots += server.view.slots;
    });
    const bound = (options.loadBound * load) / Math.max(1, slots);
    let best: Server | undefined;
    let bestWeight = -1;
    available.forEach((server) => {
      const weight = mixHashes(prefixHash, server.hash);
      if (weight <= bestWeight) return;
      if (getLoad(server) > Math.ceil(bound * server.view.slots)) return;
      best = server;
      bestWeight = weight;
    });
    return best;
  };

  const chooseServer: ServerChooser['chooseServer'] = (request, nowMs, random) => {
    const allCandidates = listCandidates(request);
    const excluded = request.excluded ?? [];
    const candidates = excluded.length === 0
      ? allCandidates
      : allCandidates.filter(({ serverId }) => !excluded.includes(serverId));
    const available = candidates.filter(hasFreeSlot);
    if (available.length === 0) {
      const reason: Explanation.ChoiceReason = candidates.length === 0
        ? { _tag: 'NoCandidate', model: request.model }
        : { _tag: 'AllBusy', candidates: candidates.length };
      return Purify.Left({ _tag: 'ChoiceRefusal', reason });
    }
    const randomServers = available.length <= MAX_FULLY_COMPARED
      ? available
      : [0, 1].map(() => available[Math.floor(random() * available.length)] as Server);
    const cachingServerIds = request.prefix === undefined
      ? []
      : cache.listServersWithPrefix(request.prefix.hash);
    const affinityServer = request.prefix === undefined
      ? undefined
      : findAffinityServer(available, request.prefix.hash);
    const cachingServers = cachingServerIds.flatMap((serverId) => {
      const server = servers.get(serverId);
      return server !== undefined && hasFreeSlot(server) && candidates.includes(server)
        ? [server]
        : [];
    });
    const selectedServers = [
      ...affinityServer === undefined ? [] : [affinityServer], ...cachingServers, ...randomServers,
    ];
    const costs = selectedServers.map((server) => estimateServerCost(server, request, nowMs));
    const best = costs.reduce((a, b) => (b.costMs < a.costMs ? b : a));
    const { cachedTokens, expectedFirstTokenMs, server } = best;
    const alternative = costs.find((candidate) => candidate.server !== server);
    const isAffinity = server === affinityServer || cachedTokens > 0;
    return Purify.Right({
      cachedTokens,
      expectedFirstTokenMs,
      reason: isAffinity
        ? { _tag: 'Affinity', cachedTokens, loadRatio: getLoad(server) / server.view.slots }
        : {
          _tag: 'LessLoaded',
          expectedFirstTokenMs,
          ...alternative === undefined ? {} : { over: alternative.server.serverId },
        },
      serverId: server.serverId,
    });
  };

  return {
    chooseServer,
    countCandidates: (model) => listCandidates({ model, phase: 'whole' }).length,
    countFreeSlots: (model) => (
      listCandidates({ model, phase: 'whole' }).reduce((sum, server) => (
        sum + Math.max(0, getSlotLimit(server) - server.ownInFlight)
      ), 0)
    ),
    listEstimates: () => [...servers.values()].map(({
      betweenTokensMs, othersInFlight, ownInFlight, ownSlots, serverId, slowdown,
    }) => ({
      betweenTokensMs, othersInFlight, ownInFlight, ownSlots, serverId, slowdown,
    })),
    recordCacheEvent: cache.recordEvent,
    recordDispatch: (request, { expectedFirstTokenMs, serverId }, nowMs) => {
      const server = servers.get(serverId);
      if (server === undefined) return;
      server.running.set(request.requestId, nowMs);
      server.pendingFirstTokens.set(request.requestId, {
        expectedFirstTokenMs, startedMs: nowMs,
      });
      recordInFlight(server, 1, nowMs);
      if (request.prefix !== undefined) {
        cache.recordDispatch(serverId, request.prefix.hash, request.prefix.tokens, nowMs);
      }
    },
    recordEnd: (serverId, requestId, nowMs) => {
      const server = servers.get(serverId);
      const startedMs = server?.running.get(requestId);
      if (server === undefined || startedMs === undefined) return;
      server.running.delete(requestId);
      server.pendingFirstTokens.delete(requestId);
      server.occupancyMs += (nowMs - startedMs - server.occupancyMs) * OBSERVATION_WEIGHT;
      recordInFlight(server, -1, nowMs);
    },
    recordFirstToken: (serverId, requestId, nowMs) => {
      const server = servers.get(serverId);
      const pending = server?.pendingFirstTokens.get(requestId);
      if (server === undefined || pending === undefined) return;
      server.pendingFirstTokens.delete(requestId);
      const currentSlowdown = getSlowdown(server, nowMs);
      const observedMs = nowMs - pending.startedMs;
      // The expected time already includes the current slowdown; divide it out before comparing.
      const baselineMs = Math.max(1, pending.expectedFirstTokenMs / currentSlowdown);
      const observedSlowdown = Math.min(MAX_SLOWDOWN, observedMs / baselineMs);
      // Never below 1: otherwise differences of a few milliseconds between fast servers would
      // outweigh their load, and one server would get every request.
      server.slowdown = Math.max(
        1,
        currentSlowdown + (observedSlowdown - currentSlowdown) * OBSERVATION_WEIGHT,
      );
      server.slowdownAtMs = nowMs;
    },
    recordTokenGap: (serverId, gapMs) => {
      const server = servers.get(serverId);
      if (server === undefined) return;
      // Long gaps are capped: a caller that reads slowly stalls its stream, which does not mean
      // that the server is slow.
      const boundedMs = Math.min(gapMs, options.betweenTokensMs * MAX_TOKEN_GAP_RATIO);
      server.betweenTokensMs += (boundedMs - server.betweenTokensMs) * 0.02;
    },
    recordReport: ({ inFlight, serverId, sampledMs }) => {
      const server = servers.get(serverId);
      if (server === undefined || sampledMs < server.reportSampledMs) return;
      const laterIndex = server.history.findIndex(({ atMs }) => atMs > sampledMs);
      const beforeIndex = laterIndex === -1 ? server.history.length - 1 : laterIndex - 1;
      const ownInFlightThen = server.history[beforeIndex]?.inFlight ?? 0;
      server.reportSampledMs = sampledMs;
      server.othersInFlight = Math.max(0, inFlight - ownInFlightThen);
    },
    setOutliers: (state) => {
      servers.forEach((server) => {
        const current = server;
        const status = state.servers.get(server.serverId)?.status;
        current.isEjected = status === 'ejected';
        current.isOnProbation = status === 'probation';
      });
      candidateLists.clear();
    },
    setServers: (views, slotShare) => {
      const listedServerIds = new Set(views.map(({ serverId }) => serverId));
      views.forEach((view) => {
        const server = servers.get(view.serverId) ?? createServer(view);
        server.view = view;
        server.ownSlots = Math.max(1, Math.ceil(view.slots * slotShare));
        servers.set(view.serverId, server);
      });
      [...servers.keys()].filter(
        (serverId) => !listedServerIds.has(serverId),
      ).forEach((serverId) => {
        servers.delete(serverId);
        cache.removeServer(serverId);
      });
      candidateLists.clear();
    },
  };
}
