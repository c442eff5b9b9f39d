/**
 * Model of the inference engines of a service. It predicts the time to the first token of a request
 * at an engine from the engine's terms, its load by all daemons and the prompt tokens that are not
 * in its cache. The rate of the service is learned from observed first tokens: the intercept of a
 * regression is the time of a request without prefill, and the median over the servers is the
 * nominal rate, so that a few fast or slow servers don't change it.
 */
import * as Core from '@berylyoke/core';

/** What an engine takes, by the operator's configuration. */
export interface EngineTerms {
  /** Requests that the engine runs at once; further ones wait in its queue. */
  readonly concurrentRequests: number;
  /** Tokens of prompts and answers that the engine holds; it crashes if its requests need more. */
  readonly memoryTokens: number;
}

/** Load of an engine by all daemons. */
export interface EngineLoad {
  /** Uncached prompt tokens of requests without a first token. */
  readonly pendingPromptTokens: number;
  readonly requests: number;
  /** Tokens of the prompts and the allowed outputs of all requests. */
  readonly heldTokens: number;
}

/** An engine as known to a daemon. */
export interface EngineState {
  readonly terms: EngineTerms;
  readonly load: EngineLoad;
  /** Ratio of the observed to the nominal time to the first token; 1 for a new server. */
  readonly slowdown: number;
}

/** What a request adds to the load of its engine. */
export interface EngineDemand {
  readonly uncachedTokens: number;
  /** Tokens of the whole prompt and the allowed output. */
  readonly heldTokens: number;
}

/** Properties that the engines of a service have in common. */
export interface EngineRate {
  /** Nominal rate of prefill. */
  readonly tokensPerMs: number;
  /** Time to the first token at an idle engine that has the whole prompt in its cache. */
  readonly baseMs: Core.Millis;
  /** Mean time for which a request occupies one of the concurrent places. */
  readonly placeMs: Core.Millis;
}

/** Predicted times of a request at an engine. */
export interface FirstTokenPrediction {
  /** Time to the first token at the idle engine. */
  readonly ownMs: Core.Millis;
  /** Additional time because of the engine's load. */
  readonly waitMs: Core.Millis;
  /** Time to the first token with this load at an engine of nominal speed. */
  readonly nominalMs: Core.Millis;
  /** Whether the request fits into the memory and the queue of the engine. */
  readonly hasRoom: boolean;
  /** Estimated time until the request fits; 0 if it does. */
  readonly roomWaitMs: Core.Millis;
}

/** A first token as observed. The load is that at the time of sending, without the request. */
export interface FirstTokenObservation {
  readonly server: string;
  readonly load: EngineLoad;
  readonly uncachedTokens: number;
  readonly observedMs: Core.Millis;
}

/** The fleet whose sends since the newest sums are estimated. */
export interface FleetSize {
  readonly daemons: number;
  /** Engines of the service that take requests. */
  readonly engines: number;
  /** Age of the sums. */
  readonly ageMs: Core.Millis;
}

/** Estimate of the rate of one service. */
export interface EngineRateEstimate {
  /** Records the uncached tokens of a request that this daemon sends. */
  readonly recordSend: (uncachedTokens: number, nowMs: Core.Millis) => void;
  /**
   * Predicts by how many pending tokens the load of an engine has grown since the newest sums, if
   * the other daemons send as this one does. Without it, a fleet that sees short queues sends too
   * much until the next sums.
   */
  readonly predictGrowth: (fleet: FleetSize, nowMs: Core.Millis) => number;
  readonly observeFirstToken: (observation: FirstTokenObservation) => void;
  /** Records the time from the start of prefill to the end of an answer. */
  readonly observePlace: (placeMs: Core.Millis) => void;
  readonly getRate: () => EngineRate;
}

