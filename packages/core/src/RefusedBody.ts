/**
 * Refuses requests whose body is incomplete, so that their clients get the refusal: the rest of the
 * body is discarded for some time before the connection is closed.
 */
import * as http from 'node:http';
import type * as stream from 'node:stream';
import type * as Clock from './Clock.js';

/** Reason to refuse a request whose body is incomplete. */
export type BodyRefusal = 'body_idle' | 'body_too_large' | 'memory';

/** Time for which the rest of a refused body is discarded before the connection is closed. */
export const BODY_LINGER_MS: Clock.Millis = 1_000;

const REFUSAL_STATUSES: Readonly<Record<BodyRefusal, number>> = {
  body_idle: 408, body_too_large: 413, memory: 503,
};

/** Retry-After of refusals for want of memory, in seconds. */
const RETRY_AFTER_S = '0.250';

/** Body of one request while it is received and held. */
export interface BodyState {
  readonly maxBytes: number;
  isDiscarded: boolean;
  /** Whether the reader of the body must not see its end. */
  isCut: boolean;
  bytes: number;
  pieces: number;
  handleRefusal: ((reason: BodyRefusal) => void) | undefined;
}

const bodyStates = new WeakMap<http.IncomingMessage, BodyState>();

/** Registers the body of a request, so that `endRefusal` can discard its rest. */
export function registerBody(request: http.IncomingMessage, state: BodyState): void {
  bodyStates.set(request, state);
}

/**
 * Sets what refuses a request whose body is incomplete, in place of a bare status. The handler has
 * to drop what it holds of the body and to answer with `endRefusal`.
 */
export function setRefusalHandler(
  request: http.IncomingMessage,
  handleRefusal: (reason: BodyRefusal) => void,
): void {
  const state = bodyStates.get(request);
  if (state !== undefined) state.handleRefusal = handleRefusal;
}

/** Checks whether the head of a request announces a body. */
export function hasBody({ headers }: http.IncomingMessage): boolean {
  const length = headers['content-length'];
  return headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

/**
 * Ends a response whose head is written. If the body of the request is incomplete, its rest is
 * discarded for at most `BODY_LINGER_MS` and the connection is closed then: closing a connection
 * with unread bytes resets it, and the client would lose the response. The head of such a response
 * needs `Connection: close` and a `Content-Length`.
 */
export function endRefusal(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  body: string | Uint8Array,
): void {
  if (request.complete) {
    response.end(body);
    return;
  }
  const state = bodyStates.get(request);
  if (state !== undefined) state.isDiscarded = true;
  response.write(body);
  const { socket } = request;
  const timer = setTimeout(() => {
    response.end();
    socket.destroySoon();
    // A client that reads nothing gets no end of the response either.
    setTimeout(() => socket.destroy(), BODY_LINGER_MS).unref();
  }, BODY_LINGER_MS);
  response.once('close', () => clearTimeout(timer));
  request.once('end', () => response.end());
  request.resume();
}

/** An answer as a whole. */
export interface WholeAnswer {
  readonly status: number;
  /** Names and values of headers in turn, without `Content-Length` and `Connection`. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Whether the connection is closed after the answer even if the request is complete. */
  readonly isLast?: boolean;
}

/** Sends a whole answer at any time, also when the body of the request is incomplete. */
export function sendWholeAnswer(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  {
    body, headers, isLast = false, status,
  }: WholeAnswer,
): void {
  const send = (): void => {
    if (response.headersSent || response.destroyed) return;
    const isIncomplete = hasBody(request) && !request.complete;
    response.writeHead(status, [
      ...headers,
      'Content-Length',
      String(body.length),
      ...isIncomplete || isLast ? ['Connection', 'close'] : [],
    ]);
    if (isIncomplete) endRefusal(request, response, body);
    else response.end(body);
  };
  if (!hasBody(request) || request.complete) {
    send();
    return;
  }
  const state = bodyStates.get(request);
  if (state !== undefined) state.isDiscarded = true;
  // A short body is complete once all that was read with the head is parsed, which goes on after
  // callbacks and ticks; the connection of its request need not be closed then.
  setImmediate(send);
}

/** Writes a bare status to a connection, and closes it when the client may have read that. */
export function endWithStatus(socket: stream.Duplex, status: number, headers = ''): void {
  socket.end(
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nConnection: close\r\n${headers}\r\n`,
  );
  const timer = setTimeout(() => socket.destroy(), BODY_LINGER_MS);
  socket.once('close', () => clearTimeout(timer));
}

/**
 * Refuses a request that nothing else refuses. The reader of its body must not see an end of it,
 * so the status is written to the socket and the reader sees a broken connection.
 */
export function refusePlainly(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  reason: BodyRefusal,
): void {
  if (response.headersSent) {
    request.socket.destroy();
    return;
  }
  const headers = reason === 'memory' ? `Retry-After: ${RETRY_AFTER_S}\r\n` : '';
  endWithStatus(request.socket, REFUSAL_STATUSES[reason], headers);
}
