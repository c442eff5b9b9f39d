/**
 * Faults of a fake, as a table: each row names an operation, what goes wrong and how often. Rows
 * are set by a test in the same process or over `POST /faults`.
 */
import * as Schema from 'effect/Schema';

/** What goes wrong: see `FAULT_MEANINGS`. */
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

/** What each kind does to an operation of a fake. */
export const FAULT_DESCRIPTIONS: Readonly<Record<FaultKind, string>> = {
  crash: 'the connection breaks, in a stream after afterTokens',
  crossed: 'a chunk of another request comes after afterTokens',
  delay: 'the answer comes after delayMs',
  duplicate: 'the effect takes place twice',
  gap: 'a part of the answer is left out',
  'lost-answer': 'the effect takes place and the connection closes without an answer',
  refusal: 'status 503 and no effect',
  silence: 'no effect and no answer, in a stream from afterTokens on; the connection stays open',
  slow: 'each token comes delayMs later',
};

/** One row of the table. */
export const Fault = Schema.Struct({
  operation: Schema.String,
  kind: FaultKind,
  /** Number of operations that the row still applies to. */
  count: Schema.optionalWith(Schema.Int, { default: () => 1 }),
  delayMs: Schema.optionalWith(Schema.Number, { default: () => 0 }),
  /** Tokens that a stream delivers before the fault; 0 when left out. */
  afterTokens: Schema.optional(Schema.Int),
});
export type Fault = typeof Fault.Type;
export type EncodedFault = typeof Fault.Encoded;

const decodeRows = Schema.decodeSync(Schema.Array(Fault));

/** Table of faults that still apply. */
export interface FaultTable {
  readonly set: (faults: readonly EncodedFault[]) => void;
  /** Takes one use of the first row for the operation. */
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
      const found = rows.find((row) => row.operation === operation && row.count > 0);
      if (found === undefined) return undefined;
      rows = rows.map((row) => (row === found ? { ...row, count: row.count - 1 } : row));
      return found;
    },
  };
}
