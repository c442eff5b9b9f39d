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
const MAX_DISCARDED_BYTES = 16 * 1_024;
const MAX_DISCARD_MS = 500;

/** Informational answers (1xx) before the answer itself; a server sends one or two. */
const MAX_INFORMATIONAL = 8;

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
  readonly idHeader: string;
  readonly requestId: string;
}

/** Head of an answer. */
export interface AnswerHead {
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
  readonly onHead: (head: AnswerHead) => void;
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
function drainRest(request: http.ClientRequest, answer: http.IncomingMessage): void {
  const timer = setTimeout(() => request.destroy(), MAX_DISCARD_MS);
  let bytes = 0;
  answer.on('data', ({ length }: Buffer) => {
    bytes += length;
    if (bytes > MAX_DISCARDED_BYTES) request.destroy();
  });
  answer.once('close', () => clearTimeout(timer));
  answer.resume();
}

function readReason(error: Error): string {
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
  let isOver = false;
  let connectTimer: NodeJS.Timeout | undefined;
  let response: http.IncomingMessage | undefined;
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
    if (isOver) return false;
    isOver = true;
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
  request.on('error', (error) => fail(readReason(error)));
  request.on('close', () => fail('closed'));
  let informational = 0;
  request.on('information', () => {
    informational += 1;
    if (informational > MAX_INFORMATIONAL) fail('informational-answers');
  });
  request.on('response', (answer) => {
    if (isOver) {
      answer.destroy();
      return;
    }
    response = answer;
    const echoed = answer.headers[options.idHeader];
    if (echoed !== undefined && echoed !== options.requestId) {
      fail('foreign-answer');
      return;
    }
    watchReset(answer, () => fail('reset-at-end'));
    answer.on('data', (bytes: Buffer) => {
      if (!isOver) handlers.onData(bytes);
    });
    answer.on('error', (error) => fail(readReason(error)));
    answer.on('end', () => {
      if (!answer.complete) fail('truncated');
      else if (finish()) handlers.onEnd();
    });
    handlers.onHead({
      hasRequestId: echoed !== undefined,
      headers: answer.headers,
      isReusedConnection: request.reusedSocket,
      rawHeaders: answer.rawHeaders,
      status: answer.statusCode ?? 0,
      statusMessage: answer.statusMessage ?? '',
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
      if (response === undefined) request.destroy();
      else drainRest(request, response);
    },
    pause: () => response?.pause(),
    resume: () => response?.resume(),
  };
}
