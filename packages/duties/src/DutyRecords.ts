/** Bodies of the records in the duties stream: leases, order intents and their outcomes. */
import type * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import * as Schema from 'effect/Schema';

/** Kinds of the duties stream. */
export const DUTY_KINDS = {
  claim: 'lease.claim',
  intent: 'order.intent',
  outcome: 'order.outcome',
  release: 'lease.release',
} as const;

/** Duties that one process at a time carries out. */
export const LeaseName = Schema.Literal('ordering', 'reporting', 'snapshots');
export type LeaseName = typeof LeaseName.Type;

const Duration = Schema.Number.pipe(Schema.nonNegative());

/** Claim or renewal of a lease. */
export const LeaseClaim = Schema.Struct({
  /** Fencing token that a renewal keeps; null when the lease is to change hands. */
  fence: Schema.NullOr(Schema.Int),
  lease: LeaseName,
  orderDeadlineMs: Duration,
  /** Offset of the newest accepted record of the lease; -1 when there is none. */
  replaces: Schema.Int,
  /**
   * True when the writer cannot know the newest accepted record, since it has expired. `replaces`
   * is then the last offset up to which the writer saw every retained record of the lease.
   */
  reset: Schema.Boolean,
  termMs: Duration,
});
export type LeaseClaim = typeof LeaseClaim.Type;

/** End of a lease before its term. */
export const LeaseRelease = Schema.Struct({
  fence: Schema.Int, lease: LeaseName, replaces: Schema.Int,
});
export type LeaseRelease = typeof LeaseRelease.Type;

/** What is ordered from the platform. */
export const ServerOrder = Schema.Struct({
  action: Schema.Literal('start', 'stop'),
  count: Schema.Int.pipe(Schema.positive()),
  dataCentre: Schema.String,
  kind: Schema.Literal('cheap', 'dear'),
  model: Schema.String,
});
export type ServerOrder = typeof ServerOrder.Type;

/** What is ordered from one engine. */
export const EngineOrder = Schema.Struct({
  action: Schema.Literal('load-adapter', 'load-model', 'load-version', 'set-role'),
  /** Name of the model, adapter, version or role. */
  value: Schema.String,
});
export type EngineOrder = typeof EngineOrder.Type;

/** Where an order goes: the ordering interface, or the engine at a base URL. */
export const OrderTarget = Schema.Union(
  Schema.Struct({ order: ServerOrder, to: Schema.Literal('ordering') }),
  Schema.Struct({ engineUrl: Schema.String, order: EngineOrder, to: Schema.Literal('engine') }),
);
export type OrderTarget = typeof OrderTarget.Type;

/** Announces an order before it is sent. */
export const OrderIntent = Schema.Struct({
  fence: Schema.Int, orderId: Schema.String, target: OrderTarget,
});
export type OrderIntent = typeof OrderIntent.Type;

/**
 * How an order ended, as its sender or a later holder knows it. `unknown` closes an order to an
 * engine that could not be asked for its state, for example because it is gone.
 */
export const OrderStatus = Schema.Literal(
  'absent',
  'accepted',
  'not-sent',
  'refused',
  'unknown',
);
export type OrderStatus = typeof OrderStatus.Type;

/** Closes an intent. */
export const OrderOutcome = Schema.Struct({
  fence: Schema.Int, orderId: Schema.String, status: OrderStatus,
});
export type OrderOutcome = typeof OrderOutcome.Type;

/** A claim or a release with its place in the log. */
export type LeaseRecord = {
  readonly offset: number;
  readonly recordId: string;
  readonly writer: Core.Writer;
} & (
  | { readonly kind: 'claim'; readonly body: LeaseClaim }
  | { readonly kind: 'release'; readonly body: LeaseRelease }
);

const isClaim = Schema.is(LeaseClaim);
const isRelease = Schema.is(LeaseRelease);

/** Decodes a record of a lease; undefined for records of other kinds and undecodable ones. */
export function decodeLeaseRecord(
  offset: number,
  {
    body, kind, recordId, writer,
  }: Log.LogRecord,
): LeaseRecord | undefined {
  const common = { offset, recordId, writer };
  if (kind === DUTY_KINDS.claim && isClaim(body)) return { ...common, body, kind: 'claim' };
  if (kind === DUTY_KINDS.release && isRelease(body)) return { ...common, body, kind: 'release' };
  return undefined;
}
