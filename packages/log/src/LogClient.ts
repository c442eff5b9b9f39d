/**
 * Client of the log for the other packages. Appends can be confirmed by reading the record back
 * from the stream, and each registered reader receives every entry of a stream in order, once.
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

/** Descriptions, for error messages, of the reasons why a record was not read back. */
const READ_BACK_REASONS = {
  busy: 'too many records are in flight',
  closed: 'the client was closed',
  deadline: 'the timeout expired',
} as const;

/** A record was not read back in time. It may still appear in the log later. */
export class ReadBackTimeoutError extends Data.TaggedError('ReadBackTimeoutError')<{
  readonly stream: string;
  readonly recordId: string;
  /** False when no append with the record was sent, so that it cannot appear later. */
  readonly sent?: boolean;
  readonly reason?: keyof typeof READ_BACK_REASONS;
}> {
  get message(): string {
    const reason = READ_BACK_REASONS[this.reason ?? 'deadline'];
    return `record ${this.recordId} was not read back from log stream ${this.stream}: ${reason}`;
  }
}

/** Options of one append with read-back. */
export interface ReadBackOptions {
  /** Timeout for the read-back in milliseconds; the client's `readBackTimeoutMs` by default. */
  readonly timeoutMs?: Core.Millis;
}

/** Appends records to the streams of the log and reads them. */
export interface LogClient {
  readonly writer: Core.Writer;
  /**
   * Appends a record without retries; group commit may delay it. Fails immediately when too many
   * records are in flight.
   */
  readonly append: (
    stream: string,
    record: LogRecord.LogRecord,
  ) => Effect.Effect<void, LogPort.LogUnavailableError>;
  /**
   * Appends a record, retries under the same record id, waits until every reader of the stream in
   * this client has received it, and returns its offset. A stream without readers is read from its
   * first retained entry.
   */
  readonly appendAndReadBack: (
    stream: string,
    record: LogRecord.LogRecord,
    options?: ReadBackOptions,
  ) => Effect.Effect<number, ReadBackTimeoutError>;
  /** Starts reading a stream at `from`. Readers receive each entry in order of registration. */
  readonly registerReader: (stream: string, from: number, reader: Tail.LogReader) => Core.Cleanup;
  readonly getStatus: (stream: string) => Tail.TailStatus;
  readonly close: () => void;
}

/** Counters of one client since it was created. */
export interface LogClientCounts extends Appender.AppenderCounts {
  readonly streams: Readonly<Record<string, Tail.TailCounts>>;
}

/** Client of the log with counters for metrics. */
export interface InstrumentedLogClient extends LogClient {
  readonly getCounts: () => LogClientCounts;
}

/** Creates a client; `close` stops its readers and fails the appends in flight. */
export function createLogClient(
  port: LogPort.LogPort,
  writer: Core.Writer,
  clock: Core.Clock,
  overrides: Partial<LogClientOptions.LogClientOptions> = {},
): InstrumentedLogClient {
  const options = { ...LogClientOptions.DEFAULT_LOG_CLIENT_OPTIONS, ...overrides };
  const tails = new Map<string, Tail.Tail>();
  const appender = Appender.createAppender(port, clock, options);
  const closeHandlers = new Set<() => void>();

  const openTail = (stream: string, from: number): Tail.Tail => {
    const tail = tails.get(stream) ?? Tail.openTail(stream, from, port, clock, options);
    tails.set(stream, tail);
    return tail;
  };

  return {
    append: (stream, record) => Effect.async((resume) => {
      const isQueued = appender.add(stream, {
        onResult: (error) => resume(error === undefined ? Effect.void : Effect.fail(error)),
        record,
      });
      if (isQueued) return;
      resume(Effect.fail(new LogPort.LogUnavailableError({
        detail: READ_BACK_REASONS.busy, sent: false, stream,
      })));
    }),
    appendAndReadBack: (stream, record, { timeoutMs = options.readBackTimeoutMs } = {}) => {
      const { recordId } = record;
      const createError = (reason: keyof typeof READ_BACK_REASONS) => new ReadBackTimeoutError({
        reason, recordId, sent: appender.remove(stream, recordId), stream,
      });
      return Effect.suspend(() => {
        let cleanUp: Core.Cleanup = () => undefined;
        return Effect.async<number, ReadBackTimeoutError>((resume) => {
          const close = (): void => resume(Effect.fail(createError('closed')));
          const unregisterWaiter = openTail(stream, 0).registerWaiter(recordId, (offset) => {
            resume(Effect.succeed(offset));
          });
          cleanUp = () => {
            closeHandlers.delete(close);
            unregisterWaiter();
          };
          closeHandlers.add(close);
          if (!appender.add(stream, { record })) resume(Effect.fail(createError('busy')));
        }).pipe(
          Effect.timeoutFail({
            duration: Duration.millis(timeoutMs), onTimeout: () => createError('deadline'),
          }),
          Effect.ensuring(Effect.sync(() => {
            cleanUp();
            appender.remove(stream, recordId);
          })),
        );
      });
    },
    close: () => {
      closeHandlers.forEach((close) => close());
      closeHandlers.clear();
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
