/**
 * Choice of a backend server among those of a service. Engines are compared by the expected time to
 * the first token: the delay that was observed there lately, which shows the load of all daemons,
 * prompt tokens of this daemon that wait there, and tokens of the prompt that are not cached.
 * Requests that share prompt parts so gather on few servers as long as these keep up. A part of the
 * engines is reserved for short prompts, because a long prompt delays every request beside it.
 * Plain services are compared by their observed time and the requests in progress.
 */
import * as Core from '@berylyoke/core';

/** One part of a prompt; requests share the parts at the beginning. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Prompt of a request as its headers describe it. */
export interface Prompt {
  readonly parts: readonly PromptPart[];
  readonly inputTokens: number;
  readonly maxOutputTokens: number;
}

/** What this daemon knows of a server at the moment of the choice. */
export interface Candidate {
  readonly id: string;
  readonly dataCentre: string;
  /** Requests of this daemon in progress there. */
  readonly inFlight: number;
  /** Prompt tokens that this daemon sent there and whose first token has not come. */
  readonly pendingPromptTokens: number;
  /** Observed time against that of the other servers, 1 where nothing was observed. */
  readonly slowdown: number;
  /** Recent delay of first tokens beyond what reading the prompt takes. */
  readonly delayMs: Core.Millis;
  /** Tokens of the prompt's shared parts that this daemon had read there lately. */
  readonly cachedTokens: number;
  /** Estimated probability that a request fails there. */
  readonly failureRate: number;
  /** Failed lately; used only when no other server is left. */
  readonly isSuspect: boolean;
  /** Turned a request away a moment ago; used only when no other sound server is left. */
  readonly isAtCapacity: boolean;
}

