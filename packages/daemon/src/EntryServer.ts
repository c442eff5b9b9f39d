/**
 * HTTP interface towards callers, over Node's `http`: receives a request within its limits and
 * passes it through the filters of the path.
 */
import * as Core from '@berylyoke/core';
import * as http from 'node:http';
import * as Classify from './Classify.js';
import * as ClientErrors from './ClientErrors.js';
import type * as DaemonContext from './DaemonContext.js';
import * as HealthRoutes from './HealthRoutes.js';
import * as HttpServer from './HttpServer.js';
import * as RequestHandlers from './RequestHandlers.js';
import type * as RequestTypes from './RequestTypes.js';
import * as ReceiveBody from './ReceiveBody.js';
import * as Refusal from './Refusal.js';
import type * as RelayChat from './RelayChat.js';

/** Time to open a connection to a backend server, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Bodies of all requests in memory, in bytes: a small VM has to hold them beside its streams. */
const TOTAL_BODY_BYTES = 256 * 1024 * 1024;
/** How often the time limits of requests are checked, in milliseconds. */
const TIMEOUT_CHECK_MS = 500;

function sendRefusal(response: http.ServerResponse, refusal: Refusal.Refusal): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  response.writeHead(
    Refusal.REFUSAL_CODES[refusal.code].status,
    Refusal.buildRefusalHeaders(refusal),
  );
  response.end(Refusal.buildRefusalBody(refusal));
}

/** What the end of an attempt says of its backend server. */
const SERVER_SIGNALS: Readonly<Record<
  RequestTypes.AttemptOutcome['result'],
  'failed' | 'succeeded' | undefined
>> = {
  busy: undefined, cancelled: undefined, failed: 'failed', ok: 'succeeded', silent: 'failed',
};

/** Starts the interface towards callers. */
export async function startEntryServer(
  context: DaemonContext.DaemonContext,
): Promise<HttpServer.RunningServer> {
  const { limits } = context.settings;
  const logger = Core.getPartLogger(context.logger, 'path');
  const relay: RelayChat.RelayContext = {
    agent: new http.Agent({ keepAlive: true, maxFreeSockets: 256 }),
    clock: context.clock,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    credential: context.settings.backendCredential,
    explain: (requestId, filter, decision, detail) => context.explanations.add(requestId, {
      atMs: context.clock.readWall(), decision, filter, ...detail === undefined ? {} : { detail },
    }),
    metrics: context.metrics,
    observeServer: (id, result) => {
      const tag = SERVER_SIGNALS[result];
      if (tag !== undefined) context.servers.directory.applyEvent({ _tag: tag, id });
    },
    ports: context.ports,
    silentStreamMs: limits.silentStreamMs,
  };
  const bodies = ReceiveBody.createBodyReceiver(limits.bodyBytes, TOTAL_BODY_BYTES);
  const handlers = RequestHandlers.createRequestHandlers(context, relay);
  const table: Readonly<Record<string, RequestHandlers.RequestHandler>> = {
    'GET /v1/models': handlers.handleModels,
    [`POST ${Classify.CHAT_PATH}`]: handlers.handleChat,
  };

  const handleRequest = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const [path = '/', query = ''] = (request.url ?? '/').split('?', 2);
    const requestId = Core.createId();
    response.setHeader('x-request-id', requestId);
    // During a drain each answer ends its connection, so that the caller takes another daemon.
    if (context.isDraining()) response.setHeader('connection', 'close');
    if (HealthRoutes.handleHealth(context, path, response)) return;
    const body = await bodies.receive(request);
    if (Refusal.isRefusal(body)) {
      context.metrics.addRefusal(body.code);
      response.setHeader('connection', 'close');
      sendRefusal(response, body);
      return;
    }
    if (response.closed) {
      bodies.release(body);
      return;
    }
    const abort = new AbortController();
    response.on('close', () => {
      bodies.release(body);
      if (!response.writableFinished) abort.abort();
    });
    const received: RequestTypes.ReceivedRequest = {
      body,
      headers: request.headers,
      method: request.method ?? 'GET',
      path,
      query,
      receivedAtMs: context.clock.readMonotonic(),
      requestId,
      signal: abort.signal,
      trace: context.tracing.startRequest(request.headers.traceparent, {
        'berylyoke.request_id': requestId, 'http.request.method': request.method ?? 'GET',
      }),
    };
    const handle = table[`${received.method} ${path}`] ?? handlers.handleRoute;
    const refusal = await handle(received, response, abort);
    received.trace?.end(refusal?.code ?? 'answered');
    if (refusal === undefined) return;
    context.metrics.addRefusal(refusal.code);
    relay.explain(requestId, 'refuse', refusal.code, { notRun: refusal.notRun });
    sendRefusal(response, refusal);
  };

  const server = http.createServer({
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
    headersTimeout: limits.requestReadMs,
    maxHeaderSize: limits.headerBytes,
    requestTimeout: limits.requestReadMs,
  }, (request, response) => {
    handleRequest(request, response).catch((error: unknown) => {
      logger.error({ err: error }, 'request failed');
      response.destroy();
    });
  });
  ClientErrors.handleClientErrors(server);
  server.maxConnections = limits.connections;
  return HttpServer.startHttpServer(server, context.settings.entry);
}
