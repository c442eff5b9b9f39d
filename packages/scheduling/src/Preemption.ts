/**
 * Choice of a running request to interrupt, when a request of a higher tier would miss its target
 * and no slot is free. Only streams that can resume elsewhere are interrupted, and only for a
 * strictly higher tier.
 */

/** A running request that could be interrupted. */
export interface RunningRequest {
  readonly requestId: string;
  readonly serverId: string;
  readonly tier: number;
  /** False for plain services and calls that may not be repeated. */
  readonly isResumable: boolean;
  /** Tokens that a server has to read again when the request resumes. */
  readonly resumeTokens: number;
  /** Interruptions so far. */
  readonly interruptions: number;
}

/** Interruptions of one request, so that a long answer still ends. */
export const MAX_INTERRUPTIONS = 2;

/** Chooses the request that costs least to resume, of the lowest tier below the given one. */
export function choosePreemption(
  running: readonly RunningRequest[],
  tier: number,
): RunningRequest | undefined {
  return running.reduce<RunningRequest | undefined>((best, candidate) => {
    const isAllowed = candidate.isResumable && candidate.tier > tier
      && candidate.interruptions < MAX_INTERRUPTIONS;
    if (!isAllowed) return best;
    if (best === undefined || candidate.tier > best.tier) return candidate;
    const isCheaper = candidate.tier === best.tier && candidate.resumeTokens < best.resumeTokens;
    return isCheaper ? candidate : best;
  }, undefined);
}
