/**
 * Settings of a routing daemon. The keys are in snake case in the settings file. All bounds are set
 * by the deployment; the daemon's own safety margins are constants in the modules that use them.
 */
import * as Schema from 'effect/Schema';

const Positive = Schema.Number.pipe(Schema.positive());
const NonNegative = Schema.Number.pipe(Schema.nonNegative());
/** Far above the usual size of an event, which holds a few tokens or one tool call. */
const DEFAULT_MAX_EVENT_BYTES = 1_048_576;

/** Bounded because a plain answer is buffered in memory until it is complete. */
const DEFAULT_MAX_PLAIN_BYTES = 8_388_608;

/** With buffers that grow by doubling and the program itself, less than 128 MB. */
const DEFAULT_MAX_HELD_BYTES = 16_777_216;

/** Clients that pipeline at all send a few requests ahead. */
const DEFAULT_REQUESTS_AHEAD = 32;

/** Longer than the time for which a connection that recovers from losses is silent. */
const DEFAULT_BODY_IDLE_MS = 10_000;

/** `IP:PORT`. */
const Address = Schema.String.pipe(Schema.pattern(/^[\d.]+:\d+$/));

/** Schema of the settings of a routing daemon. */
export const RoutingSettings = Schema.Struct({
  daemonId: Schema.NonEmptyString,
  dataCentre: Schema.NonEmptyString,
  /** Region of each data centre; the small data centres of a region share relays. */
  regions: Schema.optionalWith(
    Schema.Record({ key: Schema.String, value: Schema.String }),
    { default: () => ({}) },
  ),
  logLevel: Schema.optionalWith(
    Schema.Literal('debug', 'error', 'info', 'warn'),
    { default: () => 'info' as const },
  ),
  listen: Schema.Struct({
    /** Address for the requests of callers. */
    entry: Address,
    /** Address for the readiness checks of the load balancer. */
    readiness: Address,
    /** Address for reads of the metrics. */
    metrics: Schema.optional(Address),
    /** Address for calls of other daemons; a daemon without it cannot be a relay. */
    peers: Schema.optional(Address),
  }),
  /** Size of the VM; daemons on large VMs are preferred as relays. */
  vm: Schema.optionalWith(Schema.Struct({
    /** Share of each core that the daemon may use. */
    cpuShare: Positive,
    cores: Positive,
    /** Memory of the VM in MB. */
    memoryMb: Schema.optional(Positive),
    /** Limit of open descriptors of the process. */
    maxDescriptors: Schema.optional(Positive),
  }), { default: () => ({ cores: 1, cpuShare: 1 }) }),
  /** Limits of all callers together; none is reached by clients within the operator's limits. */
  callers: Schema.optionalWith(Schema.Struct({
    /** Connections of callers; derived from the descriptors of the VM by default. */
    maxConnections: Schema.optional(Positive),
    /** Bytes that they hold together; derived from the memory of the VM by default. */
    maxHeldBytes: Schema.optional(Positive),
    /** Requests of one connection that may wait for the answer to an earlier one. */
    maxRequestsAhead: Schema.optionalWith(Positive, { default: () => DEFAULT_REQUESTS_AHEAD }),
    /** Time without a byte after which an incomplete body is refused, in milliseconds. */
    bodyIdleMs: Schema.optionalWith(Positive, { default: () => DEFAULT_BODY_IDLE_MS }),
  }), {
    default: () => ({
      bodyIdleMs: DEFAULT_BODY_IDLE_MS, maxRequestsAhead: DEFAULT_REQUESTS_AHEAD,
    }),
  }),
  bounds: Schema.Struct({
    /** Maximum time from the withdrawal of a key to its last use. */
    keyWithdrawalMs: Positive,
    /** Maximum time from the announcement that a server leaves to its last new request. */
    drainMs: Positive,
    /** Time between SIGTERM and SIGKILL. */
    graceS: Positive,
    /** Time within which two daemons may not alternate as the holder of the duties. */
    leaseMs: Positive,
    usageWindowS: Positive,
    /** Maximum time from the end of a usage window to its report. */
    usageDueS: Schema.optionalWith(Positive, { default: () => 10 }),
    /** Allowed error of the reported counts of a window, as a share. */
    usageErrorShare: Schema.optionalWith(NonNegative, { default: () => 0.05 }),
  }),
  /** Size limits of answers, because a faulty backend server may send data without end. */
  answers: Schema.optionalWith(Schema.Struct({
    /** Size of one event of a stream, in bytes. */
    maxEventBytes: Schema.optionalWith(Positive, { default: () => DEFAULT_MAX_EVENT_BYTES }),
    /** Size of one answer that is not a stream, in bytes. */
    maxPlainBytes: Schema.optionalWith(Positive, { default: () => DEFAULT_MAX_PLAIN_BYTES }),
    /** Size of all that is held of answers together, in bytes. */
    maxHeldBytes: Schema.optionalWith(Positive, { default: () => DEFAULT_MAX_HELD_BYTES }),
  }), {
    default: () => ({
      maxEventBytes: DEFAULT_MAX_EVENT_BYTES,
      maxHeldBytes: DEFAULT_MAX_HELD_BYTES,
      maxPlainBytes: DEFAULT_MAX_PLAIN_BYTES,
    }),
  }),
  /** Budget for repeated requests. */
  repeats: Schema.Struct({
    /** Repeats at a service as a share of its requests, over all daemons. */
    share: NonNegative,
    /** Repeats beyond that share in one window, over all daemons. */
    slack: NonNegative,
  }),
});

/** Settings of a routing daemon. */
export type RoutingSettings = typeof RoutingSettings.Type;
