/**
 * Schemas of the log lines of routing daemons, by event. Collectors may prefix the JSON object of a
 * line with other text. docs/OPERATIONS.md describes how to respond to each event.
 */
import * as Either from 'effect/Either';
import * as ParseResult from 'effect/ParseResult';
import * as Schema from 'effect/Schema';

const Count = Schema.Number.pipe(Schema.int(), Schema.nonNegative());

/** Fields that every line has. */
const COMMON_FIELDS = {
  daemon: Schema.String,
  level: Schema.Number,
  msg: Schema.String,
  part: Schema.optional(Schema.Literal('duties', 'routing')),
  /** Wall-clock time of the daemon, in Unix milliseconds. */
  time: Schema.Number,
};

const ServerChoice = Schema.Struct({
  candidates: Count,
  costMs: Schema.Number,
  /** Request limit of the server as known when it was chosen, in requests per second. */
  limitPerS: Schema.optional(Schema.Number),
});

/** How the response of the last server was delimited and ended. */
const ResponseEnd = Schema.Struct({
  framing: Schema.Literal('chunks', 'connection', 'length'),
  /** Bytes after the last complete event of a stream that ended. */
  partialEventBytes: Schema.optional(Count),
});

const AttemptFailed = Schema.Struct({
  ...COMMON_FIELDS,
  choice: Schema.optional(ServerChoice),
  elapsedMs: Schema.Number,
  end: Schema.Literal('broken', 'failed', 'misdirected', 'not-run', 'not-sent', 'silent'),
  /** What repeats of the request share; stated when the attempt is broken. */
  fingerprint: Schema.optional(Schema.String),
  lastEventId: Schema.optional(Schema.Union(Schema.Number, Schema.String)),
  /** Parts of the prompt that other requests may share, in order. */
  promptParts: Schema.optional(Schema.Array(Schema.String)),
  reason: Schema.String,
  requestId: Schema.String,
  responseEnd: Schema.optional(ResponseEnd),
  sends: Count,
  server: Schema.String,
  service: Schema.String,
  suppressed: Count,
  /** Software version of the server by its entry. */
  version: Schema.optional(Schema.String),
});

/** Admission of the first attempt at an engine whose load by all daemons was known. */
const Admission = Schema.Struct({
  /** Longest predicted wait with which the request is sent; absent if there is no limit. */
  allowanceMs: Schema.optional(Schema.Number),
  /** Age of the known load. */
  loadAgeMs: Schema.Number,
  /** Wait at the best server as predicted for the last decision. */
  predictedWaitMs: Schema.Number,
  /** Why the request was sent or refused, or `waiting` if it ended before that. */
  reason: Schema.Literal(
    'allowed',
    'floor',
    'infeasible',
    'most-urgent',
    'not-applicable',
    'overloaded',
    'stopping',
    'too-many-waiting',
    'waiting',
  ),
  /** Time for which the request waited in the daemon. */
  waitedMs: Schema.Number,
});

const RequestEnded = Schema.Struct({
  ...COMMON_FIELDS,
  account: Schema.optional(Schema.String),
  admission: Schema.optional(Admission),
  /** Part of the prompt because of which the request was not sent. */
  blockedPart: Schema.optional(Schema.String),
  choice: Schema.optional(ServerChoice),
  configVersion: Schema.optional(Schema.Number),
  elapsedMs: Schema.Number,
  /** What repeats of the request share; stated when it was not sent because of that. */
  fingerprint: Schema.optional(Schema.String),
  firstMs: Schema.optional(Schema.Number),
  /** Time since the key list was last confirmed to be current; -1 when it never was. */
  keyProofAgeMs: Schema.Number,
  lastEventId: Schema.optional(Schema.Union(Schema.Number, Schema.String)),
  limitMs: Schema.optional(Schema.Number),
  mayHaveRun: Schema.Boolean,
  outcome: Schema.String,
  requestId: Schema.String,
  responseEnd: Schema.optional(ResponseEnd),
  /** Request that brought the first event of the stream that the caller resumes. */
  resumedRequestId: Schema.optional(Schema.String),
  route: Schema.optional(Schema.String),
  sends: Count,
  /** Time from the receipt of the request to its last attempt. */
  sentMs: Schema.optional(Schema.Number),
  server: Schema.optional(Schema.String),
  service: Schema.optional(Schema.String),
  status: Schema.optional(Schema.Number),
  suppressed: Count,
  /** Software version that began the stream. */
  version: Schema.optional(Schema.String),
});

