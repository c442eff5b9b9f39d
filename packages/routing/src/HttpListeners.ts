/**
 * HTTP listeners of a daemon: for callers, readiness, metrics and other daemons. On a planned stop
 * the daemon reports that it is not ready while it still accepts requests, then closes the listener
 * for callers, and stops when all responses in progress are complete.
 */
import * as Core from '@berylyoke/core';
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as RoutingConfig from './RoutingConfig.js';

/** Time for the load balancer to see that the daemon is not ready: two probes, 1 s apart. */
const READINESS_NOTICE_MS = 2_600;

/** Hard limit of a request's header block; the configured limit is checked in addition. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Margin on the idle timeout, so that a connection isn't closed just when a caller reuses it. */
const IDLE_MARGIN_MS = 500;

/** Handler of one request. */
export type RequestHandler = (
  request: http.IncomingMessage, response: http.ServerResponse,
) => void;

/** Limits of the clients of a listener, and what is called when one of them is ended. */
export type GuardSettings = Pick<Core.GuardOptions, 'clock' | 'limits' | 'onEnd' | 'onError'>;

/** Listener for callers. */
export interface IngressListener {
  /** Applies the limits of a configuration to subsequent connections, and those of the guard. */
  readonly setLimits: (
    limits: RoutingConfig.CallerLimits, guardLimits: Core.GuardLimits,
  ) => void;
  /** Counts the connections and the bytes that they hold. */
  readonly getTotals: () => Core.LedgerTotals;
  /**
   * Waits for the load balancer to notice, closes the listener, and waits for responses in
   * progress.
   *
   * @param onClose called just before the listener closes
   * @param limitMs time after which the remaining connections are closed
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
  guardSettings: GuardSettings,
): Promise<IngressListener> {
  const server = http.createServer({
    connectionsCheckingInterval: 1_000,
    maxHeaderSize: MAX_HEADER_BYTES,
    noDelay: true,
    requestTimeout: 0,
  });
  const guard = Core.guardListener(server, {
    ...guardSettings,
    handleRequest: (request, response) => {
      response.sendDate = false;
      handleRequest(request, response);
    },
  });
  await listen(server, address);
  return {
    getTotals: guard.getTotals,
    setLimits: ({ headerTimeoutMs, idleTimeoutMs }, guardLimits) => {
      guard.setLimits(guardLimits);
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

/** A listener that is not for callers; its connections are closed together with it. */
export interface InternalListener {
  /** `IP:PORT` of the listener. */
  readonly address: string;
  readonly close: () => void;
}

/** Starts a listener for other parts of the system; resolves once it accepts connections. */
export async function startInternalListener(
  address: string,
  handleRequest: http.RequestListener,
  guardSettings: GuardSettings,
): Promise<InternalListener> {
  const server = http.createServer();
  Core.guardListener(server, { ...guardSettings, handleRequest });
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

/** Starts a listener that responds to each request with the result of `getStatus`. */
export function startStatusListener(
  address: string,
  getStatus: () => Promise<{ readonly status: number; readonly text: string }>,
  guardSettings: GuardSettings,
): Promise<InternalListener> {
  return startInternalListener(address, (request, response) => {
    getStatus().then(({ status, text }) => Core.sendWholeAnswer(request, response, {
      body: Buffer.from(text), headers: ['Content-Type', 'text/plain'], status,
    }), () => response.destroy());
  }, guardSettings);
}
