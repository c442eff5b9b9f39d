/**
 * Usage at the edge: counts what a daemon serves, appends the counters in batches, holds those of
 * peers until they are known to be in the log, and seals and reports while it has the authority.
 */
import type * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Duration from 'effect/Duration';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import * as Schedule from 'effect/Schedule';
import * as LocalCounters from './LocalCounters.js';
import type * as UsageAmounts from './UsageAmounts.js';
import * as PeerCounters from './PeerCounters.js';
import * as UsageRecords from './UsageRecords.js';
import type * as UsageReportPort from './UsageReportPort.js';
import * as UsageWindows from './UsageWindows.js';

/** Intervals and bounds, in milliseconds. */
export interface UsageOptions {
  readonly log: Log.LogClient;
  readonly clock: Core.Clock;
  readonly limits: UsageWindows.UsageLimits;
  /** Interval between appends of changed counters. */
  readonly flushIntervalMs: Core.Millis;
  /** Time after a window's end before it is sealed; covers a flush and clocks that differ. */
  readonly graceMs: Core.Millis;
  /** Interval at which a reporter looks for a window to seal or to report. */
  readonly reportIntervalMs: Core.Millis;
  /** Longest wait for a read-back. */
  readonly readBackTimeoutMs: Core.Millis;
  /** Undefined where the platform takes no reports. */
  readonly reports: UsageReportPort.UsageReportPort | undefined;
  readonly getAuthority: UsageReportPort.AuthoritySource;
  /** Told about each seal and report that failed; the next round tries again. */
  readonly onFailure?: (action: 'report' | 'seal', reason: string) => void;
}

/** Counts for metrics. */
export interface UsageCounts {
  readonly unwrittenWindows: number;
  readonly unreportedSeals: number;
  readonly lastSealedWindow: number | undefined;
  readonly seals: number;
  readonly reports: number;
  readonly failedReports: number;
  readonly ignoredCounters: number;
  readonly skippedRecords: number;
}

/** Usage of one daemon. */
export interface UsageService {
  /** Counts use into the window of this moment. */
  readonly record: (account: string, use: UsageAmounts.UsageAmounts) => void;
  /** Encodes the counters that are not in the log yet, for the next heartbeat. */
  readonly buildHeartbeat: () => Uint8Array;
  /** Keeps the counters of a peer's heartbeat. */
  readonly applyHeartbeat: (source: Core.Writer, bytes: Uint8Array) => void;
  /** Appends the last known counters of a peer incarnation that has ended. */
  readonly applyLostPeer: (source: Core.Writer) => void;
  /** Appends every counter and waits for the read-back; false when that failed. */
  readonly flush: () => Effect.Effect<boolean>;
  readonly getState: () => UsageWindows.UsageState;
  readonly getCounts: () => UsageCounts;
  readonly close: Core.Cleanup;
}

