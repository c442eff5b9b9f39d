/**
 * Explains one request from the log lines of several daemons: its own lines, the probable cause of
 * its outcome, and the state that its daemon had logged by then.
 */
import type * as LogLines from './LogLines.js';

/**
 * Time before the start of a request, in milliseconds, in which a health change of one of its
 * backend servers may explain the outcome.
 */
const HEALTH_LOOKBACK_MS = 10_000;

/** Causes by outcome; `answered` has no entry, as it needs no explanation. */
const CAUSES_BY_OUTCOME: Readonly<Record<string, string>> = {
  body_idle: 'the body of the request stopped before its end',
  body_too_large: 'the body is larger than the configured limit',
  caller_left: 'the caller closed the connection before the response was complete',
  headers_too_large: 'the headers are larger than the configured limit',
  invalid_key: 'no client account in the configuration of the daemon has the key',
  keys_not_current: 'the daemon had read no recent configuration, so the key may be withdrawn',
  no_configuration: 'the daemon had not read any configuration yet',
  no_route: 'no route in the configuration matches the host and path',
  no_server: 'no backend server was listed or accepted requests, or nothing was sent to those '
    + 'that were tried',
  not_run: 'each backend server that was reached reported that it did not run the request',
  origin_unknown: 'the caller resumed a stream, and the daemon could not read which software '
    + 'version had begun it',
  outcome_unknown: 'the connection to the backend server failed after the request was sent',
  overloaded_memory: 'requests held all the memory that the daemon has for them',
  prompt_blocked: 'backend servers crashed under other requests with a part of its prompt, so it '
    + 'was not sent',
  request_blocked: 'backend servers crashed under the same request, so it was not sent',
  server_failed: 'the backend server returned an error',
  stopped: 'the daemon ended before the backend server answered',
  stopping: 'the daemon was shutting down',
  stream_cut: 'the stream was interrupted and could not be resumed on another backend server',
  stream_timed_out: 'the time limit expired while the response was being streamed',
  timed_out: 'the time limit expired after the request was sent to a backend server',
  timed_out_not_run: 'the time limit expired before the request was sent',
};

/** Explanation of a request; `explain --logs --json` prints its fields. */
export interface RequestExplanation {
  readonly requestId: string;
  /** Lines that name the request, in time order. */
  readonly lines: readonly LogLines.LogLine[];
  /** Lines that show the state of the daemon when the request ended, in time order. */
  readonly context: readonly LogLines.LogLine[];
  /** Undefined where no line has the outcome, or where the outcome needs no cause. */
  readonly cause: string | undefined;
}

type EventFormatters = {
  readonly [E in LogLines.LogEvent]?: (line: LogLines.EventLine<E>) => string
};

/** Describes how the response of a server ended; empty unless its end was not marked as such. */
function describeResponseEnd(
  end: LogLines.EventLine<'attempt failed' | 'request ended'>['responseEnd'],
): readonly string[] {
  const { framing, partialEventBytes = 0 } = end ?? {};
  return [
    ...framing === 'connection' ? ['end of the response marked only by the connection'] : [],
    ...partialEventBytes > 0 ? [`${partialEventBytes} bytes after the last complete event`] : [],
  ];
}

const EVENT_FORMATTERS: EventFormatters = {
  'attempt failed': ({
    elapsedMs, end, reason, responseEnd, server, service,
  }) => [
    `attempt at ${server} of ${service} ended after ${elapsedMs} ms: ${end} (${reason})`,
    ...describeResponseEnd(responseEnd),
  ].join(', '),
  'configuration in force': ({ routes, version }) => (
    `configuration ${version} became active with ${routes} routes`
  ),
  'dependency lost': ({ dependency, detail }) => `lost access to the ${dependency}: ${detail}`,
  'dependency regained': ({ dependency }) => `regained access to the ${dependency}`,
  'health of a server changed': ({ reason, server }) => (
    `health of ${server} changed: ${JSON.stringify(reason)}`
  ),
  'request ended': ({
    configVersion, elapsedMs, keyProofAgeMs, limitMs, mayHaveRun, outcome, responseEnd, sends,
    server, status,
  }) => [
    `request ended after ${elapsedMs} ms: ${outcome}`,
    `status ${status ?? 'none'}`,
    `sent ${sends} times`,
    ...server === undefined ? [] : [`server ${server}`],
    ...limitMs === undefined ? [] : [`limit ${limitMs} ms`],
    `configuration ${configVersion ?? 'none'}`,
    `key list last confirmed ${keyProofAgeMs} ms earlier`,
    mayHaveRun ? 'may have run' : 'did not run',
    ...describeResponseEnd(responseEnd),
  ].join(', '),
  'request limit of a server changed': ({ requestsPerS, server }) => (
    requestsPerS === undefined
      ? `${server} no longer limits its requests`
      : `${server} limited its requests to ${requestsPerS} a second from all daemons`
  ),
  'server wants no requests': ({ isLeaving, pauseMs, server }) => (
    isLeaving ? `${server} announced its shutdown` : `${server} paused for ${pauseMs ?? 0} ms`
  ),
  started: () => 'the daemon started',
  stopping: ({ activeRequests }) => `shutdown began with ${activeRequests} active requests`,
};

