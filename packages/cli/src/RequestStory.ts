/**
 * Story of one request from the lines of several daemons: what happened to it, and what its daemon
 * believed at that time.
 */
import type * as LogLines from './LogLines.js';

/** Time before a request in which a change of a server's health may explain it. */
const HEALTH_MEMORY_MS = 10_000;

/** Causes by outcome; `answered` needs none. */
const CAUSES: Readonly<Record<string, string>> = {
  body_too_large: 'the body is larger than the limit of the configuration',
  caller_left: 'the caller closed its connection before the answer',
  headers_too_large: 'the headers are larger than the limit of the configuration',
  invalid_key: 'the key is in no account of the configuration that the daemon had',
  keys_not_current: 'the daemon read no configuration lately, so the key might be withdrawn',
  no_configuration: 'the daemon had not read any configuration yet',
  no_route: 'no route of the configuration matches the host and path',
  no_server: 'no server was listed, or no byte left for any that was tried',
  not_run: 'each server that was reached said that it did not run the request',
  outcome_unknown: 'the connection to the server broke after the request was sent',
  server_failed: 'the server itself answered with an error',
  stopping: 'the daemon was stopping',
  stream_cut: 'the stream broke and could not be resumed at another server',
  stream_timed_out: 'the time limit passed in the middle of the stream',
  timed_out: 'the time limit passed while a server had the request',
  timed_out_not_run: 'the time limit passed before the request was sent',
};

/** Story of a request. */
export interface RequestStory {
  readonly requestId: string;
  readonly lines: readonly LogLines.LogLine[];
  readonly context: readonly LogLines.LogLine[];
  readonly cause: string | undefined;
}

type Describe = { readonly [E in LogLines.LogEvent]?: (line: LogLines.EventLine<E>) => string };

const DESCRIBERS: Describe = {
  'attempt failed': ({
    elapsedMs, end, reason, server, service,
  }) => `attempt at ${server} of ${service} ended after ${elapsedMs} ms: ${end} (${reason})`,
  'configuration in force': ({ routes, version }) => (
    `configuration ${version} came into force with ${routes} routes`
  ),
  'dependency lost': ({ dependency, detail }) => `lost the ${dependency}: ${detail}`,
  'dependency regained': ({ dependency }) => `regained the ${dependency}`,
  'health of a server changed': ({ reason, server }) => (
    `health of ${server} changed: ${JSON.stringify(reason)}`
  ),
  'request ended': ({
    configVersion, elapsedMs, keyProofAgeMs, limitMs, mayHaveRun, outcome, sends, server, status,
  }) => [
    `request ended after ${elapsedMs} ms: ${outcome}`,
    `status ${status ?? 'none'}`,
    `${sends} sends`,
    ...server === undefined ? [] : [`server ${server}`],
    ...limitMs === undefined ? [] : [`limit ${limitMs} ms`],
    `configuration ${configVersion ?? 'none'}`,
    `key proof ${keyProofAgeMs} ms old`,
    mayHaveRun ? 'may have run' : 'has not run',
  ].join(', '),
  started: () => 'the daemon started',
  stopping: ({ activeRequests }) => `the daemon began to stop with ${activeRequests} requests`,
};

function describeLine(line: LogLines.LogLine): string {
  const describe = DESCRIBERS[line.event] as ((each: LogLines.LogLine) => string) | undefined;
  return describe?.(line) ?? line.event;
}

function getRequestId(line: LogLines.LogLine): string | undefined {
  return 'requestId' in line ? line.requestId : undefined;
}

/** Finds the newest line of each event that says what a daemon believed at a time. */
function listBeliefs(
  lines: readonly LogLines.LogLine[],
  daemon: string,
  servers: ReadonlySet<string>,
  beginMs: number,
  endMs: number,
): readonly LogLines.LogLine[] {
  const newest = new Map<string, LogLines.LogLine>();
  const own = lines.filter((line) => line.daemon === daemon && line.time <= endMs);
  [...own].sort((a, b) => a.time - b.time).forEach((line) => {
    if (line.event === 'dependency lost' || line.event === 'dependency regained') {
      newest.set(`dependency ${line.dependency}`, line);
    } else if (line.event === 'health of a server changed') {
      const isNear = line.time > beginMs - HEALTH_MEMORY_MS;
      if (isNear && servers.has(line.server)) newest.set(`server ${line.server}`, line);
    } else if (line.event === 'started') {
      // What a former process of the daemon believed ended with it.
      newest.clear();
      newest.set(line.event, line);
    } else if (line.event === 'configuration in force' || line.event === 'stopping') {
      newest.set(line.event, line);
    }
  });
  return [...newest.values()].sort((a, b) => a.time - b.time);
}

/** Builds the story of a request; undefined where no line names it. */
export function buildRequestStory(
  lines: readonly LogLines.LogLine[],
  requestId: string,
): RequestStory | undefined {
  const own = lines
    .filter((line) => getRequestId(line) === requestId)
    .sort((a, b) => a.time - b.time);
  const [first] = own;
  const end = own.find((line) => line.event === 'request ended');
  if (first === undefined) return undefined;
  const servers = new Set(own.flatMap((line) => (
    'server' in line && line.server !== undefined ? [line.server] : []
  )));
  const elapsedMs = end !== undefined && 'elapsedMs' in end ? end.elapsedMs : 0;
  const endMs = (end ?? first).time;
  return {
    cause: end !== undefined && 'outcome' in end ? CAUSES[end.outcome] : undefined,
    context: listBeliefs(lines, first.daemon, servers, endMs - elapsedMs, endMs),
    lines: own,
    requestId,
  };
}

/** Renders a story, with times against the end of the request. */
export function renderRequestStory({
  cause, context, lines, requestId,
}: RequestStory): string {
  const endMs = lines.at(-1)?.time ?? 0;
  const render = (line: LogLines.LogLine): string => (
    `  ${String(line.time - endMs).padStart(8)} ms  ${line.daemon}  ${describeLine(line)}`
  );
  return [
    `request ${requestId}${cause === undefined ? '' : `: ${cause}`}`,
    ...lines.map(render),
    'what the daemon believed then',
    ...context.length === 0 ? ['  nothing logged'] : context.map(render),
  ].join('\n');
}
