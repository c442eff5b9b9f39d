/**
 * Group commit for appends to the log. Each stream has at most one append in flight; records that
 * arrive during it form the next batch, so batches grow when the log is slow. A record that has to
 * be read back is appended again under the same record id until its owner removes it.
 */
import type * as Core from '@berylyoke/core';
import * as Duration from 'effect/Duration';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import * as Backoff from './Backoff.js';
import type * as LogClientOptions from './LogClientOptions.js';
import * as LogPort from './LogPort.js';
import type * as LogRecord from './LogRecord.js';

/** Result of the only append of a record without read-back; undefined on success. */
export type AppendResult = LogPort.LogUnavailableError | undefined;

/** A record to append, with or without read-back. */
export interface AppendRequest {
  readonly record: LogRecord.LogRecord;
  /** Set for a record that is appended only once. A record without it is retried until removed. */
  readonly onResult?: (result: AppendResult) => void;
}

/** A record that has not been appended or read back yet, with the state of its retries. */
interface TrackedRecord extends AppendRequest {
  readonly bytes: number;
  attempts: number;
  /** Time of the next append; infinite while an append with the record is in flight. */
  dueMs: Core.Millis;
  /** True once an append with the record may have taken effect. */
  sent: boolean;
}

/** Records of one stream, in the order in which they were added. */
interface StreamQueue {
  readonly stream: string;
  readonly pending: Map<string, TrackedRecord>;
  /** Consecutive failed appends. */
  failures: number;
  retryAtMs: Core.Millis;
  /** Ends the wait of the stream's append loop. */
  wake: () => void;
}

/** Counters of an appender since it was created; the in-flight ones are current values. */
export interface AppenderCounts {
  readonly appends: number;
  readonly failedAppends: number;
  readonly repeatedRecords: number;
  readonly recordsInFlight: number;
  readonly bytesInFlight: number;
}

/** Queues records and appends them in batches. */
export interface Appender {
  /** Queues a record; false when the limit on records or bytes in flight is reached. */
  readonly add: (stream: string, pending: AppendRequest) => boolean;
  /** Stops retrying a record. Returns whether an append with it may have taken effect. */
  readonly remove: (stream: string, recordId: string) => boolean;
  readonly getCounts: () => AppenderCounts;
  readonly close: () => void;
}

