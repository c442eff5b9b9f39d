/** Part: counts use, keeps the counters of peers, and reports usage while it may. */
import * as Core from '@berylyoke/core';
import * as Usage from '@berylyoke/usage';
import * as Effect from 'effect/Effect';
import * as ActiveRequests from './ActiveRequests.js';
import type * as DaemonContext from './DaemonContext.js';

/** Heartbeats between two appends of counters; until then a heartbeat holds them. */
const HEARTBEATS_PER_FLUSH = 5;
/** Time beyond a flush for which a window stays open, in milliseconds. */
const GRACE_MS = 5_000;
/** Time for which counters of a sealed window still count, in milliseconds. */
const LATE_MS = 24 * 60 * 60 * 1_000;
/** Longest wait for the read-back of counters, seals and reports, in milliseconds. */
const READ_BACK_MS = 10_000;
/** Interval at which a reporter looks for work, in milliseconds. */
const REPORT_MS = 1_000;

/** Registers counting and reporting. */
export function registerUsageComponent(context: DaemonContext.DaemonContext): Core.Cleanup {
  const { platform, timing } = context.settings;
  const logger = Core.getPartLogger(context.logger, 'usage');
  const flushMs = timing.heartbeatMs * HEARTBEATS_PER_FLUSH;
  const service = Usage.createUsageService({
    clock: context.clock,
    flushMs,
    getAuthority: () => context.ports.get('reporting').getAuthority(),
    graceMs: flushMs + GRACE_MS,
    limits: {
      lateWindows: Math.ceil(LATE_MS / timing.usageWindowMs), windowMs: timing.usageWindowMs,
    },
    log: context.log,
    onFailure: (action, reason) => logger.warn({ action, reason }, 'usage was not sent'),
    readBackMs: READ_BACK_MS,
    reportMs: REPORT_MS,
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
    context.registerStatus('usage', service.getCounts),
    context.registerDrain('usage', async () => {
      await ActiveRequests.waitUntilEmptyWithin(
        context.active,
        context.settings.limits.drainMs,
      );
      // A request is counted just after it has left the table of active ones.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      if (!await Effect.runPromise(service.flush())) logger.warn('last counters were not written');
    }),
  );
}
