/** Record bodies of the duties stream: lease claims and releases, order intents and outcomes. */
import type * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import * as Schema from 'effect/Schema';

/** Record kinds of the duties stream. */
export const DUTY_KINDS = {
  claim: 'lease.claim',
  intent: 'order.intent',
  outcome: 'order.outcome',
  release: 'lease.release',
} as const;

/** Duties that at most one process at a time carries out, each guarded by a lease. */
export const LeaseName = Schema.Literal('ordering', 'reporting', 'snapshots');
export type LeaseName = typeof LeaseName.Type;

const Duration = Schema.Number.pipe(Schema.nonNegative());

/** Claim or renewal of a lease. Durations are milliseconds. */
export const LeaseClaim = Schema.Struct({
  /** Current fencing token in a renewal; null in a claim by a new holder. */
  fence: Schema.NullOr(Schema.Int),
  lease: LeaseName,
  orderDeadlineMs: Duration,
  /** Offset of the newest accepted record of the lease; -1 when there is none. */
  replaces: Schema.Int,
  /**
   * True when the writer cannot know the newest accepted record because it is no longer retained.
   * `replaces` is then the offset up to which the writer has read every retained record of the
   * lease.
   */
  reset: Schema.Boolean,
  termMs: Duration,
});
export type LeaseClaim = typeof LeaseClaim.Type;

/** Ends a lease before its term has passed. */
export const LeaseRelease = Schema.Struct({
  fence: Schema.Int, lease: LeaseName, replaces: Schema.Int,
});
export type LeaseRelease = typeof LeaseRelease.Type;

/** Order to the platform to start or stop backend servers. */
export const ServerOrder = Schema.Struct({
  action: Schema.Literal('start', 'stop'),
  count: Schema.Int.pipe(Schema.positive()),
  dataCentre: Schema.String,
  kind: Schema.Literal('cheap', 'dear'),
  model: Schema.String,
});
export type ServerOrder = typeof ServerOrder.Type;

/** Order to one engine to load something or to change its role. */
export const EngineOrder = Schema.Struct({
  action: Schema.Literal('load-adapter', 'load-model', 'load-version', 'set-role'),
  /** Name of the model, adapter, version or role. */
  value: Schema.String,
});
export type EngineOrder = typeof EngineOrder.Type;

/** Receiver of an order: the ordering interface, or the engine at a base URL. */
export const OrderTarget = Schema.Union(
  Schema.Struct({ order: ServerOrder, to: Schema.Literal('ordering') }),
  Schema.Struct({ engineUrl: Schema.String, order: EngineOrder, to: Schema.Literal('engine') }),
);
export type OrderTarget = typeof OrderTarget.Type;

/** Records an order in the log before it is sent. */
export const OrderIntent = Schema.Struct({
  fence: Schema.Int, orderId: Schema.String, target: OrderTarget,
});
export type OrderIntent = typeof OrderIntent.Type;

/**
 * Outcome of an order as determined by its sender or by a later holder. `unknown` closes an order
 * to an engine whose state could not be read, for example because the engine no longer exists.
 */
export const OrderStatus = Schema.Literal(
  'absent',
  'accepted',
  'not-sent',
  'refused',
  'unknown',
);
export type OrderStatus = typeof OrderStatus.Type;

/** Records the outcome of an order and closes its intent. */
export const OrderOutcome = Schema.Struct({
  fence: Schema.Int, orderId: Schema.String, status: OrderStatus,
});
export type OrderOutcome = typeof OrderOutcome.Type;

/** A claim or a release with its offset in the log. */
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
