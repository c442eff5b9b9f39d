/**
 * Reads the configuration stream into a store. Unlike the general log client, it can pause while a
 * relay forwards the entries, and it continues after a state received from a peer. The time of a
 * contact with the log is the time of the read request, so that a delayed response does not make
 * the contact appear newer than it is.
 */
import type * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Duration from 'effect/Duration';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import * as ConfigReader from './ConfigReader.js';
import type * as ConfigStore from './ConfigStore.js';

/** Time that the log may wait for a new entry before it answers a read, in milliseconds. */
const READ_WAIT_MS = 1_000;
/** Maximum number of entries in one read. */
const READ_LIMIT_ENTRIES = 500;
/** Interval between checks of `isActive` while the tail is paused, in milliseconds. */
const INACTIVE_WAIT_MS = 200;
/** Minimum time from the start of a read without entries to the next read, in milliseconds. */
const EMPTY_READ_INTERVAL_MS = 50;
/**
 * Back-off after failed reads. During an outage no relay can forward entries, so every daemon
 * reads; the maximum limits 2,600 daemons to 1,700 reads a second.
 */
const BACKOFF = { baseMs: 200, maxMs: 3_000 };

/** Dependencies and options of a tail. */
export interface ConfigTailOptions {
  readonly port: Log.LogPort;
  readonly store: ConfigStore.ConfigStore;
  readonly clock: Core.Clock;
  /** Returns false while a relay forwards the entries; by default the tail is always active. */
  readonly isActive?: () => boolean;
  /** Returns a number in [0, 1), the jitter that spreads the retries of many daemons. */
  readonly readRandom?: () => number;
  /** Called with the error of each failed read. */
  readonly onFailure?: (error: Log.LogUnavailableError) => void;
}

/** Starts reading the stream; the returned function stops it. */
export function startConfigTail({
  clock, isActive = () => true, onFailure, port, readRandom = Math.random, store,
}: ConfigTailOptions): Core.Cleanup {
  /** Offset to read next, and the offset of the entry before it. */
  let position = { after: -1, next: 0 };
  let failures = 0;

  const waitAfterFailure = (): Effect.Effect<void> => {
    failures += 1;
    return Effect.sleep(Duration.millis(Log.computeBackoffMs(failures, BACKOFF, readRandom)));
  };

  const handleGap = (first: number): void => {
    store.applyEvent({ _tag: 'gap', firstOffset: first });
    position = { after: first - 1, next: first };
  };

  /** Applies a page; returns false if the page omits entries that the log retains. */
  const handlePage = (page: Log.LogPage, requestedMs: Core.Millis): boolean => {
    if (page.first > position.next) handleGap(page.first);
    const { after, next } = position;
    const entries = page.entries.filter(({ offset }, index) => offset === next + index);
    store.applyEvent({ _tag: 'entries', afterOffset: after, entries });
    const last = entries[entries.length - 1];
    if (last !== undefined) position = { after: last.offset, next: last.offset + 1 };
    if (entries.length < page.entries.length) return false;
    failures = 0;
    // After a full page the log may have more entries.
    if (page.entries.length < READ_LIMIT_ENTRIES && !ConfigReader.isInGap(store.getReader())) {
      store.recordContact(requestedMs);
    }
    return true;
  };

  /**
   * Extends a contact that has not expired if the log itself refuses both reads and appends. No key
   * can be withdrawn during such an outage, so requests with a key are still accepted. A log that
   * does not respond proves nothing. The empty append distinguishes an outage from failures that
   * affect only reads.
   */
  const confirmOutage = (error: Log.LogUnavailableError, requestedMs: Core.Millis) => {
    if (error.refused !== true) return Effect.void;
    return port.append(Log.STREAMS.config, []).pipe(
      Effect.catchAll((failure) => Effect.sync(() => {
        const isCurrent = store.checkIsolation()._tag === 'Connected'
          && !ConfigReader.isInGap(store.getReader());
        if (failure.refused === true && isCurrent) store.recordContact(requestedMs);
      })),
    );
  };

  const waitAfterPage = (
    page: Log.LogPage,
    requestedMs: Core.Millis,
    isComplete: boolean,
  ): Effect.Effect<void> => {
    if (!isComplete) return waitAfterFailure();
    // Prevents a busy loop when the log ignores waitMs.
    const remainingMs = requestedMs + EMPTY_READ_INTERVAL_MS - clock.readMonotonic();
    if (page.entries.length > 0 || remainingMs <= 0) return Effect.void;
    return Effect.sleep(Duration.millis(remainingMs));
  };

  const readOnce = Effect.suspend(() => {
    if (!isActive()) return Effect.sleep(Duration.millis(INACTIVE_WAIT_MS));
    const { offset } = store.getState();
    if (offset >= position.next) position = { after: offset, next: offset + 1 };
    const requestedMs = clock.readMonotonic();
    return port.read({
      from: position.next,
      limit: READ_LIMIT_ENTRIES,
      stream: Log.STREAMS.config,
      // Before the first contact the response is needed immediately.
      waitMs: store.getOwnContactMs() === undefined ? 0 : READ_WAIT_MS,
    }).pipe(
      Effect.flatMap((page) => waitAfterPage(page, requestedMs, handlePage(page, requestedMs))),
      Effect.catchTag('LogOffsetExpiredError', ({ first }) => {
        if (first <= position.next) return waitAfterFailure();
        handleGap(first);
        return Effect.void;
      }),
      Effect.catchTag('LogUnavailableError', (error) => {
        onFailure?.(error);
        return Effect.zipRight(confirmOutage(error, requestedMs), waitAfterFailure());
      }),
    );
  });

  const fiber = Effect.runFork(Effect.forever(readOnce));
  return () => {
    Effect.runFork(Fiber.interrupt(fiber));
  };
}
