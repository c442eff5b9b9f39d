/** Bounds of a log client. Every duration is in milliseconds. */
import type * as Core from '@berylyoke/core';

/** Back-off of one kind of attempt. */
export interface BackoffBounds {
  readonly baseMs: Core.Millis;
  readonly maxMs: Core.Millis;
}

/** Bounds of a log client. */
export interface LogClientOptions {
  /** Appends a second over all streams of this client. */
  readonly appendsPerSecond: number;
  /** Appends that an idle client may make at once before `appendsPerSecond` limits it. */
  readonly appendBurst: number;
  /** Records in one append. */
  readonly recordsPerAppend: number;
  /** Records that are queued or not yet read back, over all streams. */
  readonly recordsInFlight: number;
  /** Time without an answer after which an append is taken for lost. */
  readonly appendTimeoutMs: Core.Millis;
  /** Wait after a failed append of a stream; grows with consecutive failures. */
  readonly appendBackoff: BackoffBounds;
  /** Wait for the read-back of an answered append before the record is repeated. */
  readonly repeatBackoff: BackoffBounds;
  /** Wait after a failed read; grows with consecutive failures. */
  readonly readBackoff: BackoffBounds;
  /** Longest wait of one read for a new entry. */
  readonly readWaitMs: Core.Millis;
  /** Shortest time between two reads of which the first found nothing. */
  readonly emptyReadMs: Core.Millis;
  /** Entries in one read. */
  readonly entriesPerRead: number;
  /** Time within which `appendAndReadBack` gives up, when its caller names none. */
  readonly readBackTimeoutMs: Core.Millis;
  /** Record ids that a stream remembers in order to drop repetitions. */
  readonly rememberedRecordIds: number;
  /** Number in [0, 1) that spreads the back-off. */
  readonly random: () => number;
  /** Told about an exception of a reader, which does not stop the other readers. */
  readonly onReaderError: (stream: string, error: unknown) => void;
}

/** Bounds that suit a daemon. */
export const DEFAULT_LOG_CLIENT_OPTIONS: LogClientOptions = {
  appendBackoff: { baseMs: 100, maxMs: 2_000 },
  appendBurst: 4,
  // The log takes several hundred appends a second from all daemons together.
  appendsPerSecond: 20,
  appendTimeoutMs: 3_000,
  emptyReadMs: 50,
  entriesPerRead: 500,
  onReaderError: () => undefined,
  random: Math.random,
  readBackoff: { baseMs: 100, maxMs: 2_000 },
  readBackTimeoutMs: 10_000,
  readWaitMs: 1_000,
  recordsInFlight: 10_000,
  recordsPerAppend: 500,
  // A record is repeated for readBackTimeoutMs at most, so its copies stand close together.
  rememberedRecordIds: 32_768,
  repeatBackoff: { baseMs: 1_000, maxMs: 5_000 },
};
