/**
 * Preemption: chooses a running request to interrupt when a request of a higher tier would miss its
 * latency target because no slot is free. Only streams that can resume on another server are
 * interrupted, and only for a strictly higher tier.
 */

/** A running request that is considered for interruption. */
export interface PreemptionCandidate {
  readonly requestId: string;
  readonly serverId: string;
  readonly tier: number;
  /** False for plain services and for calls that must not be repeated. */
  readonly isResumable: boolean;
  /** Tokens that the next server has to prefill when the request resumes. */
  readonly resumeTokens: number;
  /** How often the request has been interrupted so far. */
  readonly interruptions: number;
}

/** Maximum number of interruptions of one request, so that long answers complete. */
export const MAX_INTERRUPTIONS = 2;

/**
 * Chooses the request of the lowest tier, among those below `tier`, and of these the one with the
 * fewest tokens to prefill again; undefined if no request may be interrupted.
 */
export function choosePreemption(
  running: readonly PreemptionCandidate[],
  tier: number,
): PreemptionCandidate | undefined {
  return running.reduce<PreemptionCandidate | undefined>((best, candidate) => {
    const isAllowed = candidate.isResumable && candidate.tier > tier
      && candidate.interruptions < MAX_INTERRUPTIONS;
    if (!isAllowed) return best;
    if (best === undefined || candidate.tier > best.tier) return candidate;
    const isCheaper = candidate.tier === best.tier && candidate.resumeTokens < best.resumeTokens;
    return isCheaper ? candidate : best;
  }, undefined);
}
