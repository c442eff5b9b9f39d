/**
 * Fenced orders: an intent is written and read back before the order is sent, its outcome after.
 * An order without a known outcome is settled by reading the actual state, before anything else is
 * sent to the same receiver; an engine that is gone must not hold up the orders to others.
 */
import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import * as DutyRecords from './DutyRecords.js';
import type * as LeaseService from './LeaseService.js';
import type * as OrderPorts from './OrderPorts.js';
import * as Orders from './Orders.js';

/** Sends of one order under the same id, each after the state showed it absent. */
const MAX_SENDS = 2;
/** Failed reads after which an engine's order is given up; an engine may be gone for good. */
const MAX_ENGINE_READS = 30;
/** Reads of the actual state at the same time, so that one silent engine delays no other. */
const RECOVERY_CONCURRENCY = 16;
/** Interval of the look for orders without an outcome, as a part of the order deadline. */
const RECOVERY_PART = 1 / 4;

/** An order was not accepted, as far as this process knows. */
export class OrderError extends Data.TaggedError('OrderError')<{
  readonly orderId: string;
  /** `unknown` orders are settled by the recovery; all others did not take effect. */
  readonly reason: 'not-holder' | 'not-read-back' | 'recovering' | 'refused' | 'unknown';
  readonly detail?: string;
}> {
  get message(): string {
    return `order ${this.orderId} was not accepted: ${this.detail ?? this.reason}`;
  }
}

/** What an order service needs. */
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
  /** Returns the order's id once it was accepted. */
  readonly sendOrder: (target: DutyRecords.OrderTarget) => Effect.Effect<string, OrderError>;
  readonly listOpenOrders: () => readonly Orders.OpenOrder[];
  readonly close: Core.Cleanup;
}

function getReceiver(target: DutyRecords.OrderTarget): string {
  return target.to === 'engine' ? target.engineUrl : target.to;
}

/** Starts the service, which also settles what earlier holders left open. */
export function createOrderService({
  engines, lease, log, logger, orderDeadlineMs, ordering,
}: OrderServiceOptions): OrderService {
  const inProgress = new Set<string>();
  const failedReads = new Map<string, number>();
  let state = Orders.INITIAL_ORDERS_STATE;
  let isRecovering = false;

  const undoReader = log.registerReader(Log.STREAMS.duties, 0, {
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

  // An outcome that cannot be written leaves the order open, and the recovery reads its state.
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
      isStillHeld: () => lease.getAuthority()?.fence === fence,
    };
    const common = {
      deadlineMs: orderDeadlineMs, fence, orderId, sender: log.writer,
    };
    return target.to === 'ordering'
      ? ordering.sendOrder({ ...common, order: target.order }, guard)
      : engines.sendOrder(target.engineUrl, { ...common, order: target.order }, guard);
  };

  const settleUnknown = (
    intent: DutyRecords.OrderIntent,
    sends: number,
    error: OrderPorts.OrderPortError,
  ): Effect.Effect<OrderPorts.OrderAnswer, OrderError | OrderPorts.OrderPortError> => (
    // A broken connection may still deliver what it held until the deadline has passed.
    Effect.sleep(orderDeadlineMs).pipe(
      Effect.zipRight(hasOrder(intent)),
      Effect.flatMap((isAccepted) => {
        if (isAccepted) return Effect.succeed({ status: 'accepted' } as const);
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        return sends < MAX_SENDS ? sendUntilKnown(intent, sends + 1) : Effect.fail(error);
      }),
    )
  );

  function sendUntilKnown(
    intent: DutyRecords.OrderIntent,
    sends: number,
  ): Effect.Effect<OrderPorts.OrderAnswer, OrderError | OrderPorts.OrderPortError> {
    const { orderId } = intent;
    return sendIntent(intent).pipe(Effect.catchAll((error) => {
      if (error.sent) return settleUnknown(intent, sends, error);
      if (sends > 1) return Effect.fail(error);
      return Effect.fail(new OrderError({ detail: error.reason, orderId, reason: 'not-holder' }));
    }));
  }

  const handleUnreadable = ({ fence, orderId, target }: Orders.OpenOrder): Effect.Effect<void> => {
    const reads = (failedReads.get(orderId) ?? 0) + 1;
    failedReads.set(orderId, reads);
    if (reads === 1) logger?.warn({ orderId }, 'the state of an order is not readable');
    if (target.to !== 'engine' || reads < MAX_ENGINE_READS) return Effect.void;
    failedReads.delete(orderId);
    return recordOutcome(orderId, fence, 'unknown');
  };

  const recoverOrder = (order: Orders.OpenOrder): Effect.Effect<void> => (
    hasOrder(order).pipe(
      Effect.matchEffect({
        onFailure: () => handleUnreadable(order),
        onSuccess: (isAccepted) => {
          failedReads.delete(order.orderId);
          return recordOutcome(order.orderId, order.fence, isAccepted ? 'accepted' : 'absent');
        },
      }),
    )
  );

  const listAbandoned = (): readonly Orders.OpenOrder[] => (
    Object.values(state.open).filter(({ orderId }) => !inProgress.has(orderId))
  );

  const isBlocked = (target: DutyRecords.OrderTarget): boolean => listAbandoned()
    .some((order) => getReceiver(order.target) === getReceiver(target));

  const recover = (): void => {
    const abandoned = listAbandoned();
    if (isRecovering || abandoned.length === 0 || lease.getAuthority() === undefined) return;
    isRecovering = true;
    Effect.runFork(Effect.forEach(abandoned, recoverOrder, {
      concurrency: RECOVERY_CONCURRENCY, discard: true,
    }).pipe(
      Effect.ensuring(Effect.sync(() => {
        isRecovering = false;
      })),
    ));
  };
  const timer = setInterval(recover, orderDeadlineMs * RECOVERY_PART);

  const sendClaimed = (intent: DutyRecords.OrderIntent): Effect.Effect<string, OrderError> => {
    const { fence, orderId } = intent;
    return appendRecord(DutyRecords.DUTY_KINDS.intent, intent).pipe(
      Effect.mapError(() => new OrderError({ orderId, reason: 'not-read-back' })),
      Effect.filterOrFail(
        () => state.open[orderId] !== undefined,
        () => new OrderError({ orderId, reason: 'not-holder' }),
      ),
      Effect.zipRight(sendUntilKnown(intent, 1)),
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
    close: Core.mergeCleanups(undoReader, () => clearInterval(timer)),
    listOpenOrders: () => Object.values(state.open),
    sendOrder: (target) => Effect.suspend(() => {
      const orderId = Core.createId();
      const authority = lease.getAuthority();
      if (authority === undefined) {
        return Effect.fail(new OrderError({ orderId, reason: 'not-holder' }));
      }
      if (isBlocked(target)) {
        return Effect.fail(new OrderError({ orderId, reason: 'recovering' }));
      }
      inProgress.add(orderId);
      return sendClaimed({ fence: authority.fence, orderId, target }).pipe(
        Effect.ensuring(Effect.sync(() => inProgress.delete(orderId))),
      );
    }),
  };
}
