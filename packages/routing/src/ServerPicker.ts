/**
 * Picks the cheapest backend server among the candidates of a service. For requests with a prompt,
 * inference engines are compared by the expected time to the first token. It is estimated from the
 * recently observed delay, which reflects the load from all daemons, the pending prompt tokens of
 * this daemon, and the prompt tokens that are not cached. Requests that share a prompt prefix thus
 * concentrate on a few engines as long as these keep up. Some engines are reserved for short
 * prompts, because the prefill of a long prompt delays every other request of its engine. For
 * requests without a prompt, servers are compared by response time and requests in progress.
 */
import * as Core from '@berylyoke/core';

/** One part of a prompt; requests may share leading parts. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Prompt of a request, as described by its headers. */
export interface Prompt {
  readonly parts: readonly PromptPart[];
  readonly inputTokens: number;
  readonly maxOutputTokens: number;
}

/**
 * Lists the ids of the parts that other requests may share; the last part belongs to the request
 * itself or to its session.
 */
export function listSharedPartIds({ parts }: Prompt): readonly string[] {
  return parts.slice(0, -1).map(({ id }) => id);
}

/** A server that may be picked, and its state as known to this daemon. */
export interface Candidate {
  readonly id: string;
  readonly dataCentre: string;
  /** Requests of this daemon that are in progress at the server. */
  readonly inFlight: number;
  /** Prompt tokens of this daemon's requests at the server that have no first token yet. */
  readonly pendingPromptTokens: number;
  /** Ratio of mean response time to the median of all servers; 1 if none was observed. */
  readonly slowdown: number;
  /** Recent delay of the first token beyond its time at an idle server. */
  readonly delayMs: Core.Millis;
  /** Tokens of the prompt's shared prefix that this daemon recently sent to the server. */
  readonly cachedTokens: number;
  /** Estimated probability that a request at the server fails. */
  readonly failureRate: number;
  /** Whether it is ejected or silent; such a server is picked only if all candidates are. */
  readonly isSuspect: boolean;
  /** Whether it recently refused a request; picked only if all healthy candidates did. */
  readonly isAtCapacity: boolean;
}

