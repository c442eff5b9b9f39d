/**
 * Usage accounting of one daemon. Counts the usage of served requests and appends the counters to
 * the log in batches. Keeps the counters of peers until they are in the log, and appends them for a
 * lost peer. While the daemon holds the reporting lease, seals windows and reports them to the
 * platform.
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

/** Dependencies and settings of a usage service; durations are milliseconds. */
export interface UsageOptions {
  readonly log: Log.LogClient;
  readonly clock: Core.Clock;
  readonly limits: UsageWindows.UsageLimits;
  /** Interval between appends of changed counters. */
  readonly flushIntervalMs: Core.Millis;
  /** Time from the end of a window to its seal; allows for a flush and for clock differences. */
  readonly graceMs: Core.Millis;
  /** Interval at which a reporter checks for windows to seal or to report. */
  readonly reportIntervalMs: Core.Millis;
  /** Time-out for reading an appended record back. */
  readonly readBackTimeoutMs: Core.Millis;
  /** Undefined if the platform does not accept usage reports. */
  readonly reports: UsageReportPort.UsageReportPort | undefined;
  readonly getAuthority: UsageReportPort.AuthoritySource;
  /** Called for each seal or report that failed. It is retried after `reportIntervalMs`. */
  readonly onFailure?: (action: 'report' | 'seal', reason: string) => void;
}

/** Counts for the operator status. */
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

/** Usage accounting of one daemon. */
export interface UsageService {
  /** Adds usage to the current window. */
  readonly record: (account: string, use: UsageAmounts.UsageAmounts) => void;
  /** Encodes the counters that are not in the log yet, for the next heartbeat. */
  readonly buildHeartbeat: () => Uint8Array;
  /** Stores the counters of a peer's heartbeat in place of earlier ones. */
  readonly applyHeartbeat: (source: Core.Writer, bytes: Uint8Array) => void;
  /** Appends the last known counters of a peer incarnation that is lost. */
  readonly applyLostPeer: (source: Core.Writer) => void;
  /** Appends all unwritten counters and reads them back; false when that failed for any. */
  readonly flush: () => Effect.Effect<boolean>;
  readonly getState: () => UsageWindows.UsageState;
  readonly getCounts: () => UsageCounts;
  readonly close: Core.Cleanup;
}

/** Starts the service, which reads the stream `usage` from the first retained entry on. */
export function createUsageService(
  {
    clock, flushIntervalMs, getAuthority, graceMs, limits, log, onFailure,
    readBackTimeoutMs, reportIntervalMs, reports,
  }: UsageOptions,
): UsageService {
  let localCounters = LocalCounters.createLocalCounters(log.writer);
  let peerCounters: PeerCounters.PeerCounters = new Map();
  let state = UsageWindows.createUsageState(limits);
  let sequence = 0;
  let seals = 0;
  let sentReports = 0;
  let failedReports = 0;
  const fibers = new Set<Fiber.RuntimeFiber<unknown, unknown>>();

  const unregisterReader = log.registerReader(Log.STREAMS.usage, 0, {
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

  const startFiber = (effect: Effect.Effect<unknown, unknown>): void => {
    const fiber = Effect.runFork(effect);
    fibers.add(fiber);
    fiber.addObserver(() => fibers.delete(fiber));
  };

  const flush = (): Effect.Effect<boolean> => Effect.suspend(() => Effect.all(
    LocalCounters.listUnwritten(localCounters).map((counters) => (
      append(UsageRecords.USAGE_KINDS.counters, counters).pipe(
        Effect.map(() => {
          localCounters = LocalCounters.applyWritten(localCounters, counters);
          return true;
        }),
        Effect.orElseSucceed(() => false),
      )
    )),
    { concurrency: 'unbounded' },
  )).pipe(Effect.map((results) => results.every((written) => written)));

  // Retries until the counters are read back, as this may be the only copy of them.
  const appendPeerCounters = (counters: UsageRecords.UsageCounters): Effect.Effect<unknown> => (
    append(UsageRecords.USAGE_KINDS.counters, counters).pipe(
      Effect.retry(Schedule.spaced(Duration.millis(flushIntervalMs))),
      Effect.orElseSucceed(() => undefined),
    )
  );

  const appendNextSeal = (fence: number): Effect.Effect<unknown> => Effect.suspend(() => {
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

  const sendReport = (
    port: UsageReportPort.UsageReportPort,
    seal: UsageWindows.Seal,
    fence: number,
  ): Effect.Effect<unknown> => port.send({
    figures: UsageWindows.computeReportedUsage(seal),
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

  const sendNextReport = (fence: number): Effect.Effect<unknown> => Effect.suspend(() => {
    const [seal] = state.unreportedSeals;
    return seal === undefined || reports === undefined
      ? Effect.void
      : sendReport(reports, seal, fence);
  });

  let isFlushing = false;
  let isReporting = false;
  const flushTimer = setInterval(() => {
    if (isFlushing) return;
    isFlushing = true;
    startFiber(flush().pipe(Effect.ensuring(Effect.sync(() => {
      isFlushing = false;
    }))));
  }, flushIntervalMs);
  const reportTimer = setInterval(() => {
    const authority = getAuthority();
    if (isReporting || authority === undefined
      || !log.getStatus(Log.STREAMS.usage).caughtUp) return;
    isReporting = true;
    startFiber(appendNextSeal(authority.fence).pipe(
      Effect.zipRight(sendNextReport(authority.fence)),
      Effect.ensuring(Effect.sync(() => {
        isReporting = false;
      })),
    ));
  }, reportIntervalMs);
  flushTimer.unref();
  reportTimer.unref();

  return {
    applyHeartbeat: (source, bytes) => {
      peerCounters = PeerCounters.applyHeartbeat(peerCounters, source, bytes);
    },
    applyLostPeer: (source) => {
      const { counters, peers: remainingPeers } = PeerCounters.removePeer(peerCounters, source);
      peerCounters = remainingPeers;
      counters.forEach((found) => startFiber(appendPeerCounters(found)));
    },
    buildHeartbeat: () => {
      sequence += 1;
      return PeerCounters.encodeCounters(LocalCounters.listUnwritten(localCounters), sequence);
    },
    close: () => {
      clearInterval(flushTimer);
      clearInterval(reportTimer);
      fibers.forEach((fiber) => Effect.runFork(Fiber.interrupt(fiber)));
      unregisterReader();
    },
    flush,
    getCounts: () => ({
      failedReports,
      ignoredCounters: state.ignoredCounters,
      lastSealedWindow: state.lastSeal?.window,
      reports: sentReports,
      seals,
      skippedRecords: state.skippedRecords,
      unreportedSeals: state.unreportedSeals.length,
      unwrittenWindows: LocalCounters.listUnwritten(localCounters).length,
    }),
    getState: () => state,
    record: (account, use) => {
      const window = LocalCounters.getWindow(clock.readWall(), limits.windowMs);
      localCounters = LocalCounters.recordUsage(localCounters, window, account, use);
    },
  };
}
