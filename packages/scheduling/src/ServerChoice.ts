/**
 * Choice of a backend server. Candidates have the model and adapter loaded, the right role, and a
 * slot left within the daemon's own share. Of them a few are compared by the expected time to the
 * first token: the one that bounded-load rendezvous hashing gives for the prompt's prefix, those
 * whose cache may hold the prefix, and two drawn at random (power of two choices).
 *
 * A server's load is the daemon's own requests in flight plus those of others, which are taken from
 * the server's last report less the daemon's own at the time that the report describes.
 */
import * as Core from '@berylyoke/core';
import * as Purify from 'purify-ts';
import * as CacheIndex from './CacheIndex.js';
import type * as Explanation from './Explanation.js';
import type * as Outliers from './Outliers.js';

/** A backend server as the directory knows it. */
export interface ServerView {
  readonly serverId: string;
  readonly dataCentre: string;
  readonly kind: 'cheap' | 'dear';
  readonly role: 'decode' | 'mixed' | 'prefill';
  readonly state: 'leaving' | 'live' | 'loading';
  /** Models, or the name of the plain service, that the server answers for. */
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  /** Requests that the server runs at once. */
  readonly slots: number;
  /** Round trip from this daemon. */
  readonly roundTripMs: Core.Millis;
}

/** Load that a server reported, possibly long ago. */
export interface LoadReport {
  readonly serverId: string;
  /** Requests running or waiting in the server, from all daemons. */
  readonly inFlight: number;
  /** Daemon's time that the report describes. */
  readonly sampledMs: Core.Millis;
}

/** What a request needs of a server. */
export interface ChoiceRequest {
  readonly requestId: string;
  readonly model: string;
  readonly adapter?: string;
  readonly phase: 'decode' | 'prefill' | 'whole';
  readonly promptTokens: number;
  /** Hash of the prompt's prefix and its length; absent for plain services. */
  readonly prefix?: { readonly hash: number; readonly tokens: number };
  /** Added to the expected time on servers of a kind that the request should rather leave free. */
  readonly kindPenaltyMs?: { readonly cheap: Core.Millis; readonly dear: Core.Millis };
  /** Servers that have failed this request already. */
  readonly excluded?: readonly string[];
}

/** A server to send the request to. */
export interface ServerChoice {
  readonly serverId: string;
  readonly expectedFirstTokenMs: Core.Millis;
  readonly cachedTokens: number;
  readonly reason: Explanation.ChoiceReason;
}

/** No server can take the request now (`AllBusy`), or none could (`NoCandidate`). */
export interface ChoiceRefusal {
  readonly _tag: 'ChoiceRefusal';
  readonly reason: Explanation.ChoiceReason;
}

/** How servers are chosen. */
export interface ChoiceOptions {
  /** Load in units of the mean load up to which a prefix stays with its server. */
  readonly loadBound: number;
  /** Prior time to read one prompt token, until a server's own is observed. */
  readonly promptTokenMs: Core.Millis;
  /** Prior time of a request in a slot. */
  readonly holdMs: Core.Millis;
  /** Prior time between tokens. */
  readonly betweenTokensMs: Core.Millis;
}

/** What the daemon has observed of a server itself. */
export interface ServerEstimate {
  readonly serverId: string;
  readonly ownInFlight: number;
  readonly othersInFlight: number;
  readonly ownSlots: number;
  /** Ratio of observed to expected time to the first token. */
  readonly slowdown: number;
  readonly betweenTokensMs: Core.Millis;
}

