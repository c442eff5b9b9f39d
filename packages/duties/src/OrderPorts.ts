/** Interfaces through which orders reach the platform and the engines, with their failures. */
import type * as Core from '@berylyoke/core';
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type * as DutyRecords from './DutyRecords.js';

/** An order was not answered. It may have taken effect unless `sent` is false. */
export class OrderPortError extends Data.TaggedError('OrderPortError')<{
  readonly orderId: string;
  readonly sent: boolean;
  readonly reason: 'authority' | 'connection' | 'invalid-answer' | 'lapsed' | 'timeout';
}> {
  get message(): string {
    return `order ${this.orderId} was not answered: ${this.reason}`;
  }
}

/** Checks of the sender's authority around the write of an order. */
export interface SendGuard {
  /** Called in the event-loop turn of the write; false prevents it. */
  readonly canSend: () => boolean;
  /** Called after the write; false breaks the connection. */
  readonly isStillHeld: () => boolean;
}

/** Answer to an order. */
export type OrderAnswer = { readonly status: 'accepted' } | {
  readonly status: 'refused';
  readonly detail: string;
};

/** An order on its way, whatever its target. */
export interface FencedOrder<Order> {
  readonly orderId: string;
  readonly fence: number;
  readonly order: Order;
  readonly sender: Core.Writer;
  /** Time in which the order is answered or its connection is broken. */
  readonly deadlineMs: Core.Millis;
}

/** A backend server as the ordering interface lists it. */
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