/** Circumstances of a choice. */
export interface PickContext {
  /** Data centre of this daemon. */
  readonly dataCentre: string;
  /** Daemons that choose among the same servers. */
  readonly daemonCount: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** A chosen server and the cost that decided, in expected milliseconds. */
export interface PickedServer {
  readonly id: string;
  readonly costMs: Core.Millis;
  /** Time to the first token of a server without load; 0 for plain services. */
  readonly unloadedMs: Core.Millis;
  readonly candidates: number;
}

/** Prompt tokens that an engine reads in a millisecond; the slowdown of each server corrects it. */
const PREFILL_TOKENS_PER_MS = 60;

/** Weight of tokens that are read again: they delay every request beside them. */
const RECOMPUTE_WEIGHT = 3;

/** Share of a prompt that is expected to be cached at its first and second preferred server. */
const EXPECTED_CACHED_SHARES = [0.8, 0.4] as const;

/** Time from the end of reading a prompt to the first token, at a server without load. */
const FIRST_TOKEN_MS = 90;

/** Tokens still to be read up to which a prompt counts as short: about 40 ms of an engine. */
const SHORT_PROMPT_TOKENS = 2_500;

/** Share of the engines that is reserved for short prompts. */
const RESERVED_SHARE = 0.25;

/** Engines below which none is reserved. */
const MIN_SERVERS_TO_RESERVE = 4;

/** Name whose rendezvous ranking selects the reserved engines, alike at all daemons. */
const RESERVED_KEY = 'short prompts';

/** Load that reserved engines may lack against others before a long prompt goes there. */
const LONG_ON_RESERVED_PENALTY_MS = 1_500;

/** Delay at the reserved engines beyond which short prompts go elsewhere. */
const SHORT_ON_UNRESERVED_PENALTY_MS = 150;

/** Weight of a daemon's own waiting tokens, for the like choices of the others. */
const MAX_FLEET_LOAD_FACTOR = 2.5;

/** Delay that each request in progress adds to the first token of another one. */
const BATCH_DELAY_MS = 4;

/**
 * Cost of a failed request in expected milliseconds: it is lost or starts over, which is far worse
 * than a longer wait at a sound server.
 */
const FAILURE_COST_MS = 2_000;

/** Cost of leaving the data centre: a round trip and the bytes between data centres. */
const CROSS_DATA_CENTRE_PENALTY_MS = 3;

/** Width of the random part of a cost, which keeps daemons from choosing alike. */
const COST_JITTER = 0.1;

/** Sums the tokens of the parts that other requests may share: all but the last part. */
export function countSharedPrefixTokens({ parts }: Prompt): number {
  return parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Gets the name under which the shared parts of a prompt are remembered. */
export function getSharedPrefixKey({ parts }: Prompt): string | undefined {
  return parts.at(-2)?.id;
}

/** Selects the servers that are reserved for short prompts. */
export function selectReservedServers(serverIds: readonly string[]): ReadonlySet<string> {
  if (serverIds.length < MIN_SERVERS_TO_RESERVE) return new Set();
  const count = Math.ceil(serverIds.length * RESERVED_SHARE);
  return new Set(Core.rankCandidates(RESERVED_KEY, serverIds).slice(0, count));
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
  const shared = countSharedPrefixTokens(prompt);
  const key = getSharedPrefixKey(prompt);
  const isShort = prompt.inputTokens <= SHORT_PROMPT_TOKENS;
  const reserved = selectReservedServers(candidates.map(({ id }) => id));
  const preferredIds = candidates.map(({ id }) => id).filter((id) => reserved.has(id) === isShort);
  const rankedIds = key === undefined ? [] : Core.rankCandidates(key, preferredIds);
  const fleetLoadFactor = Math.min(MAX_FLEET_LOAD_FACTOR, 1 + (context.daemonCount - 1) / 2);
  return candidates.map((candidate) => {
    const rankShare = EXPECTED_CACHED_SHARES[rankedIds.indexOf(candidate.id)] ?? 0;
    const cached = Math.min(shared, Math.max(candidate.cachedTokens, shared * rankShare));
    const uncachedTokens = Math.max(0, prompt.inputTokens - cached);
    const queueMs = (candidate.pendingPromptTokens * fleetLoadFactor) / PREFILL_TOKENS_PER_MS;
    const prefillMs = (uncachedTokens + (shared - cached) * (RECOMPUTE_WEIGHT - 1))
      / PREFILL_TOKENS_PER_MS;
    const batchMs = candidate.inFlight * fleetLoadFactor * BATCH_DELAY_MS;
    const penalties = { long: LONG_ON_RESERVED_PENALTY_MS, short: SHORT_ON_UNRESERVED_PENALTY_MS };
    const isMisplaced = reserved.size > 0 && reserved.has(candidate.id) !== isShort;
    const penaltyMs = isMisplaced ? penalties[isShort ? 'short' : 'long'] : 0;
    return {
      costMs: candidate.delayMs + queueMs + batchMs + prefillMs + penaltyMs,
      unloadedMs: uncachedTokens / PREFILL_TOKENS_PER_MS + FIRST_TOKEN_MS,
    };
  });
}

/** Chooses the cheapest server; undefined where there is none. */
export function pickServer(
  candidates: readonly Candidate[],
  prompt: Prompt | undefined,
  expectedResponseMs: number,
  context: PickContext,
): PickedServer | undefined {
  const healthy = candidates.filter(({ isSuspect }) => !isSuspect);
  const available = healthy.filter(({ isAtCapacity }) => !isAtCapacity);
  const pool = [available, healthy, candidates].find(({ length }) => length > 0) ?? [];
  const engineCosts = prompt === undefined
    ? undefined
    : estimateEngineCosts(pool, prompt, context);
  const costs = pool.map((candidate, index) => {
    const base = engineCosts?.[index]?.costMs
      ?? (candidate.inFlight + 1) * expectedResponseMs * candidate.slowdown;
    const crossDataCentreMs = candidate.dataCentre === context.dataCentre
      ? 0
      : CROSS_DATA_CENTRE_PENALTY_MS;
    const failureMs = candidate.failureRate * FAILURE_COST_MS;
    return (base + failureMs) * (1 + COST_JITTER * context.random()) + crossDataCentreMs;
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
