/**
 * Group commit. Each stream has one append under way at most; records that arrive meanwhile form
 * the next batch, so batches grow when the log is slow. A record that has to be read back is
 * repeated under its record id until it is removed.
 */
import type * as Core from '@berylyoke/core';
import * as Duration from 'effect/Duration';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import * as Backoff from './Backoff.js';
import type * as LogClientOptions from './LogClientOptions.js';
import * as LogPort from './LogPort.js';
import type * as LogRecord from './LogRecord.js';

/** Result of the single attempt at a record that is not read back. */
export type AppendResult = LogPort.LogUnavailableError | undefined;

/** A record that waits to be appended or read back. */
export interface PendingRecord {
  readonly record: LogRecord.LogRecord;
  /** Set for a record that is attempted once; a record without it is repeated until removed. */
  readonly onResult?: (result: AppendResult) => void;
}

interface Pending extends PendingRecord {
  attempts: number;
  dueMs: Core.Millis;
  /** True once an append with the record may have taken effect. */
  sent: boolean;
}

interface Lane {
  readonly stream: string;
  readonly pending: Map<string, Pending>;
  failures: number;
  notBeforeMs: Core.Millis;
  wake: () => void;
}

/** Counts of an appender since it was created. */
export interface AppenderCounts {
  readonly appends: number;
  readonly failedAppends: number;
  readonly repeatedRecords: number;
  readonly recordsInFlight: number;
}

/** Queues records and appends them in batches. */
export interface Appender {
  /** Queues a record; false when the bound on records in flight is reached. */
  readonly add: (stream: string, pending: PendingRecord) => boolean;
  /** Forgets a record. Returns whether an append with it may have taken effect. */
  readonly remove: (stream: string, recordId: string) => boolean;
  readonly getCounts: () => AppenderCounts;
  readonly close: () => void;
}

/** Creates an appender; `close` fails the records that are attempted once. */
export function createAppender(
  port: LogPort.LogPort,
  clock: Core.Clock,
  options: LogClientOptions.LogClientOptions,
): Appender {
  const lanes = new Map<string, Lane>();
  const fibers: Fiber.RuntimeFiber<never>[] = [];
  const limit = Backoff.createRateLimit(options.appendsPerSecond, options.appendBurst);
  const counts = {
    appends: 0, failedAppends: 0, recordsInFlight: 0, repeatedRecords: 0,
  };

  const drop = (lane: Lane, recordId: string): void => {
    if (lane.pending.delete(recordId)) counts.recordsInFlight -= 1;
  };

  const getWaitMs = (lane: Lane): Core.Millis => {
    const firstMs = [...lane.pending.values()]
      .reduce((least, { dueMs }) => Math.min(least, dueMs), Infinity);
    return Math.max(firstMs, lane.notBeforeMs) - clock.readMonotonic();
  };

  const waitForWork = (lane: Lane): Effect.Effect<void> => Effect.async<void>((resume) => {
    const waitMs = getWaitMs(lane);
    if (waitMs <= 0) {
      resume(Effect.void);
      return undefined;
    }
    const finish = (): void => resume(Effect.void);
    // eslint-disable-next-line no-param-reassign
    lane.wake = finish;
    const timer = Number.isFinite(waitMs) ? setTimeout(finish, waitMs) : undefined;
    return Effect.sync(() => clearTimeout(timer));
  });

  const handleSuccess = (lane: Lane, batch: readonly Pending[]): void => {
    const nowMs = clock.readMonotonic();
    Object.assign(lane, { failures: 0, notBeforeMs: 0 });
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
      drop(lane, pending.record.recordId);
      pending.onResult(undefined);
    });
  };

  const handleFailure = (
    lane: Lane,
    batch: readonly Pending[],
    sentBefore: readonly boolean[],
    error: LogPort.LogUnavailableError,
  ): void => {
    const failures = lane.failures + 1;
    const waitMs = Backoff.computeBackoffMs(failures, options.appendBackoff, options.random);
    const notBeforeMs = clock.readMonotonic() + waitMs;
    counts.failedAppends += 1;
    Object.assign(lane, { failures, notBeforeMs });
    batch.forEach((pending, index) => {
      Object.assign(pending, { dueMs: notBeforeMs, sent: error.sent || sentBefore[index] });
      if (pending.onResult === undefined) return;
      drop(lane, pending.record.recordId);
      pending.onResult(error);
    });
  };

  const sendBatch = (lane: Lane): Effect.Effect<void> => Effect.suspend(() => {
    const nowMs = clock.readMonotonic();
    const batch = [...lane.pending.values()]
      .filter(({ dueMs }) => dueMs <= nowMs)
      .slice(0, options.recordsPerAppend);
    if (batch.length === 0) return Effect.void;
    const sentBefore = batch.map(({ sent }) => sent);
    counts.appends += 1;
    counts.repeatedRecords += batch.filter(({ attempts }) => attempts > 0).length;
    batch.forEach((pending) => Object.assign(pending, {
      attempts: pending.attempts + 1, dueMs: Infinity, sent: true,
    }));
    return port.append(lane.stream, batch.map(({ record }) => record)).pipe(
      Effect.timeoutFail({
        duration: Duration.millis(options.appendTimeoutMs),
        onTimeout: () => new LogPort.LogUnavailableError({
          detail: 'no answer to an append', sent: true, stream: lane.stream,
        }),
      }),
      Effect.match({
        onFailure: (error) => handleFailure(lane, batch, sentBefore, error),
        onSuccess: () => handleSuccess(lane, batch),
      }),
    );
  });

  const runLane = (lane: Lane): Effect.Effect<never> => Effect.forever(
    waitForWork(lane).pipe(
      Effect.zipRight(Effect.suspend(() => {
        if (getWaitMs(lane) > 0) return Effect.void;
        // The batch is formed after the wait for the rate, so that it holds what arrived in it.
        const waitMs = limit.claim(clock.readMonotonic());
        return Effect.sleep(Duration.millis(waitMs)).pipe(Effect.zipRight(sendBatch(lane)));
      })),
    ),
  );

  const openLane = (stream: string): Lane => {
    const known = lanes.get(stream);
    if (known !== undefined) return known;
    const lane: Lane = {
      failures: 0, notBeforeMs: 0, pending: new Map(), stream, wake: () => undefined,
    };
    lanes.set(stream, lane);
    fibers.push(Effect.runFork(runLane(lane)));
    return lane;
  };

  return {
    add: (stream, { onResult, record }) => {
      const lane = openLane(stream);
      if (lane.pending.has(record.recordId)) return true;
      if (counts.recordsInFlight >= options.recordsInFlight) return false;
      counts.recordsInFlight += 1;
      lane.pending.set(record.recordId, {
        attempts: 0,
        dueMs: clock.readMonotonic(),
        record,
        sent: false,
        ...onResult === undefined ? {} : { onResult },
      });
      lane.wake();
      return true;
    },
    close: () => {
      fibers.splice(0).forEach((fiber) => Effect.runFork(Fiber.interrupt(fiber)));
      lanes.forEach(({ pending, stream }) => pending.forEach(({ onResult, sent }) => {
        onResult?.(new LogPort.LogUnavailableError({
          detail: 'the client was closed', sent, stream,
        }));
      }));
      lanes.clear();
    },
    getCounts: () => ({ ...counts }),
    remove: (stream, recordId) => {
      const lane = lanes.get(stream);
      if (lane === undefined) return false;
      const sent = lane.pending.get(recordId)?.sent ?? false;
      drop(lane, recordId);
      return sent;
    },
  };
}
