/**
 * Ports through which the routing daemon uses a platform, and their errors. An adapter implements
 * the ports and converts the formats of its platform.
 */
import type * as Core from '@berylyoke/core';
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';

/** The store did not answer or refused. A write may have taken effect unless `sent` is false. */
export class StoreUnavailable extends Data.TaggedError('StoreUnavailable')<{
  readonly call: string;
  readonly sent: boolean;
  readonly detail: string;
}> {
  get message(): string {
    return `${this.call} failed: ${this.detail}`;
  }
}

/**
 * The requested records were deleted, or the log returned from an older copy; `first` is the
 * position of the oldest retained record.
 */
export class HistoryLost extends Data.TaggedError('HistoryLost')<{ readonly first: number }> {}

/**
 * The log does not end at the position that the append expected. Nothing was appended, unless the
 * log returned from an older copy and ends at the same offset; readers must not rely on such a
 * record.
 */
export class EndMoved extends Data.TaggedError('EndMoved')<{ readonly end: number }> {}

/** Change of one key; `raw` is undefined if the key was removed. */
export interface KeyedChange {
  readonly key: string;
  readonly offset: number;
  readonly raw: Buffer | undefined;
}

/** Changes that were read from a feed, and the offset at which to read on. */
export interface FeedPage {
  readonly changes: readonly KeyedChange[];
  readonly next: number;
  /** Whether the feed had further changes, which did not fit into the page. */
  readonly hasMore?: boolean;
}

/** Feed of values by key. */
export interface KeyedFeed {
  /** Reads the newest value of each key. */
  readonly readNewest: () => Effect.Effect<FeedPage, StoreUnavailable>;
  /**
   * Reads the changes from an offset with a long poll: answers as soon as there is a change, or
   * without one after `waitMs`.
   */
  readonly readChanges: (
    from: number, waitMs: Core.Millis,
  ) => Effect.Effect<FeedPage, HistoryLost | StoreUnavailable>;
}

/** Feed of values by key that daemons write themselves. */
export interface WritableKeyedFeed extends KeyedFeed {
  /**
   * Writes values of keys; `raw` is undefined to remove a key. If `expectedEnd` is given, the write
   * fails unless the feed ends there.
   */
  readonly write: (
    values: readonly Pick<KeyedChange, 'key' | 'raw'>[], expectedEnd?: number,
  ) => Effect.Effect<void, EndMoved | StoreUnavailable>;
}

/** Record of a log. */
export interface OffsetRecord {
  readonly offset: number;
  readonly value: unknown;
}

/** Records that were read from a log, and the offset at which to read on. */
export interface LogPage {
  readonly records: readonly OffsetRecord[];
  readonly next: number;
  /** Whether the log had further records, which did not fit into the page. */
  readonly hasMore?: boolean;
}

/** Log of JSON records that all daemons read and write. */
export interface SharedLog {
  /** Reads the records from an offset. */
  readonly read: (from: number) => Effect.Effect<LogPage, HistoryLost | StoreUnavailable>;
  /**
   * Appends records. If `expectedEnd` is given, the append fails unless the log ends there.
   *
   * @returns the offset of the first appended record
   */
  readonly append: (
    records: readonly unknown[], expectedEnd?: number,
  ) => Effect.Effect<number, EndMoved | StoreUnavailable>;
}

/** Outcome of a call with a fencing token. */
export type DutyAnswer = 'accepted' | 'fenced' | 'refused' | 'unavailable' | 'unknown';

/** Order that sets the number of servers of one kind in a data centre. */
export interface ServerOrder {
  readonly service: string;
  readonly dataCentre: string;
  readonly isReclaimable: boolean;
  readonly count: number;
}

/** Calls to the platform that only the lease holder makes. */
export interface DutyCalls {
  /** Reports the requests of a usage window, by client account. */
  readonly sendUsage: (
    window: number, counts: Readonly<Record<string, number>>, fence: number,
  ) => Effect.Effect<DutyAnswer>;
  /** Orders servers; answers `unavailable` if no server of that kind is in stock there. */
  readonly orderServers: (order: ServerOrder, fence: number) => Effect.Effect<DutyAnswer>;
}
