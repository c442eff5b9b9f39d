/** Options of a log client and their defaults. All durations are in milliseconds. */
import type * as Core from '@berylyoke/core';

/** Initial and maximum wait of an exponential back-off. */
export interface BackoffBounds {
  readonly baseMs: Core.Millis;
  readonly maxMs: Core.Millis;
}

/** Limits, timeouts and callbacks of a log client. */
export interface LogClientOptions {
  /** Rate limit for appends, over all streams of this client. */
  readonly appendsPerSecond: number;
  /** Appends that an idle client may send at once before `appendsPerSecond` applies. */
  readonly appendBurst: number;
  /** Maximum number of records in one append. */
  readonly recordsPerAppend: number;
  /** Maximum bytes of record bodies in one append; a larger record is sent by itself. */
  readonly bytesPerAppend: number;
  /** Maximum number of records that are queued or not yet read back, over all streams. */
  readonly recordsInFlight: number;
  /** Maximum bytes of the bodies of those records; a single record is always accepted. */
  readonly bytesInFlight: number;
  /** Time without a response after which an append counts as failed. */
  readonly appendTimeoutMs: Core.Millis;
  /** Wait before the next append to a stream after consecutive failures. */
  readonly appendBackoff: BackoffBounds;
  /** Wait for the read-back of an acknowledged append before the record is appended again. */
  readonly repeatBackoff: BackoffBounds;
  /** Wait before the next read of a stream after consecutive failures. */
  readonly readBackoff: BackoffBounds;
  /** Time that the log may wait for a new entry before it answers a read (long polling). */
  readonly readWaitMs: Core.Millis;
  /** Minimum interval between the start of a read without entries and the next read. */
  readonly emptyReadMs: Core.Millis;
  /** Maximum number of entries in one read. */
  readonly entriesPerRead: number;
  /** Default timeout of `appendAndReadBack`. */
  readonly readBackTimeoutMs: Core.Millis;
  /** Number of record ids kept for each stream to detect duplicate records. */
  readonly rememberedRecordIds: number;
  /** Returns a number in [0, 1), used as the jitter of back-offs. */
  readonly random: () => number;
  /** Called when a reader throws; the other readers continue. */
  readonly onReaderError: (stream: string, error: unknown) => void;
}

/** Defaults for a daemon. */
export const DEFAULT_LOG_CLIENT_OPTIONS: LogClientOptions = {
  appendBackoff: { baseMs: 100, maxMs: 2_000 },
  appendBurst: 4,
  // The log takes several hundred appends a second from all daemons together.
  appendsPerSecond: 20,
  appendTimeoutMs: 3_000,
  bytesInFlight: 32 * 1024 * 1024,
  // Larger appends would delay small records, such as decisions, behind those of stored answers.
  bytesPerAppend: 1024 * 1024,
  emptyReadMs: 50,
  entriesPerRead: 500,
  onReaderError: () => undefined,
  random: Math.random,
  readBackoff: { baseMs: 100, maxMs: 2_000 },
  readBackTimeoutMs: 10_000,
  readWaitMs: 1_000,
  recordsInFlight: 10_000,
  recordsPerAppend: 500,
  // A record is retried for at most readBackTimeoutMs, so its duplicates are close to each other.
  rememberedRecordIds: 32_768,
  repeatBackoff: { baseMs: 1_000, maxMs: 5_000 },
};
