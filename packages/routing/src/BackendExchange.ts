/**
 * Sends one request to a backend server and reads the response. Reports with each failure whether
 * any byte of the request may have been sent. Rejects a response that carries the id of another
 * request, because a reused connection may deliver a surplus response to an earlier request.
 */
import * as Core from '@berylyoke/core';
import * as http from 'node:http';
import type * as stream from 'node:stream';
import type * as PacedSocket from './PacedSocket.js';

/** Time limit for opening a connection; round trips between data centres take milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/**
 * Limits for draining an unneeded response so that its connection can be reused; enough for a short
 * error message.
 */
const MAX_DRAINED_BYTES = 16 * 1_024;
const DRAIN_TIMEOUT_MS = 500;

/** Limit of informational (1xx) responses before the final one; a server usually sends 1 or 2. */
const MAX_INFORMATIONAL_RESPONSES = 8;

/** Size limit of the head of a response, and of its trailers. */
const MAX_HEAD_BYTES = 16 * 1_024;

/** Status of a server that is not the one that the request expects. */
export const MISDIRECTED_STATUS = 421;

/** Reasons of failures for which the connection ended without a cause on this side. */
const CONNECTION_END_REASONS: ReadonlySet<string> = new Set([
  'ECONNRESET', 'EPIPE', 'closed', 'reset-at-end', 'truncated',
]);

/**
 * Connections that carried a request. `ClientRequest.reusedSocket` does not tell: Node.js leaves it
 * unset when a connection passes to a request that waited for one.
 */
const usedConnections = new WeakSet<stream.Duplex>();

/** Checks whether a status means success. */
export function isSuccessStatus(status: number): boolean {
  return status >= 200 && status < 300;
}

/** A request to a backend server. */
export interface BackendRequest {
  readonly agent: http.Agent;
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Lower-case name of the header that carries the request id. */
  readonly requestIdHeader: string;
  readonly requestId: string;
  /** What the server may send without progress; the exchange charges bytes and chunks to it. */
  readonly allowance: Core.SendAllowance;
}

/** Head of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly statusMessage: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
  /** Whether the connection carried an earlier request. */
  readonly isReusedConnection: boolean;
  /** Whether the response echoes the id of the request. */
  readonly hasRequestId: boolean;
  readonly framing: Core.BodyFraming;
}

/** Why an exchange failed. */
export type ExchangeFailure = {
  /** No byte of the request was sent. */
  readonly _tag: 'NotSent';
  readonly reason: string;
} | {
  /** The request may have run. */
  readonly _tag: 'Broken';
  readonly reason: string;
  /** Whether the connection ended by itself, as it does when its server crashes. */
  readonly isConnectionEnd: boolean;
};

/** Callbacks of an exchange; none is called after `onEnd` or `onFailure`. */
export interface ExchangeHandlers {
  readonly onHead: (head: ResponseHead) => void;
  /** Called with the bytes of all chunks that were read together. */
  readonly onData: (bytes: Buffer) => void;
  readonly onEnd: () => void;
  readonly onFailure: (failure: ExchangeFailure) => void;
}

/** An exchange in progress. */
export interface Exchange {
  /** Closes the connection; no handler is called afterwards. */
  readonly cancel: () => void;
  /** Discards the rest of the response; keeps the connection if the rest is short. */
  readonly drain: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Collects the chunks of a read, to hand them over together. */
interface ChunkCollector {
  readonly add: (chunk: Buffer) => void;
  /** Takes the chunks as one buffer; undefined if there are none. */
  readonly take: () => Buffer | undefined;
}

function createChunkCollector(): ChunkCollector {
  let chunks: Buffer[] = [];
  return {
    add: (chunk) => {
      chunks.push(chunk);
    },
    take: () => {
      const taken = chunks;
      if (taken.length === 0) return undefined;
      chunks = [];
      return taken.length === 1 ? taken[0] : Buffer.concat(taken);
    },
  };
}

function getErrorReason(error: Error): string {
  return (error as NodeJS.ErrnoException).code ?? error.name;
}

/** Sends a request and reports the response to `handlers`. */
export function startExchange(
  options: BackendRequest,
  handlers: ExchangeHandlers,
  connectTimeoutMs: Core.Millis = CONNECT_TIMEOUT_MS,
): Exchange {
  let isConnected = false;
  let isReusedConnection = false;
  let isFinished = false;
  let connectTimer: NodeJS.Timeout | undefined;
  let drainTimer: NodeJS.Timeout | undefined;
  let receivedResponse: http.IncomingMessage | undefined;
  let connection: PacedSocket.PacedSocket | undefined;
  const { allowance } = options;
  const collector = createChunkCollector();
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
  const deliverChunks = (): void => {
    const bytes = collector.take();
    if (bytes !== undefined && !isFinished) handlers.onData(bytes);
  };
  const fail = (reason: string): void => {
    deliverChunks();
    if (finish()) {
      handlers.onFailure(isConnected
        ? { _tag: 'Broken', isConnectionEnd: CONNECTION_END_REASONS.has(reason), reason }
        : { _tag: 'NotSent', reason });
    }
    request.destroy();
  };
  // Runs after the parser has processed the bytes.
  const handleRead = ({ length }: Buffer): void => {
    allowance.spendBytes(length);
    deliverChunks();
    if (!allowance.isExhausted()) return;
    if (isFinished) request.destroy();
    else fail('no-progress');
  };
  request.on('socket', (socket) => {
    connection = socket as PacedSocket.PacedSocket;
    socket.on('data', handleRead);
    isReusedConnection = usedConnections.has(socket);
    usedConnections.add(socket);
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
  /** Whether the response is whole; what follows on the connection belongs to no request. */
  const isWhole = (): boolean => receivedResponse?.complete === true;
  request.on('error', (error) => {
    // The response ends by itself; Node.js has closed the connection.
    if (!isWhole()) fail(getErrorReason(error));
  });
  request.on('close', () => {
    connection?.removeListener('data', handleRead);
    connection?.releaseBytes();
    clearTimeout(drainTimer);
    if (isFinished) return;
    // A whole response has emitted its end by the next turn of the event loop.
    if (isWhole()) setImmediate(() => fail('closed'));
    else fail('closed');
  });
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
    Core.watchReset(response, () => fail('reset-at-end'));
    response.on('data', (bytes: Buffer) => {
      allowance.spendPieces(1);
      if (!isFinished) collector.add(bytes);
    });
    // The stream emits the chunks that were read together with the head only after that read.
    process.nextTick(deliverChunks);
    response.on('error', (error) => fail(getErrorReason(error)));
    response.on('end', () => {
      deliverChunks();
      if (!response.complete) fail('truncated');
      else if (finish()) handlers.onEnd();
    });
    handlers.onHead({
      framing: Core.getBodyFraming(response.headers),
      hasRequestId: echoedRequestId !== undefined,
      headers: response.headers,
      isReusedConnection,
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
      if (receivedResponse === undefined) {
        request.destroy();
        return;
      }
      allowance.limit(MAX_DRAINED_BYTES);
      drainTimer = setTimeout(() => request.destroy(), DRAIN_TIMEOUT_MS);
      connection?.releaseBytes();
    },
    pause: () => connection?.holdBytes(),
    resume: () => connection?.releaseBytes(),
  };
}
