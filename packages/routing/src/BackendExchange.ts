/**
 * One request on one connection to a backend server. Says for each failure whether a byte may have
 * left, and takes an answer only where it echoes the id of the request: an extra answer to an
 * earlier request may stand where the answer is expected.
 */
import type * as Core from '@berylyoke/core';
import * as http from 'node:http';

/** Time for a new connection; data centres are milliseconds apart. */
const CONNECT_TIMEOUT_MS = 400;

/** Rest of an answer that nobody needs up to which its connection is kept: a short message. */
const MAX_DRAINED_BYTES = 16 * 1_024;
const DRAIN_TIMEOUT_MS = 500;

/** Informational answers (1xx) before the answer itself; a server sends one or two. */
const MAX_INFORMATIONAL_RESPONSES = 8;

/** Bytes of the head of an answer, and of its trailers. */
const MAX_HEAD_BYTES = 16 * 1_024;

/** Request to a backend server. */
export interface BackendRequest {
  readonly agent: http.Agent;
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Lower-case name of the header that carries the request id, and its value. */
  readonly requestIdHeader: string;
  readonly requestId: string;
}

/** Head of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly statusMessage: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
  /** Whether the connection had carried an earlier request. */
  readonly isReusedConnection: boolean;
  readonly hasRequestId: boolean;
}

/** Why an exchange failed. */
export type ExchangeFailure = {
  /** No byte of the request left. */
  readonly _tag: 'NotSent';
  readonly reason: string;
} | {
  /** The request may have run. */
  readonly _tag: 'Broken';
  readonly reason: string;
};

/** Receiver of what happens; after `onEnd` or `onFailure` nothing more is called. */
export interface ExchangeHandlers {
  readonly onHead: (head: ResponseHead) => void;
  readonly onData: (bytes: Buffer) => void;
  readonly onEnd: () => void;
  readonly onFailure: (failure: ExchangeFailure) => void;
}

/** An exchange in progress. */
export interface Exchange {
  /** Closes the connection; no handler is called any more. */
  readonly cancel: () => void;
  /** Takes no more of the answer and keeps the connection if the rest of it is short. */
  readonly drain: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Reads the rest of an answer for its connection's sake; closes one whose answer goes on. */
function drainRemainder(request: http.ClientRequest, response: http.IncomingMessage): void {
  const timer = setTimeout(() => request.destroy(), DRAIN_TIMEOUT_MS);
  let bytes = 0;
  response.on('data', ({ length }: Buffer) => {
    bytes += length;
    if (bytes > MAX_DRAINED_BYTES) request.destroy();
  });
  response.once('close', () => clearTimeout(timer));
  response.resume();
}

function getErrorReason(error: Error): string {
  return (error as NodeJS.ErrnoException).code ?? error.name;
}

/**
 * Tells an unframed answer that was reset from one that ended. libuv reports a reset that arrives
 * together with the last bytes as a plain end; the connection then has no peer any more. The
 * address must not have been read before, because Node.js keeps it.
 */
function watchReset({ headers, socket }: http.IncomingMessage, onReset: () => void): void {
  const isFramed = headers['content-length'] !== undefined
    || headers['transfer-encoding'] !== undefined;
  if (isFramed) return;
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}

/** Sends a request. */
export function startExchange(
  options: BackendRequest,
  handlers: ExchangeHandlers,
  connectTimeoutMs: Core.Millis = CONNECT_TIMEOUT_MS,
): Exchange {
  let isConnected = false;
  let isFinished = false;
  let connectTimer: NodeJS.Timeout | undefined;
  let receivedResponse: http.IncomingMessage | undefined;
  const request = http.request({
    agent: options.agent,
    headers: options.headers as string[],
    host: options.host,
    maxHeaderSize: MAX_HEAD_BYTES,
    method: options.method,
    path: options.path,
    port: options.port,
    setHost: false,
  });
  const finish = (): boolean => {
    if (isFinished) return false;
    isFinished = true;
    clearTimeout(connectTimer);
    return true;
  };
  const fail = (reason: string): void => {
    if (finish()) handlers.onFailure({ _tag: isConnected ? 'Broken' : 'NotSent', reason });
    request.destroy();
  };
  request.on('socket', (socket) => {
    if (!socket.connecting) {
      isConnected = true;
      return;
    }
    connectTimer = setTimeout(() => fail('connect-timeout'), connectTimeoutMs);
    socket.once('connect', () => {
      isConnected = true;
      clearTimeout(connectTimer);
    });
  });
  request.on('error', (error) => fail(getErrorReason(error)));
  request.on('close', () => fail('closed'));
  let informationalCount = 0;
  request.on('information', () => {
    informationalCount += 1;
    if (informationalCount > MAX_INFORMATIONAL_RESPONSES) fail('informational-answers');
  });
  request.on('response', (response) => {
    if (isFinished) {
      response.destroy();
      return;
    }
    receivedResponse = response;
    const echoedRequestId = response.headers[options.requestIdHeader];
    if (echoedRequestId !== undefined && echoedRequestId !== options.requestId) {
      fail('foreign-answer');
      return;
    }
    watchReset(response, () => fail('reset-at-end'));
    response.on('data', (bytes: Buffer) => {
      if (!isFinished) handlers.onData(bytes);
    });
    response.on('error', (error) => fail(getErrorReason(error)));
    response.on('end', () => {
      if (!response.complete) fail('truncated');
      else if (finish()) handlers.onEnd();
    });
    handlers.onHead({
      hasRequestId: echoedRequestId !== undefined,
      headers: response.headers,
      isReusedConnection: request.reusedSocket,
      rawHeaders: response.rawHeaders,
      status: response.statusCode ?? 0,
      statusMessage: response.statusMessage ?? '',
    });
  });
  request.end(options.body.length === 0 ? undefined : options.body);
  return {
    cancel: () => {
      finish();
      request.destroy();
    },
    drain: () => {
      finish();
      if (receivedResponse === undefined) request.destroy();
      else drainRemainder(request, receivedResponse);
    },
    pause: () => receivedResponse?.pause(),
    resume: () => receivedResponse?.resume(),
  };
}
