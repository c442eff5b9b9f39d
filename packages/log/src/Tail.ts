/**
 * Reads one stream page by page and passes its entries to the registered readers, which share one
 * read position. A reader that registers at an earlier offset replays the stream with reads of its
 * own until it reaches the shared position.
 */
import type * as Core from '@berylyoke/core';
import * as Duration from 'effect/Duration';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import * as Backoff from './Backoff.js';
import type * as LogClientOptions from './LogClientOptions.js';
import type * as LogPort from './LogPort.js';
import type * as LogRecord from './LogRecord.js';
import * as SeenRecords from './SeenRecords.js';

/** Receives the entries of a stream in order of offset, each once. */
export interface LogReader {
  /** Duplicate records are removed, so an entry may have no records. */
  readonly onEntry: (entry: LogRecord.LogEntry) => void;
  /** Entries below `first` have expired; the reader needs a snapshot. Reading resumes there. */
  readonly onGap?: (first: number) => void;
}

/**
 * Progress of reading a stream. `lastContactMs` is on the monotonic clock, and undefined before the
 * first successful read.
 */
export interface TailStatus {
  readonly next: number;
  readonly lastContactMs: Core.Millis | undefined;
  /** True if no reader is replaying and a read has reached the end of the stream at least once. */
  readonly caughtUp: boolean;
}

/** Counters of a tail since it was opened. */
export interface TailCounts {
  readonly reads: number;
  readonly failedReads: number;
  readonly duplicateRecords: number;
  readonly gaps: number;
  readonly readerErrors: number;
}

/** Continuous reading of one stream. */
export interface Tail {
  readonly registerReader: (from: number, reader: LogReader) => Core.Cleanup;
  /** Calls `onReadBack` with the offset of the record once every reader has received it. */
  readonly registerWaiter: (recordId: string, onReadBack: (offset: number) => void) => Core.Cleanup;
  readonly getStatus: () => TailStatus;
  readonly getCounts: () => TailCounts;
  readonly close: () => void;
}

/** A reader and the offset of the next entry that it receives. */
interface Cursor {
  readonly reader: LogReader;
  /** Order of registration, in which the readers receive an entry. */
  readonly sequence: number;
  next: number;
}

interface ReadPosition {
  next: number;
  failures: number;
  caughtUp: boolean;
}

/** Position and cursors that a read advances: the shared ones, or those of one replay. */
interface ReadTarget {
  readonly position: ReadPosition;
  readonly listCursors: () => readonly Cursor[];
  readonly onRead: () => void;
}

