/** Amounts of use by client account, and their arithmetic. */
import * as Schema from 'effect/Schema';

const Amount = Schema.Int.pipe(Schema.nonNegative());

/** Use of one client account. */
export const Figures = Schema.Struct({
  requests: Amount,
  inputTokens: Amount,
  outputTokens: Amount,
});
export type Figures = typeof Figures.Type;

/** Use by client account. */
export const AccountFigures = Schema.Record({ key: Schema.String, value: Figures });
export type AccountFigures = typeof AccountFigures.Type;

/** No use. */
export const ZERO_FIGURES: Figures = { inputTokens: 0, outputTokens: 0, requests: 0 };

function mergeFigures(
  a: AccountFigures,
  b: AccountFigures,
  merge: (x: number, y: number) => number,
): AccountFigures {
  return Object.fromEntries([...new Set([...Object.keys(a), ...Object.keys(b)])].sort()
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
export function isZeroFigures({ inputTokens, outputTokens, requests }: Figures): boolean {
  return inputTokens === 0 && outputTokens === 0 && requests === 0;
}

function removeZeros(figures: AccountFigures): AccountFigures {
  return Object.fromEntries(
    Object.entries(figures).filter(([, found]) => !isZeroFigures(found)),
  );
}

/** Adds the use of two sets of accounts. */
export function sumFigures(a: AccountFigures, b: AccountFigures): AccountFigures {
  return mergeFigures(a, b, (x, y) => x + y);
}

/** Takes the greater amount of each counter; cumulative counters merge so in any order. */
export function joinFigures(a: AccountFigures, b: AccountFigures): AccountFigures {
  return mergeFigures(a, b, Math.max);
}

/** Computes what `a` holds beyond `b`; accounts without a difference are left out. */
export function computeExcess(a: AccountFigures, b: AccountFigures): AccountFigures {
  return removeZeros(mergeFigures(a, b, (x, y) => Math.max(0, x - y)));
}

/** Tells whether there is no account with use. */
export function isEmptyFigures(figures: AccountFigures): boolean {
  return Object.values(figures).every(isZeroFigures);
}