function formatLine(line: LogLines.LogLine): string {
  const format = EVENT_FORMATTERS[line.event] as ((each: LogLines.LogLine) => string) | undefined;
  return format?.(line) ?? line.event;
}

function getRequestId(line: LogLines.LogLine): string | undefined {
  return 'requestId' in line ? line.requestId : undefined;
}

/** Checks whether a line shows that its server refused some or all requests at a later time. */
function isServerUnavailable(line: LogLines.LogLine, atMs: number): boolean {
  if (line.event === 'request limit of a server changed') return line.requestsPerS !== undefined;
  return line.event === 'server wants no requests'
    && (line.isLeaving || line.time + (line.pauseMs ?? 0) > atMs);
}

/** Which lines show the state of a daemon during a request. */
interface ContextOptions {
  readonly daemon: string;
  /** Servers that the request was sent to. */
  readonly servers: ReadonlySet<string>;
  /** Service whose servers may have been unavailable; undefined if that does not matter. */
  readonly refusingService: string | undefined;
  readonly startMs: number;
  readonly endMs: number;
}

/**
 * Lists the lines that show the state of a daemon at `endMs`, in time order: the newest line of
 * each dependency, of each server in `servers` and of each other state event, and the servers of
 * the refusing service that were limited, paused or shutting down.
 */
function listContextLines(
  lines: readonly LogLines.LogLine[],
  {
    daemon, endMs, refusingService, servers, startMs,
  }: ContextOptions,
): readonly LogLines.LogLine[] {
  const newestLines = new Map<string, LogLines.LogLine>();
  const daemonLines = lines.filter((line) => line.daemon === daemon && line.time <= endMs);
  [...daemonLines].sort((a, b) => a.time - b.time).forEach((line) => {
    if (line.event === 'dependency lost' || line.event === 'dependency regained') {
      newestLines.set(`dependency ${line.dependency}`, line);
    } else if (line.event === 'health of a server changed') {
      const isRecent = line.time > startMs - HEALTH_LOOKBACK_MS;
      if (isRecent && servers.has(line.server)) newestLines.set(`server ${line.server}`, line);
    } else if (
      line.event === 'request limit of a server changed'
      || line.event === 'server wants no requests'
    ) {
      const key = `${line.event} ${line.server}`;
      if (line.service !== refusingService) return;
      if (isServerUnavailable(line, startMs)) newestLines.set(key, line);
      else newestLines.delete(key);
    } else if (line.event === 'started') {
      // A restart discards the state of the previous process.
      newestLines.clear();
      newestLines.set(line.event, line);
    } else if (line.event === 'configuration in force' || line.event === 'stopping') {
      newestLines.set(line.event, line);
    }
  });
  return [...newestLines.values()].sort((a, b) => a.time - b.time);
}

/** Builds the explanation of a request; returns undefined when no line names the request. */
export function buildRequestExplanation(
  lines: readonly LogLines.LogLine[],
  requestId: string,
): RequestExplanation | undefined {
  const requestLines = lines
    .filter((line) => getRequestId(line) === requestId)
    .sort((a, b) => a.time - b.time);
  const [firstLine] = requestLines;
  const endLine = requestLines.find((line) => line.event === 'request ended');
  if (firstLine === undefined) return undefined;
  const servers = new Set(requestLines.flatMap((line) => (
    'server' in line && line.server !== undefined ? [line.server] : []
  )));
  const elapsedMs = endLine !== undefined && 'elapsedMs' in endLine ? endLine.elapsedMs : 0;
  const endMs = (endLine ?? firstLine).time;
  return {
    cause: endLine !== undefined && 'outcome' in endLine
      ? CAUSES_BY_OUTCOME[endLine.outcome]
      : undefined,
    context: listContextLines(lines, {
      daemon: firstLine.daemon,
      endMs,
      refusingService: endLine !== undefined && 'outcome' in endLine
        && endLine.outcome === 'no_server' ? endLine.service : undefined,
      servers,
      startMs: endMs - elapsedMs,
    }),
    lines: requestLines,
    requestId,
  };
}

/** Renders an explanation as text, with times in milliseconds relative to its last line. */
export function renderRequestExplanation({
  cause, context, lines, requestId,
}: RequestExplanation): string {
  const endMs = lines.at(-1)?.time ?? 0;
  const renderLine = (line: LogLines.LogLine): string => (
    `  ${String(line.time - endMs).padStart(8)} ms  ${line.daemon}  ${formatLine(line)}`
  );
  return [
    `request ${requestId}${cause === undefined ? '' : `: ${cause}`}`,
    ...lines.map(renderLine),
    'state of the daemon at that time',
    ...context.length === 0 ? ['  none logged'] : context.map(renderLine),
  ].join('\n');
}
