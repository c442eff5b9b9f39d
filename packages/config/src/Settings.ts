/**
 * Settings of one daemon, which the command line also reads to find the log and the operator
 * interfaces. The file is TOML with keys in snake case.
 */
import * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';

const PositiveInt = Schema.Int.pipe(Schema.positive());
const Url = Schema.String.pipe(Schema.pattern(/^https?:\/\/[^\s/]+$/));
const Port = Schema.Int.pipe(Schema.between(0, 65_535));

/** Address to listen on; port 0 takes a free one. */
export const ListenAddress = Schema.Struct({
  host: Schema.optionalWith(Schema.String, { default: () => '127.0.0.1' }),
  port: Port,
});
export type ListenAddress = typeof ListenAddress.Type;

/** Limits of the interface towards callers. */
export const Limits = Schema.Struct({
  bodyBytes: Schema.optionalWith(PositiveInt, { default: () => 4 * 1024 * 1024 }),
  headerBytes: Schema.optionalWith(PositiveInt, { default: () => 16 * 1024 }),
  connections: Schema.optionalWith(PositiveInt, { default: () => 20_000 }),
  queuedRequests: Schema.optionalWith(PositiveInt, { default: () => 10_000 }),
  /** Time to receive a whole request, in milliseconds. */
  requestReadMs: Schema.optionalWith(PositiveInt, { default: () => 30_000 }),
  /** Time without a chunk after which a stream is taken for silent, in milliseconds. */
  silentStreamMs: Schema.optionalWith(PositiveInt, { default: () => 5_000 }),
  /** Time that a drain may take before the process ends, in milliseconds. */
  drainMs: Schema.optionalWith(PositiveInt, { default: () => 600_000 }),
});
export type Limits = typeof Limits.Type;

/** Intervals and bounds of what daemons do together, in milliseconds. */
export const Timing = Schema.Struct({
  heartbeatMs: Schema.optionalWith(PositiveInt, { default: () => 1_000 }),
  /** A peer that was silent for this long is taken for lost. */
  suspectMs: Schema.optionalWith(PositiveInt, { default: () => 4_000 }),
  /** Without the log and a peer that heard it for this long, keyed requests are refused. */
  isolationMs: Schema.optionalWith(PositiveInt, { default: () => 10_000 }),
  leaseTermMs: Schema.optionalWith(PositiveInt, { default: () => 6_000 }),
  leaseMarginMs: Schema.optionalWith(PositiveInt, { default: () => 1_000 }),
  orderDeadlineMs: Schema.optionalWith(PositiveInt, { default: () => 2_000 }),
  usageWindowMs: Schema.optionalWith(PositiveInt, { default: () => 60_000 }),
  /** Shortest time between two snapshots of a configuration that changes. */
  snapshotMs: Schema.optionalWith(PositiveInt, { default: () => 300_000 }),
  vmListMs: Schema.optionalWith(PositiveInt, { default: () => 1_000 }),
  /**
   * Time between the start of a planned stop, when `/readyz` turns to 503, and the close of the
   * listener: longer than the balancer takes to notice.
   */
  drainNoticeMs: Schema.optionalWith(PositiveInt, { default: () => 5_000 }),
  withdrawnGraceMs: Schema.optionalWith(PositiveInt, { default: () => 2_000 }),
});
export type Timing = typeof Timing.Type;

/** Settings of one daemon. */
export const Settings = Schema.Struct({
  daemonId: Core.DaemonId,
  dataCentre: Core.DataCentre,
  region: Core.Region,
  logLevel: Schema.optionalWith(
    Schema.Literal('debug', 'error', 'info', 'silent', 'warn'),
    { default: () => 'info' as const },
  ),
  /** Towards callers. */
  entry: ListenAddress,
  /** Towards operators: status, explanations, metrics. */
  operator: ListenAddress,
  /** Towards other daemons. */
  peer: ListenAddress,
  /** `host:port` at which other daemons reach this one; by default that of `peer`. */
  peerAddress: Schema.optional(Schema.String.pipe(Schema.pattern(/^\S+:[0-9]+$/))),
  /** Base addresses of the platform's interfaces. */
  platform: Schema.Struct({
    logUrl: Url,
    vmListUrl: Url,
    orderingUrl: Schema.optional(Url),
    usageUrl: Schema.optional(Url),
    weightStoreUrl: Schema.optional(Url),
  }),
  /** Router's own credential towards backend servers; a file's content, never a caller's key. */
  backendCredential: Schema.optionalWith(Schema.String, { default: () => 'berylyoke' }),
  /** Peer addresses known beforehand, as `host:port`; the VM list adds others. */
  peers: Schema.optionalWith(Schema.Array(Schema.String), { default: () => [] }),
  /** Operator addresses that the command line asks, as URLs. */
  operators: Schema.optionalWith(Schema.Array(Url), { default: () => [] }),
  limits: Schema.optionalWith(Limits, { default: () => Limits.make({}) }),
  timing: Schema.optionalWith(Timing, { default: () => Timing.make({}) }),
  trace: Schema.optionalWith(
    Schema.Struct({ otlpUrl: Schema.optional(Schema.String) }),
    { default: () => ({}) },
  ),
});
export type Settings = typeof Settings.Type;
