/** Learned rates of the engines of all services, and the check of predictions by observations. */
import type * as Core from '@berylyoke/core';
import * as Scheduling from '@berylyoke/scheduling';
import type * as PathContext from './PathContext.js';
import type * as ServerSelection from './ServerSelection.js';
import * as ServerTable from './ServerTable.js';

/** Estimates by service. */
export interface EngineRates {
  readonly get: (service: string) => Scheduling.EngineRateEstimate;
}

/** Creates estimates without observations; the operator's configuration bounds the services. */
export function createEngineRates(): EngineRates {
  const estimates = new Map<string, Scheduling.EngineRateEstimate>();
  return {
    get: (service) => {
      const known = estimates.get(service);
      if (known !== undefined) return known;
      const added = Scheduling.createEngineRateEstimate();
      estimates.set(service, added);
      return added;
    },
  };
}

/**
 * Records the time from a request's dispatch to its first token at an engine that the model chose.
 * The fleet learns the slowdown of the engine from the prefill time alone, with the nominal rate,
 * and only where no place in the batch was waited for.
 */
export function observeFirstToken(
  { engineRates, fleetLoad, metrics }: Pick<
    PathContext.PathContext,
    'engineRates' | 'fleetLoad' | 'metrics'
  >,
  { engine, pooled: { server } }: ServerSelection.ChosenServer,
  observedMs: Core.Millis,
): void {
  if (engine === undefined) return;
  const {
    load, prediction, rate, terms, uncachedTokens,
  } = engine;
  metrics.observeFirstTokenError(
    server.service,
    observedMs - prediction.ownMs - prediction.waitMs,
  );
  if (load.requests >= terms.concurrentRequests) return;
  const name = ServerTable.formatIncarnation(server);
  engineRates.get(server.service).observeFirstToken({
    load, observedMs, server: name, uncachedTokens,
  });
  const tokens = load.pendingPromptTokens + uncachedTokens;
  if (tokens < Scheduling.ENGINE_MODEL.minObservedTokens) return;
  const prefillMs = observedMs - rate.baseMs - Scheduling.computeBatchDelay(load);
  fleetLoad.observeFirstToken(name, tokens / rate.tokensPerMs, Math.max(0, prefillMs));
}

/** Records the time from a request's dispatch to the end of its answer. */
export function observeAnswer(
  { engineRates }: Pick<PathContext.PathContext, 'engineRates'>,
  { engine, pooled: { server } }: ServerSelection.ChosenServer,
  elapsedMs: Core.Millis,
): void {
  if (engine === undefined) return;
  engineRates.get(server.service).observePlace(Math.max(0, elapsedMs - engine.prediction.waitMs));
}
