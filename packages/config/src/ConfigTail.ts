/**
 * Reads the configuration stream into a store. Unlike the general client of the log it can rest
 * while a relay passes the entries on, it continues behind a state that came from a peer, and it
 * dates a contact with the log from before the read, so that a delayed answer looks no younger.
 */
import type * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Duration from 'effect/Duration';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import * as ConfigReader from './ConfigReader.js';
import type * as ConfigStore from './ConfigStore.js';

/** Longest wait of one read for a new entry, in milliseconds. */
const READ_WAIT_MS = 1_000;
/** Entries in one read. */
const READ_LIMIT = 500;
/** Wait while the tail rests, in milliseconds. */
const REST_MS = 200;
/** Shortest time between two reads of which the first found nothing, in milliseconds. */
const EMPTY_READ_MS = 50;
/**
 * Wait after failed reads. In an outage every daemon reads, because no relay can; the maximum
 * bounds 2,600 daemons to 1,700 reads a second.
 */
const BACKOFF = { baseMs: 200, maxMs: 3_000 };

/** What a tail needs. */
export interface ConfigTailOptions {
  readonly port: Log.LogPort;
  readonly store: ConfigStore.ConfigStore;
  readonly clock: Core.Clock;
  /** False while a relay passes the entries on; true when left out. */
  readonly isActive?: () => boolean;
  /** Number from 0 to 1 that spreads the retries of many daemons. */
  readonly readRandom?: () => number;
  /** Receives each failed read. */
  readonly onFailure?: (error: Log.LogUnavailableError) => void;
}

/** Starts reading; the undo stops it. */
export function startConfigTail({
  clock, isActive = () => true, onFailure, port, readRandom = Math.random, store,
}: ConfigTailOptions): Core.Cleanup {
  /** Where to read on, and the offset of the entry before. */
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

  /** Applies a page; false when entries that the log retains were left out of it. */
  const handlePage = (page: Log.LogPage, askedMs: Core.Millis): boolean => {
    if (page.first > position.next) handleGap(page.first);
    const { after, next } = position;
    const entries = page.entries.filter(({ offset }, index) => offset === next + index);
    store.applyEvent({ _tag: 'entries', afterOffset: after, entries });
    const last = entries[entries.length - 1];
    if (last !== undefined) position = { after: last.offset, next: last.offset + 1 };
    if (entries.length < page.entries.length) return false;
    failures = 0;
    // A full page says that the log holds more than was read.
    if (page.entries.length < READ_LIMIT && !ConfigReader.isInGap(store.getReader())) {
      store.recordContact(askedMs);
    }
    return true;
  };

  /**
   * Extends a contact that has not lapsed when the log itself refuses both to read and to append:
   * no withdrawal can be made then, so keyed requests go on through an outage. A log that is merely
   * silent proves nothing. The empty append tells an outage from reads that fail alone.
   */
  const confirmOutage = (error: Log.LogUnavailableError, askedMs: Core.Millis) => {
    if (error.refused !== true) return Effect.void;
    return port.append(Log.STREAMS.config, []).pipe(
      Effect.catchAll((failure) => Effect.sync(() => {
        const isCurrent = store.checkIsolation()._tag === 'Connected'
          && !ConfigReader.isInGap(store.getReader());
        if (failure.refused === true && isCurrent) store.recordContact(askedMs);
      })),
    );
  };

  const waitAfterPage = (
    page: Log.LogPage,
    askedMs: Core.Millis,
    complete: boolean,
  ): Effect.Effect<void> => {
    if (!complete) return waitAfterFailure();
    // A log that does not wait for entries must not be asked in a busy loop.
    const spareMs = askedMs + EMPTY_READ_MS - clock.readMonotonic();
    if (page.entries.length > 0 || spareMs <= 0) return Effect.void;
    return Effect.sleep(Duration.millis(spareMs));
  };

  const readOnce = Effect.suspend(() => {
    if (!isActive()) return Effect.sleep(Duration.millis(REST_MS));
    const { offset } = store.getState();
    if (offset >= position.next) position = { after: offset, next: offset + 1 };
    const askedMs = clock.readMonotonic();
    return port.read({
      from: position.next,
      limit: READ_LIMIT,
      stream: Log.STREAMS.config,
      // Without any contact yet the first answer is wanted at once.
      waitMs: store.getOwnContactMs() === undefined ? 0 : READ_WAIT_MS,
    }).pipe(
      Effect.flatMap((page) => waitAfterPage(page, askedMs, handlePage(page, askedMs))),
      Effect.catchTag('LogOffsetExpiredError', ({ first }) => {
        if (first <= position.next) return waitAfterFailure();
        handleGap(first);
        return Effect.void;
      }),
      Effect.catchTag('LogUnavailableError', (error) => {
        onFailure?.(error);
        return Effect.zipRight(confirmOutage(error, askedMs), waitAfterFailure());
      }),
    );
  });

  const fiber = Effect.runFork(Effect.forever(readOnce));
  return () => {
    Effect.runFork(Fiber.interrupt(fiber));
  };
}
