/** An HTTP server on one address, with a graceful close. */
import type * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import type * as net from 'node:net';

/** How often connections that became idle are closed during a drain, in milliseconds. */
const IDLE_CHECK_MS = 50;

/** A running HTTP interface. */
export interface RunningServer {
  readonly url: string;
  /**
   * Stops listening at once and resolves when every request in progress was answered; after
   * `timeoutMs` the remaining connections are cut.
   */
  readonly close: (timeoutMs: Core.Millis) => Promise<void>;
}

/** Starts an HTTP server on an address and resolves when it listens. */
export async function startHttpServer(
  server: http.Server,
  { host, port }: { readonly host: string; readonly port: number },
): Promise<RunningServer> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const address = server.address() as net.AddressInfo;
  return {
    close: async (timeoutMs) => {
      const closed = new Promise((resolve) => {
        server.close(resolve);
      });
      // An answer whose head was sent before the drain leaves its connection open.
      const idle = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_MS);
      const deadline = setTimeout(() => server.closeAllConnections(), timeoutMs);
      await closed;
      clearInterval(idle);
      clearTimeout(deadline);
    },
    url: `http://${host}:${address.port}`,
  };
}