/** Constants of the model. */
export const ENGINE_MODEL = {
  /** Delay that each request in progress adds to the first token of another request. */
  batchDelayMs: 4,
  /** Requests at an engine beyond which none is sent, as a multiple of its concurrent requests. */
  maxRequestsFactor: 2,
  /** Rate and base time before any first token was observed. */
  defaultTokensPerMs: 60,
  defaultBaseMs: 90,
  defaultPlaceMs: 800,
  /** Bounds of learned values, against observations that say nothing about the engines. */
  minBaseMs: 10,
  maxBaseMs: 200,
  minTokensPerMs: 2,
  maxTokensPerMs: 1_000,
  minSlowdown: 0.2,
  maxSlowdown: 10,
  /** Weight of the newest observation in moving averages. */
  ewmaWeight: 0.2,
  /** Factor by which a new observation fades the earlier ones of the regression: some 100 count. */
  regressionDecay: 0.99,
  /** Weight of the defaults in the regression, in observations. */
  priorObservations: 1,
  /** Number of observations from which the median no longer contains the default rate. */
  priorServers: 3,
  /** Prompt tokens below which the prefill time is lost in the variation of the base time. */
  minObservedTokens: 1_000,
  /** Time over which the tokens that this daemon sends are averaged: some requests of it. */
  sendTimeConstantMs: 1_500,
  /** Smallest age of sums for the prediction of growth: an exchange of daemon and relay. */
  minGrowthMs: 1_200,
  /** Number of servers whose rate is remembered. */
  maxServers: 512,
} as const;

/** Prompt tokens of the prior observation that fixes the default rate in the regression. */
const PRIOR_TOKENS = 10_000;

/** Observed time in milliseconds below which the absolute rather than the relative error counts. */
const MIN_ERROR_SCALE_MS = 60;

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

/** Computes the time by which the other requests of an engine delay its batch steps. */
export function computeBatchDelay({ requests }: EngineLoad): Core.Millis {
  return requests * ENGINE_MODEL.batchDelayMs;
}

/** Checks whether a request fits into the memory and the queue of an engine. */
export function hasRoom({ load, terms }: EngineState, { heldTokens }: EngineDemand): boolean {
  const maxRequests = terms.concurrentRequests * ENGINE_MODEL.maxRequestsFactor;
  return load.requests + 1 <= maxRequests && load.heldTokens + heldTokens <= terms.memoryTokens;
}

/** Estimates the time until a request fits, if the requests of the engine end at a steady pace. */
function estimateRoomWait(
  { load, terms }: EngineState,
  { heldTokens }: EngineDemand,
  { placeMs }: EngineRate,
): Core.Millis {
  const { concurrentRequests, memoryTokens } = terms;
  const excessRequests = load.requests + 1
    - concurrentRequests * ENGINE_MODEL.maxRequestsFactor;
  const heldPerRequest = Math.max(1, load.heldTokens / Math.max(1, load.requests));
  const excessTokens = load.heldTokens + heldTokens - memoryTokens;
  const endings = Math.max(0, excessRequests, Math.ceil(excessTokens / heldPerRequest));
  return (endings * placeMs) / Math.max(1, concurrentRequests);
}

/**
 * Predicts the time to the first token of a request at an engine. The slowdown applies to the whole
 * time, as it is observed, so it also corrects what the nominal time leaves out.
 */
export function predictFirstToken(
  engine: EngineState,
  demand: EngineDemand,
  rate: EngineRate,
): FirstTokenPrediction {
  const { load, terms } = engine;
  const slowdown = clamp(
    engine.slowdown,
    ENGINE_MODEL.minSlowdown,
    ENGINE_MODEL.maxSlowdown,
  );
  const excess = load.requests - terms.concurrentRequests + 1;
  const placeWaitMs = excess <= 0
    ? 0
    : (excess * rate.placeMs) / Math.max(1, terms.concurrentRequests);
  const ownMs = demand.uncachedTokens / rate.tokensPerMs + rate.baseMs;
  const waitMs = load.pendingPromptTokens / rate.tokensPerMs + computeBatchDelay(load)
    + placeWaitMs;
  return {
    hasRoom: hasRoom(engine, demand),
    nominalMs: ownMs + waitMs,
    ownMs: ownMs * slowdown,
    roomWaitMs: estimateRoomWait(engine, demand, rate),
    waitMs: waitMs * slowdown,
  };
}

/** Weighted sums of a linear regression of times over tokens. */
interface RegressionSums {
  readonly weight: number;
  readonly x: number;
  readonly y: number;
  readonly xx: number;
  readonly xy: number;
}

function addPoint(sums: RegressionSums, x: number, y: number, count: number): RegressionSums {
  // Errors grow with the time, so the relative error is minimized.
  const weight = count / Math.max(MIN_ERROR_SCALE_MS, y) ** 2;
  return {
    weight: sums.weight + weight,
    x: sums.x + weight * x,
    xx: sums.xx + weight * x * x,
    xy: sums.xy + weight * x * y,
    y: sums.y + weight * y,
  };
}