/** Creates an appender; `close` fails the queued records that are appended only once. */
export function createAppender(
  port: LogPort.LogPort,
  clock: Core.Clock,
  options: LogClientOptions.LogClientOptions,
): Appender {
  const queues = new Map<string, StreamQueue>();
  const fibers: Fiber.RuntimeFiber<never>[] = [];
  const rateLimiter = Backoff.createRateLimiter(options.appendsPerSecond, options.appendBurst);
  const counts = {
    appends: 0, bytesInFlight: 0, failedAppends: 0, recordsInFlight: 0, repeatedRecords: 0,
  };

  const dropRecord = (queue: StreamQueue, recordId: string): void => {
    const pending = queue.pending.get(recordId);
    if (pending === undefined) return;
    queue.pending.delete(recordId);
    counts.recordsInFlight -= 1;
    counts.bytesInFlight -= pending.bytes;
  };

  const computeWaitMs = (queue: StreamQueue): Core.Millis => {
    const earliestDueMs = [...queue.pending.values()]
      .reduce((earliestMs, { dueMs }) => Math.min(earliestMs, dueMs), Infinity);
    return Math.max(earliestDueMs, queue.retryAtMs) - clock.readMonotonic();
  };

  const waitForWork = (queue: StreamQueue): Effect.Effect<void> => Effect.async<void>((resume) => {
    const waitMs = computeWaitMs(queue);
    if (waitMs <= 0) {
      resume(Effect.void);
      return undefined;
    }
    const resumeWait = (): void => resume(Effect.void);
    // eslint-disable-next-line no-param-reassign
    queue.wake = resumeWait;
    const timer = Number.isFinite(waitMs) ? setTimeout(resumeWait, waitMs) : undefined;
    return Effect.sync(() => clearTimeout(timer));
  });

  const handleSuccess = (queue: StreamQueue, batch: readonly TrackedRecord[]): void => {
    const nowMs = clock.readMonotonic();
    Object.assign(queue, { failures: 0, retryAtMs: 0 });
    batch.forEach((pending) => {
      if (pending.onResult === undefined) {
        const waitMs = Backoff.computeBackoffMs(
          pending.attempts,
          options.repeatBackoff,
          options.random,
        );
        Object.assign(pending, { dueMs: nowMs + waitMs });
        return;
      }
      dropRecord(queue, pending.record.recordId);
      pending.onResult(undefined);
    });
  };

  const handleFailure = (
    queue: StreamQueue,
    batch: readonly TrackedRecord[],
    sentEarlier: readonly boolean[],
    error: LogPort.LogUnavailableError,
  ): void => {
    const failures = queue.failures + 1;
    const waitMs = Backoff.computeBackoffMs(failures, options.appendBackoff, options.random);
    const retryAtMs = clock.readMonotonic() + waitMs;
    counts.failedAppends += 1;
    Object.assign(queue, { failures, retryAtMs });
    batch.forEach((pending, index) => {
      Object.assign(pending, { dueMs: retryAtMs, sent: error.sent || sentEarlier[index] });
      if (pending.onResult === undefined) return;
      dropRecord(queue, pending.record.recordId);
      pending.onResult(error);
    });
  };

  const selectBatch = (dueRecords: readonly TrackedRecord[]): readonly TrackedRecord[] => {
    let bytes = 0;
    const end = dueRecords.findIndex((pending, index) => {
      bytes += pending.bytes;
      return index >= options.recordsPerAppend || (index > 0 && bytes > options.bytesPerAppend);
    });
    return end < 0 ? dueRecords : dueRecords.slice(0, end);
  };

  const sendBatch = (queue: StreamQueue): Effect.Effect<void> => Effect.suspend(() => {
    const nowMs = clock.readMonotonic();
    const batch = selectBatch([...queue.pending.values()].filter(({ dueMs }) => dueMs <= nowMs));
    if (batch.length === 0) return Effect.void;
    const sentEarlier = batch.map(({ sent }) => sent);
    counts.appends += 1;
    counts.repeatedRecords += batch.filter(({ attempts }) => attempts > 0).length;
    batch.forEach((pending) => Object.assign(pending, {
      attempts: pending.attempts + 1, dueMs: Infinity, sent: true,
    }));
    return port.append(queue.stream, batch.map(({ record }) => record)).pipe(
      Effect.timeoutFail({
        duration: Duration.millis(options.appendTimeoutMs),
        onTimeout: () => new LogPort.LogUnavailableError({
          detail: 'the append timed out', sent: true, stream: queue.stream,
        }),
      }),
      Effect.match({
        onFailure: (error) => handleFailure(queue, batch, sentEarlier, error),
        onSuccess: () => handleSuccess(queue, batch),
      }),
    );
  });

  const runQueue = (queue: StreamQueue): Effect.Effect<never> => Effect.forever(
    waitForWork(queue).pipe(
      Effect.zipRight(Effect.suspend(() => {
        if (computeWaitMs(queue) > 0) return Effect.void;
        // Built after the rate limiter's wait, so that the batch includes records added meanwhile.
        const waitMs = rateLimiter.claim(clock.readMonotonic());
        return Effect.sleep(Duration.millis(waitMs)).pipe(Effect.zipRight(sendBatch(queue)));
      })),
    ),
  );

  const openQueue = (stream: string): StreamQueue => {
    const existing = queues.get(stream);
    if (existing !== undefined) return existing;
    const queue: StreamQueue = {
      failures: 0, pending: new Map(), retryAtMs: 0, stream, wake: () => undefined,
    };
    queues.set(stream, queue);
    fibers.push(Effect.runFork(runQueue(queue)));
    return queue;
  };

  return {
    add: (stream, { onResult, record }) => {
      const queue = openQueue(stream);
      if (queue.pending.has(record.recordId)) return true;
      const bytes = JSON.stringify(record.body ?? null).length;
      if (counts.recordsInFlight >= options.recordsInFlight) return false;
      if (counts.recordsInFlight > 0 && counts.bytesInFlight + bytes > options.bytesInFlight) {
        return false;
      }
      counts.recordsInFlight += 1;
      counts.bytesInFlight += bytes;
      queue.pending.set(record.recordId, {
        attempts: 0,
        bytes,
        dueMs: clock.readMonotonic(),
        record,
        sent: false,
        ...onResult === undefined ? {} : { onResult },
      });
      queue.wake();
      return true;
    },
    close: () => {
      fibers.splice(0).forEach((fiber) => Effect.runFork(Fiber.interrupt(fiber)));
      queues.forEach(({ pending, stream }) => pending.forEach(({ onResult, sent }) => {
        onResult?.(new LogPort.LogUnavailableError({
          detail: 'the client was closed', sent, stream,
        }));
      }));
      queues.clear();
    },
    getCounts: () => ({ ...counts }),
    remove: (stream, recordId) => {
      const queue = queues.get(stream);
      if (queue === undefined) return false;
      const sent = queue.pending.get(recordId)?.sent ?? false;
      dropRecord(queue, recordId);
      return sent;
    },
  };
}
