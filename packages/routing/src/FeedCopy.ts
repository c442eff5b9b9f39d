/**
 * Copy of a keyed feed that a daemon keeps, so that other daemons can read the feed from it instead
 * of the store. The copy holds the newest change of each key. A change to an equivalent value does
 * not replace the earlier change, which keeps its offset. Backend servers renew their entries every
 * second, and readers need not receive renewals.
 */
import type * as Core from '@berylyoke/core';
import * as util from 'node:util';
import * as ClockReading from './ClockReading.js';
import type * as Ports from './Ports.js';

/** Maximum number of removed keys in a copy; a reader that is further behind gets a snapshot. */
const MAX_TOMBSTONES = 1_000;

/** Time for which readers are told of a failed read; slightly above their longest pause. */
const FAILURE_RETENTION_MS = 5_000;

/** Answer to a reader of a copy. */
export interface CopyPage {
  /** Time since the copy was last known to be current. */
  readonly ageMs: Core.Millis;
  /** Time since the last failed read of the store; undefined if none failed recently. */
  readonly failureAgeMs: Core.Millis | undefined;
  /** The page holds all values, because some changes since the reader's offset were dropped. */
  readonly isSnapshot: boolean;
  readonly page: Ports.FeedPage;
}

/** Change of one key; the value is undefined if the key was removed or cannot be decoded. */
export interface DecodedChange<T> extends Ports.KeyedChange {
  readonly value: T | undefined;
}

/** Page that was read from a feed. */
export interface ReadPage<T> {
  readonly changes: readonly DecodedChange<T>[];
  readonly next: number;
  readonly isSnapshot: boolean;
  /** Clock reading at which the page is known to have been current. */
  readonly verifiedAt: ClockReading.ClockReading;
}

/** Copy of one feed. */
export interface FeedCopy<T> {
  readonly apply: (page: ReadPage<T>) => void;
  /** Records a failed read of the store, which readers are told about. */
  readonly observeFailure: (now: ClockReading.ClockReading) => void;
  /**
   * Returns the changes since an offset; undefined before the first page, and after a suspension of
   * the VM until the next page.
   */
  readonly read: (from: number, now: ClockReading.ClockReading) => CopyPage | undefined;
}

/** Creates an empty copy. Values are equivalent if they are equal after decoding. */
export function createFeedCopy<T>(): FeedCopy<T> {
  let newestChanges = new Map<string, DecodedChange<T>>();
  /** Offset from which the copy has all changes; a reader of an earlier one gets a snapshot. */
  let completeFrom = 0;
  let next = 0;
  let verifiedAt: ClockReading.ClockReading | undefined;
  let lastFailureMs: Core.Millis | undefined;

  const applyChange = (change: DecodedChange<T>): void => {
    const known = newestChanges.get(change.key);
    const isUnchanged = known !== undefined
      && (known.raw === undefined) === (change.raw === undefined)
      && util.isDeepStrictEqual(known.value, change.value);
    if (isUnchanged) return;
    // Deleting the key first keeps the map in the order of the offsets.
    newestChanges.delete(change.key);
    newestChanges.set(change.key, change);
  };
  const removeOldTombstones = (): void => {
    const removed = [...newestChanges].filter(([, { raw }]) => raw === undefined);
    removed.slice(0, -MAX_TOMBSTONES).forEach(([key, { offset }]) => {
      newestChanges.delete(key);
      completeFrom = Math.max(completeFrom, offset + 1);
    });
  };

  return {
    apply: (page) => {
      verifiedAt = page.verifiedAt;
      if (page.isSnapshot) {
        newestChanges = new Map();
        completeFrom = page.next;
      }
      if (page.changes.length > 0) {
        page.changes.forEach(applyChange);
        removeOldTombstones();
      }
      next = page.next;
    },
    observeFailure: (now) => {
      lastFailureMs = now.monotonicMs;
    },
    read: (from, now) => {
      if (verifiedAt === undefined || ClockReading.hasDrifted(verifiedAt, now)) return undefined;
      const isSnapshot = from < completeFrom;
      const changes = [...newestChanges]
        .filter(([, { offset, raw }]) => (isSnapshot ? raw !== undefined : offset >= from))
        .map(([key, { offset, raw }]) => ({ key, offset, raw }));
      const failureAgeMs = lastFailureMs === undefined ? Infinity : now.monotonicMs - lastFailureMs;
      return {
        ageMs: now.monotonicMs - verifiedAt.monotonicMs,
        failureAgeMs: failureAgeMs < FAILURE_RETENTION_MS ? failureAgeMs : undefined,
        isSnapshot,
        page: { changes, next: Math.max(from, next) },
      };
    },
  };
}