/** Chooses servers and learns from what becomes of the requests. */
export interface ServerChooser {
  /** Replaces the servers; `slotShare` is this daemon's part of every server's slots. */
  readonly setServers: (views: readonly ServerView[], slotShare: number) => void;
  readonly setOutliers: (state: Outliers.OutlierState) => void;
  readonly recordReport: (report: LoadReport) => void;
  readonly recordCacheEvent: (event: CacheIndex.CacheEvent, nowMs: Core.Millis) => void;
  /** @param random draws numbers in [0, 1) */
  readonly chooseServer: (
    request: ChoiceRequest, nowMs: Core.Millis, random: () => number,
  ) => Purify.Either<ChoiceRefusal, ServerChoice>;
  readonly recordDispatch: (
    request: ChoiceRequest, choice: ServerChoice, nowMs: Core.Millis,
  ) => void;
  readonly recordFirstToken: (
    serverId: string, requestId: string, nowMs: Core.Millis,
  ) => void;
  readonly recordGap: (serverId: string, gapMs: Core.Millis) => void;
  readonly recordEnd: (serverId: string, requestId: string, nowMs: Core.Millis) => void;
  /** Counts the servers that may take requests for a model, busy or not. */
  readonly countCandidates: (model: string) => number;
  /** Counts the slots of this daemon that are free for a model. */
  readonly countFreeSlots: (model: string) => number;
  readonly listEstimates: () => readonly ServerEstimate[];
}

/** Values used when nothing else is set. */
export const defaultChoiceOptions: ChoiceOptions = {
  betweenTokensMs: 30,
  holdMs: 5_000,
  loadBound: 1.25,
  promptTokenMs: 0.2,
};

/** Weight of a new observation; about ten observations replace the estimate. */
const OBSERVATION_WEIGHT = 0.2;

/** Time in which a slowdown that is not observed any more falls to a third. */
const SLOWDOWN_DECAY_MS = 10_000;

/** Bound of one observation, so that a single stall does not mark a server for minutes. */
const MAX_SLOWDOWN = 20;

/** Candidates up to which all are compared instead of two that are drawn. */
const COMPARED_AT_ONCE = 4;

/** Bound of one observed gap, in units of the prior. */
const MAX_GAP_RATIO = 10;

/** Changes of the own requests in flight that are kept to interpret late reports. */
const MAX_HISTORY = 64;

const ROLES: Readonly<Record<ChoiceRequest['phase'], readonly ServerView['role'][]>> = {
  decode: ['decode', 'mixed'],
  prefill: ['mixed', 'prefill'],
  whole: ['mixed'],
};

interface Pending {
  readonly startedMs: Core.Millis;
  readonly expectedMs: Core.Millis;
}

interface Server {
  readonly serverId: string;
  readonly hash: number;
  readonly running: Map<string, Core.Millis>;
  readonly pending: Map<string, Pending>;
  view: ServerView;
  ownSlots: number;
  isOnProbation: boolean;
  isEjected: boolean;
  ownInFlight: number;
  othersInFlight: number;
  reportSampledMs: Core.Millis;
  history: { readonly atMs: Core.Millis; readonly inFlight: number }[];
  slowdown: number;
  slowdownAtMs: Core.Millis;
  betweenTokensMs: Core.Millis;
  holdMs: Core.Millis;
}

interface Compared {
  readonly server: Server;
  readonly cachedTokens: number;
  readonly expectedMs: Core.Millis;
  readonly costMs: Core.Millis;
}

