/**
 * Copy of a keyed feed that a daemon keeps of what it read from the store, so that other daemons of
 * its data centre can read it here. The copy holds the newest change of each key. A change to an
 * equivalent value keeps the offset of the value before: backend servers renew their entries every
 * second, and a renewal tells a reader nothing new.
 */
import type * as Core from '@berylyoke/core';
import * as util from 'node:util';
import * as KeyProof from './KeyProof.js';
import type * as Ports from './Ports.js';

/** Removed keys that a copy remembers; a reader that is further behind gets all values. */
const MAX_REMOVED_KEYS = 1_000;

/** Time for which a failed read is told to readers: a bit more than their longest pause. */
const FAILURE_MEMORY_MS = 5_000;

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
  readonly provenAt: KeyProof.ClockReading;
}

/** Copy of one feed. */
export interface FeedCopy<T> {
  readonly apply: (page: ReadPage<T>) => void;
  readonly observeFailure: (now: KeyProof.ClockReading) => void;
  /** Undefined before the first page, and after a suspension until the next page. */
  readonly read: (from: number, now: KeyProof.ClockReading) => CopyPage | undefined;
}

/** Creates an empty copy; raw values that decode to equal ones are equivalent. */
export function createFeedCopy<T>(): FeedCopy<T> {
  let values = new Map<string, DecodedChange<T>>();
  /** Changes before this offset may be missing. */
  let first = 0;
  let next = 0;
  let provenAt: KeyProof.ClockReading | undefined;
  let failedMs: Core.Millis | undefined;

  const applyChange = (change: DecodedChange<T>): void => {
    const known = values.get(change.key);
    const isRenewal = known !== undefined
      && (known.raw === undefined) === (change.raw === undefined)
      && util.isDeepStrictEqual(known.value, change.value);
    if (isRenewal) return;
    // Reinsertion keeps the map in the order of the offsets.
    values.delete(change.key);
    values.set(change.key, change);
  };
  const removeOldTombstones = (): void => {
    const removed = [...values].filter(([, { raw }]) => raw === undefined);
    removed.slice(0, -MAX_REMOVED_KEYS).forEach(([key, { offset }]) => {
      values.delete(key);
      first = Math.max(first, offset + 1);
    });
  };

  return {
    apply: (page) => {
      provenAt = page.provenAt;
      if (page.isSnapshot) {
        values = new Map();
        first = page.next;
      }
      if (page.changes.length > 0) {
        page.changes.forEach(applyChange);
        removeOldTombstones();
      }
      next = page.next;
    },
    observeFailure: (now) => {
      failedMs = now.monotonicMs;
    },
    read: (from, now) => {
      if (provenAt === undefined || KeyProof.hasDrifted(provenAt, now)) return undefined;
      const isSnapshot = from < first;
      const changes = [...values]
        .filter(([, { offset, raw }]) => (isSnapshot ? raw !== undefined : offset >= from))
        .map(([key, { offset, raw }]) => ({ key, offset, raw }));
      const sinceFailureMs = failedMs === undefined ? Infinity : now.monotonicMs - failedMs;
      return {
        ageMs: now.monotonicMs - provenAt.monotonicMs,
        failureAgeMs: sinceFailureMs < FAILURE_MEMORY_MS ? sinceFailureMs : undefined,
        isSnapshot,
        page: { changes, next: Math.max(from, next) },
      };
    },
  };
}
