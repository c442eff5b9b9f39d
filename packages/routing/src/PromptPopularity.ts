/**
 * Load pattern: many daemons send a popular prompt part to the one engine that all of them prefer
 * for it. Each daemon sees a request in a second or two and the engine many times as many, so its
 * queue fills before any of them notices. A daemon therefore estimates from its own requests what
 * the fleet sends of a part, and prefers as many engines as can take that beside other work.
 */
import type * as Core from '@berylyoke/core';

/** Share of an engine's reading that one prompt part may take. */
const MAX_PART_SHARE = 0.25;

/** Age at which a request counts half: long against the pauses of one daemon, short of a shift. */
const HALF_LIFE_MS = 5_000;

/** Parts that are remembered; the least recently used ones are forgotten. */
const MAX_PARTS = 4_096;

const MS_PER_S = 1_000;

interface PartLoad {
  /** Tokens read for the part, weighted by age as of `atMs`. */
  readonly tokens: number;
  readonly atMs: Core.Millis;
}

/** Popularity of prompt parts as one daemon sees it. */
export interface PromptPopularity {
  /** Notes a request; `tokens` are those that an engine has to read for it. */
  readonly observe: (part: number, tokens: number, nowMs: Core.Millis) => void;
  /** Computes how many engines should share the requests of a part. */
  readonly countEngines: (
    part: number, daemonCount: number, tokensPerMs: number, nowMs: Core.Millis,
  ) => number;
}

/** Creates a view without requests. */
export function createPromptPopularity(): PromptPopularity {
  const loads = new Map<number, PartLoad>();
  const computeTokens = (part: number, nowMs: Core.Millis): number => {
    const load = loads.get(part);
    if (load === undefined) return 0;
    return load.tokens * 0.5 ** (Math.max(0, nowMs - load.atMs) / HALF_LIFE_MS);
  };
  return {
    countEngines: (part, daemonCount, tokensPerMs, nowMs) => {
      // A steady rate keeps the weighted sum at the rate times the half-life over ln 2.
      const perSecond = computeTokens(part, nowMs) * Math.LN2 * (MS_PER_S / HALF_LIFE_MS);
      const engineShare = tokensPerMs * MS_PER_S * MAX_PART_SHARE;
      return Math.max(1, Math.ceil((perSecond * daemonCount) / engineShare));
    },
    observe: (part, tokens, nowMs) => {
      const faded = computeTokens(part, nowMs);
      loads.delete(part);
      loads.set(part, { atMs: nowMs, tokens: faded + tokens });
      const [oldest] = loads.keys();
      if (loads.size > MAX_PARTS && oldest !== undefined) loads.delete(oldest);
    },
  };
}