/* eslint-disable no-bitwise -- A hash works on bits. */
/** Mixes two 32-bit hashes (finalizer of MurmurHash3), cheap enough for every candidate. */
function mixHashes(a: number, b: number): number {
  let mixed = Math.imul(a ^ (b >>> 16), 0x85_eb_ca_6b) ^ b;
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2_b2_ae_35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */

function getLimit(server: Server): number {
  return server.isOnProbation ? 1 : server.ownSlots;
}

function getLoad(server: Server): number {
  return server.ownInFlight + server.othersInFlight;
}

function isOpen(server: Server): boolean {
  return server.ownInFlight < getLimit(server);
}

function getSlowdown({ slowdown, slowdownAtMs }: Server, nowMs: Core.Millis): number {
  const factor = Math.exp(-Math.max(0, nowMs - slowdownAtMs) / SLOWDOWN_DECAY_MS);
  return 1 + (slowdown - 1) * factor;
}

function recordInFlight(server: Server, delta: number, nowMs: Core.Millis): void {
  const current = server;
  current.ownInFlight = Math.max(0, server.ownInFlight + delta);
  current.history.push({ atMs: nowMs, inFlight: current.ownInFlight });
  if (current.history.length > MAX_HISTORY) current.history.splice(0, MAX_HISTORY / 2);
}

/** Creates a chooser that knows no servers. */
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
    holdMs: options.holdMs,
    isEjected: false,
    isOnProbation: false,
    othersInFlight: 0,
    ownInFlight: 0,
    ownSlots: 1,
    pending: new Map(),
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
    const known = candidateLists.get(key);
    if (known !== undefined) return known;
    const found = [...servers.values()].filter(({ isEjected, view }) => (
      !isEjected && view.state === 'live' && view.models.includes(model)
      && (adapter === undefined || view.adapters.includes(adapter))
      && ROLES[phase].includes(view.role)
    ));
    candidateLists.set(key, found);
    return found;
  };

  const getOverdueSlowdown = ({ pending }: Server, nowMs: Core.Millis): number => {
    const oldest = pending.values().next().value;
    if (oldest === undefined) return 1;
    return Math.min(MAX_SLOWDOWN, (nowMs - oldest.startedMs) / Math.max(1, oldest.expectedMs));
  };

  const compareServer = (
    server: Server,
    request: ChoiceRequest,
    nowMs: Core.Millis,
  ): Compared => {
    const { prefix, promptTokens } = request;
    const cachedTokens = prefix === undefined
      ? 0
      : Math.min(prefix.tokens, cache.estimateCachedTokens(server.serverId, prefix.hash, nowMs));
    const { kind, roundTripMs, slots } = server.view;
    const load = getLoad(server);
    const promptMs = (promptTokens - cachedTokens) * options.promptTokenMs;
    const waitMs = load < slots ? 0 : ((load - slots + 1) * server.holdMs) / slots;
    // A server with many running requests reads a prompt between the steps of the others.
    const busyMs = (load / slots) * options.betweenTokensMs;
    const slowdown = Math.max(getSlowdown(server, nowMs), getOverdueSlowdown(server, nowMs));
    const engineMs = (promptMs + busyMs + options.betweenTokensMs) * slowdown;
    const expectedMs = roundTripMs + engineMs + waitMs;
    const penaltyMs = request.kindPenaltyMs?.[kind] ?? 0;
    return {
      cachedTokens, costMs: expectedMs + penaltyMs, expectedMs, server,
    };
  };

  const findAffinity = (open: readonly Server[], prefixHash: number): Server | undefined => {
    let load = 1;
    let slots = 0;
    open.forEach((server) => {
      load += getLoad(server);
      slots += server.view.slots;
    });
    const bound = (options.loadBound * load) / Math.max(1, slots);
    let best: Server | undefined;
    let bestWeight = -1;
    open.forEach((server) => {
      const weight = mixHashes(prefixHash, server.hash);
      if (weight <= bestWeight) return;
      if (getLoad(server) > Math.ceil(bound * server.view.slots)) return;
      best = server;
      bestWeight = weight;
    });
    return best;
  };

  const chooseServer: ServerChooser['chooseServer'] = (request, nowMs, random) => {
    const all = listCandidates(request);
    const excluded = request.excluded ?? [];
    const candidates = excluded.length === 0
      ? all
      : all.filter(({ serverId }) => !excluded.includes(serverId));
    const open = candidates.filter(isOpen);
    if (open.length === 0) {
      const reason: Explanation.ChoiceReason = candidates.length === 0
        ? { _tag: 'NoCandidate', model: request.model }
        : { _tag: 'AllBusy', candidates: candidates.length };
      return Purify.Left({ _tag: 'ChoiceRefusal', reason });
    }
    const drawn = open.length <= COMPARED_AT_ONCE
      ? open
      : [0, 1].map(() => open[Math.floor(random() * open.length)] as Server);
    const holders = request.prefix === undefined ? [] : cache.listHolders(request.prefix.hash);
    const affine = request.prefix === undefined
      ? undefined
      : findAffinity(open, request.prefix.hash);
    const holding = holders.flatMap((serverId) => {
      const server = servers.get(serverId);
      return server !== undefined && isOpen(server) && candidates.includes(server) ? [server] : [];
    });
    const chosen = [...affine === undefined ? [] : [affine], ...holding, ...drawn];
    const compared = chosen.map((server) => compareServer(server, request, nowMs));
    const best = compared.reduce((a, b) => (b.costMs < a.costMs ? b : a));
    const { cachedTokens, expectedMs, server } = best;
    const other = compared.find((candidate) => candidate.server !== server);
    const isAffinity = server === affine || cachedTokens > 0;
    return Purify.Right({
      cachedTokens,
      expectedFirstTokenMs: expectedMs,
      reason: isAffinity
        ? { _tag: 'Affinity', cachedTokens, loadRatio: getLoad(server) / server.view.slots }
        : {
          _tag: 'LessLoaded',
          expectedFirstTokenMs: expectedMs,
          ...other === undefined ? {} : { over: other.server.serverId },
        },
      serverId: server.serverId,
    });
  };

  return {
    chooseServer,
    countCandidates: (model) => listCandidates({ model, phase: 'whole' }).length,
    countFreeSlots: (model) => (
      listCandidates({ model, phase: 'whole' }).reduce((sum, server) => (
        sum + Math.max(0, getLimit(server) - server.ownInFlight)
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
      server.pending.set(request.requestId, {
        expectedMs: expectedFirstTokenMs, startedMs: nowMs,
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
      server.pending.delete(requestId);
      server.holdMs += (nowMs - startedMs - server.holdMs) * OBSERVATION_WEIGHT;
      recordInFlight(server, -1, nowMs);
    },
    recordFirstToken: (serverId, requestId, nowMs) => {
      const server = servers.get(serverId);
      const pending = server?.pending.get(requestId);
      if (server === undefined || pending === undefined) return;
      server.pending.delete(requestId);
      const current = getSlowdown(server, nowMs);
      const observedMs = nowMs - pending.startedMs;
      // The expectation held the slowdown already, so the ratio is taken against one without it.
      const plainMs = Math.max(1, pending.expectedMs / current);
      const ratio = Math.min(MAX_SLOWDOWN, observedMs / plainMs);
      // A server faster than expected is no better than one as expected: differences of a few
      // milliseconds would otherwise outweigh load, and one server would get every request.
      server.slowdown = Math.max(1, current + (ratio - current) * OBSERVATION_WEIGHT);
      server.slowdownAtMs = nowMs;
    },
    recordGap: (serverId, gapMs) => {
      const server = servers.get(serverId);
      if (server === undefined) return;
      // A caller that reads slowly stalls its stream, which says nothing about the server.
      const boundedMs = Math.min(gapMs, options.betweenTokensMs * MAX_GAP_RATIO);
      server.betweenTokensMs += (boundedMs - server.betweenTokensMs) * 0.02;
    },
    recordReport: ({ inFlight, serverId, sampledMs }) => {
      const server = servers.get(serverId);
      if (server === undefined || sampledMs < server.reportSampledMs) return;
      const later = server.history.findIndex(({ atMs }) => atMs > sampledMs);
      const before = later === -1 ? server.history.length - 1 : later - 1;
      const ownThen = server.history[before]?.inFlight ?? 0;
      server.reportSampledMs = sampledMs;
      server.othersInFlight = Math.max(0, inFlight - ownThen);
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
      const listed = new Set(views.map(({ serverId }) => serverId));
      views.forEach((view) => {
        const server = servers.get(view.serverId) ?? createServer(view);
        server.view = view;
        server.ownSlots = Math.max(1, Math.ceil(view.slots * slotShare));
        servers.set(view.serverId, server);
      });
      [...servers.keys()].filter((serverId) => !listed.has(serverId)).forEach((serverId) => {
        servers.delete(serverId);
        cache.removeServer(serverId);
      });
      candidateLists.clear();
    },
  };
}
