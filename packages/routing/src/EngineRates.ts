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
 */
export function observeFirstToken(
  { engineRates, metrics }: Pick<PathContext.PathContext, 'engineRates' | 'metrics'>,
  { engine, pooled: { server } }: ServerSelection.ChosenServer,
  observedMs: Core.Millis,
): void {
  if (engine === undefined) return;
  const {
    load, prediction, terms, uncachedTokens,
  } = engine;
  metrics.observeFirstTokenError(
    server.service,
    observedMs - prediction.ownMs - prediction.waitMs,
  );
  // A wait for a place in the batch says nothing about the rate.
  if (load.requests >= terms.concurrentRequests) return;
  engineRates.get(server.service).observeFirstToken({
    load, observedMs, server: ServerTable.formatIncarnation(server), uncachedTokens,
  });
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
