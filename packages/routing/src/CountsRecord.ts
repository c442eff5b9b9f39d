/** Record with which a daemon hands over its counts of a usage window. */
import * as Schema from 'effect/Schema';

/** Schema of the counts of one process for one window. */
export const CountsRecord = Schema.Struct({
  /** `IP:PORT` at which the daemon answers other daemons; absent if it does not listen. */
  address: Schema.optional(Schema.String),
  /** Processor cores that the daemon may use; may be a fraction. */
  cores: Schema.Finite,
  /** Requests by client account. */
  counts: Schema.Record({ key: Schema.String, value: Schema.Finite }),
  daemonId: Schema.String,
  dataCentre: Schema.String,
  /** Identifies one start of the daemon's process. */
  incarnation: Schema.String,
  /** Region of the data centre; absent if the daemon does not know it. */
  region: Schema.optional(Schema.String),
  /** Requested prompt tokens by service. */
  tokens: Schema.optionalWith(
    Schema.Record({ key: Schema.String, value: Schema.Finite }),
    { default: () => ({}) },
  ),
  window: Schema.Finite,
  /** Time of writing by the writer's estimate of the true time, in Unix milliseconds. */
  writtenMs: Schema.Finite,
});

/** Counts of one process for one window. */
export type CountsRecord = typeof CountsRecord.Type;

/** Decodes a record from the counts log or from another daemon. */
export const decodeCounts = Schema.decodeUnknownOption(CountsRecord);
