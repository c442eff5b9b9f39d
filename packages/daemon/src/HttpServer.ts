/** Starts HTTP servers that can be closed gracefully. */
import * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import type * as net from 'node:net';

/** A running HTTP interface. */
export interface RunningServer {
  readonly url: string;
  /**
   * Stops listening at once and resolves when every request in progress has its response; after
   * `timeoutMs` milliseconds the remaining connections are closed.
   */
  readonly close: (timeoutMs: Core.Millis) => Promise<void>;
}

/**
 * Starts an HTTP server on an address and resolves when it listens. Rejects if it cannot listen on
 * the address.
 */
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
    close: (timeoutMs) => Core.drainListener(server, timeoutMs),
    url: `http://${host}:${address.port}`,
  };
}