function computeDecayed({
  weight, x, xx, xy, y,
}: RegressionSums): RegressionSums {
  const factor = ENGINE_MODEL.regressionDecay;
  return {
    weight: weight * factor, x: x * factor, xx: xx * factor, xy: xy * factor, y: y * factor,
  };
}

function computeIntercept(sums: RegressionSums): Core.Millis {
  const {
    defaultBaseMs, defaultTokensPerMs, maxBaseMs, minBaseMs, priorObservations,
  } = ENGINE_MODEL;
  const withBase = addPoint(sums, 0, defaultBaseMs, priorObservations);
  const {
    weight, x, xx, xy, y,
  } = addPoint(
    withBase,
    PRIOR_TOKENS,
    defaultBaseMs + PRIOR_TOKENS / defaultTokensPerMs,
    priorObservations,
  );
  return clamp((y * xx - x * xy) / (weight * xx - x * x), minBaseMs, maxBaseMs);
}

function computeMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

/** Creates an estimate without observations. */
export function createEngineRateEstimate(): EngineRateEstimate {
  const {
    defaultBaseMs, defaultPlaceMs, defaultTokensPerMs, ewmaWeight, maxTokensPerMs,
    minObservedTokens, minTokensPerMs, priorServers,
  } = ENGINE_MODEL;
  /** Moving average of the prefill time of one token by server. */
  const msPerTokens = new Map<string, number>();
  let sums: RegressionSums = {
    weight: 0, x: 0, xx: 0, xy: 0, y: 0,
  };
  let observations = 0;
  let rate: EngineRate = {
    baseMs: defaultBaseMs, placeMs: defaultPlaceMs, tokensPerMs: defaultTokensPerMs,
  };
  let sentTokens = 0;
  let sentMs = 0;
  const readSent = (nowMs: Core.Millis): number => (
    sentTokens * Math.exp(-Math.max(0, nowMs - sentMs) / ENGINE_MODEL.sendTimeConstantMs)
  );
  return {
    getRate: () => rate,
    observeFirstToken: ({
      load, observedMs, server, uncachedTokens,
    }) => {
      // With a queue, requests that arrived after the sums or the send count for the rate as well.
      if (load.pendingPromptTokens > uncachedTokens) return;
      const tokens = load.pendingPromptTokens + uncachedTokens;
      const prefillMs = observedMs - computeBatchDelay(load);
      if (!Number.isFinite(tokens) || !Number.isFinite(prefillMs)) return;
      // Tokens at a slow server count for more, or the servers' differences would bias the base.
      const nominalTokens = tokens * rate.tokensPerMs
        * (msPerTokens.get(server) ?? 1 / rate.tokensPerMs);
      sums = addPoint(computeDecayed(sums), nominalTokens, Math.max(0, prefillMs), 1);
      const baseMs = computeIntercept(sums);
      if (tokens >= minObservedTokens) {
        observations += 1;
        const msPerToken = clamp(
          (prefillMs - baseMs) / tokens,
          1 / maxTokensPerMs,
          1 / minTokensPerMs,
        );
        const mean = msPerTokens.get(server) ?? msPerToken;
        Core.setBounded(
          msPerTokens,
          server,
          mean + ewmaWeight * (msPerToken - mean),
          ENGINE_MODEL.maxServers,
        );
      }
      const defaults = Array.from(
        { length: Math.max(0, priorServers - observations) },
        () => 1 / defaultTokensPerMs,
      );
      const median = computeMedian([...msPerTokens.values(), ...defaults]);
      rate = { ...rate, baseMs, tokensPerMs: 1 / (median ?? 1 / defaultTokensPerMs) };
    },
    predictGrowth: ({ ageMs, daemons, engines }, nowMs) => {
      const fleetTokensPerMs = (readSent(nowMs) * daemons) / ENGINE_MODEL.sendTimeConstantMs;
      const excess = fleetTokensPerMs / Math.max(1, engines) - rate.tokensPerMs;
      return Math.max(0, excess) * Math.max(ENGINE_MODEL.minGrowthMs, ageMs);
    },
    recordSend: (uncachedTokens, nowMs) => {
      sentTokens = readSent(nowMs) + uncachedTokens;
      sentMs = nowMs;
    },
    observePlace: (placeMs) => {
      if (!Number.isFinite(placeMs) || placeMs < 0) return;
      rate = { ...rate, placeMs: rate.placeMs + ewmaWeight * (placeMs - rate.placeMs) };
    },
  };
}
