/**
 * Choice of a backend server among those of a service. Engines are compared by the expected time to
 * the first token: prompt tokens that wait there, and tokens of the prompt that are not cached.
 * Requests that share prompt parts so gather on few servers as long as these keep up. Plain
 * services are compared by their observed time and the requests in progress.
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
  readonly isReclaimable: boolean;
  /** Requests of this daemon in progress there. */
  readonly inFlight: number;
  /** Prompt tokens that this daemon sent there and whose first token has not come. */
  readonly waitingTokens: number;
  /** Observed over expected time, 1 where nothing was observed. */
  readonly slowdown: number;
  /** Tokens of the prompt's shared parts that this daemon had read there lately. */
  readonly cachedTokens: number;
  /** Estimated probability that a request fails there. */
  readonly failureShare: number;
  /** Failed lately; used only when no other server is left. */
  readonly isSuspect: boolean;
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
export interface Pick {
  readonly id: string;
  readonly costMs: number;
  readonly candidates: number;
}

/** Prompt tokens that an engine reads in a millisecond; the slowdown of each server corrects it. */
const PREFILL_TOKENS_PER_MS = 60;

/** Weight of tokens that are read again: they delay every request beside them. */
const REREAD_WEIGHT = 3;

/** Share of a prompt that is expected to be cached at its first and second preferred server. */
const PREFERRED_CACHED_SHARES = [0.8, 0.4] as const;

/** Delay that each request in progress adds to the first token of another one. */
const BATCH_DELAY_MS = 4;

/**
 * Cost of a failed request in expected milliseconds: it is lost or starts over, which is far worse
 * than a longer wait at a sound server.
 */
const FAILURE_COST_MS = 2_000;

/** Cost of leaving the data centre: a round trip and the bytes between data centres. */
const DISTANCE_MS = 3;

/** Width of the random part of a cost, which keeps daemons from choosing alike. */
const JITTER = 0.1;

/** Sums the tokens of the parts that other requests may share: all but the last part. */
export function countSharedTokens({ parts }: Prompt): number {
  return parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Gets the name under which the shared parts of a prompt are remembered. */
export function getSharedKey({ parts }: Prompt): string | undefined {
  return parts.at(-2)?.id;
}

function estimateEngineCosts(
  candidates: readonly Candidate[],
  prompt: Prompt,
  context: PickContext,
): readonly number[] {
  const shared = countSharedTokens(prompt);
  const key = getSharedKey(prompt);
  const ranked = key === undefined
    ? []
    : Core.rankCandidates(key, candidates.map(({ id }) => id));
  // Other daemons send there as well; half of an even share is a cautious guess of their load.
  const fleetFactor = 1 + (context.daemonCount - 1) / 2;
  return candidates.map((candidate) => {
    const rankShare = PREFERRED_CACHED_SHARES[ranked.indexOf(candidate.id)] ?? 0;
    const cached = Math.min(shared, Math.max(candidate.cachedTokens, shared * rankShare));
    const ownTokens = Math.max(0, prompt.inputTokens - cached);
    const waitMs = (candidate.waitingTokens * fleetFactor) / PREFILL_TOKENS_PER_MS;
    const readMs = (ownTokens + (shared - cached) * (REREAD_WEIGHT - 1)) / PREFILL_TOKENS_PER_MS;
    const batchMs = candidate.inFlight * fleetFactor * BATCH_DELAY_MS;
    return (waitMs + batchMs) * candidate.slowdown + readMs;
  });
}

/** Chooses the cheapest server; undefined where there is none. */
export function pickServer(
  candidates: readonly Candidate[],
  prompt: Prompt | undefined,
  expectedMs: number,
  context: PickContext,
): Pick | undefined {
  const sound = candidates.filter(({ isSuspect }) => !isSuspect);
  const pool = sound.length > 0 ? sound : candidates;
  const engineCosts = prompt === undefined
    ? undefined
    : estimateEngineCosts(pool, prompt, context);
  const costs = pool.map((candidate, index) => {
    const base = engineCosts?.[index] ?? (candidate.inFlight + 1) * expectedMs * candidate.slowdown;
    const distance = candidate.dataCentre === context.dataCentre ? 0 : DISTANCE_MS;
    const risk = candidate.failureShare * FAILURE_COST_MS;
    return (base + risk) * (1 + JITTER * context.random()) + distance;
  });
  const best = costs.indexOf(Math.min(...costs));
  const chosen = pool[best];
  if (chosen === undefined) return undefined;
  return { candidates: pool.length, costMs: costs[best] as number, id: chosen.id };
}
