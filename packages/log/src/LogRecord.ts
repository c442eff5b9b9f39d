/**
 * Records and entries of the platform's append-only log. One append makes one entry, which holds
 * the records of a group commit.
 */
import * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';

/** Streams of the log that the system uses. */
export const STREAMS = {
  config: 'config',
  duties: 'duties',
  usage: 'usage',
} as const;

/** Gets the stream that holds the claims of one shard. */
export function getOnceStream(shard: number): string {
  return `once-${shard}`;
}

/** One record; `recordId` stays the same when an append is repeated. */
export const LogRecord = Schema.Struct({
  body: Schema.Unknown,
  kind: Schema.String,
  recordId: Schema.String,
  writer: Core.Writer,
});
export type LogRecord = typeof LogRecord.Type;

/** One entry: `timestampMs` is the log's own wall time of the append, in milliseconds. */
export const LogEntry = Schema.Struct({
  offset: Schema.Int,
  records: Schema.Array(LogRecord),
  timestampMs: Schema.Number,
});
export type LogEntry = typeof LogEntry.Type;

/** A page of entries: `first` is the first retained offset, `next` where to read on. */
export const LogPage = Schema.Struct({
  entries: Schema.Array(LogEntry),
  first: Schema.Int,
  next: Schema.Int,
});
export type LogPage = typeof LogPage.Type;

/** Creates a record with a fresh id. */
export function createRecord(writer: Core.Writer, kind: string, body: unknown): LogRecord {
  return {
    body, kind, recordId: Core.createId(), writer,
  };
}
