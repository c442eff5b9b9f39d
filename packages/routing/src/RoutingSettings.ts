/**
 * Settings of a routing daemon. Keys are snake case in the file. Every bound comes from the
 * deployment; the daemon's own margins are constants beside the code that uses them.
 */
import * as Schema from 'effect/Schema';

const Positive = Schema.Number.pipe(Schema.positive());
const NonNegative = Schema.Number.pipe(Schema.nonNegative());
/** An event holds a few tokens or one tool call; a megabyte is far beyond either. */
const DEFAULT_MAX_EVENT_BYTES = 1_048_576;

/** Plain answers are held until they are whole, so each one takes its size of memory. */
const DEFAULT_MAX_PLAIN_BYTES = 8_388_608;

/** A fifth of the smallest VM that is served, 250 MB. */
const DEFAULT_MAX_HELD_BYTES = 50_000_000;

/** `IP:PORT`. */
const Address = Schema.String.pipe(Schema.pattern(/^[\d.]+:\d+$/));

/** Settings of a routing daemon. */
export const RoutingSettings = Schema.Struct({
  daemonId: Schema.NonEmptyString,
  dataCentre: Schema.NonEmptyString,
  /** Region of each data centre; the small ones of a region share relays. */
  regions: Schema.optionalWith(
    Schema.Record({ key: Schema.String, value: Schema.String }),
    { default: () => ({}) },
  ),
  logLevel: Schema.optionalWith(
    Schema.Literal('debug', 'error', 'info', 'warn'),
    { default: () => 'info' as const },
  ),
  listen: Schema.Struct({
    /** Where callers connect. */
    entry: Address,
    /** Where the load balancer asks whether the daemon is ready. */
    readiness: Address,
    metrics: Schema.optional(Address),
    /** Where other daemons call; without it the daemon reads everything from the store. */
    peers: Schema.optional(Address),
  }),
  /** Size of the VM; large ones read the store for the others. */
  vm: Schema.optionalWith(Schema.Struct({
    /** Share of each core that the daemon may use. */
    cpuShare: Positive,
    cores: Positive,
  }), { default: () => ({ cores: 1, cpuShare: 1 }) }),
  bounds: Schema.Struct({
    /** Time from the withdrawal of a key to its last use. */
    keyWithdrawalMs: Positive,
    /** Time from the announcement that a server leaves to its last new request. */
    drainMs: Positive,
    /** Time between SIGTERM and SIGKILL. */
    graceS: Positive,
    leaseMs: Positive,
    usageWindowS: Positive,
    /** Time from the end of a window to its report. */
    usageDueS: Schema.optionalWith(Positive, { default: () => 10 }),
    /** Allowed error of the figures of a window, as a share. */
    usageErrorShare: Schema.optionalWith(NonNegative, { default: () => 0.05 }),
  }),
  /** What an answer of a backend server may hold; a server in trouble may send without end. */
  answers: Schema.optionalWith(Schema.Struct({
    /** Bytes of one event of a stream. */
    maxEventBytes: Schema.optionalWith(Positive, { default: () => DEFAULT_MAX_EVENT_BYTES }),
    /** Bytes of one answer that is no stream. */
    maxPlainBytes: Schema.optionalWith(Positive, { default: () => DEFAULT_MAX_PLAIN_BYTES }),
    /** Bytes of all answers that are held until they are whole. */
    maxHeldBytes: Schema.optionalWith(Positive, { default: () => DEFAULT_MAX_HELD_BYTES }),
  }), {
    default: () => ({
      maxEventBytes: DEFAULT_MAX_EVENT_BYTES,
      maxHeldBytes: DEFAULT_MAX_HELD_BYTES,
      maxPlainBytes: DEFAULT_MAX_PLAIN_BYTES,
    }),
  }),
  repeats: Schema.Struct({
    /** Repeats at a service as a share of its requests, over all daemons. */
    share: NonNegative,
    /** Repeats beyond that share in one window, over all daemons. */
    slack: NonNegative,
  }),
});

/** Settings of a routing daemon. */
export type RoutingSettings = typeof RoutingSettings.Type;
