/**
 * Listeners of a daemon: callers, readiness, metrics. A planned stop first turns readiness off
 * while requests still come, then closes the entry, and ends when every answer in progress is out.
 */
import * as Core from '@berylyoke/core';
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as RoutingConfig from './RoutingConfig.js';

/** Time for the load balancer to notice that the daemon is not ready: two questions, 1 s apart. */
const READINESS_NOTICE_MS = 2_600;

/** Largest header block; the limit of the configuration is checked on top of it. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Time added to the idle limit so that a connection is not closed just as a caller uses it. */
const IDLE_MARGIN_MS = 500;

/** Handler of one request. */
export type RequestHandler = (
  request: http.IncomingMessage, response: http.ServerResponse,
) => void;

/** Listener for callers. */
export interface IngressListener {
  /** Applies the limits of a configuration to connections from now on. */
  readonly setLimits: (limits: RoutingConfig.CallerLimits) => void;
  /**
   * Stops: waits for the load balancer, closes the listener, waits for answers in progress.
   *
   * @param onClose called when the listener closes
   * @param limitMs time after which the remaining connections are cut
   */
  readonly stop: (onClose: () => void, limitMs: Core.Millis) => Promise<void>;
}

/** Splits `IP:PORT`. */
export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const index = address.lastIndexOf(':');
  return { host: address.slice(0, index), port: Number(address.slice(index + 1)) };
}

async function listen(server: http.Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({ backlog: 1_024, host, port }, resolve);
  });
}

function waitFor(timeMs: Core.Millis): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, timeMs);
  });
}

/** Starts the listener for callers. */
export async function startIngressListener(
  address: string,
  handleRequest: RequestHandler,
): Promise<IngressListener> {
  const server = http.createServer({
    connectionsCheckingInterval: 1_000,
    maxHeaderSize: MAX_HEADER_BYTES,
    noDelay: true,
    requestTimeout: 0,
  }, (request, response) => {
    response.sendDate = false;
    handleRequest(request, response);
  });
  server.on('clientError', (error, socket) => {
    // Broken input of a caller: the answer of Node.js without a body is enough.
    if (socket.writable && !socket.destroyed) socket.end('HTTP/1.1 400 Bad Request\r\n\r\n');
    else socket.destroy(error);
  });
  await listen(server, address);
  return {
    setLimits: ({ headerTimeoutMs, idleTimeoutMs }) => {
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    },
    stop: async (onClose, limitMs) => {
      await waitFor(READINESS_NOTICE_MS);
      onClose();
      await Core.drainListener(server, limitMs - READINESS_NOTICE_MS);
    },
  };
}

/** A listener that is no entry: its connections are cut when it closes. */
export interface InternalListener {
  /** `IP:PORT` that it listens on. */
  readonly address: string;
  readonly close: () => void;
}

/** Starts a listener for other parts of the system; resolves when it listens. */
export async function startInternalListener(
  address: string,
  handleRequest: http.RequestListener,
): Promise<InternalListener> {
  const server = http.createServer(handleRequest);
  await listen(server, address);
  const { port } = server.address() as net.AddressInfo;
  return {
    address: `${splitAddress(address).host}:${port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Starts a listener that answers a GET with a status, and optionally a text. */
export function startStatusListener(
  address: string,
  answer: () => Promise<{ readonly status: number; readonly text: string }>,
): Promise<InternalListener> {
  return startInternalListener(address, (_, response) => {
    answer().then(({ status, text }) => {
      response.writeHead(status, { 'content-type': 'text/plain' });
      response.end(text);
    }, () => response.destroy());
  });
}
