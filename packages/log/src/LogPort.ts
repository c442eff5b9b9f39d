/** Interface of the platform's append-only log, and its errors. */
import type * as Core from '@berylyoke/core';
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';
import type * as LogRecord from './LogRecord.js';

/** The log did not answer or refused. An append may have taken effect unless `sent` is false. */
export class LogUnavailableError extends Data.TaggedError('LogUnavailableError')<{
  readonly stream: string;
  readonly sent: boolean;
  readonly detail: string;
  /** True if the log itself answered that it is unavailable (status 503). */
  readonly refused?: boolean;
}> {
  get message(): string {
    return `log stream ${this.stream} is unavailable: ${this.detail}`;
  }
}

/** The requested offset is below `first`, the first retained offset. */
export class LogOffsetExpiredError extends Data.TaggedError('LogOffsetExpiredError')<{
  readonly stream: string;
  readonly first: number;
}> {
  get message(): string {
    return `log stream ${this.stream} retains records from offset ${this.first} on`;
  }
}

/** Reads up to `limit` entries from offset `from`, and waits up to `waitMs` for the first one. */
export interface ReadRequest {
  readonly stream: string;
  readonly from: number;
  readonly limit: number;
  readonly waitMs: Core.Millis;
}

/** Access to the platform's log. */
export interface LogPort {
  /** Appends one entry and returns its offset. Only a read-back confirms that it was stored. */
  readonly append: (
    stream: string,
    records: readonly LogRecord.LogRecord[],
  ) => Effect.Effect<number, LogUnavailableError>;
  readonly read: (
    request: ReadRequest,
  ) => Effect.Effect<LogRecord.LogPage, LogOffsetExpiredError | LogUnavailableError>;
}
