/**
 * Which headers pass between caller and backend server. Headers of one connection end here; those
 * that the system sets are dropped from what a caller sends, and the caller's key goes no further.
 */

/** Names of headers on the wire, in lower case. */
export interface HeaderNames {
  readonly requestId: string;
  /** Milliseconds for which the caller, or the backend server, will work on the request. */
  readonly timeLeft: string;
  /** Marks an answer as a backend server's own. */
  readonly serverSignature: string;
  /** Present on an answer of a backend server that did not run the request. */
  readonly notRun: string;
  /** Present on every answer of a backend server that is about to leave. */
  readonly leaving: string;
  /** Backend server that alone may take the request. */
  readonly expectedServer: string;
  readonly account: string;
  readonly priority: string;
  /** Parts of the prompt, `ID:TOKENS` separated by commas. */
  readonly promptParts: string;
  /** Prompt tokens and largest number of output tokens, separated by a comma. */
  readonly tokenCounts: string;
  readonly lastEventId: string;
  /** Further headers that only the system may set. */
  readonly systemOnly: readonly string[];
}

/** Headers of one connection (RFC 9110, section 7.6.1), and those that the sender writes anew. */
const HOP_BY_HOP_HEADERS = [
  'connection', 'content-length', 'expect', 'keep-alive', 'proxy-authenticate',
  'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
];

const HOP_BY_HOP_HEADER_SET: ReadonlySet<string> = new Set(HOP_BY_HOP_HEADERS);

function filterHeaders(
  rawHeaders: readonly string[],
  isDropped: (name: string) => boolean,
): string[] {
  return rawHeaders.filter((_, index) => (
    !isDropped((rawHeaders[index - (index % 2)] as string).toLowerCase())
  ));
}

/** Lists the headers that the `Connection` header of a message names as its own. */
function listConnectionNames(rawHeaders: readonly string[]): ReadonlySet<string> {
  const values = rawHeaders.filter((_, index) => (
    index % 2 === 1 && (rawHeaders[index - 1] as string).toLowerCase() === 'connection'
  ));
  return new Set(values.flatMap((value) => (
    value.split(',').map((name) => name.trim().toLowerCase())
  )));
}

/** Selects the headers of a caller's request that go to the backend server. */
export function selectRequestHeaders(
  rawHeaders: readonly string[],
  names: HeaderNames,
): string[] {
  const connectionNames = listConnectionNames(rawHeaders);
  const dropped = new Set([
    'authorization', names.account, names.expectedServer, names.priority, names.timeLeft,
    ...names.systemOnly,
  ]);
  return filterHeaders(rawHeaders, (name) => (
    HOP_BY_HOP_HEADER_SET.has(name) || dropped.has(name) || connectionNames.has(name)
  ));
}

/** Selects the headers of a backend server's answer that go to the caller. */
export function selectResponseHeaders(rawHeaders: readonly string[]): string[] {
  const connectionNames = listConnectionNames(rawHeaders);
  return filterHeaders(
    rawHeaders,
    (name) => HOP_BY_HOP_HEADER_SET.has(name) || connectionNames.has(name),
  );
}
