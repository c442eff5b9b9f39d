/**
 * Protects an HTTP listener from clients that together would take more memory or descriptors than
 * the process may have. It keeps the ledger of the listener's connections, handles the requests of
 * one connection one after another, refuses bodies that stop, and answers refused requests before
 * it closes their connections.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';
import type * as Clock from './Clock.js';
import * as ConnectionLedger from './ConnectionLedger.js';
import * as RefusedBody from './RefusedBody.js';

/** Why a request is refused by the guard, or its connection is closed. */
export const GUARD_REASONS = [
  'body_idle', 'body_too_large', 'connections', 'descriptors', 'memory', 'requests_ahead',
] as const;

/** Why a request is refused by the guard, or its connection is closed. */
export type GuardReason = typeof GUARD_REASONS[number];

/** Limits of one listener. */
export interface GuardLimits extends ConnectionLedger.LedgerLimits {
  /** Requests of one connection that may wait for the answer to an earlier one. */
  readonly maxRequestsAhead: number;
  /** Time without a byte after which an incomplete body is refused. */
  readonly bodyIdleMs: Clock.Millis;
  /**
   * Bytes of one body. Larger ones are refused; if it is 0, requests are handled without reading
   * their body.
   */
  readonly maxBodyBytes: number;
}

/** Dependencies of a guard. */
export interface GuardOptions {
  readonly clock: Clock.Clock;
  readonly limits: GuardLimits;
  readonly handleRequest: http.RequestListener;
  /** Called for each refused request and each closed connection. */
  readonly onEnd?: (reason: GuardReason, totals: ConnectionLedger.LedgerTotals) => void;
  /** Answers a request that the parser rejects, in place of a bare status. */
  readonly refuseMalformed?: (error: NodeJS.ErrnoException, socket: stream.Duplex) => void;
  /** Handles an error of the listener that is not about descriptors. */
  readonly onError?: (error: Error) => void;
}

/** Guard of one listener. */
export interface ListenerGuard {
  readonly getTotals: () => ConnectionLedger.LedgerTotals;
  readonly setLimits: (limits: GuardLimits) => void;
  /** Stops the checks; connections that are open stay so. */
  readonly stop: () => void;
}

/** Memory that Node.js and the daemon take for a request, and for each field of its head. */
const REQUEST_COST_BYTES = 4_096;
const FIELD_COST_BYTES = 128;

/** Memory of a piece of a body beside its bytes: a buffer object and its entry in a list. */
const PIECE_COST_BYTES = 128;

/**
 * Memory of an incomplete head as a multiple of its bytes. A field of four bytes takes two strings
 * of some 24 bytes each.
 */
const HEAD_FACTOR = 8;

/** Largest incomplete head that a listener's parser keeps; more bytes were parsed already. */
const MAX_HEAD_BYTES = 65_536;

/** Interval of the checks for progress; a client that reads or sends is seen within it. */
const CHECK_INTERVAL_MS = 250;

/** Connections that are closed when accepting one fails for want of a descriptor. */
const DESCRIPTOR_RELEASE = 16;

const DESCRIPTOR_ERRORS: ReadonlySet<string | undefined> = new Set(['EMFILE', 'ENFILE']);

/** Statuses by error code of the parser; all other errors are malformed requests. */
const ERROR_STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408, HPE_HEADER_OVERFLOW: 431,
};
const MALFORMED_STATUS = 400;

interface GuardedRequest {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly headCost: number;
  readonly body: RefusedBody.BodyState | undefined;
}

interface Connection {
  readonly socket: net.Socket;
  /** Requests that wait, the oldest first. */
  readonly queue: GuardedRequest[];
  current: GuardedRequest | undefined;
  queueCost: number;
  /** Bytes read and written as of the last check. */
  checkedRead: number;
  checkedWritten: number;
  /** Bytes read when the last request began, which all belong to it or to earlier ones. */
  requestRead: number;
  /** Time at which the body of the current request last had a byte. */
  bodyMs: Clock.Millis;
}

