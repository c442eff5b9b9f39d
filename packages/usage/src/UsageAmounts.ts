/** Amounts of use by client account, and their arithmetic. */
import * as Schema from 'effect/Schema';

const Amount = Schema.Int.pipe(Schema.nonNegative());

/** Use of one client account. */
export const UsageAmounts = Schema.Struct({
  requests: Amount,
  inputTokens: Amount,
  outputTokens: Amount,
});
export type UsageAmounts = typeof UsageAmounts.Type;

/** Use by client account. */
export const AccountUsage = Schema.Record({ key: Schema.String, value: UsageAmounts });
export type AccountUsage = typeof AccountUsage.Type;

/** No use. */
export const ZERO_FIGURES: UsageAmounts = { inputTokens: 0, outputTokens: 0, requests: 0 };

function mergeFigures(
  a: AccountUsage,
  b: AccountUsage,
  merge: (x: number, y: number) => number,
): AccountUsage {
  return Object.fromEntries([...new Set([...Object.keys(a), ...Object.keys(b)])]
    .map((account) => {
      const x = a[account] ?? ZERO_FIGURES;
      const y = b[account] ?? ZERO_FIGURES;
      return [account, {
        inputTokens: merge(x.inputTokens, y.inputTokens),
        outputTokens: merge(x.outputTokens, y.outputTokens),
        requests: merge(x.requests, y.requests),
      }];
    }));
}

/** Tells whether nothing was used. */
export function isZeroFigures({ inputTokens, outputTokens, requests }: UsageAmounts): boolean {
  return inputTokens === 0 && outputTokens === 0 && requests === 0;
}

function removeZeros(figures: AccountUsage): AccountUsage {
  return Object.fromEntries(
    Object.entries(figures).filter(([, found]) => !isZeroFigures(found)),
  );
}

/** Adds the use of one account. */
export function addFigures(a: UsageAmounts, b: UsageAmounts): UsageAmounts {
  return {
    inputTokens: a.inputTokens + b.inputTokens,
    outputTokens: a.outputTokens + b.outputTokens,
    requests: a.requests + b.requests,
  };
}

/** Subtracts the use of one account, down to zero. */
export function subtractFigures(a: UsageAmounts, b: UsageAmounts): UsageAmounts {
  return {
    inputTokens: Math.max(0, a.inputTokens - b.inputTokens),
    outputTokens: Math.max(0, a.outputTokens - b.outputTokens),
    requests: Math.max(0, a.requests - b.requests),
  };
}

/** Takes the greater amount of each counter of one account. */
export function joinAccountFigures(a: UsageAmounts, b: UsageAmounts): UsageAmounts {
  return {
    inputTokens: Math.max(a.inputTokens, b.inputTokens),
    outputTokens: Math.max(a.outputTokens, b.outputTokens),
    requests: Math.max(a.requests, b.requests),
  };
}

/** Adds the use of two sets of accounts. */
export function sumFigures(a: AccountUsage, b: AccountUsage): AccountUsage {
  return mergeFigures(a, b, (x, y) => x + y);
}

/** Takes the greater amount of each counter; cumulative counters merge so in any order. */
export function joinFigures(a: AccountUsage, b: AccountUsage): AccountUsage {
  return mergeFigures(a, b, Math.max);
}

/** Computes what `a` holds beyond `b`; accounts without a difference are left out. */
export function computeExcess(a: AccountUsage, b: AccountUsage): AccountUsage {
  return removeZeros(mergeFigures(a, b, (x, y) => Math.max(0, x - y)));
}

/** Sorts the accounts by name, so that equal figures are written alike. */
export function sortFigures(figures: AccountUsage): AccountUsage {
  return Object.fromEntries(Object.entries(figures).sort(([a], [b]) => (a < b ? -1 : 1)));
}

/** Tells whether there is no account with use. */
export function isEmptyFigures(figures: AccountUsage): boolean {
  return Object.values(figures).every(isZeroFigures);
}