const FailureWithDetail = Schema.Struct({ ...COMMON_FIELDS, detail: Schema.String });
const DEPENDENCY_FIELDS = {
  ...COMMON_FIELDS, dependency: Schema.Literal('configuration', 'crash reports', 'servers'),
};

/** What is known of the sealed windows. */
const SEALED_FIELDS = { sealedWindows: Schema.Array(Count), sealFrom: Count } as const;

/** Gap in the duties log, with positions as `GENERATION:OFFSET`. */
const LOG_GAP_FIELDS = {
  ...COMMON_FIELDS, ...SEALED_FIELDS, first: Schema.String, previousEnd: Schema.String,
} as const;

/** Fields of a line about what a server announced in the response to a request. */
const SERVER_NOTICE_FIELDS = {
  ...COMMON_FIELDS, requestId: Schema.String, server: Schema.String, service: Schema.String,
};

/** Servers of one kind in a data centre, in a line about a change of the planned orders. */
const PlannedKind = Schema.Struct({
  count: Count,
  /** Whether the platform had none to give when it was last asked. */
  hadNone: Schema.Boolean,
  leaving: Count,
  ready: Count,
  starting: Count,
});

/** Schemas by event; the event is the log message without the prefix of its component. */
export const EVENT_SCHEMAS = {
  'append failed': Schema.Struct({
    ...COMMON_FIELDS, detail: Schema.String, kind: Schema.String,
  }),
  'attempt failed': AttemptFailed,
  'base version chosen': Schema.Struct({
    ...COMMON_FIELDS,
    detail: Schema.optional(Schema.String),
    isWritten: Schema.Boolean,
    previous: Schema.optional(Schema.String),
    service: Schema.String,
    version: Schema.String,
  }),
  'base version in force': Schema.Struct({
    ...COMMON_FIELDS,
    previous: Schema.optional(Schema.String),
    service: Schema.String,
    version: Schema.String,
  }),
  'beginnings of streams not recorded': Schema.Struct({
    ...COMMON_FIELDS, detail: Schema.String, records: Count,
  }),
  'capacity planned': Schema.Struct({
    ...COMMON_FIELDS,
    /** Servers by data centre and kind; `count` is the number that the plan calls for. */
    dataCentres: Schema.Record({
      key: Schema.String,
      value: Schema.Struct({ lasting: PlannedKind, reclaimable: PlannedKind }),
    }),
    /** Demand of the newest usage window with counts; absent if it is not known. */
    demand: Schema.optional(Schema.Struct({
      requests: Schema.optional(Schema.Number), tokensPerSecond: Schema.Number,
    })),
    /** Time since the end of that window. */
    demandAgeMs: Schema.optional(Schema.Number),
    fence: Schema.optional(Count),
    missingServers: Count,
    neededServers: Schema.optional(Count),
    replacementServers: Count,
    service: Schema.String,
  }),
  'configuration in force': Schema.Struct({
    ...COMMON_FIELDS,
    accounts: Schema.optional(Count),
    routes: Count,
    version: Schema.Number,
  }),
  'crashes not reported': Schema.Struct({
    ...COMMON_FIELDS, detail: Schema.String, parts: Count,
  }),
  'configuration is read from an older copy': Schema.Struct({
    ...COMMON_FIELDS,
    evacuations: Count,
    next: Schema.String,
    previousNext: Schema.String,
    version: Schema.optional(Count),
  }),
  'dependency lost': Schema.Struct({ ...DEPENDENCY_FIELDS, detail: Schema.String }),
  'dependency regained': Schema.Struct(DEPENDENCY_FIELDS),
  'duties log is from an older copy': Schema.Struct(LOG_GAP_FIELDS),
  'duties log not read': FailureWithDetail,
  'duties lost': Schema.Struct({
    ...COMMON_FIELDS, fence: Schema.optional(Count), reason: Schema.String,
  }),
  'evacuated data centres changed': Schema.Struct({
    ...COMMON_FIELDS,
    dataCentres: Schema.Array(Schema.String),
    previous: Schema.Array(Schema.String),
  }),
  'health of a server changed': Schema.Struct({
    ...COMMON_FIELDS, reason: Schema.Unknown, server: Schema.String, service: Schema.String,
  }),
  'holder of the duties changed': Schema.Struct({
    ...COMMON_FIELDS,
    fence: Schema.optional(Count),
    holder: Schema.optional(Schema.String),
    offset: Count,
  }),
  'misbehaving client ended': Schema.Struct({
    ...COMMON_FIELDS,
    /** Connections of the listener and the bytes that they hold together. */
    connections: Count,
    heldBytes: Count,
    listener: Schema.Literal('entry', 'metrics', 'peers', 'readiness'),
    reason: Schema.String,
    suppressed: Count,
  }),
  'program loaded': Schema.Struct({
    ...COMMON_FIELDS, codeCache: Schema.Literal('not used', 'used'),
  }),
  'prompt part blocked': Schema.Struct({
    ...COMMON_FIELDS,
    promptPart: Schema.String,
    /** Names of the incarnations that ended under requests with the part. */
    servers: Schema.Array(Schema.String),
  }),
  'prompt part no longer blocked': Schema.Struct({
    ...COMMON_FIELDS, promptPart: Schema.String,
  }),
  'relay not usable': Schema.Struct({
    ...COMMON_FIELDS, detail: Schema.String, feed: Schema.String, relay: Schema.String,
  }),
  'relay took no usage counts': Schema.Struct({
    ...COMMON_FIELDS, detail: Schema.String, relay: Schema.String,
  }),
  'records of the duties log were deleted before they were read': Schema.Struct(LOG_GAP_FIELDS),
  'relays changed': Schema.Struct({
    ...COMMON_FIELDS,
    offset: Count,
    relays: Schema.Record({ key: Schema.String, value: Schema.Array(Schema.String) }),
  }),
  'request blocked': Schema.Struct({
    ...COMMON_FIELDS,
    fingerprint: Schema.String,
    /** Names of the incarnations that ended under the request. */
    servers: Schema.Array(Schema.String),
  }),
  'request ended': RequestEnded,
  'request no longer blocked': Schema.Struct({ ...COMMON_FIELDS, fingerprint: Schema.String }),
  'request limit of a server changed': Schema.Struct({
    ...SERVER_NOTICE_FIELDS,
    previousPerS: Schema.optional(Schema.Number),
    /** Requests per second that the server takes from all daemons; absent if it has no limit. */
    requestsPerS: Schema.optional(Schema.Number),
    suppressed: Count,
  }),
  'request limit of a server not understood': Schema.Struct({
    ...SERVER_NOTICE_FIELDS, suppressed: Count, text: Schema.String,
  }),
  'freshness of the load of the fleet changed': Schema.Struct({
    ...COMMON_FIELDS,
    /** Age of the newest sum; absent if there is none. */
    ageMs: Schema.optional(Schema.Number),
    isFresh: Schema.Boolean,
    /** Daemons whose reports this daemon has. */
    reporters: Count,
    scope: Schema.Literal('daemon', 'relay', 'root'),
  }),
  'request limits of servers reported by another daemon': Schema.Struct({
    ...COMMON_FIELDS,
    changes: Schema.Array(Schema.Struct({
      previousPerS: Schema.optional(Schema.Number),
      requestsPerS: Schema.optional(Schema.Number),
      /** Name of the incarnation. */
      server: Schema.String,
    })),
  }),
  'sealed windows are known after a gap': Schema.Struct({
    ...COMMON_FIELDS, ...SEALED_FIELDS, offset: Count,
  }),
  'sealing usage window': Schema.Struct({
    ...COMMON_FIELDS,
    counts: Schema.Record({ key: Schema.String, value: Count }),
    /** Daemons that handed over counts and listen for other daemons. */
    daemons: Count,
    fence: Schema.optional(Count),
    window: Count,
  }),
  'server entry': Schema.Struct({
    ...COMMON_FIELDS,
    id: Schema.String,
    service: Schema.optional(Schema.String),
    state: Schema.String,
  }),
  'server is silent': Schema.Struct({
    ...COMMON_FIELDS,
    inFlight: Count,
    server: Schema.String,
    service: Schema.String,
    silentMs: Count,
  }),
  'server wants no requests': Schema.Struct({
    ...SERVER_NOTICE_FIELDS,
    isLeaving: Schema.Boolean,
    pauseMs: Schema.optional(Schema.Number),
  }),
  'servers ordered': Schema.Struct({
    ...COMMON_FIELDS,
    answer: Schema.String,
    count: Count,
    dataCentre: Schema.String,
    fence: Count,
    isReclaimable: Schema.Boolean,
    service: Schema.String,
  }),
  'settings checked; addresses take effect at the next start': Schema.Struct(COMMON_FIELDS),
  'settings not reloaded': Schema.Struct({ ...COMMON_FIELDS, problems: Schema.Unknown }),
  started: Schema.Struct({
    ...COMMON_FIELDS, dataCentre: Schema.String, listen: Schema.Unknown,
  }),
  'step of the duties failed': Schema.Struct({ ...COMMON_FIELDS, error: Schema.String }),
  stopped: Schema.Struct({ ...COMMON_FIELDS, activeRequests: Count }),
  stopping: Schema.Struct({ ...COMMON_FIELDS, activeRequests: Count }),
  'unexpected error': Schema.Struct({
    ...COMMON_FIELDS,
    error: Schema.String,
    isFatal: Schema.Boolean,
    requestId: Schema.optional(Schema.String),
  }),
  'store returned from an older copy': Schema.Struct({
    ...COMMON_FIELDS, generation: Count, previous: Count,
  }),
  'usage counts are handed over again': Schema.Struct({ ...COMMON_FIELDS, countsFrom: Count }),
  'usage counts not handed over': FailureWithDetail,
  'usage counts not read': FailureWithDetail,
  'usage reported': Schema.Struct({
    ...COMMON_FIELDS,
    answer: Schema.String,
    counts: Schema.Record({ key: Schema.String, value: Count }),
    fence: Count,
    window: Count,
  }),
} as const;

