/**
 * Fault table of a fake. Each row names an operation, the kind of fault and how many requests it
 * affects. Tests set the rows in the same process or with `POST /faults`.
 */
import * as Schema from 'effect/Schema';

/** Kind of fault; `FAULT_DESCRIPTIONS` explains each. */
export const FaultKind = Schema.Literal(
  'crash',
  'crossed',
  'delay',
  'duplicate',
  'gap',
  'lost-answer',
  'refusal',
  'silence',
  'slow',
);
export type FaultKind = typeof FaultKind.Type;

/** Effect of each kind of fault on an operation. */
export const FAULT_DESCRIPTIONS: Readonly<Record<FaultKind, string>> = {
  crash: 'the connection is closed; in a stream, after afterTokens tokens',
  crossed: 'a chunk of another request is written after afterTokens tokens',
  delay: 'the answer is delayed by delayMs',
  duplicate: 'the operation is executed twice',
  gap: 'a part of the answer is left out',
  'lost-answer': 'the operation is executed, but the connection is closed without an answer',
  refusal: 'status 503; the operation is not executed',
  silence: 'no execution and no answer; in a stream, after afterTokens; the connection stays open',
  slow: 'each token is delayed by delayMs',
};

/** One row of the table. */
export const Fault = Schema.Struct({
  operation: Schema.String,
  kind: FaultKind,
  /** Number of requests that the row still applies to. */
  count: Schema.optionalWith(Schema.Int, { default: () => 1 }),
  delayMs: Schema.optionalWith(Schema.Number, { default: () => 0 }),
  /** Number of tokens that a stream delivers before the fault; 0 by default. */
  afterTokens: Schema.optional(Schema.Int),
});
export type Fault = typeof Fault.Type;
export type EncodedFault = typeof Fault.Encoded;

const decodeRows = Schema.decodeSync(Schema.Array(Fault));

/** Table of the faults to inject. */
export interface FaultTable {
  readonly set: (faults: readonly EncodedFault[]) => void;
  /** Returns the first row that still applies to an operation, and lowers its count by 1. */
  readonly take: (operation: string) => Fault | undefined;
}

/** Creates an empty table. */
export function createFaultTable(): FaultTable {
  let rows: readonly Fault[] = [];
  return {
    set: (faults) => {
      rows = decodeRows(faults);
    },
    take: (operation) => {
      const matchingRow = rows.find((row) => row.operation === operation && row.count > 0);
      if (matchingRow === undefined) return undefined;
      rows = rows.map((row) => (row === matchingRow ? { ...row, count: row.count - 1 } : row));
      return matchingRow;
    },
  };
}
