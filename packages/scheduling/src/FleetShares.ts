/**
 * Fair sharing across daemons without a coordinator. Each daemon counts the tokens that it served
 * to each account, learns from digests what the other daemons served, and orders accounts by the
 * sum. Tokens served by other daemons since the last digest are unknown, so shares are not exact;
 * the error is bounded as follows.
 *
 * Assume that two accounts always have requests queued at every daemon. Their served tokens divided
 * by weight differ by at most `(C · A + 2 · D · L) / w` tokens, where
 *
 * - C is the throughput of all daemons together in tokens per second,
 * - A is the age in seconds that a digest reaches before the next one replaces it,
 * - D is the number of daemons,
 * - L is the cost of the largest request in tokens,
 * - w is the smaller of the two weights.
 *
 * All daemons know the tokens counted before the digest; at most C · A tokens were served since,
 * and each daemon adds an error of at most one request for each of the two accounts.
 */
import type * as Core from '@berylyoke/core';

/** Cumulative served tokens by account, sent by a daemon or summed over daemons by a relay. */
export interface ServedTokensDigest {
  /** Time at which the counts were sampled, by this daemon's clock. */
  readonly sampledMs: Core.Millis;
  /** Tokens served since the start of the sender, by account. */
  readonly tokens: ReadonlyMap<string, number>;
}

/** Tokens that the other daemons served to an account between the last two digests. */
export interface RemoteServedTokens {
  readonly account: string;
  readonly tokens: number;
}

/** Served-token counts of one daemon. */
export interface FleetShares {
  readonly recordServedTokens: (account: string, tokens: number) => void;
  /**
   * Applies a digest of the other daemons and returns the increments by account, which the caller
   * charges to the accounts in its queue. Ignores a digest that is not newer than the last one.
   */
  readonly applyDigest: (digest: ServedTokensDigest) => readonly RemoteServedTokens[];
  /**
   * Builds a digest of at most `maxAccounts` accounts: those whose count has grown most since it
   * was last sent. The other accounts follow in later digests.
   */
  readonly buildDigest: (nowMs: Core.Millis, maxAccounts: number) => ServedTokensDigest;
  /**
   * Gets the share of an account's limit that this daemon may use, in [0, 1]. It follows the share
   * of the account's recently served tokens that this daemon served.
   */
  readonly getLimitShare: (account: string, daemonCount: number) => number;
}

/** Parameters of the bound on the difference between accounts. */
export interface ShareBoundInput {
  readonly digestAgeMs: Core.Millis;
  readonly fleetTokensPerSecond: number;
  readonly daemonCount: number;
  readonly maxRequestTokens: number;
  readonly minWeight: number;
}

/**
 * Computes the maximum difference, in tokens, between the served tokens divided by weight of two
 * accounts that always have requests queued.
 */
export function computeShareBound({
  daemonCount, digestAgeMs, fleetTokensPerSecond, maxRequestTokens, minWeight,
}: ShareBoundInput): number {
  const unseenTokens = (fleetTokensPerSecond * digestAgeMs) / 1_000;
  return (unseenTokens + 2 * daemonCount * maxRequestTokens) / minWeight;
}

/** Weight of the latest digest interval in the moving average of a daemon's share of an account. */
const NEW_SHARE_WEIGHT = 0.2;

/** Creates empty counts. */
export function createFleetShares(): FleetShares {
  const ownTokens = new Map<string, number>();
  const sentTokens = new Map<string, number>();
  const otherTokens = new Map<string, number>();
  const ownTokensAtDigest = new Map<string, number>();
  const ownShares = new Map<string, number>();
  let lastDigestMs = -Infinity;

  const updateShare = (account: string, ownDelta: number, otherDelta: number): void => {
    if (ownDelta + otherDelta <= 0) return;
    const ownShare = ownDelta / (ownDelta + otherDelta);
    const previous = ownShares.get(account) ?? ownShare;
    ownShares.set(account, previous + (ownShare - previous) * NEW_SHARE_WEIGHT);
  };

  return {
    applyDigest: ({ sampledMs, tokens }) => {
      if (sampledMs <= lastDigestMs) return [];
      lastDigestMs = sampledMs;
      const increments = [...tokens].flatMap(([account, totalTokens]) => {
        const delta = totalTokens - (otherTokens.get(account) ?? 0);
        // A sum falls when a daemon restarts; counting continues from the lower value.
        otherTokens.set(account, totalTokens);
        return delta > 0 ? [{ account, tokens: delta }] : [];
      });
      const remoteTokens = new Map(increments.map((increment) => [
        increment.account, increment.tokens,
      ]));
      new Set([...ownTokens.keys(), ...remoteTokens.keys()]).forEach((account) => {
        const ownTotal = ownTokens.get(account) ?? 0;
        updateShare(
          account,
          ownTotal - (ownTokensAtDigest.get(account) ?? 0),
          remoteTokens.get(account) ?? 0,
        );
        ownTokensAtDigest.set(account, ownTotal);
      });
      return increments;
    },
    buildDigest: (nowMs, maxAccounts) => {
      const changedAccounts = [...ownTokens]
        .filter(([account, tokens]) => tokens !== sentTokens.get(account))
        .sort(([a, aTokens], [b, bTokens]) => (
          (bTokens - (sentTokens.get(b) ?? 0)) - (aTokens - (sentTokens.get(a) ?? 0))
        ))
        .slice(0, maxAccounts);
      changedAccounts.forEach(([account, tokens]) => sentTokens.set(account, tokens));
      return { sampledMs: nowMs, tokens: new Map(changedAccounts) };
    },
    getLimitShare: (account, daemonCount) => (
      // At least half of an even share, so that an account whose requests move to this daemon can
      // start some of them at once.
      Math.max(ownShares.get(account) ?? 1 / daemonCount, 1 / (2 * daemonCount))
    ),
    recordServedTokens: (account, tokens) => {
      ownTokens.set(account, (ownTokens.get(account) ?? 0) + tokens);
    },
  };
}