function countHeadCost({ rawHeaders, url = '' }: http.IncomingMessage): number {
  let bytes = url.length;
  rawHeaders.forEach(({ length }) => {
    bytes += length;
  });
  return REQUEST_COST_BYTES + bytes + (rawHeaders.length / 2) * FIELD_COST_BYTES;
}

function isBodyDue({ body, request }: GuardedRequest): boolean {
  return body !== undefined && !request.complete;
}

/** Attaches a guard to a server that has no listener for requests and for errors of clients. */
export function guardListener(server: http.Server, options: GuardOptions): ListenerGuard {
  const { clock, handleRequest, onEnd } = options;
  let { limits } = options;
  const ledger = ConnectionLedger.createConnectionLedger<Connection>(limits);
  const connections = new Map<stream.Duplex, Connection>();

  const reportEnd = (reason: GuardReason): void => onEnd?.(reason, ledger.getTotals());
  const closeConnection = (connection: Connection, reason: GuardReason): void => {
    if (connection.socket.destroyed) return;
    reportEnd(reason);
    connection.socket.destroy();
    // The event `close` comes later; until then others would be ended for what this one held.
    ledger.close(connection);
  };
  const updateBody = (connection: Connection): void => {
    const { body } = connection.current ?? {};
    const bytes = body === undefined ? 0 : body.bytes + body.pieces * PIECE_COST_BYTES;
    ledger.setHeld(connection, 'body', bytes);
  };
  const updateHead = (connection: Connection, partBytes: number): void => ledger.setHeld(
    connection,
    'head',
    (connection.current?.headCost ?? 0) + partBytes * HEAD_FACTOR,
  );
  const updateState = (connection: Connection, nowMs: Clock.Millis): void => {
    const { current, socket } = connection;
    ledger.setState(connection, {
      hasRequest: current !== undefined,
      isClientDue: current === undefined || isBodyDue(current) || socket.writableLength > 0,
    }, nowMs);
  };
  const refuseBody = (connection: Connection, reason: RefusedBody.BodyRefusal): void => {
    const { current } = connection;
    if (current?.body === undefined || current.body.isDiscarded) return;
    reportEnd(reason);
    current.body.isDiscarded = true;
    current.body.bytes = 0;
    current.body.pieces = 0;
    updateBody(connection);
    if (current.body.handleRefusal !== undefined) {
      current.body.handleRefusal(reason);
      return;
    }
    current.body.isCut = true;
    RefusedBody.refusePlainly(current.request, current.response, reason);
  };
  /** Ends a connection, with an answer if only the incomplete body of its request is held. */
  const endConnection = (connection: Connection, reason: 'connections' | 'memory'): void => {
    const { current, queue } = connection;
    const canRefuse = reason === 'memory' && current !== undefined && isBodyDue(current)
      && current.body?.isDiscarded === false && queue.length === 0;
    if (canRefuse) refuseBody(connection, 'memory');
    else closeConnection(connection, reason);
  };
  const endExcess = (nowMs: Clock.Millis): void => {
    const { bytes } = ledger.getTotals();
    const reason = bytes > limits.maxBytes ? 'memory' : 'connections';
    ledger.listExcess(nowMs).forEach((connection) => endConnection(connection, reason));
  };

  /** Counts the bytes of a body as they are parsed, whoever reads them. */
  const watchBody = (
    connection: Connection,
    request: http.IncomingMessage,
    body: RefusedBody.BodyState,
  ): void => {
    const push = request.push.bind(request);

    request.push = (chunk: Buffer | null, encoding?: BufferEncoding) => {
      if (chunk === null) return body.isCut || push(chunk, encoding);
      const nowMs = clock.readMonotonic();
      /* eslint-disable no-param-reassign */
      connection.bodyMs = nowMs;
      if (body.isDiscarded) return !request.isPaused();
      body.bytes += chunk.length;
      body.pieces += 1;
      /* eslint-enable no-param-reassign */
      ledger.recordProgress(connection, nowMs);
      if (body.bytes > body.maxBytes) {
        refuseBody(connection, 'body_too_large');
        return true;
      }
      if (connection.current?.request === request) updateBody(connection);
      else ledger.setHeld(connection, 'queue', connection.queueCost + body.bytes);
      if (ledger.getTotals().bytes > limits.maxBytes) endExcess(nowMs);
      return body.isDiscarded ? true : push(chunk, encoding);
    };
  };

  const createBody = (request: http.IncomingMessage): RefusedBody.BodyState | undefined => {
    if (!RefusedBody.hasBody(request)) return undefined;
    return {
      bytes: 0,
      handleRefusal: undefined,
      isCut: false,
      isDiscarded: limits.maxBodyBytes === 0,
      maxBytes: limits.maxBodyBytes,
      pieces: 0,
    };
  };

  /** Refuses a request at its head if its body may not be begun; returns whether it did. */
  const refuseAtHead = (connection: Connection, nowMs: Clock.Millis): boolean => {
    const { body, request } = connection.current as GuardedRequest;
    if (body === undefined || body.isDiscarded) return false;
    if (Number(request.headers['content-length'] ?? 0) > body.maxBytes) {
      refuseBody(connection, 'body_too_large');
      return true;
    }
    if (!ledger.isFull()) return false;
    ledger.listStalled(nowMs).filter((each) => each !== connection)
      .forEach((each) => endConnection(each, 'memory'));
    return ledger.isFull();
  };

  const startRequest = (connection: Connection, guarded: GuardedRequest): void => {
    const nowMs = clock.readMonotonic();
    const { body, request, response } = guarded;
    /* eslint-disable no-param-reassign */
    connection.current = guarded;
    connection.bodyMs = nowMs;
    /* eslint-enable no-param-reassign */
    updateHead(connection, 0);
    updateBody(connection);
    updateState(connection, nowMs);
    response.once('prefinish', () => {
      // What the socket has not taken of the answer is held until the client reads.
      ledger.setHeld(connection, 'answer', connection.socket.writableLength);
      updateState(connection, clock.readMonotonic());
    });
    response.once('close', () => {
      if (connection.current !== guarded) return;
      // eslint-disable-next-line no-param-reassign
      connection.current = undefined;
      updateBody(connection);
      updateHead(connection, 0);
      ledger.setHeld(connection, 'answer', connection.socket.writableLength);
      const endMs = clock.readMonotonic();
      ledger.recordProgress(connection, endMs);
      updateState(connection, endMs);
      const next = connection.queue.shift();
      if (next === undefined) return;
      // eslint-disable-next-line no-param-reassign
      connection.queueCost -= next.headCost;
      ledger.setHeld(connection, 'queue', connection.queueCost);
      if (!connection.socket.destroyed) startRequest(connection, next);
    });
    if (body !== undefined) {
      const isRefused = refuseAtHead(connection, nowMs);
      if (isRefused && body.isDiscarded) return;
      handleRequest(request, response);
      // The handler may have a better answer; if it read nothing yet, it refuses the body itself.
      if (isRefused) refuseBody(connection, 'memory');
    } else handleRequest(request, response);
  };

  const handleIncoming = (request: http.IncomingMessage, response: http.ServerResponse): void => {
    const connection = connections.get(request.socket);
    // Node.js parses all requests of one read, also those after the end of their connection.
    if (connection === undefined || connection.socket.destroyed) return;
    const { current, queue, socket } = connection;
    if (queue.length >= limits.maxRequestsAhead) {
      queue.length = 0;
      closeConnection(connection, 'requests_ahead');
      return;
    }
    connection.requestRead = socket.bytesRead;
    const body = createBody(request);
    if (body !== undefined) {
      RefusedBody.registerBody(request, body);
      watchBody(connection, request, body);
    }
    const guarded: GuardedRequest = {
      body, headCost: countHeadCost(request), request, response,
    };
    if (current === undefined) {
      startRequest(connection, guarded);
      return;
    }
    queue.push(guarded);
    connection.queueCost += guarded.headCost;
    ledger.setHeld(connection, 'queue', connection.queueCost);
    if (ledger.getTotals().bytes > limits.maxBytes) endExcess(clock.readMonotonic());
  };

  const handleConnection = (socket: net.Socket): void => {
    const nowMs = clock.readMonotonic();
    const connection: Connection = {
      bodyMs: nowMs,
      checkedRead: 0,
      checkedWritten: 0,
      current: undefined,
      queue: [],
      queueCost: 0,
      requestRead: 0,
      socket,
    };
    connections.set(socket, connection);
    ledger.open(connection, nowMs);
    socket.once('close', () => {
      connections.delete(socket);
      ledger.close(connection);
    });
    if (ledger.getTotals().connections > limits.maxConnections) endExcess(nowMs);
  };

  /** Updates what only the socket knows: bytes of incomplete heads and of unread answers. */
  const checkConnection = (connection: Connection, nowMs: Clock.Millis): void => {
    const { current, socket } = connection;
    const { bytesRead, writableLength } = socket;
    const writtenBytes = socket.bytesWritten - writableLength;
    if (bytesRead !== connection.checkedRead || writtenBytes !== connection.checkedWritten) {
      ledger.recordProgress(connection, nowMs);
    }
    /* eslint-disable no-param-reassign */
    connection.checkedRead = bytesRead;
    connection.checkedWritten = writtenBytes;
    /* eslint-enable no-param-reassign */
    if (current === undefined) {
      updateHead(connection, Math.min(bytesRead - connection.requestRead, MAX_HEAD_BYTES));
    }
    ledger.setHeld(connection, 'answer', writableLength);
    updateState(connection, nowMs);
    if (current !== undefined && isBodyDue(current)
      && nowMs - connection.bodyMs > limits.bodyIdleMs) refuseBody(connection, 'body_idle');
  };
  const checkAll = (): void => {
    const nowMs = clock.readMonotonic();
    connections.forEach((connection) => checkConnection(connection, nowMs));
    endExcess(nowMs);
  };
  const timer = setInterval(checkAll, CHECK_INTERVAL_MS);
  timer.unref();

  const handleClientError = (error: NodeJS.ErrnoException, socket: stream.Duplex): void => {
    const { current } = connections.get(socket) ?? {};
    const canAnswer = socket.writable && !socket.destroyed
      && current?.response.headersSent !== true;
    if (!canAnswer) {
      socket.destroy();
      return;
    }
    if (options.refuseMalformed !== undefined) {
      options.refuseMalformed(error, socket);
      return;
    }
    RefusedBody.endWithStatus(socket, ERROR_STATUSES[error.code ?? ''] ?? MALFORMED_STATUS);
  };
  // Node.js would drop all fields after the first 1,000 or 2,000, a key among them. The size of the
  // head bounds their number, and the ledger counts each of them.
  // eslint-disable-next-line no-param-reassign
  server.maxHeadersCount = 0;
  server.on('connection', handleConnection);
  server.on('request', handleIncoming);
  server.on('clientError', handleClientError);
  server.on('error', (error: NodeJS.ErrnoException) => {
    if (!DESCRIPTOR_ERRORS.has(error.code)) {
      options.onError?.(error);
      return;
    }
    ledger.listLongestIdle(DESCRIPTOR_RELEASE, clock.readMonotonic())
      .forEach((connection) => closeConnection(connection, 'descriptors'));
  });
  server.once('close', () => clearInterval(timer));
  return {
    getTotals: ledger.getTotals,
    setLimits: (next) => {
      limits = next;
      ledger.setLimits(next);
    },
    stop: () => clearInterval(timer),
  };
}
