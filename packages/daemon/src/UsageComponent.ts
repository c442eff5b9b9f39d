/**
 * Component that counts usage, keeps the usage counters received from peers, and reports usage
 * while this daemon holds the reporting lease.
 */
import * as Core from '@berylyoke/core';
import * as Usage from '@berylyoke/usage';
import * as Effect from 'effect/Effect';
import * as ActiveRequests from './ActiveRequests.js';
import type * as DaemonContext from './DaemonContext.js';

/** Heartbeats per append of counters to the log; heartbeats carry the counters until then. */
const HEARTBEATS_PER_FLUSH = 5;
/** Time for which a usage window stays open beyond one flush interval, in milliseconds. */
const WINDOW_GRACE_MS = 5_000;
/** Time for which late counters of a sealed window are still accepted, in milliseconds. */
const LATE_COUNTERS_MS = 24 * 60 * 60 * 1_000;
/** Longest wait until appended counters, seals and reports are read back, in milliseconds. */
const READ_BACK_TIMEOUT_MS = 10_000;
/** Interval at which the reporter checks for windows to seal or report, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** Registers the usage service. */
export function registerUsageComponent(context: DaemonContext.DaemonContext): Core.Cleanup {
  const { platform, timing } = context.settings;
  const logger = Core.getPartLogger(context.logger, 'usage');
  const flushIntervalMs = timing.heartbeatMs * HEARTBEATS_PER_FLUSH;
  const service = Usage.createUsageService({
    clock: context.clock,
    flushIntervalMs,
    getAuthority: () => context.ports.get('reporting').getAuthority(),
    graceMs: flushIntervalMs + WINDOW_GRACE_MS,
    limits: {
      allowedLateWindows: Math.ceil(LATE_COUNTERS_MS / timing.usageWindowMs),
      windowMs: timing.usageWindowMs,
    },
    log: context.log,
    onFailure: (action, reason) => logger.warn(
      { action, reason },
      'usage window not sealed or reported',
    ),
    readBackTimeoutMs: READ_BACK_TIMEOUT_MS,
    reportIntervalMs: REPORT_INTERVAL_MS,
    reports: platform.usageUrl === undefined
      ? undefined
      : Usage.createHttpUsageReports(platform.usageUrl),
  });
  return Core.mergeCleanups(
    service.close,
    context.ports.register('counters', {
      applyHeartbeat: service.applyHeartbeat,
      applyLostPeer: service.applyLostPeer,
      buildHeartbeat: service.buildHeartbeat,
    }),
    context.ports.register('usage', {
      record: ({ account, inputTokens, outputTokens }) => (
        service.record(account, { inputTokens, outputTokens, requests: 1 })
      ),
    }),
    context.registerStatusSection('usage', service.getCounts),
    context.registerDrainHook('usage', async () => {
      await ActiveRequests.waitUntilEmptyWithin(
        context.activeRequests,
        context.settings.limits.drainMs,
      );
      // The usage of a request is recorded just after the request is removed from the active ones.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      if (!await Effect.runPromise(service.flush())) logger.warn('last counters not flushed');
    }),
  );
}
