/**
 * Fair shares across daemons without a coordinator. Each daemon counts the service that it gave to
 * each account, learns from a digest what the others gave, and orders accounts by the sum. Between
 * digests a daemon does not know what the others give, which bounds how exact the shares are:
 *
 * Let two accounts wait at every daemon throughout. Their services over weight then differ by at
 * most `(C · A + 2 · D · L) / w` tokens, where C is the rate of the whole fleet in tokens per
 * second, A the age in seconds that a digest has when the next one replaces it, D the number of
 * daemons, L the cost of the largest request in tokens and w the smaller weight: whatever was
 * counted before the digest is known to all, at most C · A was served since, and each daemon errs
 * by one request for each of the two accounts.
 */
import type * as Core from '@berylyoke/core';

/** Cumulative service of accounts, as told by a daemon or summed by a relay. */
export interface ServiceDigest {
  /** Time of this daemon's clock that the digest describes. */
  readonly sampledMs: Core.Millis;
  /** Tokens since the start of the sender, by account. */
  readonly tokens: ReadonlyMap<string, number>;
}

/** Service that the others gave to an account since the digest before. */
export interface RemoteService {
  readonly account: string;
  readonly tokens: number;
}

/** Counts of one daemon. */
export interface FleetShares {
  readonly recordService: (account: string, tokens: number) => void;
  /**
   * Applies a digest of the other daemons and returns the increments, which the caller adds to the
   * counters of its queue. A digest that is not newer than the last one changes nothing.
   */
  readonly applyDigest: (digest: ServiceDigest) => readonly RemoteService[];
  /**
   * Builds a digest of the accounts whose service has changed most since they were last sent; the
   * rest follows in later digests, so that one keeps to its size.
   */
  readonly buildDigest: (nowMs: Core.Millis, maxAccounts: number) => ServiceDigest;
  /** Gets this daemon's part of an account's limit, from its part of the recent service. */
  readonly getLimitShare: (account: string, daemonCount: number) => number;
}

/** What the bound depends on. */
export interface ShareBoundInput {
  readonly digestAgeMs: Core.Millis;
  readonly fleetTokensPerSecond: number;
  readonly daemonCount: number;
  readonly maxRequestTokens: number;
  readonly minWeight: number;
}

/** Computes how far services over weight of two waiting accounts can differ, in tokens. */
export function computeShareBound({
  daemonCount, digestAgeMs, fleetTokensPerSecond, maxRequestTokens, minWeight,
}: ShareBoundInput): number {
  const unseenTokens = (fleetTokensPerSecond * digestAgeMs) / 1_000;
  return (unseenTokens + 2 * daemonCount * maxRequestTokens) / minWeight;
}

/** Weight of the newest increments in the part of a limit. */
const RECENT_WEIGHT = 0.2;

/** Creates counts without any service. */
export function createFleetShares(): FleetShares {
  const own = new Map<string, number>();
  const sent = new Map<string, number>();
  const others = new Map<string, number>();
  const ownAtDigest = new Map<string, number>();
  const shares = new Map<string, number>();
  let digestMs = -Infinity;

  const updateShare = (account: string, ownDelta: number, otherDelta: number): void => {
    if (ownDelta + otherDelta <= 0) return;
    const part = ownDelta / (ownDelta + otherDelta);
    const known = shares.get(account) ?? part;
    shares.set(account, known + (part - known) * RECENT_WEIGHT);
  };

  return {
    applyDigest: ({ sampledMs, tokens }) => {
      if (sampledMs <= digestMs) return [];
      digestMs = sampledMs;
      const increments = [...tokens].flatMap(([account, total]) => {
        const delta = total - (others.get(account) ?? 0);
        // A sum falls when a daemon restarts; its new count continues from there.
        others.set(account, total);
        return delta > 0 ? [{ account, tokens: delta }] : [];
      });
      const remote = new Map(increments.map((step) => [step.account, step.tokens]));
      new Set([...own.keys(), ...remote.keys()]).forEach((account) => {
        const served = own.get(account) ?? 0;
        updateShare(account, served - (ownAtDigest.get(account) ?? 0), remote.get(account) ?? 0);
        ownAtDigest.set(account, served);
      });
      return increments;
    },
    buildDigest: (nowMs, maxAccounts) => {
      const changed = [...own]
        .filter(([account, tokens]) => tokens !== sent.get(account))
        .sort(([a, aTokens], [b, bTokens]) => (
          (bTokens - (sent.get(b) ?? 0)) - (aTokens - (sent.get(a) ?? 0))
        ))
        .slice(0, maxAccounts);
      changed.forEach(([account, tokens]) => sent.set(account, tokens));
      return { sampledMs: nowMs, tokens: new Map(changed) };
    },
    getLimitShare: (account, daemonCount) => (
      // Half of an even part is kept, so that an account that moves here finds some room.
      Math.max(shares.get(account) ?? 1 / daemonCount, 1 / (2 * daemonCount))
    ),
    recordService: (account, tokens) => {
      own.set(account, (own.get(account) ?? 0) + tokens);
    },
  };
}