/** Creates the service; it reads the stream `usage` from the first retained entry on. */
export function createUsageService(
  {
    clock, flushIntervalMs, getAuthority, graceMs, limits, log, onFailure,
    readBackTimeoutMs, reportIntervalMs, reports,
  }: UsageOptions,
): UsageService {
  let book = LocalCounters.createLocalCounters(log.writer);
  let peers: PeerCounters.PeerCounters = new Map();
  let state = UsageWindows.createUsageState(limits);
  let sequence = 0;
  let seals = 0;
  let sentReports = 0;
  let failedReports = 0;
  const fibers = new Set<Fiber.RuntimeFiber<unknown, unknown>>();

  const undoReader = log.registerReader(Log.STREAMS.usage, 0, {
    onEntry: (entry) => {
      state = UsageWindows.reduceUsage(state, entry);
    },
    onGap: (first) => {
      state = UsageWindows.reduceUsageGap(state, first);
    },
  });

  const append = (kind: string, body: unknown) => log.appendAndReadBack(
    Log.STREAMS.usage,
    Log.createRecord(log.writer, kind, body),
    { timeoutMs: readBackTimeoutMs },
  );

  const run = (effect: Effect.Effect<unknown, unknown>): void => {
    const fiber = Effect.runFork(effect);
    fibers.add(fiber);
    fiber.addObserver(() => fibers.delete(fiber));
  };

  const flush = (): Effect.Effect<boolean> => Effect.suspend(() => Effect.all(
    LocalCounters.listUnwritten(book).map((counters) => (
      append(UsageRecords.USAGE_KINDS.counters, counters).pipe(
        Effect.map(() => {
          book = LocalCounters.applyWritten(book, counters);
          return true;
        }),
        Effect.orElseSucceed(() => false),
      )
    )),
    { concurrency: 'unbounded' },
  )).pipe(Effect.map((results) => results.every((written) => written)));

  // Counters of a lost peer are tried until they are read back: no other copy is sure to exist.
  const appendPeerCounters = (counters: UsageRecords.UsageCounters): Effect.Effect<unknown> => (
    append(UsageRecords.USAGE_KINDS.counters, counters).pipe(
      Effect.retry(Schedule.spaced(Duration.millis(flushIntervalMs))),
      Effect.orElseSucceed(() => undefined),
    )
  );

  const sealNext = (fence: number): Effect.Effect<unknown> => Effect.suspend(() => {
    const seal = UsageWindows.planSeal(state, clock.readWall(), graceMs, fence);
    if (seal === undefined) return Effect.void;
    return append(UsageRecords.USAGE_KINDS.seal, seal).pipe(
      Effect.match({
        onFailure: ({ _tag }) => onFailure?.('seal', _tag),
        onSuccess: () => {
          seals += 1;
        },
      }),
    );
  });

  const reportSeal = (
    port: UsageReportPort.UsageReportPort,
    seal: UsageWindows.Seal,
    fence: number,
  ): Effect.Effect<unknown> => port.send({
    figures: UsageWindows.computeReport(seal),
    reporter: log.writer.daemonId,
    window: seal.window,
  }, fence, getAuthority).pipe(
    Effect.flatMap(() => {
      sentReports += 1;
      const body: UsageRecords.UsageReported = {
        sealId: seal.recordId, window: seal.window,
      };
      return append(UsageRecords.USAGE_KINDS.reported, body);
    }),
    Effect.catchAll((error) => Effect.sync(() => {
      failedReports += 1;
      onFailure?.('report', error.message);
    })),
  );

  const reportNext = (fence: number): Effect.Effect<unknown> => Effect.suspend(() => {
    const [seal] = state.unreported;
    return seal === undefined || reports === undefined
      ? Effect.void
      : reportSeal(reports, seal, fence);
  });

  let flushing = false;
  let reporting = false;
  const flushTimer = setInterval(() => {
    if (flushing) return;
    flushing = true;
    run(flush().pipe(Effect.ensuring(Effect.sync(() => {
      flushing = false;
    }))));
  }, flushIntervalMs);
  const reportTimer = setInterval(() => {
    const authority = getAuthority();
    if (reporting || authority === undefined || !log.getStatus(Log.STREAMS.usage).caughtUp) return;
    reporting = true;
    run(sealNext(authority.fence).pipe(
      Effect.zipRight(reportNext(authority.fence)),
      Effect.ensuring(Effect.sync(() => {
        reporting = false;
      })),
    ));
  }, reportIntervalMs);
  flushTimer.unref();
  reportTimer.unref();

  return {
    applyHeartbeat: (source, bytes) => {
      peers = PeerCounters.applyHeartbeat(peers, source, bytes);
    },
    applyLostPeer: (source) => {
      const { counters, peers: rest } = PeerCounters.removePeer(peers, source);
      peers = rest;
      counters.forEach((found) => run(appendPeerCounters(found)));
    },
    buildHeartbeat: () => {
      sequence += 1;
      return PeerCounters.encodeCounters(LocalCounters.listUnwritten(book), sequence);
    },
    close: () => {
      clearInterval(flushTimer);
      clearInterval(reportTimer);
      fibers.forEach((fiber) => Effect.runFork(Fiber.interrupt(fiber)));
      undoReader();
    },
    flush,
    getCounts: () => ({
      failedReports,
      ignoredCounters: state.ignoredCounters,
      lastSealedWindow: state.last?.window,
      reports: sentReports,
      seals,
      skippedRecords: state.skipped,
      unreportedSeals: state.unreported.length,
      unwrittenWindows: LocalCounters.listUnwritten(book).length,
    }),
    getState: () => state,
    record: (account, use) => {
      const window = LocalCounters.getWindow(clock.readWall(), limits.windowMs);
      book = LocalCounters.recordUsage(book, window, account, use);
    },
  };
}
