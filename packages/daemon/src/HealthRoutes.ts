/** Liveness, readiness and metrics endpoints, served on the entry and the operator interface. */
import type * as http from 'node:http';
import * as PromClient from 'prom-client';
import type * as DaemonContext from './DaemonContext.js';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

type HealthHandler = (
  context: DaemonContext.DaemonContext,
  response: http.ServerResponse,
) => void;

function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

const HEALTH_HANDLERS: Readonly<Record<string, HealthHandler>> = {
  '/livez': (_, response) => sendJson(response, HTTP_OK, { live: true }),
  '/metrics': (context, response) => {
    // Components may also register metrics in the registry of the process.
    const merged = PromClient.Registry.merge([context.metrics.registry, PromClient.register]);
    merged.metrics().then((text) => {
      response.writeHead(HTTP_OK, { 'content-type': PromClient.register.contentType });
      response.end(text);
    }).catch(() => response.destroy());
  },
  '/readyz': (context, response) => {
    const missing = context.listReadinessProblems();
    sendJson(response, missing.length === 0 ? HTTP_OK : HTTP_UNAVAILABLE, {
      missing, ready: missing.length === 0,
    });
  },
};

/** Responds to the path of a health endpoint; returns false for any other path. */
export function handleHealth(
  context: DaemonContext.DaemonContext,
  path: string,
  response: http.ServerResponse,
): boolean {
  const handler = HEALTH_HANDLERS[path];
  handler?.(context, response);
  return handler !== undefined;
}