/** Opens a stream at `from` and reads it until it is closed. */
export function openTail(
  stream: string,
  from: number,
  port: LogPort.LogPort,
  clock: Core.Clock,
  options: LogClientOptions.LogClientOptions,
): Tail {
  const seen = SeenRecords.createSeenRecords(options.rememberedRecordIds);
  const waiters = new Map<string, Set<(offset: number) => void>>();
  const replays = new Map<Cursor, Fiber.RuntimeFiber<void>>();
  let cursors: readonly Cursor[] = [];
  let registrationCount = 0;
  const sharedPosition: ReadPosition = { caughtUp: false, failures: 0, next: from };
  const counts = {
    duplicateRecords: 0, failedReads: 0, gaps: 0, readerErrors: 0, reads: 0,
  };
  let lastContactMs: Core.Millis | undefined;
  let awaitedRecords: { readonly recordId: string; readonly offset: number }[] = [];

  const callReader = (call: () => void): void => {
    try {
      call();
    } catch (error) {
      counts.readerErrors += 1;
      options.onReaderError(stream, error);
    }
  };

  // A replaying reader has not received the newest records yet, so waiters are not notified yet.
  const notifyWaiters = (): void => {
    if (replays.size > 0) return;
    const readBackRecords = awaitedRecords;
    awaitedRecords = [];
    readBackRecords.forEach(({ offset, recordId }) => {
      const callbacks = waiters.get(recordId);
      waiters.delete(recordId);
      callbacks?.forEach((onReadBack) => onReadBack(offset));
    });
  };

  const handleEntry = (target: ReadTarget, entry: LogRecord.LogEntry): void => {
    const records = entry.records.filter(({ recordId }) => !seen.observe(recordId, entry.offset));
    counts.duplicateRecords += entry.records.length - records.length;
    target.listCursors().filter(({ next }) => next <= entry.offset).forEach((cursor) => {
      Object.assign(cursor, { next: entry.offset + 1 });
      callReader(() => cursor.reader.onEntry({ ...entry, records }));
    });
    awaitedRecords.push(...entry.records
      .filter(({ recordId }) => waiters.has(recordId))
      .map(({ recordId }) => ({ offset: entry.offset, recordId })));
  };

  const handleGap = (target: ReadTarget, first: number): void => {
    counts.gaps += 1;
    Object.assign(target.position, { next: first });
    target.listCursors().filter(({ next }) => next < first).forEach((cursor) => {
      Object.assign(cursor, { next: first });
      callReader(() => cursor.reader.onGap?.(first));
    });
  };

  const handlePage = (target: ReadTarget, page: LogRecord.LogPage): void => {
    const { position } = target;
    const entries = page.entries.filter(({ offset }) => offset >= position.next);
    const start = entries[0]?.offset ?? position.next;
    if (start > position.next) handleGap(target, start);
    entries.forEach((entry) => handleEntry(target, entry));
    lastContactMs = clock.readMonotonic();
    Object.assign(position, {
      caughtUp: position.caughtUp || page.entries.length < options.entriesPerRead,
      failures: 0,
      next: Math.max(position.next, page.next),
    });
    target.onRead();
    notifyWaiters();
  };

  const waitAfterFailure = (position: ReadPosition): Effect.Effect<void> => {
    const failures = position.failures + 1;
    counts.failedReads += 1;
    Object.assign(position, { failures });
    return Effect.sleep(Duration.millis(
      Backoff.computeBackoffMs(failures, options.readBackoff, options.random),
    ));
  };

  const readOnce = (target: ReadTarget): Effect.Effect<void> => Effect.suspend(() => {
    const { position } = target;
    const startMs = clock.readMonotonic();
    counts.reads += 1;
    return port.read({
      from: position.next,
      limit: options.entriesPerRead,
      stream,
      waitMs: position.caughtUp ? options.readWaitMs : 0,
    }).pipe(
      Effect.flatMap((page) => {
        handlePage(target, page);
        const remainingMs = startMs + options.emptyReadMs - clock.readMonotonic();
        // Prevents a busy loop when the log ignores waitMs.
        return page.entries.length === 0 && remainingMs > 0
          ? Effect.sleep(Duration.millis(remainingMs))
          : Effect.void;
      }),
      Effect.catchTag('LogOffsetExpiredError', ({ first }) => {
        if (first <= position.next) return waitAfterFailure(position);
        handleGap(target, first);
        return Effect.void;
      }),
      Effect.catchTag('LogUnavailableError', () => waitAfterFailure(position)),
    );
  });

  const addSharedCursor = (cursor: Cursor): void => {
    cursors = [...cursors, cursor].sort((a, b) => a.sequence - b.sequence);
  };

  const sharedTarget: ReadTarget = {
    listCursors: () => cursors, onRead: () => undefined, position: sharedPosition,
  };
  const fiber = Effect.runFork(Effect.forever(readOnce(sharedTarget)));

  const startReplay = (cursor: Cursor): void => {
    const position: ReadPosition = { caughtUp: false, failures: 0, next: cursor.next };
    const target: ReadTarget = {
      listCursors: () => [cursor],
      onRead: () => {
        if (position.next < sharedPosition.next || !replays.delete(cursor)) return;
        addSharedCursor(cursor);
      },
      position,
    };
    // The position check and the change to the shared cursors run in one event-loop turn, so the
    // reader misses no entry in between.
    const replay = readOnce(target).pipe(Effect.repeat({ while: () => replays.has(cursor) }));
    replays.set(cursor, Effect.runFork(Effect.asVoid(replay)));
  };

  return {
    close: () => {
      [fiber, ...replays.values()].forEach((running) => Effect.runFork(Fiber.interrupt(running)));
      replays.clear();
      cursors = [];
    },
    getCounts: () => ({ ...counts }),
    getStatus: () => ({
      caughtUp: sharedPosition.caughtUp && replays.size === 0,
      lastContactMs,
      next: sharedPosition.next,
    }),
    registerReader: (start, reader) => {
      registrationCount += 1;
      const cursor: Cursor = { next: start, reader, sequence: registrationCount };
      if (start < sharedPosition.next) startReplay(cursor);
      else addSharedCursor(cursor);
      return () => {
        const replay = replays.get(cursor);
        if (replay !== undefined) Effect.runFork(Fiber.interrupt(replay));
        replays.delete(cursor);
        cursors = cursors.filter((other) => other !== cursor);
        notifyWaiters();
      };
    },
    registerWaiter: (recordId, onReadBack) => {
      const callbacks = waiters.get(recordId) ?? new Set();
      waiters.set(recordId, callbacks);
      callbacks.add(onReadBack);
      return () => {
        callbacks.delete(onReadBack);
        if (callbacks.size === 0 && waiters.get(recordId) === callbacks) waiters.delete(recordId);
      };
    },
  };
}
