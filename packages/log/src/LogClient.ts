/**
 * What the rest of the system uses of the log: appends that count only once they were read back,
 * and readers that see every entry of a stream in order, once.
 */
import * as Core from '@berylyoke/core';
import * as Data from 'effect/Data';
import * as Duration from 'effect/Duration';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import * as LogPort from './LogPort.js';
import type * as LogRecord from './LogRecord.js';

/** Longest wait of one read for a new entry, in milliseconds. */
const READ_WAIT_MS = 1_000;
/** Entries in one read. */
const READ_LIMIT = 500;
/** Wait after a failed read, in milliseconds. */
const RETRY_MS = 200;
/** How long an append may take to be read back, in milliseconds. */
const READ_BACK_TIMEOUT_MS = 10_000;

/** A record was not read back in time. It may still appear in the log later. */
export class ReadBackTimeoutError extends Data.TaggedError('ReadBackTimeoutError')<{
  readonly stream: string;
  readonly recordId: string;
}> {
  get message(): string {
    return `record ${this.recordId} was not read back from log stream ${this.stream}`;
  }
}

/** Receives the entries of a stream in order of offset, each once. */
export interface LogReader {
  readonly onEntry: (entry: LogRecord.LogEntry) => void;
  /** Entries up to `first` are gone; the reader needs a snapshot. */
  readonly onGap?: (first: number) => void;
}

/** How far a stream was read. Times are monotonic; undefined before the first answer. */
export interface TailStatus {
  readonly next: number;
  readonly lastContactMs: Core.Millis | undefined;
  /** True once the reader has seen everything that the log held at some moment. */
  readonly caughtUp: boolean;
}

/** Client of the log. */
export interface LogClient {
  readonly writer: Core.Writer;
  /** Appends a record; group commit is allowed to delay it by some milliseconds. */
  readonly append: (
    stream: string,
    record: LogRecord.LogRecord,
  ) => Effect.Effect<void, LogPort.LogUnavailableError>;
  /** Appends a record and waits until this client's reader of the stream has seen it. */
  readonly appendAndReadBack: (
    stream: string,
    record: LogRecord.LogRecord,
  ) => Effect.Effect<number, ReadBackTimeoutError>;
  /** Starts reading a stream. Readers registered first see each entry first. */
  readonly registerReader: (stream: string, from: number, reader: LogReader) => Core.Undo;
  readonly getStatus: (stream: string) => TailStatus;
  readonly close: () => void;
}

interface Tail {
  readonly readers: Set<LogReader>;
  readonly waiters: Map<string, (offset: number) => void>;
  readonly getStatus: () => TailStatus;
  readonly setStatus: (status: TailStatus) => void;
}

function createTail(from: number): Tail {
  let status: TailStatus = { caughtUp: false, lastContactMs: undefined, next: from };
  return {
    getStatus: () => status,
    readers: new Set(),
    setStatus: (next) => {
      status = next;
    },
    waiters: new Map(),
  };
}

function handleEntry(tail: Tail, entry: LogRecord.LogEntry): void {
  tail.readers.forEach((reader) => reader.onEntry(entry));
  entry.records.forEach(({ recordId }) => {
    const settle = tail.waiters.get(recordId);
    tail.waiters.delete(recordId);
    settle?.(entry.offset);
  });
}

/** Creates a client; `close` stops its readers. */
export function createLogClient(
  port: LogPort.LogPort,
  writer: Core.Writer,
  clock: Core.Clock,
): LogClient {
  const tails = new Map<string, Tail>();
  const fibers: Fiber.RuntimeFiber<never>[] = [];

  const readOnce = (stream: string, tail: Tail) => port.read({
    from: tail.getStatus().next,
    limit: READ_LIMIT,
    stream,
    waitMs: tail.getStatus().caughtUp ? READ_WAIT_MS : 0,
  }).pipe(
    Effect.tap((page) => Effect.sync(() => {
      page.entries.forEach((entry) => handleEntry(tail, entry));
      tail.setStatus({
        caughtUp: tail.getStatus().caughtUp || page.entries.length < READ_LIMIT,
        lastContactMs: clock.readMonotonic(),
        next: page.next,
      });
    })),
    Effect.catchTag('LogOffsetExpiredError', ({ first }) => Effect.sync(() => {
      tail.readers.forEach((reader) => reader.onGap?.(first));
      tail.setStatus({ ...tail.getStatus(), next: first });
    })),
    Effect.catchTag('LogUnavailableError', () => Effect.sleep(Duration.millis(RETRY_MS))),
  );

  const openTail = (stream: string, from: number): Tail => {
    const known = tails.get(stream);
    if (known !== undefined) return known;
    const tail = createTail(from);
    tails.set(stream, tail);
    fibers.push(Effect.runFork(Effect.forever(Effect.suspend(() => readOnce(stream, tail)))));
    return tail;
  };

  const append: LogClient['append'] = (stream, record) => (
    Effect.asVoid(port.append(stream, [record]))
  );

  return {
    append,
    appendAndReadBack: (stream, record) => {
      const tail = openTail(stream, 0);
      const readBack = Effect.async<number>((resume) => {
        tail.waiters.set(record.recordId, (offset) => resume(Effect.succeed(offset)));
        return Effect.sync(() => tail.waiters.delete(record.recordId));
      });
      const repeated = append(stream, record).pipe(
        Effect.ignore,
        Effect.zipRight(Effect.never),
      );
      return Effect.raceFirst(readBack, repeated).pipe(Effect.timeoutFail({
        duration: Duration.millis(READ_BACK_TIMEOUT_MS),
        onTimeout: () => new ReadBackTimeoutError({ recordId: record.recordId, stream }),
      }));
    },
    close: () => {
      fibers.splice(0).forEach((fiber) => Effect.runFork(Fiber.interrupt(fiber)));
      tails.clear();
    },
    getStatus: (stream) => (
      tails.get(stream)?.getStatus() ?? { caughtUp: false, lastContactMs: undefined, next: 0 }
    ),
    registerReader: (stream, from, reader) => {
      const tail = openTail(stream, from);
      tail.readers.add(reader);
      return () => {
        tail.readers.delete(reader);
      };
    },
    writer,
  };
}
