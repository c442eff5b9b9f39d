/**
 * Copy of a keyed feed that a daemon keeps of what it read from the store, so that other daemons of
 * its data centre can read it here. The copy holds the newest change of each key. A change to an
 * equivalent value keeps the offset of the value before: backend servers renew their entries every
 * second, and a renewal tells a reader nothing new.
 */
import type * as Core from '@berylyoke/core';
import * as util from 'node:util';
import * as ClockReading from './ClockReading.js';
import type * as Ports from './Ports.js';

/** Removed keys that a copy remembers; a reader that is further behind gets all values. */
const MAX_TOMBSTONES = 1_000;

/** Time for which a failed read is told to readers: a bit more than their longest pause. */
const FAILURE_RETENTION_MS = 5_000;

/** What a reader of a copy gets. */
export interface CopyPage {
  /** Time since which the copy may be out of date. */
  readonly ageMs: Core.Millis;
  /** Time since the newest failed read of the store; undefined where none failed lately. */
  readonly failureAgeMs: Core.Millis | undefined;
  /** The changes are all values, because those since the reader's offset are not kept. */
  readonly isSnapshot: boolean;
  readonly page: Ports.FeedPage;
}

/** Change of one key; the value is undefined where the key was removed or cannot be decoded. */
export interface DecodedChange<T> extends Ports.KeyedChange {
  readonly value: T | undefined;
}

/** What was read of a feed, proven for the time `provenAt`. */
export interface ReadPage<T> {
  readonly changes: readonly DecodedChange<T>[];
  readonly next: number;
  readonly isSnapshot: boolean;
  readonly verifiedAt: ClockReading.ClockReading;
}

/** Copy of one feed. */
export interface FeedCopy<T> {
  readonly apply: (page: ReadPage<T>) => void;
  readonly observeFailure: (now: ClockReading.ClockReading) => void;
  /** Undefined before the first page, and after a suspension until the next page. */
  readonly read: (from: number, now: ClockReading.ClockReading) => CopyPage | undefined;
}

/** Creates an empty copy; raw values that decode to equal ones are equivalent. */
export function createFeedCopy<T>(): FeedCopy<T> {
  let newestChanges = new Map<string, DecodedChange<T>>();
  /** Changes before this offset may be missing. */
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
    // Reinsertion keeps the map in the order of the offsets.
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
