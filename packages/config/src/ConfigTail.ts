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
/** Wait after the first failed read, and while the tail rests, in milliseconds. */
const RETRY_MS = 200;
/**
 * Longest wait between failed reads, in milliseconds. In an outage every daemon reads, because no
 * relay can; this bounds 2,600 daemons to 1,700 reads a second.
 */
const RETRY_MAX_MS = 3_000;

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
}: ConfigTailOptions): Core.Undo {
  /** Where to read on, and the offset of the entry before. */
  let position = { after: -1, next: 0 };
  let failures = 0;

  const waitAfterFailure = (): Effect.Effect<void> => {
    const longestMs = Math.min(RETRY_MAX_MS, RETRY_MS * (2 ** failures));
    failures += 1;
    return Effect.sleep(Duration.millis((longestMs * (1 + readRandom())) / 2));
  };

  const handlePage = (page: Log.LogPage, askedMs: Core.Millis): void => {
    failures = 0;
    store.applyEvent({ _tag: 'entries', afterOffset: position.after, entries: page.entries });
    const last = page.entries[page.entries.length - 1];
    position = { after: last?.offset ?? position.after, next: page.next };
    // A full page says that the log holds more than was read.
    if (page.entries.length < READ_LIMIT && !ConfigReader.isInGap(store.getReader())) {
      store.recordContact(askedMs);
    }
  };

  const readOnce = Effect.suspend(() => {
    if (!isActive()) return Effect.sleep(Duration.millis(RETRY_MS));
    const { offset } = store.getState();
    if (offset >= position.next) position = { after: offset, next: offset + 1 };
    const askedMs = clock.readMonotonic();
    return port.read({
      from: position.next,
      limit: READ_LIMIT,
      stream: Log.STREAMS.config,
      // Without a recent answer the first one is wanted at once.
      waitMs: store.getOwnContactMs() === undefined ? 0 : READ_WAIT_MS,
    }).pipe(
      Effect.map((page) => handlePage(page, askedMs)),
      Effect.catchTag('LogOffsetExpiredError', ({ first }) => Effect.sync(() => {
        store.applyEvent({ _tag: 'gap', firstOffset: first });
        position = { after: first - 1, next: first };
      })),
      Effect.catchTag('LogUnavailableError', (error) => {
        onFailure?.(error);
        return waitAfterFailure();
      }),
    );
  });

  const fiber = Effect.runFork(Effect.forever(readOnce));
  return () => {
    Effect.runFork(Fiber.interrupt(fiber));
  };
}
