/**
 * Reads one stream a page at a time and hands its entries to readers. A reader that registers
 * behind the position of the others replays on its own until it reaches them.
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
  /** Repetitions of a record are left out; an entry of nothing else has no records. */
  readonly onEntry: (entry: LogRecord.LogEntry) => void;
  /** Entries up to `first` are gone; the reader needs a snapshot. Reading goes on at `first`. */
  readonly onGap?: (first: number) => void;
}

/** How far a stream was read. Times are monotonic; undefined before the first answer. */
export interface TailStatus {
  readonly next: number;
  readonly lastContactMs: Core.Millis | undefined;
  /** True once every reader has seen everything that the log held at some moment. */
  readonly caughtUp: boolean;
}

/** Counts of a tail since it was opened. */
export interface TailCounts {
  readonly reads: number;
  readonly failedReads: number;
  readonly duplicateRecords: number;
  readonly gaps: number;
  readonly readerErrors: number;
}

/** One stream as this client reads it. */
export interface Tail {
  readonly registerReader: (from: number, reader: LogReader) => Core.Cleanup;
  /** Calls `settle` once every reader has seen the record. */
  readonly registerWaiter: (recordId: string, settle: (offset: number) => void) => Core.Cleanup;
  readonly getStatus: () => TailStatus;
  readonly getCounts: () => TailCounts;
  readonly close: () => void;
}

interface Cursor {
  readonly reader: LogReader;
  /** Order of registration, in which the readers see an entry. */
  readonly sequence: number;
  next: number;
}

interface Position {
  next: number;
  failures: number;
  caughtUp: boolean;
}

/** What a page or a gap does; differs between the common position and a replay. */
interface Sink {
  readonly position: Position;
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
  let registrations = 0;
  const head: Position = { caughtUp: false, failures: 0, next: from };
  const counts = {
    duplicateRecords: 0, failedReads: 0, gaps: 0, readerErrors: 0, reads: 0,
  };
  let lastContactMs: Core.Millis | undefined;
  let readBack: { readonly recordId: string; readonly offset: number }[] = [];

  const callReader = (call: () => void): void => {
    try {
      call();
    } catch (error) {
      counts.readerErrors += 1;
      options.onReaderError(stream, error);
    }
  };

  // A replaying reader has not seen the newest records yet, so their waiters wait for it.
  const settleWaiters = (): void => {
    if (replays.size > 0) return;
    const current = readBack;
    readBack = [];
    current.forEach(({ offset, recordId }) => {
      const settles = waiters.get(recordId);
      waiters.delete(recordId);
      settles?.forEach((settle) => settle(offset));
    });
  };

  const handleEntry = (sink: Sink, entry: LogRecord.LogEntry): void => {
    const records = entry.records.filter(({ recordId }) => !seen.observe(recordId, entry.offset));
    counts.duplicateRecords += entry.records.length - records.length;
    sink.listCursors().filter(({ next }) => next <= entry.offset).forEach((cursor) => {
      Object.assign(cursor, { next: entry.offset + 1 });
      callReader(() => cursor.reader.onEntry({ ...entry, records }));
    });
    readBack.push(...entry.records
      .filter(({ recordId }) => waiters.has(recordId))
      .map(({ recordId }) => ({ offset: entry.offset, recordId })));
  };

  const handleGap = (sink: Sink, first: number): void => {
    counts.gaps += 1;
    Object.assign(sink.position, { next: first });
    sink.listCursors().filter(({ next }) => next < first).forEach((cursor) => {
      Object.assign(cursor, { next: first });
      callReader(() => cursor.reader.onGap?.(first));
    });
  };

  const handlePage = (sink: Sink, page: LogRecord.LogPage): void => {
    const { position } = sink;
    const entries = page.entries.filter(({ offset }) => offset >= position.next);
    const start = entries[0]?.offset ?? position.next;
    if (start > position.next) handleGap(sink, start);
    entries.forEach((entry) => handleEntry(sink, entry));
    lastContactMs = clock.readMonotonic();
    Object.assign(position, {
      caughtUp: position.caughtUp || page.entries.length < options.entriesPerRead,
      failures: 0,
      next: Math.max(position.next, page.next),
    });
    sink.onRead();
    settleWaiters();
  };

  const waitAfterFailure = (position: Position): Effect.Effect<void> => {
    const failures = position.failures + 1;
    counts.failedReads += 1;
    Object.assign(position, { failures });
    return Effect.sleep(Duration.millis(
      Backoff.computeBackoffMs(failures, options.readBackoff, options.random),
    ));
  };

  const readOnce = (sink: Sink): Effect.Effect<void> => Effect.suspend(() => {
    const { position } = sink;
    const startMs = clock.readMonotonic();
    counts.reads += 1;
    return port.read({
      from: position.next,
      limit: options.entriesPerRead,
      stream,
      waitMs: position.caughtUp ? options.readWaitMs : 0,
    }).pipe(
      Effect.flatMap((page) => {
        handlePage(sink, page);
        const spareMs = startMs + options.emptyReadMs - clock.readMonotonic();
        // A log that does not wait for entries must not be asked in a busy loop.
        return page.entries.length === 0 && spareMs > 0
          ? Effect.sleep(Duration.millis(spareMs))
          : Effect.void;
      }),
      Effect.catchTag('LogOffsetExpiredError', ({ first }) => {
        if (first <= position.next) return waitAfterFailure(position);
        handleGap(sink, first);
        return Effect.void;
      }),
      Effect.catchTag('LogUnavailableError', () => waitAfterFailure(position)),
    );
  });

  const joinHead = (cursor: Cursor): void => {
    cursors = [...cursors, cursor].sort((a, b) => a.sequence - b.sequence);
  };

  const headSink: Sink = {
    listCursors: () => cursors, onRead: () => undefined, position: head,
  };
  const fiber = Effect.runFork(Effect.forever(readOnce(headSink)));

  const startReplay = (cursor: Cursor): void => {
    const position: Position = { caughtUp: false, failures: 0, next: cursor.next };
    const sink: Sink = {
      listCursors: () => [cursor],
      onRead: () => {
        if (position.next < head.next || !replays.delete(cursor)) return;
        joinHead(cursor);
      },
      position,
    };
    // The condition and the join run in one event-loop turn, so no entry falls between them.
    const replay = readOnce(sink).pipe(Effect.repeat({ while: () => replays.has(cursor) }));
    replays.set(cursor, Effect.runFork(Effect.asVoid(replay)));
  };

  return {
    close: () => {
      [fiber, ...replays.values()].forEach((each) => Effect.runFork(Fiber.interrupt(each)));
      replays.clear();
      cursors = [];
    },
    getCounts: () => ({ ...counts }),
    getStatus: () => ({
      caughtUp: head.caughtUp && replays.size === 0, lastContactMs, next: head.next,
    }),
    registerReader: (start, reader) => {
      registrations += 1;
      const cursor: Cursor = { next: start, reader, sequence: registrations };
      if (start < head.next) startReplay(cursor);
      else joinHead(cursor);
      return () => {
        const replay = replays.get(cursor);
        if (replay !== undefined) Effect.runFork(Fiber.interrupt(replay));
        replays.delete(cursor);
        cursors = cursors.filter((each) => each !== cursor);
        settleWaiters();
      };
    },
    registerWaiter: (recordId, settle) => {
      const settles = waiters.get(recordId) ?? new Set();
      waiters.set(recordId, settles);
      settles.add(settle);
      return () => {
        settles.delete(settle);
        if (settles.size === 0 && waiters.get(recordId) === settles) waiters.delete(recordId);
      };
    },
  };
}
