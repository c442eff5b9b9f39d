/** HTTP interface for operators: status, request explanations and health. */
import * as Core from '@berylyoke/core';
import * as http from 'node:http';
import type * as DaemonContext from './DaemonContext.js';
import * as HealthRoutes from './HealthRoutes.js';
import * as HttpServer from './HttpServer.js';
import * as ListenerLimits from './ListenerLimits.js';

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const EXPLAIN_PATTERN = /^\/operator\/explain\/([0-9a-f]{1,64})$/;

/** Starts the operator interface. Rejects if it cannot listen on its address. */
export async function startOperatorServer(
  context: DaemonContext.DaemonContext,
): Promise<HttpServer.RunningServer> {
  const sendJson = (response: http.ServerResponse, status: number, body: unknown): void => {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  };
  const handleRequest = (request: http.IncomingMessage, response: http.ServerResponse): void => {
    const [path = '/'] = (request.url ?? '/').split('?');
    if (HealthRoutes.handleHealth(context, path, response)) return;
    if (path === '/operator/status') {
      sendJson(response, HTTP_OK, context.buildStatus());
      return;
    }
    const match = EXPLAIN_PATTERN.exec(path);
    const entry = match === null ? undefined : context.explanations.find(match[1] ?? '');
    if (entry === undefined) sendJson(response, HTTP_NOT_FOUND, { error: { code: 'not_found' } });
    else sendJson(response, HTTP_OK, { daemonId: context.settings.daemonId, ...entry });
  };
  const server = http.createServer();
  const handleIncoming: http.RequestListener = (request, response) => {
    Core.withErrorHandler(handleRequest, (error) => {
      context.handleDefect(error, Core.createId());
      response.destroy();
    })(request, response);
  };
  Core.guardListener(server, {
    clock: context.clock,
    handleRequest: handleIncoming,
    limits: ListenerLimits.computeOperatorLimits(context.settings.limits),
    onEnd: (reason) => context.metrics.addGuardEnd('operator', reason),
    onError: (error) => context.handleDefect(error),
  });
  return HttpServer.startHttpServer(server, context.settings.operator);
}
