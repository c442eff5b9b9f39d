/**
 * Open orders as a fold over the duties stream: an intent opens an order, an outcome closes it. An
 * intent counts only under the fencing token that is in force at its place in the log, so a holder
 * that was replaced before its intent landed opens nothing, and sends nothing.
 */
import type * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import * as Schema from 'effect/Schema';
import * as DutyRecords from './DutyRecords.js';
import * as Lease from './Lease.js';

/** An order whose outcome is not in the log yet. */
export interface OpenOrder extends DutyRecords.OrderIntent {
  readonly offset: number;
  readonly writer: Core.Writer;
}

/** Open orders by id, with the ordering lease at the same place of the log. */
export interface OrdersState {
  readonly lease: Lease.LeaseState;
  readonly open: Readonly<Record<string, OpenOrder>>;
}

/** State before the first record of the stream. */
export const INITIAL_ORDERS_STATE: OrdersState = { lease: Lease.INITIAL_LEASE_STATE, open: {} };

const isIntent = Schema.is(DutyRecords.OrderIntent);
const isOutcome = Schema.is(DutyRecords.OrderOutcome);

/** Applies one record, in log order. */
export function applyOrderRecord(
  state: OrdersState,
  offset: number,
  record: Log.LogRecord,
): OrdersState {
  const { lease, open } = state;
  const { body, kind, writer } = record;
  const leaseRecord = DutyRecords.decodeLeaseRecord(offset, record);
  if (leaseRecord !== undefined) {
    return leaseRecord.body.lease === 'ordering'
      ? { lease: Lease.applyLeaseRecord(lease, leaseRecord), open }
      : state;
  }
  if (kind === DutyRecords.DUTY_KINDS.intent && isIntent(body)) {
    const isInForce = !lease.known || body.fence === lease.fence;
    return isInForce && open[body.orderId] === undefined
      ? { lease, open: { ...open, [body.orderId]: { ...body, offset, writer } } }
      : state;
  }
  if (kind !== DutyRecords.DUTY_KINDS.outcome || !isOutcome(body)) return state;
  const others = Object.entries(open).filter(([id]) => id !== body.orderId);
  return { lease, open: Object.fromEntries(others) };
}

/** Applies a gap. Open orders stay: their outcome is read from the platform. */
export function applyOrdersGap({ lease, open }: OrdersState, first: number): OrdersState {
  return { lease: Lease.applyLeaseGap(lease, first), open };
}
