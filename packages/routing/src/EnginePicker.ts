/**
 * Picks an engine for a prompt by the predicted time to the first token, where the load of the
 * engines by all daemons is known. All daemons see the same sums, which are up to two exchanges
 * old. If each took the engine with the least load, they would all take the same one until the next
 * sums, so each pick compares a few engines drawn at random, and those that have the prefix.
 */
import type * as Core from '@berylyoke/core';
import * as Scheduling from '@berylyoke/scheduling';
import type * as FleetLoad from './FleetLoad.js';
import * as ServerPicker from './ServerPicker.js';

/** A server that may be picked, as an engine. */
export interface EngineCandidate extends ServerPicker.Candidate {
  readonly engine: Scheduling.EngineState & { readonly load: FleetLoad.FleetServerLoad };
}

/** The picked engine, and what was predicted for it. */
export interface PickedEngine extends ServerPicker.PickedServer {
  readonly cachedTokens: number;
  readonly engine: {
    readonly prediction: Scheduling.FirstTokenPrediction;
    readonly rate: Scheduling.EngineRate;
    readonly terms: Scheduling.EngineTerms;
    /** Load at the time of the pick, without the request. */
    readonly load: FleetLoad.FleetServerLoad;
    readonly uncachedTokens: number;
  };
}

/**
 * Engines that a pick draws at random: with two, the least loaded one gets at most twice its share
 * until the next sums. With four, first tokens of middle prompts took 830 ms in place of 620 ms in
 * a simulation (p50, 25 engines, load 0.6, sums 1.2 s old).
 */
const DRAWN_ENGINES = 2;

/** Engines meant for other prompts that a pick draws; they are rarely worth their penalty. */
const DRAWN_MISPLACED_ENGINES = 2;

interface Option {
  readonly candidate: EngineCandidate;
  readonly placement: ServerPicker.EnginePlacement;
  readonly prediction: Scheduling.FirstTokenPrediction;
  readonly uncachedTokens: number;
}

/** Chooses some options at random. */
function chooseAtRandom(
  options: readonly Option[],
  count: number,
  random: () => number,
): readonly Option[] {
  const rest = [...options];
  return Array.from({ length: Math.min(count, options.length) }, () => (
    rest.splice(Math.floor(random() * rest.length), 1)[0] as Option
  ));
}

/**
 * Excludes the engines that are reserved for short prompts from an admission of a long one. Their
 * penalty alone would let long prompts through as soon as all other engines are full.
 */
function excludeReserved(options: readonly Option[]): readonly Option[] {
  const unreserved = options.filter(({ placement }) => (
    placement.penaltyMs < ServerPicker.LONG_ON_RESERVED_PENALTY_MS
  ));
  return unreserved.length > 0 ? unreserved : options;
}

function selectOptions(options: readonly Option[], random: () => number): readonly Option[] {
  const withRoom = options.filter(({ prediction }) => prediction.hasRoom);
  const usable = withRoom.length > 0 ? withRoom : options;
  const isMisplaced = ({ placement }: Option): boolean => placement.isMisplaced;
  return [
    ...chooseAtRandom(usable.filter((option) => !isMisplaced(option)), DRAWN_ENGINES, random),
    ...chooseAtRandom(usable.filter(isMisplaced), DRAWN_MISPLACED_ENGINES, random),
    ...usable.filter(({ placement }) => placement.cachedTokens > 0),
  ];
}

/** Checks whether a request could be sent to an engine with the given prediction. */
export type AllowanceCheck = (prediction: Scheduling.FirstTokenPrediction) => boolean;

/**
 * Picks an engine; undefined if there is no candidate. The pick has no room for the request only if
 * no candidate has. An engine at which the request may be sent precedes those with less cost, or
 * requests would wait for the engine that has their prefix while others are idle. The time to read
 * the prefix again counts as a wait there: in an overload, prefixes that move from engine to engine
 * took half of the time of all engines.
 */
export function pickEngine(
  candidates: readonly EngineCandidate[],
  prompt: ServerPicker.Prompt,
  rate: Scheduling.EngineRate,
  context: ServerPicker.PickContext,
  isAllowed?: AllowanceCheck,
): PickedEngine | undefined {
  const pool = ServerPicker.selectPool(candidates);
  const placements = ServerPicker.estimatePlacements(pool, prompt);
  const heldTokens = prompt.inputTokens + prompt.maxOutputTokens;
  const considered = pool.map((candidate, index): Option => {
    const placement = placements[index] as ServerPicker.EnginePlacement;
    const uncachedTokens = Math.max(0, prompt.inputTokens - placement.cachedTokens);
    const demand = { heldTokens, uncachedTokens };
    return {
      candidate,
      placement,
      prediction: Scheduling.predictFirstToken(candidate.engine, demand, rate),
      uncachedTokens,
    };
  });
  const drawn = selectOptions(
    isAllowed === undefined ? considered : excludeReserved(considered),
    context.random,
  );
  const allowed = isAllowed === undefined ? [] : drawn.filter(({ placement, prediction }) => (
    isAllowed({
      ...prediction,
      waitMs: prediction.waitMs + placement.penaltyMs
        + placement.recomputedTokens / rate.tokensPerMs,
    })
  ));
  const options = allowed.length > 0 ? allowed : drawn;
  const costs = options.map(({ candidate, placement, prediction }): Core.Millis => (
    ServerPicker.computePickCost(
      prediction.ownMs + prediction.waitMs + placement.penaltyMs
        + placement.recomputedTokens / rate.tokensPerMs,
      candidate,
      context,
    )
  ));
  const best = costs.indexOf(Math.min(...costs));
  const chosen = options[best];
  if (chosen === undefined) return undefined;
  const {
    candidate, placement, prediction, uncachedTokens,
  } = chosen;
  return {
    cachedTokens: placement.cachedTokens,
    candidates: pool.length,
    costMs: costs[best] as number,
    engine: {
      load: candidate.engine.load,
      prediction,
      rate,
      terms: candidate.engine.terms,
      uncachedTokens,
    },
    id: candidate.id,
    unloadedMs: prediction.ownMs,
  };
}
