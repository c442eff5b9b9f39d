/** Ports for orders to the platform and to the engines, with their errors. */
import type * as Core from '@berylyoke/core';
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type * as DutyRecords from './DutyRecords.js';

/** An order got no valid answer. It may have taken effect unless `sent` is false. */
export class OrderPortError extends Data.TaggedError('OrderPortError')<{
  readonly orderId: string;
  readonly sent: boolean;
  readonly reason: 'authority' | 'connection' | 'invalid-answer' | 'lapsed' | 'timeout';
}> {
  get message(): string {
    return `order ${this.orderId} was not answered: ${this.reason}`;
  }
}

/** Checks that the sender holds the lease, before and after an order is written. */
export interface SendGuard {
  /** Called in the event-loop turn of the write; if false, nothing is written. */
  readonly canSend: () => boolean;
  /** Called after the write; if false, the connection is reset. */
  readonly isLeaseHeld: () => boolean;
}

/** Answer to an order. */
export type OrderAnswer = { readonly status: 'accepted' } | {
  readonly status: 'refused';
  readonly detail: string;
};

/** An order with its fencing token, as it is sent to either kind of receiver. */
export interface FencedOrder<Order> {
  readonly orderId: string;
  readonly fence: number;
  readonly order: Order;
  readonly sender: Core.Writer;
  /** Time after which the connection is closed if the order is not answered. */
  readonly deadlineMs: Core.Millis;
}

/** A backend server in the list of the ordering interface. */
export const OrderedServer = Schema.Struct({
  dataCentre: Schema.String,
  id: Schema.String,
  kind: Schema.Literal('cheap', 'dear'),
  model: Schema.String,
  state: Schema.String,
});
export type OrderedServer = typeof OrderedServer.Type;

/** Ordering interface of the platform. */
export interface OrderingPort {
  readonly sendOrder: (
    order: FencedOrder<DutyRecords.ServerOrder>,
    guard: SendGuard,
  ) => Effect.Effect<OrderAnswer, OrderPortError>;
  /** Whether the platform has accepted the order. */
  readonly hasOrder: (orderId: string) => Effect.Effect<boolean, OrderPortError>;
  readonly listServers: () => Effect.Effect<readonly OrderedServer[], OrderPortError>;
}

/** Order interface of the engines. */
export interface EngineOrderPort {
  readonly sendOrder: (
    engineUrl: string,
    order: FencedOrder<DutyRecords.EngineOrder>,
    guard: SendGuard,
  ) => Effect.Effect<OrderAnswer, OrderPortError>;
  readonly hasOrder: (
    engineUrl: string,
    orderId: string,
  ) => Effect.Effect<boolean, OrderPortError>;
}
