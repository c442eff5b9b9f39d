/**
 * Sends orders under the fencing token of the lease `ordering`. An intent is appended to the log
 * and read back before the order is sent, and its outcome is appended afterwards. If the outcome is
 * unknown, it is read from the receiver's actual state before the next order to that receiver. Only
 * that receiver's orders wait, so that an engine that no longer exists blocks no orders to others.
 */
import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import * as DutyRecords from './DutyRecords.js';
import type * as LeaseService from './LeaseService.js';
import type * as OrderPorts from './OrderPorts.js';
import * as Orders from './Orders.js';

/** Attempts to send one order under the same id; a repeat needs a state without the order. */
const MAX_SEND_ATTEMPTS = 2;
/** Failed state reads after which an engine's order is closed; the engine may no longer exist. */
const MAX_ENGINE_STATE_READS = 30;
/** Concurrent state reads, so that an unresponsive engine does not delay the others. */
const RECOVERY_CONCURRENCY = 16;
/** Interval between checks for unresolved orders, as a fraction of the order deadline. */
const RECOVERY_INTERVAL_RATIO = 1 / 4;

/** An order that is not known to be accepted. */
export class OrderError extends Data.TaggedError('OrderError')<{
  readonly orderId: string;
  /** An `unknown` order is resolved by the recovery later; with other reasons it had no effect. */
  readonly reason: 'not-holder' | 'not-read-back' | 'recovering' | 'refused' | 'unknown';
  readonly detail?: string;
}> {
  get message(): string {
    return `order ${this.orderId} was not accepted: ${this.detail ?? this.reason}`;
  }
}

/** Dependencies and settings of an order service. */
export interface OrderServiceOptions {
  readonly log: Log.LogClient;
  /** The lease `ordering` of this process. */
  readonly lease: LeaseService.LeaseService;
  readonly ordering: OrderPorts.OrderingPort;
  readonly engines: OrderPorts.EngineOrderPort;
  readonly orderDeadlineMs: Core.Millis;
  readonly logger?: Core.Logger;
}

/** Sends orders while this process holds the lease `ordering`. */
export interface OrderService {
  /** Returns the order's id once the receiver has accepted it. */
  readonly sendOrder: (target: DutyRecords.OrderTarget) => Effect.Effect<string, OrderError>;
  readonly listOpenOrders: () => readonly Orders.OpenOrder[];
  readonly close: Core.Cleanup;
}

function getReceiver(target: DutyRecords.OrderTarget): string {
  return target.to === 'engine' ? target.engineUrl : target.to;
}