/** Event name of a line. */
export type LogEvent = keyof typeof EVENT_SCHEMAS;

type DecodedLine<E extends LogEvent> = { readonly event: E } & typeof EVENT_SCHEMAS[E]['Type'];

/** Decoded line of any event, discriminated by `event`. */
export type LogLine = { readonly [E in LogEvent]: DecodedLine<E> }[LogEvent];

/** Decoded line of the given event. */
export type EventLine<E extends LogEvent> = Extract<LogLine, { readonly event: E }>;

const decodeMessageObject = Schema.decodeUnknownEither(
  Schema.parseJson(Schema.Struct({ msg: Schema.String })),
);

function isLogEvent(text: string): text is LogEvent {
  return Object.hasOwn(EVENT_SCHEMAS, text);
}

/** Decodes a line; the left side describes how the line violates the schema. */
export function decodeLogLine(text: string): Either.Either<LogLine, string> {
  const start = text.indexOf('{');
  if (start < 0) return Either.left('no JSON object');
  const json = text.slice(start);
  const decoded = decodeMessageObject(json);
  if (Either.isLeft(decoded)) return Either.left('no JSON object with a string field msg');
  const event = decoded.right.msg.replace(/^[a-z]+: /, '');
  if (!isLogEvent(event)) return Either.left(`unknown event "${event}"`);
  const schema: Schema.Schema<LogLine, unknown> = EVENT_SCHEMAS[event] as never;
  return Schema.decodeUnknownEither(schema, { onExcessProperty: 'error' })(JSON.parse(json)).pipe(
    Either.mapBoth({
      onLeft: (error) => ParseResult.ArrayFormatter.formatErrorSync(error)
        .map(({ message, path }) => `${event}: ${path.join('.')}: ${message}`)
        .join('; '),
      onRight: (line) => ({ ...line, event }) as LogLine,
    }),
  );
}
