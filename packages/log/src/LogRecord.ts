/**
 * Records and entries of the platform's append-only log. Each append creates one entry with the
 * records of one group commit.
 */
import * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';

/** Streams of the log that the system uses. */
export const STREAMS = {
  config: 'config',
  duties: 'duties',
  usage: 'usage',
} as const;

/** Gets the name of the stream with the claims of one shard. */
export function getOnceStream(shard: number): string {
  return `once-${shard}`;
}

/** One record; `recordId` stays the same when the append is retried. */
export const LogRecord = Schema.Struct({
  body: Schema.Unknown,
  kind: Schema.String,
  recordId: Schema.String,
  writer: Core.Writer,
});
export type LogRecord = typeof LogRecord.Type;

/** One entry; `timestampMs` is the time of the append by the log's wall clock, in milliseconds. */
export const LogEntry = Schema.Struct({
  offset: Schema.Int,
  records: Schema.Array(LogRecord),
  timestampMs: Schema.Number,
});
export type LogEntry = typeof LogEntry.Type;

/** Entries of one read; `first` is the first retained offset, `next` the offset to read next. */
export const LogPage = Schema.Struct({
  entries: Schema.Array(LogEntry),
  first: Schema.Int,
  next: Schema.Int,
});
export type LogPage = typeof LogPage.Type;

/** Creates a record with a new id. */
export function createRecord(writer: Core.Writer, kind: string, body: unknown): LogRecord {
  return {
    body, kind, recordId: Core.createId(), writer,
  };
}