/** Inputs to a pick that are the same for all candidates. */
export interface PickContext {
  /** Data centre of this daemon. */
  readonly dataCentre: string;
  /** Number of daemons that pick among the same servers. */
  readonly daemonCount: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** The picked server and its cost in expected milliseconds. */
export interface PickedServer {
  readonly id: string;
  readonly costMs: Core.Millis;
  /** Expected time to the first token without load; 0 for a request without a prompt. */
  readonly unloadedMs: Core.Millis;
  readonly candidates: number;
}

/** Assumed prefill rate of an engine; a slower engine is corrected by its observed delay. */
const PREFILL_TOKENS_PER_MS = 60;

/**
 * Weight of shared prefix tokens that have to be prefilled again: they delay every other request
 * of the engine.
 */
const RECOMPUTE_WEIGHT = 3;

/**
 * Share of the shared prefix that is assumed to be cached at the first and second server in the
 * rendezvous ranking of the prefix.
 */
const EXPECTED_CACHED_SHARES = [0.8, 0.4] as const;

/** Time from the end of prefill to the first token, at a server without load. */
const FIRST_TOKEN_MS = 90;

/** Largest number of input tokens of a short prompt: about 40 ms of prefill. */
const SHORT_PROMPT_TOKENS = 2_500;

/** Share of the engines that is reserved for short prompts. */
const RESERVED_SHARE = 0.25;

/** Smallest number of engines of which some are reserved. */
const MIN_SERVERS_TO_RESERVE = 4;

/** Key of the rendezvous ranking by which all daemons reserve the same engines. */
const RESERVED_KEY = 'short prompts';

/** Cost added to long prompts at reserved engines; used only if the others cost that much more. */
export const LONG_ON_RESERVED_PENALTY_MS = 1_500;

/** Cost added to short prompts at other engines; used only if reserved ones cost that much more. */
const SHORT_ON_UNRESERVED_PENALTY_MS = 150;

/** Limit of the factor that scales this daemon's own load to that of all daemons. */
const MAX_FLEET_LOAD_FACTOR = 2.5;

/** Delay that each request in progress adds to the first token of another request. */
const BATCH_DELAY_MS = 4;

/**
 * Cost of a failed request: it is lost or starts over, which is far worse than a longer wait at a
 * healthy server.
 */
const FAILURE_COST_MS = 2_000;

/** Cost of a server in another data centre: a round trip and the traffic between them. */
const CROSS_DATA_CENTRE_PENALTY_MS = 3;

/** Relative jitter of a cost, which keeps daemons from all picking the same server. */
const COST_JITTER = 0.1;

/** Sums the tokens of the prefix that other requests may share: all parts but the last. */
export function countSharedPrefixTokens({ parts }: Prompt): number {
  return parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Gets the cache key of a prompt's shared prefix; undefined if it has none. */
export function getSharedPrefixKey({ parts }: Prompt): string | undefined {
  return parts.at(-2)?.id;
}

/** Selects the servers to reserve for short prompts. */
export function selectReservedServers(serverIds: readonly string[]): ReadonlySet<string> {
  if (serverIds.length < MIN_SERVERS_TO_RESERVE) return new Set();
  const count = Math.ceil(serverIds.length * RESERVED_SHARE);
  return new Set(Core.rankCandidates(RESERVED_KEY, serverIds).slice(0, count));
}

/** Estimates the delay of a first token by the load of its engine. */
export function estimateQueueMs(
  { pendingPromptTokens, requests }: {
    readonly pendingPromptTokens: number; readonly requests: number;
  },
): Core.Millis {
  return pendingPromptTokens / PREFILL_TOKENS_PER_MS + requests * BATCH_DELAY_MS;
}

/** How well an engine suits a prompt, apart from its load. */
export interface EnginePlacement {
  /** Tokens of the shared prefix that the engine is expected to have cached. */
  readonly cachedTokens: number;
  /** Additional weight of the prefix tokens that the engine has to read again. */
  readonly recomputedTokens: number;
  /** Whether engines of this kind are meant for other prompts. */
  readonly isMisplaced: boolean;
  /** Cost of that. */
  readonly penaltyMs: Core.Millis;
}

/** Estimates for each candidate how well it suits a prompt. */
export function estimatePlacements(
  candidates: readonly Pick<Candidate, 'cachedTokens' | 'id'>[],
  prompt: Prompt,
): readonly EnginePlacement[] {
  const shared = countSharedPrefixTokens(prompt);
  const key = getSharedPrefixKey(prompt);
  const isShort = prompt.inputTokens <= SHORT_PROMPT_TOKENS;
  const reserved = selectReservedServers(candidates.map(({ id }) => id));
  const preferredIds = candidates.map(({ id }) => id).filter((id) => reserved.has(id) === isShort);
  const rankedIds = key === undefined ? [] : Core.rankCandidates(key, preferredIds);
  const penalties = { long: LONG_ON_RESERVED_PENALTY_MS, short: SHORT_ON_UNRESERVED_PENALTY_MS };
  return candidates.map(({ cachedTokens, id }) => {
    const rankShare = EXPECTED_CACHED_SHARES[rankedIds.indexOf(id)] ?? 0;
    const cached = Math.min(shared, Math.max(cachedTokens, shared * rankShare));
    const isMisplaced = reserved.size > 0 && reserved.has(id) !== isShort;
    return {
      cachedTokens: cached,
      isMisplaced,
      penaltyMs: isMisplaced ? penalties[isShort ? 'short' : 'long'] : 0,
      recomputedTokens: (shared - cached) * (RECOMPUTE_WEIGHT - 1),
    };
  });
}

interface EngineCost {
  readonly costMs: Core.Millis;
  readonly unloadedMs: Core.Millis;
}

function estimateEngineCosts(
  candidates: readonly Candidate[],
  prompt: Prompt,
  context: PickContext,
): readonly EngineCost[] {
  const placements = estimatePlacements(candidates, prompt);
  const fleetLoadFactor = Math.min(MAX_FLEET_LOAD_FACTOR, 1 + (context.daemonCount - 1) / 2);
  return candidates.map((candidate, index) => {
    const { cachedTokens, penaltyMs, recomputedTokens } = placements[index] as EnginePlacement;
    const uncachedTokens = Math.max(0, prompt.inputTokens - cachedTokens);
    const queueMs = (candidate.pendingPromptTokens * fleetLoadFactor) / PREFILL_TOKENS_PER_MS;
    const prefillMs = (uncachedTokens + recomputedTokens) / PREFILL_TOKENS_PER_MS;
    const batchMs = candidate.inFlight * fleetLoadFactor * BATCH_DELAY_MS;
    return {
      costMs: candidate.delayMs + queueMs + batchMs + prefillMs + penaltyMs,
      unloadedMs: uncachedTokens / PREFILL_TOKENS_PER_MS + FIRST_TOKEN_MS,
    };
  });
}

/** Selects the candidates to compare: those without known trouble, if there are any. */
export function selectPool<T extends Pick<Candidate, 'isAtCapacity' | 'isSuspect'>>(
  candidates: readonly T[],
): readonly T[] {
  const healthy = candidates.filter(({ isSuspect }) => !isSuspect);
  const available = healthy.filter(({ isAtCapacity }) => !isAtCapacity);
  return [available, healthy, candidates].find(({ length }) => length > 0) ?? [];
}

/** Adds what a pick weighs beside the expected time: failures, distance and jitter. */
export function computePickCost(
  expectedMs: Core.Millis,
  { dataCentre, failureRate }: Pick<Candidate, 'dataCentre' | 'failureRate'>,
  context: Pick<PickContext, 'dataCentre' | 'random'>,
): Core.Millis {
  const crossDataCentreMs = dataCentre === context.dataCentre ? 0 : CROSS_DATA_CENTRE_PENALTY_MS;
  const failureMs = failureRate * FAILURE_COST_MS;
  return (expectedMs + failureMs) * (1 + COST_JITTER * context.random()) + crossDataCentreMs;
}

/**
 * Picks the cheapest server; returns undefined if there is none. `expectedResponseMs` is the
 * response time of a request without a prompt.
 */
export function pickServer(
  candidates: readonly Candidate[],
  prompt: Prompt | undefined,
  expectedResponseMs: number,
  context: PickContext,
): PickedServer | undefined {
  const pool = selectPool(candidates);
  const engineCosts = prompt === undefined
    ? undefined
    : estimateEngineCosts(pool, prompt, context);
  const costs = pool.map((candidate, index) => {
    const base = engineCosts?.[index]?.costMs
      ?? (candidate.inFlight + 1) * expectedResponseMs * candidate.slowdown;
    return computePickCost(base, candidate, context);
  });
  const best = costs.indexOf(Math.min(...costs));
  const chosen = pool[best];
  if (chosen === undefined) return undefined;
  return {
    candidates: pool.length,
    costMs: costs[best] as number,
    id: chosen.id,
    unloadedMs: engineCosts?.[best]?.unloadedMs ?? 0,
  };
}
