/** Record by which a daemon hands over its counts of a usage window. */
import * as Schema from 'effect/Schema';

/** Counts of one process for one window. */
export const CountsRecord = Schema.Struct({
  /** Where the daemon answers other daemons, if it does. */
  address: Schema.optional(Schema.String),
  /** Processor cores of the VM. */
  cores: Schema.Number,
  counts: Schema.Record({ key: Schema.String, value: Schema.Number }),
  daemonId: Schema.String,
  dataCentre: Schema.String,
  incarnation: Schema.String,
  /** Region of the data centre, where the daemon knows it. */
  region: Schema.optional(Schema.String),
  tokens: Schema.optionalWith(
    Schema.Record({ key: Schema.String, value: Schema.Number }),
    { default: () => ({}) },
  ),
  window: Schema.Number,
  /** Writer's estimate of the true time, in Unix milliseconds. */
  writtenMs: Schema.Number,
});

/** Counts of one process for one window. */
export type CountsRecord = typeof CountsRecord.Type;

/** Decodes a record of the counts log or of another daemon. */
export const decodeCounts = Schema.decodeUnknownOption(CountsRecord);
