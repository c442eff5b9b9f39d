/**
 * Selects the backend server for the next attempt of a request: collects what the daemon knows of
 * each available server of the service and lets `ServerPicker` compare them.
 */
import * as Core from '@berylyoke/core';
import type * as ColdLimits from './ColdLimits.js';
import * as EnginePicker from './EnginePicker.js';
import * as FailureRate from './FailureRate.js';
import type * as PathContext from './PathContext.js';
import type * as RoutingConfig from './RoutingConfig.js';
import * as ServerObservation from './ServerObservation.js';
import * as ServerPool from './ServerPool.js';
import * as ServerPicker from './ServerPicker.js';
import * as ServerTable from './ServerTable.js';

/** Assumed response time of a request without a prompt before any was observed. */
const DEFAULT_RESPONSE_MS = 20;

/** Limits of the ratio of a server's mean response time to the median of its pool. */
const MIN_SLOWDOWN = 0.5;
const MAX_SLOWDOWN = 10;

/** What a request needs of its next server. */
export interface ServerRequirements {
  readonly service: string;
  readonly prompt: ServerPicker.Prompt | undefined;
  /** Servers that were tried already. */
  readonly triedIds: ReadonlySet<string>;
  /** Software version that began the stream; undefined if any version can serve the request. */
  readonly version: string | undefined;
  /** Whether the request may be sent to an engine; engines of which that is true are preferred. */
  readonly isAllowed?: EnginePicker.AllowanceCheck | undefined;
}

/** A server that was chosen for an attempt. */
export interface ChosenServer {
  readonly pooled: ServerPool.PooledServer;
  readonly costMs: Core.Millis;
  readonly unloadedMs: Core.Millis;
  /**
   * Time to the first token that the load by all daemons explains at a server of nominal speed; 0
   * for a request without a prompt.
   */
  readonly expectedFirstTokenMs: Core.Millis;
  readonly candidates: number;
  /** Request limit of the server in requests per second; undefined if it announced none. */
  readonly limitPerS: number | undefined;
  /** Hash of the prompt's shared prefix; undefined if it has none. */
  readonly prefixHash: number | undefined;
  /** Tokens of the shared prefix that the server is expected to have cached. */
  readonly cachedTokens: number;
  /** Prediction by the model of engines; undefined if the server was not chosen by it. */
  readonly engine: EnginePicker.PickedEngine['engine'] | undefined;
}

function computeMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

function hashSharedPrefix(prompt: ServerPicker.Prompt): number | undefined {
  const key = ServerPicker.getSharedPrefixKey(prompt);
  return key === undefined ? undefined : Core.hashText(key);
}

type ColdContext = Pick<PathContext.PathContext, 'coldLimits' | 'getActiveConfig' | 'servers'>;

/** Returns the limit of a cold server; undefined if it is warm or takes any number of requests. */
function findColdServer(
  { getActiveConfig, servers }: ColdContext,
  server: ServerTable.BackendServer,
  nowMs: Core.Millis,
): ColdLimits.ColdServer | undefined {
  if (!servers.isCold(server.id, nowMs)) return undefined;
  const requestsPerS = getActiveConfig()?.config.services.get(server.service)?.coldRequestsPerS;
  return requestsPerS === undefined ? undefined : { incarnation: server, requestsPerS };
}

function computeColdWait(
  context: ColdContext,
  server: ServerTable.BackendServer,
  nowMs: Core.Millis,
): Core.Millis {
  const cold = findColdServer(context, server, nowMs);
  return cold === undefined ? 0 : context.coldLimits.computeWait(cold, nowMs);
}

/** Records that a request is sent to a server, whose requests may be limited. */
export function recordSend(
  context: ColdContext & Pick<PathContext.PathContext, 'engineRates' | 'requestLimits'>,
  server: ServerTable.BackendServer,
  nowMs: Core.Millis,
  uncachedTokens: number,
): void {
  context.requestLimits.recordSend(server, nowMs);
  if (uncachedTokens > 0) {
    context.engineRates.get(server.service).recordSend(uncachedTokens, nowMs);
  }
  const cold = findColdServer(context, server, nowMs);
  if (cold !== undefined) context.coldLimits.recordSend(cold, nowMs);
}

/**
 * Returns the terms of the engines of a service; undefined if it has none, or if their load by all
 * daemons is not known.
 */
function findEngineTerms(
  { fleetLoad, getActiveConfig }: PathContext.PathContext,
  service: string,
  nowMs: Core.Millis,
): RoutingConfig.EngineTerms | undefined {
  if (!fleetLoad.isFresh(nowMs)) return undefined;
  return getActiveConfig()?.config.services.get(service)?.engine;
}

/** Reads what is known of the engines among which a request chooses. */
function readEngines(
  context: PathContext.PathContext,
  servers: readonly ServerTable.BackendServer[],
  { service, terms }: { readonly service: string; readonly terms: RoutingConfig.EngineTerms },
  nowMs: Core.Millis,
): readonly EnginePicker.EngineCandidate['engine'][] {
  const { engineRates, fleetLoad } = context;
  const names = servers.map(ServerTable.formatIncarnation);
  const loads = names.map((name) => fleetLoad.getServerLoad(name, nowMs));
  // The load of all servers has the same age, so that their queues grow alike.
  const growth = engineRates.get(service).predictGrowth({
    ageMs: loads[0]?.ageMs ?? 0, daemons: context.countDaemons(), engines: servers.length,
  }, nowMs);
  return loads.map((load, index) => ({
    load: { ...load, pendingPromptTokens: load.pendingPromptTokens + growth },
    slowdown: fleetLoad.getSlowdown(names[index] as string, nowMs),
    terms,
  }));
}

