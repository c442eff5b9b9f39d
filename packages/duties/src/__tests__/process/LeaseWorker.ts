/**
 * Worker process for tests of a paused lease holder. It claims the ordering lease whenever it can,
 * sends one order after another, and stops itself by SIGSTOP at the first occurrence of a given
 * step. It reports events as JSON lines, written synchronously so that none is delayed by the stop.
 */
import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Effect from 'effect/Effect';
import * as fs from 'node:fs';
import * as DutyRecords from '../../DutyRecords.js';
import * as HttpOrders from '../../HttpOrders.js';
import * as LeaseHolder from '../../LeaseHolder.js';
import * as LeaseService from '../../LeaseService.js';
import type * as OrderPorts from '../../OrderPorts.js';
import * as OrderService from '../../OrderService.js';

/** Step before which a worker stops itself. */
export type FreezeStep = 'claim' | 'intent' | 'order' | 'write';

/** Arguments of a worker, passed as JSON. */
export interface WorkerArguments {
  readonly daemonId: string;
  readonly logUrl: string;
  readonly orderingUrl: string;
  readonly freezeAt: FreezeStep | undefined;
  readonly termMs: number;
  readonly orderDeadlineMs: number;
  readonly marginMs: number;
}

/** Event that a worker reports. */
export interface WorkerReport {
  readonly kind: 'accepted' | 'failed' | 'frozen' | 'held' | 'woken';
  readonly step?: FreezeStep;
  readonly reason?: string;
  readonly detail?: string | undefined;
  readonly fence?: number | null;
}

const ORDER_INTERVAL_MS = 20;

const options = JSON.parse(process.argv[2] ?? '{}') as WorkerArguments;

function writeReport(report: WorkerReport): void {
  // eslint-disable-next-line n/no-sync
  fs.writeSync(1, `${JSON.stringify(report)}\n`);
}

let hasFrozen = false;
function freezeAt(step: FreezeStep): void {
  if (options.freezeAt !== step || hasFrozen) return;
  hasFrozen = true;
  writeReport({ kind: 'frozen', step });
  process.kill(process.pid, 'SIGSTOP');
  writeReport({ kind: 'woken' });
}

const FREEZE_STEPS: Readonly<Record<string, FreezeStep>> = {
  [DutyRecords.DUTY_KINDS.claim]: 'claim',
  [DutyRecords.DUTY_KINDS.intent]: 'intent',
};

function createFreezingLog(log: Log.LogClient): Log.LogClient {
  return {
    ...log,
    appendAndReadBack: (stream, record, settings) => Effect.suspend(() => {
      const step = FREEZE_STEPS[record.kind];
      if (step !== undefined) freezeAt(step);
      return log.appendAndReadBack(stream, record, settings);
    }),
  };
}

function createFreezingPort(port: OrderPorts.OrderingPort): OrderPorts.OrderingPort {
  return {
    ...port,
    sendOrder: (order, guard) => Effect.suspend(() => {
      freezeAt('order');
      return port.sendOrder(order, {
        ...guard,
        canSend: () => {
          const isAllowed = guard.canSend();
          if (isAllowed) freezeAt('write');
          return isAllowed;
        },
      });
    }),
  };
}

const clock = Core.systemClock;
const writer = { daemonId: options.daemonId, incarnation: Core.createIncarnation(clock) };
const log = createFreezingLog(Log.createLogClient(
  Log.createHttpLog(options.logUrl),
  writer,
  clock,
  { readWaitMs: 100, repeatBackoff: { baseMs: 200, maxMs: 500 } },
));
const lease = LeaseService.createLeaseService({
  clock,
  lease: 'ordering',
  log,
  timing: LeaseHolder.buildLeaseTiming(options.termMs, options.orderDeadlineMs, options.marginMs),
});
lease.registerListener((authority) => {
  writeReport({ fence: authority?.fence ?? null, kind: 'held' });
});
const orders = OrderService.createOrderService({
  engines: HttpOrders.createHttpEngineOrders(),
  lease,
  log,
  orderDeadlineMs: options.orderDeadlineMs,
  ordering: createFreezingPort(HttpOrders.createHttpOrdering(options.orderingUrl)),
});

let isOrdering = false;
const timer = setInterval(() => {
  if (isOrdering || lease.getAuthority() === undefined) return;
  isOrdering = true;
  Effect.runFork(orders.sendOrder({
    order: {
      action: 'start', count: 1, dataCentre: 'dc1', kind: 'cheap', model: 'm1',
    },
    to: 'ordering',
  }).pipe(Effect.match({
    onFailure: ({ detail, reason }) => {
      isOrdering = false;
      writeReport({ detail, kind: 'failed', reason });
    },
    onSuccess: () => {
      isOrdering = false;
      writeReport({ kind: 'accepted' });
    },
  })));
}, ORDER_INTERVAL_MS);
process.on('SIGTERM', () => {
  lease.stop().finally(() => {
    clearInterval(timer);
    orders.close();
    lease.close();
    log.close();
  }).catch(() => undefined);
});
