/**
 * Settings of a daemon. The command line also reads them to find the log and the operator
 * interfaces. The file is TOML with keys in snake case.
 */
import * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';

const PositiveInt = Schema.Int.pipe(Schema.positive());
const Url = Schema.String.pipe(Schema.pattern(/^https?:\/\/[^\s/]+$/));
const Port = Schema.Int.pipe(Schema.between(0, 65_535));

/** Address to listen on; port 0 selects a free port. */
export const ListenAddress = Schema.Struct({
  host: Schema.optionalWith(Schema.String, { default: () => '127.0.0.1' }),
  port: Port,
});
export type ListenAddress = typeof ListenAddress.Type;

/** Limits of the interface for callers. */
export const Limits = Schema.Struct({
  bodyBytes: Schema.optionalWith(PositiveInt, { default: () => 4 * 1024 * 1024 }),
  /**
   * Bytes that all connections of callers hold together: heads, bodies and unread answers. At least
   * twice `bodyBytes` applies. The default suits a VM of 210 MB, of which the daemon alone takes
   * about 120.
   */
  heldBytes: Schema.optionalWith(PositiveInt, { default: () => 24 * 1024 * 1024 }),
  headerBytes: Schema.optionalWith(PositiveInt, { default: () => 16 * 1024 }),
  connections: Schema.optionalWith(PositiveInt, { default: () => 20_000 }),
  /** Requests of one connection that may wait for the answer to an earlier one. */
  requestsAhead: Schema.optionalWith(PositiveInt, { default: () => 32 }),
  /** Time without a byte after which an unfinished body is refused, in milliseconds. */
  bodyIdleMs: Schema.optionalWith(PositiveInt, { default: () => 10_000 }),
  queuedRequests: Schema.optionalWith(PositiveInt, { default: () => 10_000 }),
  /** Timeout for receiving a complete request, in milliseconds. */
  requestReadMs: Schema.optionalWith(PositiveInt, { default: () => 30_000 }),
  /** Time without a chunk after which a response stream counts as stalled, in milliseconds. */
  silentStreamMs: Schema.optionalWith(PositiveInt, { default: () => 5_000 }),
  /** Maximum duration of a drain before the process exits, in milliseconds. */
  drainMs: Schema.optionalWith(PositiveInt, { default: () => 600_000 }),
});
export type Limits = typeof Limits.Type;

/** Intervals and timeouts of the coordination between daemons, in milliseconds. */
export const Timing = Schema.Struct({
  heartbeatMs: Schema.optionalWith(PositiveInt, { default: () => 1_000 }),
  /** Time without a message from a peer after which the peer is suspected to have failed. */
  suspectMs: Schema.optionalWith(PositiveInt, { default: () => 4_000 }),
  /**
   * Time without contact with the log, direct or through a peer, after which requests with a key
   * are refused.
   */
  isolationMs: Schema.optionalWith(PositiveInt, { default: () => 10_000 }),
  leaseTermMs: Schema.optionalWith(PositiveInt, { default: () => 6_000 }),
  leaseMarginMs: Schema.optionalWith(PositiveInt, { default: () => 1_000 }),
  orderDeadlineMs: Schema.optionalWith(PositiveInt, { default: () => 2_000 }),
  usageWindowMs: Schema.optionalWith(PositiveInt, { default: () => 60_000 }),
  /** Minimum time between two snapshots of a changing configuration. */
  snapshotMs: Schema.optionalWith(PositiveInt, { default: () => 300_000 }),
  vmListMs: Schema.optionalWith(PositiveInt, { default: () => 1_000 }),
  /**
   * Time between the start of a planned stop, when `/readyz` changes to 503, and the close of the
   * listener. It has to be longer than the load balancer takes to detect the change.
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
  /** Listener for callers. */
  entry: ListenAddress,
  /** Listener for operators: status, request explanations and metrics. */
  operator: ListenAddress,
  /** Listener for other daemons. */
  peer: ListenAddress,
  /** `host:port` at which other daemons reach this one; the address of `peer` by default. */
  peerAddress: Schema.optional(Schema.String.pipe(Schema.pattern(/^\S+:[0-9]+$/))),
  /** Base URLs of the platform's interfaces. */
  platform: Schema.Struct({
    logUrl: Url,
    vmListUrl: Url,
    orderingUrl: Schema.optional(Url),
    usageUrl: Schema.optional(Url),
    weightStoreUrl: Schema.optional(Url),
  }),
  /** Credential of the router for backend servers, read from a file; never a caller's key. */
  backendCredential: Schema.optionalWith(Schema.String, { default: () => 'berylyoke' }),
  /** Static peer addresses as `host:port`; the VM list adds others. */
  peers: Schema.optionalWith(Schema.Array(Schema.String), { default: () => [] }),
  /** URLs of the operator interfaces that the command line queries. */
  operators: Schema.optionalWith(Schema.Array(Url), { default: () => [] }),
  limits: Schema.optionalWith(Limits, { default: () => Limits.make({}) }),
  timing: Schema.optionalWith(Timing, { default: () => Timing.make({}) }),
  trace: Schema.optionalWith(
    Schema.Struct({ otlpUrl: Schema.optional(Schema.String) }),
    { default: () => ({}) },
  ),
});
export type Settings = typeof Settings.Type;
