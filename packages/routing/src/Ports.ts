/**
 * Ports through which the routing daemon meets a platform, with their failures. An adapter decodes
 * the platform's own formats behind them.
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

/** The records asked for were deleted; `first` is the oldest retained offset. */
export class HistoryLost extends Data.TaggedError('HistoryLost')<{ readonly first: number }> {}

/** The log does not end where the append expected it, so nothing was appended. */
export class EndMoved extends Data.TaggedError('EndMoved')<{ readonly end: number }> {}

/** Change of one key; without bytes the key was removed. */
export interface KeyedChange {
  readonly key: string;
  readonly offset: number;
  readonly raw: Buffer | undefined;
}

/** Changes read from a feed and the offset to go on from. */
export interface FeedPage {
  readonly changes: readonly KeyedChange[];
  readonly next: number;
}

/** Newest values by key, and the changes after them. */
export interface KeyedFeed {
  readonly readNewest: () => Effect.Effect<FeedPage, StoreUnavailable>;
  /** Answers as soon as there is a change, or without one after `waitMs`. */
  readonly readChanges: (
    from: number, waitMs: Core.Millis,
  ) => Effect.Effect<FeedPage, HistoryLost | StoreUnavailable>;
}

/** Record of a log. */
export interface OffsetRecord {
  readonly offset: number;
  readonly value: unknown;
}

/** A log of JSON records that all daemons read and write. */
export interface SharedLog {
  readonly read: (
    from: number,
  ) => Effect.Effect<
    { readonly records: readonly OffsetRecord[]; readonly next: number },
    HistoryLost | StoreUnavailable
  >;
  /**
   * Appends records, only where the log ends at `expectedEnd` if that is given.
   *
   * @returns the offset of the first one
   */
  readonly append: (
    records: readonly unknown[], expectedEnd?: number,
  ) => Effect.Effect<number, EndMoved | StoreUnavailable>;
}

/** Outcome of a call that carried a fencing token. */
export type DutyAnswer = 'accepted' | 'fenced' | 'refused' | 'unavailable' | 'unknown';

/** Number of servers of one kind that a data centre should have. */
export interface ServerOrder {
  readonly service: string;
  readonly dataCentre: string;
  readonly isReclaimable: boolean;
  readonly count: number;
}

/** Calls that one daemon at a time makes to the platform. */
export interface DutyCalls {
  readonly sendUsage: (
    window: number, counts: Readonly<Record<string, number>>, fence: number,
  ) => Effect.Effect<DutyAnswer>;
  /** `unavailable`: no server of that kind is in stock there. */
  readonly orderServers: (order: ServerOrder, fence: number) => Effect.Effect<DutyAnswer>;
}
