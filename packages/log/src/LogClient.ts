/**
 * What the rest of the system uses of the log: appends that count only once they were read back,
 * and readers that see every entry of a stream in order, once.
 */
import type * as Core from '@berylyoke/core';
import * as Data from 'effect/Data';
import * as Duration from 'effect/Duration';
import * as Effect from 'effect/Effect';
import * as Appender from './Appender.js';
import * as LogClientOptions from './LogClientOptions.js';
import * as LogPort from './LogPort.js';
import type * as LogRecord from './LogRecord.js';
import * as Tail from './Tail.js';

/** Why a record was not read back, as a phrase for people. */
const READ_BACK_FAILURES = {
  busy: 'too many records are in flight',
  closed: 'the client was closed',
  deadline: 'its deadline passed',
} as const;

/** A record was not read back in time. It may still appear in the log later. */
export class ReadBackTimeoutError extends Data.TaggedError('ReadBackTimeoutError')<{
  readonly stream: string;
  readonly recordId: string;
  /** False when no append with the record was sent, so that it cannot appear later. */
  readonly sent?: boolean;
  readonly reason?: keyof typeof READ_BACK_FAILURES;
}> {
  get message(): string {
    const reason = READ_BACK_FAILURES[this.reason ?? 'deadline'];
    return `record ${this.recordId} was not read back from log stream ${this.stream}: ${reason}`;
  }
}

/** How one append with read-back differs from the defaults. */
export interface ReadBackOptions {
  /** Time within which the record has to be read back, in milliseconds. */
  readonly timeoutMs?: Core.Millis;
}

/** Client of the log. */
export interface LogClient {
  readonly writer: Core.Writer;
  /** Appends a record once; group commit may delay it. Fails at once when too many are queued. */
  readonly append: (
    stream: string,
    record: LogRecord.LogRecord,
  ) => Effect.Effect<void, LogPort.LogUnavailableError>;
  /**
   * Appends a record, repeats it under its id, and waits until this client's readers of the stream
   * have seen it. Without a reader the stream is read from its first retained entry on.
   */
  readonly appendAndReadBack: (
    stream: string,
    record: LogRecord.LogRecord,
    options?: ReadBackOptions,
  ) => Effect.Effect<number, ReadBackTimeoutError>;
  /** Starts reading a stream. Readers registered first see each entry first. */
  readonly registerReader: (stream: string, from: number, reader: Tail.LogReader) => Core.Cleanup;
  readonly getStatus: (stream: string) => Tail.TailStatus;
  readonly close: () => void;
}

/** Counts of one client since it was created. */
export interface LogClientCounts extends Appender.AppenderCounts {
  readonly streams: Readonly<Record<string, Tail.TailCounts>>;
}

/** Client of the log with its counts, for metrics. */
export interface CountingLogClient extends LogClient {
  readonly getCounts: () => LogClientCounts;
}

/** Creates a client; `close` stops its readers and fails what is in flight. */
export function createLogClient(
  port: LogPort.LogPort,
  writer: Core.Writer,
  clock: Core.Clock,
  settings: Partial<LogClientOptions.LogClientOptions> = {},
): CountingLogClient {
  const options = { ...LogClientOptions.DEFAULT_LOG_CLIENT_OPTIONS, ...settings };
  const tails = new Map<string, Tail.Tail>();
  const appender = Appender.createAppender(port, clock, options);
  const closers = new Set<() => void>();

  const openTail = (stream: string, from: number): Tail.Tail => {
    const tail = tails.get(stream) ?? Tail.openTail(stream, from, port, clock, options);
    tails.set(stream, tail);
    return tail;
  };

  return {
    append: (stream, record) => Effect.async((resume) => {
      const queued = appender.add(stream, {
        onResult: (error) => resume(error === undefined ? Effect.void : Effect.fail(error)),
        record,
      });
      if (queued) return;
      resume(Effect.fail(new LogPort.LogUnavailableError({
        detail: READ_BACK_FAILURES.busy, sent: false, stream,
      })));
    }),
    appendAndReadBack: (stream, record, { timeoutMs = options.readBackTimeoutMs } = {}) => {
      const { recordId } = record;
      const fail = (reason: keyof typeof READ_BACK_FAILURES) => new ReadBackTimeoutError({
        reason, recordId, sent: appender.remove(stream, recordId), stream,
      });
      return Effect.suspend(() => {
        let undo: Core.Cleanup = () => undefined;
        return Effect.async<number, ReadBackTimeoutError>((resume) => {
          const close = (): void => resume(Effect.fail(fail('closed')));
          const undoWaiter = openTail(stream, 0).registerWaiter(recordId, (offset) => {
            resume(Effect.succeed(offset));
          });
          undo = () => {
            closers.delete(close);
            undoWaiter();
          };
          closers.add(close);
          if (!appender.add(stream, { record })) resume(Effect.fail(fail('busy')));
        }).pipe(
          Effect.timeoutFail({
            duration: Duration.millis(timeoutMs), onTimeout: () => fail('deadline'),
          }),
          Effect.ensuring(Effect.sync(() => {
            undo();
            appender.remove(stream, recordId);
          })),
        );
      });
    },
    close: () => {
      closers.forEach((close) => close());
      closers.clear();
      appender.close();
      tails.forEach((tail) => tail.close());
      tails.clear();
    },
    getCounts: () => ({
      ...appender.getCounts(),
      streams: Object.fromEntries(
        [...tails].map(([stream, tail]) => [stream, tail.getCounts()]),
      ),
    }),
    getStatus: (stream) => (
      tails.get(stream)?.getStatus() ?? { caughtUp: false, lastContactMs: undefined, next: 0 }
    ),
    registerReader: (stream, from, reader) => openTail(stream, from).registerReader(from, reader),
    writer,
  };
}