/** Picks an engine by the model; undefined for a request to which it does not apply. */
function pickEngine(
  context: PathContext.PathContext,
  { isAllowed, prompt, service }: ServerRequirements,
  candidates: readonly ServerPicker.Candidate[],
  servers: readonly ServerTable.BackendServer[],
  pickContext: ServerPicker.PickContext,
  nowMs: Core.Millis,
): EnginePicker.PickedEngine | undefined {
  const terms = prompt === undefined ? undefined : findEngineTerms(context, service, nowMs);
  if (prompt === undefined || terms === undefined) return undefined;
  const engines = readEngines(context, servers, { service, terms }, nowMs);
  return EnginePicker.pickEngine(
    candidates.map((candidate, index) => ({
      ...candidate, engine: engines[index] as EnginePicker.EngineCandidate['engine'],
    })),
    prompt,
    context.engineRates.get(service).getRate(),
    pickContext,
    isAllowed,
  );
}

/** Chooses among the available servers that meet the requirements. */
export function chooseServer(
  context: PathContext.PathContext,
  requirements: ServerRequirements,
): ChosenServer | undefined {
  const {
    prompt, service, triedIds, version,
  } = requirements;
  const nowMs = context.clock.readMonotonic();
  const serving = context.servers.listServing(service, nowMs);
  const servingIds = serving.map(({ id }) => id);
  context.health.observeMembers(service, servingIds);
  const suspects = context.health.selectEjected(service, servingIds);
  const pooled = serving
    .filter((server) => !triedIds.has(server.id)
      && (version === undefined || server.version === version)
      && context.availability.canAcceptRequests(server, nowMs)
      && context.requestLimits.canSend(server, nowMs)
      && computeColdWait(context, server, nowMs) === 0)
    .map(context.pool.get);
  const responseTimes = pooled.flatMap(({ meanResponseMs }) => (
    meanResponseMs === undefined ? [] : [meanResponseMs]
  ));
  const median = computeMedian(responseTimes);
  const prefixHash = prompt === undefined ? undefined : hashSharedPrefix(prompt);
  const candidates = pooled.map((each): ServerPicker.Candidate => {
    const {
      failureRate, inFlight, meanResponseMs, server, pendingPromptTokens,
    } = each;
    const fleetOutcomes = context.outcomes.getOutcomes(ServerTable.formatIncarnation(server));
    return {
      cachedTokens: prefixHash === undefined
        ? 0
        : context.cache.estimateCachedTokens(server.id, prefixHash, nowMs),
      dataCentre: server.dataCentre,
      delayMs: ServerPool.getDelay(each, nowMs),
      failureRate: FailureRate.estimateFailureRate(failureRate, nowMs, fleetOutcomes),
      id: server.id,
      inFlight,
      isAtCapacity: each.atCapacityUntilMs > nowMs,
      isSuspect: suspects.has(server.id)
        || ServerObservation.checkSilence(context, each, nowMs),
      slowdown: meanResponseMs === undefined || median === undefined || median <= 0
        ? 1
        : Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, meanResponseMs / median)),
      pendingPromptTokens,
    };
  });
  const pickContext: ServerPicker.PickContext = {
    daemonCount: context.countDaemons(),
    dataCentre: context.dataCentre,
    random: context.random,
  };
  const engine = pickEngine(
    context,
    requirements,
    candidates,
    pooled.map(({ server }) => server),
    pickContext,
    nowMs,
  );
  const pick = engine
    ?? ServerPicker.pickServer(candidates, prompt, median ?? DEFAULT_RESPONSE_MS, pickContext);
  const index = candidates.findIndex(({ id }) => id === pick?.id);
  const chosen = pooled[index];
  const candidate = candidates[index];
  if (pick === undefined || chosen === undefined || candidate === undefined) return undefined;
  const { costMs, unloadedMs } = pick;
  return {
    cachedTokens: engine?.cachedTokens ?? candidate.cachedTokens,
    candidates: pick.candidates,
    costMs,
    engine: engine?.engine,
    expectedFirstTokenMs: prompt === undefined ? 0
      : engine?.engine.prediction.nominalMs ?? unloadedMs + ServerPicker.estimateQueueMs(
        context.fleetLoad.getServerLoad(ServerTable.formatIncarnation(chosen.server), nowMs),
      ),
    limitPerS: context.requestLimits.getLimit(chosen.server, nowMs),
    pooled: chosen,
    prefixHash,
    unloadedMs,
  };
}

/**
 * Computes the time until any server of a service accepts requests of this VM; 0 if one does, and
 * if all of them are shutting down.
 */
export function computeRetryDelay(
  context: ColdContext
    & Pick<PathContext.PathContext, 'availability' | 'clock' | 'requestLimits'>,
  service: string,
): Core.Millis {
  const {
    availability, clock, requestLimits, servers,
  } = context;
  const nowMs = clock.readMonotonic();
  const waits = servers.listServing(service, nowMs).map((server) => Math.max(
    availability.computeWait(server, nowMs),
    requestLimits.computeWait(server, nowMs),
    computeColdWait(context, server, nowMs),
  ));
  const waitMs = Math.min(...waits);
  return waitMs === Infinity ? 0 : waitMs;
}
