/**
 * Prompt tokens that client accounts recently asked this daemon for. They decay with age, so that
 * the share of an account is that of the last seconds.
 */
import type * as Core from '@berylyoke/core';

/** Demand of one account, as of the time at which it was listed. */
export interface AccountDemand {
  readonly account: string;
  readonly promptTokens: number;
}

/** Age at which a demand has halved. */
const DEMAND_HALF_LIFE_MS = 4_000;

/** Maximum number of accounts in one list; the ones with the largest demand are listed. */
export const MAX_ACCOUNTS = 256;

/** Tokens at or below which a demand is dropped. */
const MIN_DEMAND = 1;

/** Demand of an account above which a report is ignored as invalid. */
const MAX_DEMAND = 1e10;

const MAX_NAME_LENGTH = 256;

/** Computes the part of a demand that remains after some time. */
export function computeDemandDecay(ageMs: Core.Millis): number {
  return 0.5 ** (Math.max(0, ageMs) / DEMAND_HALF_LIFE_MS);
}

/** Checks whether a demand from another daemon is within the bounds. */
export function isPlausibleDemand({ account, promptTokens }: AccountDemand): boolean {
  return account !== '' && account.length <= MAX_NAME_LENGTH
    && promptTokens >= 0 && promptTokens <= MAX_DEMAND;
}

/** Builds the list of the largest demands from sums by account. */
export function listLargestDemands(
  tokensByAccount: ReadonlyMap<string, number>,
): readonly AccountDemand[] {
  const demands = [...tokensByAccount]
    .filter(([, tokens]) => tokens > MIN_DEMAND)
    .map(([account, tokens]) => ({ account, promptTokens: Math.min(MAX_DEMAND, tokens) }));
  if (demands.length <= MAX_ACCOUNTS) return demands;
  return demands.sort((a, b) => b.promptTokens - a.promptTokens).slice(0, MAX_ACCOUNTS);
}

/** Demands at one daemon. */
export interface AccountDemands {
  readonly add: (account: string, promptTokens: number, nowMs: Core.Millis) => void;
  readonly list: (nowMs: Core.Millis) => readonly AccountDemand[];
}

/** Creates demands that are all zero. */
export function createAccountDemands(): AccountDemands {
  let tokensByAccount = new Map<string, number>();
  let updatedMs = 0;
  const updateDemands = (nowMs: Core.Millis): void => {
    const decay = computeDemandDecay(nowMs - updatedMs);
    updatedMs = nowMs;
    tokensByAccount = new Map([...tokensByAccount]
      .map(([account, tokens]) => [account, tokens * decay] as const)
      .filter(([, tokens]) => tokens > MIN_DEMAND));
  };
  return {
    add: (account, promptTokens, nowMs) => {
      updateDemands(nowMs);
      const isNew = !tokensByAccount.has(account);
      if (isNew && tokensByAccount.size >= MAX_ACCOUNTS) return;
      const tokens = (tokensByAccount.get(account) ?? 0) + promptTokens;
      if (isPlausibleDemand({ account, promptTokens: tokens })) {
        tokensByAccount.set(account, tokens);
      }
    },
    list: (nowMs) => {
      updateDemands(nowMs);
      return listLargestDemands(tokensByAccount);
    },
  };
}
