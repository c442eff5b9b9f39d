/**
 * Open orders, computed from the records of the duties stream: an intent opens an order, an outcome
 * closes it. An intent is accepted only if it has the fencing token that is current at its offset.
 * A holder that was replaced before its intent was appended therefore opens and sends no order.
 */
import type * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import * as Schema from 'effect/Schema';
import * as DutyRecords from './DutyRecords.js';
import * as Lease from './Lease.js';

/** An order without an outcome in the log. */
export interface OpenOrder extends DutyRecords.OrderIntent {
  readonly offset: number;
  readonly writer: Core.Writer;
}

/** Open orders by id, with the state of the ordering lease at the same offset. */
export interface OrdersState {
  readonly lease: Lease.LeaseState;
  readonly openOrders: Readonly<Record<string, OpenOrder>>;
}

/** State before the first record of the stream. */
export const INITIAL_ORDERS_STATE: OrdersState = {
  lease: Lease.INITIAL_LEASE_STATE, openOrders: {},
};

const isIntent = Schema.is(DutyRecords.OrderIntent);
const isOutcome = Schema.is(DutyRecords.OrderOutcome);

/** Applies one record. Records have to be applied in log order. */
export function applyOrderRecord(
  state: OrdersState,
  offset: number,
  record: Log.LogRecord,
): OrdersState {
  const { lease, openOrders } = state;
  const { body, kind, writer } = record;
  const leaseRecord = DutyRecords.decodeLeaseRecord(offset, record);
  if (leaseRecord !== undefined) {
    return leaseRecord.body.lease === 'ordering'
      ? { lease: Lease.applyLeaseRecord(lease, leaseRecord), openOrders }
      : state;
  }
  if (kind === DutyRecords.DUTY_KINDS.intent && isIntent(body)) {
    const isCurrentFence = !lease.known || body.fence === lease.fence;
    return isCurrentFence && openOrders[body.orderId] === undefined
      ? { lease, openOrders: { ...openOrders, [body.orderId]: { ...body, offset, writer } } }
      : state;
  }
  if (kind !== DutyRecords.DUTY_KINDS.outcome || !isOutcome(body)) return state;
  const remainingOrders = Object.entries(openOrders).filter(([id]) => id !== body.orderId);
  return { lease, openOrders: Object.fromEntries(remainingOrders) };
}

/** Applies a gap in the log. Open orders stay, as the platform still knows their outcome. */
export function applyOrdersGap({ lease, openOrders }: OrdersState, first: number): OrdersState {
  return { lease: Lease.applyLeaseGap(lease, first), openOrders };
}
