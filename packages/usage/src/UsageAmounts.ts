/** Amounts of usage per client account, and arithmetic on them. */
import * as Schema from 'effect/Schema';

const Amount = Schema.Int.pipe(Schema.nonNegative());

/** Usage of one client account. */
export const UsageAmounts = Schema.Struct({
  requests: Amount,
  inputTokens: Amount,
  outputTokens: Amount,
});
export type UsageAmounts = typeof UsageAmounts.Type;

/** Usage by client account. */
export const AccountUsage = Schema.Record({ key: Schema.String, value: UsageAmounts });
export type AccountUsage = typeof AccountUsage.Type;

export const ZERO_USAGE: UsageAmounts = { inputTokens: 0, outputTokens: 0, requests: 0 };

function mergeAccountUsage(
  a: AccountUsage,
  b: AccountUsage,
  merge: (x: number, y: number) => number,
): AccountUsage {
  return Object.fromEntries([...new Set([...Object.keys(a), ...Object.keys(b)])]
    .map((account) => {
      const x = a[account] ?? ZERO_USAGE;
      const y = b[account] ?? ZERO_USAGE;
      return [account, {
        inputTokens: merge(x.inputTokens, y.inputTokens),
        outputTokens: merge(x.outputTokens, y.outputTokens),
        requests: merge(x.requests, y.requests),
      }];
    }));
}

/** Tells whether all amounts are zero. */
export function isZeroUsage({ inputTokens, outputTokens, requests }: UsageAmounts): boolean {
  return inputTokens === 0 && outputTokens === 0 && requests === 0;
}

function removeUnusedAccounts(figures: AccountUsage): AccountUsage {
  return Object.fromEntries(
    Object.entries(figures).filter(([, found]) => !isZeroUsage(found)),
  );
}

/** Adds two usages of one account. */
export function addUsage(a: UsageAmounts, b: UsageAmounts): UsageAmounts {
  return {
    inputTokens: a.inputTokens + b.inputTokens,
    outputTokens: a.outputTokens + b.outputTokens,
    requests: a.requests + b.requests,
  };
}

/** Subtracts `b` from `a`; no amount falls below zero. */
export function subtractUsage(a: UsageAmounts, b: UsageAmounts): UsageAmounts {
  return {
    inputTokens: Math.max(0, a.inputTokens - b.inputTokens),
    outputTokens: Math.max(0, a.outputTokens - b.outputTokens),
    requests: Math.max(0, a.requests - b.requests),
  };
}

/** Takes the greater value of each amount of one account. */
export function joinUsage(a: UsageAmounts, b: UsageAmounts): UsageAmounts {
  return {
    inputTokens: Math.max(a.inputTokens, b.inputTokens),
    outputTokens: Math.max(a.outputTokens, b.outputTokens),
    requests: Math.max(a.requests, b.requests),
  };
}

/** Adds usages by account. */
export function sumAccountUsage(a: AccountUsage, b: AccountUsage): AccountUsage {
  return mergeAccountUsage(a, b, (x, y) => x + y);
}

/** Takes the greater value of each amount, which merges cumulative counters in any order. */
export function joinAccountUsage(a: AccountUsage, b: AccountUsage): AccountUsage {
  return mergeAccountUsage(a, b, Math.max);
}

/** Computes by how much `a` exceeds `b`. Omits accounts whose usage is not exceeded. */
export function computeExcess(a: AccountUsage, b: AccountUsage): AccountUsage {
  return removeUnusedAccounts(mergeAccountUsage(a, b, (x, y) => Math.max(0, x - y)));
}

/** Sorts the accounts by name, so that equal usages have equal serializations. */
export function sortAccountUsage(figures: AccountUsage): AccountUsage {
  return Object.fromEntries(Object.entries(figures).sort(([a], [b]) => (a < b ? -1 : 1)));
}

/** Tells whether no account has any usage. */
export function isEmptyAccountUsage(figures: AccountUsage): boolean {
  return Object.values(figures).every(isZeroUsage);
}