/** Starts the service. It also resolves the orders that earlier holders left open. */
export function createOrderService({
  engines, lease, log, logger, orderDeadlineMs, ordering,
}: OrderServiceOptions): OrderService {
  const ordersInProgress = new Set<string>();
  const failedReadsByOrder = new Map<string, number>();
  let state = Orders.INITIAL_ORDERS_STATE;
  let isRecovering = false;

  const unregisterReader = log.registerReader(Log.STREAMS.duties, 0, {
    onEntry: ({ offset, records }) => {
      state = records.reduce(
        (before, record) => Orders.applyOrderRecord(before, offset, record),
        state,
      );
    },
    onGap: (first) => {
      state = Orders.applyOrdersGap(state, first);
    },
  });

  const appendRecord = (kind: string, body: unknown) => (
    log.appendAndReadBack(Log.STREAMS.duties, Log.createRecord(log.writer, kind, body))
  );

  // If the outcome cannot be appended, the order stays open and the recovery reads its state later.
  const recordOutcome = (
    orderId: string,
    fence: number,
    status: DutyRecords.OrderStatus,
  ): Effect.Effect<void> => (
    Effect.ignore(appendRecord(DutyRecords.DUTY_KINDS.outcome, { fence, orderId, status }))
  );

  const hasOrder = ({ orderId, target }: Pick<DutyRecords.OrderIntent, 'orderId' | 'target'>) => (
    target.to === 'ordering'
      ? ordering.hasOrder(orderId)
      : engines.hasOrder(target.engineUrl, orderId)
  );

  const sendIntent = ({ fence, orderId, target }: DutyRecords.OrderIntent) => {
    const guard: OrderPorts.SendGuard = {
      canSend: () => lease.canSendOrder(fence),
      isLeaseHeld: () => lease.getAuthority()?.fence === fence,
    };
    const common = {
      deadlineMs: orderDeadlineMs, fence, orderId, sender: log.writer,
    };
    return target.to === 'ordering'
      ? ordering.sendOrder({ ...common, order: target.order }, guard)
      : engines.sendOrder(target.engineUrl, { ...common, order: target.order }, guard);
  };

  const resolveUnknownOutcome = (
    intent: DutyRecords.OrderIntent,
    sends: number,
    error: OrderPorts.OrderPortError,
  ): Effect.Effect<OrderPorts.OrderAnswer, OrderError | OrderPorts.OrderPortError> => (
    // Data of a broken connection may still arrive until the order deadline has passed.
    Effect.sleep(orderDeadlineMs).pipe(
      Effect.zipRight(hasOrder(intent)),
      Effect.flatMap((isAccepted) => {
        if (isAccepted) return Effect.succeed({ status: 'accepted' } as const);
        return sends < MAX_SEND_ATTEMPTS
          // eslint-disable-next-line @typescript-eslint/no-use-before-define
          ? sendUntilResolved(intent, sends + 1)
          : Effect.fail(error);
      }),
    )
  );

  function sendUntilResolved(
    intent: DutyRecords.OrderIntent,
    sends: number,
  ): Effect.Effect<OrderPorts.OrderAnswer, OrderError | OrderPorts.OrderPortError> {
    const { orderId } = intent;
    return sendIntent(intent).pipe(Effect.catchAll((error) => {
      if (error.sent) return resolveUnknownOutcome(intent, sends, error);
      if (sends > 1) return Effect.fail(error);
      return Effect.fail(new OrderError({ detail: error.reason, orderId, reason: 'not-holder' }));
    }));
  }

  const handleFailedStateRead = (
    { fence, orderId, target }: Orders.OpenOrder,
  ): Effect.Effect<void> => {
    const reads = (failedReadsByOrder.get(orderId) ?? 0) + 1;
    failedReadsByOrder.set(orderId, reads);
    if (reads === 1) logger?.warn({ orderId }, 'reading the state of an order failed');
    if (target.to !== 'engine' || reads < MAX_ENGINE_STATE_READS) return Effect.void;
    failedReadsByOrder.delete(orderId);
    return recordOutcome(orderId, fence, 'unknown');
  };

  const recoverOrder = (order: Orders.OpenOrder): Effect.Effect<void> => (
    hasOrder(order).pipe(
      Effect.matchEffect({
        onFailure: () => handleFailedStateRead(order),
        onSuccess: (isAccepted) => {
          failedReadsByOrder.delete(order.orderId);
          return recordOutcome(order.orderId, order.fence, isAccepted ? 'accepted' : 'absent');
        },
      }),
    )
  );

  const listUnresolvedOrders = (): readonly Orders.OpenOrder[] => (
    Object.values(state.openOrders).filter(({ orderId }) => !ordersInProgress.has(orderId))
  );

  const isTargetBlocked = (target: DutyRecords.OrderTarget): boolean => listUnresolvedOrders()
    .some((order) => getReceiver(order.target) === getReceiver(target));

  const recoverOrders = (): void => {
    const unresolvedOrders = listUnresolvedOrders();
    if (isRecovering || unresolvedOrders.length === 0 || lease.getAuthority() === undefined) return;
    isRecovering = true;
    Effect.runFork(Effect.forEach(unresolvedOrders, recoverOrder, {
      concurrency: RECOVERY_CONCURRENCY, discard: true,
    }).pipe(
      Effect.ensuring(Effect.sync(() => {
        isRecovering = false;
      })),
    ));
  };
  const timer = setInterval(recoverOrders, orderDeadlineMs * RECOVERY_INTERVAL_RATIO);

  const sendWithIntent = (intent: DutyRecords.OrderIntent): Effect.Effect<string, OrderError> => {
    const { fence, orderId } = intent;
    return appendRecord(DutyRecords.DUTY_KINDS.intent, intent).pipe(
      Effect.mapError(() => new OrderError({ orderId, reason: 'not-read-back' })),
      Effect.filterOrFail(
        () => state.openOrders[orderId] !== undefined,
        () => new OrderError({ orderId, reason: 'not-holder' }),
      ),
      Effect.zipRight(sendUntilResolved(intent, 1)),
      Effect.tap(({ status }) => recordOutcome(orderId, fence, status)),
      Effect.tapErrorTag('OrderError', () => recordOutcome(orderId, fence, 'not-sent')),
      Effect.catchTag('OrderPortError', ({ reason }) => (
        Effect.fail(new OrderError({ detail: reason, orderId, reason: 'unknown' }))
      )),
      Effect.flatMap((answer) => (answer.status === 'accepted'
        ? Effect.succeed(orderId)
        : Effect.fail(new OrderError({ detail: answer.detail, orderId, reason: 'refused' })))),
    );
  };

  return {
    close: Core.mergeCleanups(unregisterReader, () => clearInterval(timer)),
    listOpenOrders: () => Object.values(state.openOrders),
    sendOrder: (target) => Effect.suspend(() => {
      const orderId = Core.createId();
      const authority = lease.getAuthority();
      if (authority === undefined) {
        return Effect.fail(new OrderError({ orderId, reason: 'not-holder' }));
      }
      if (isTargetBlocked(target)) {
        return Effect.fail(new OrderError({ orderId, reason: 'recovering' }));
      }
      ordersInProgress.add(orderId);
      return sendWithIntent({ fence: authority.fence, orderId, target }).pipe(
        Effect.ensuring(Effect.sync(() => ordersInProgress.delete(orderId))),
      );
    }),
  };
}
