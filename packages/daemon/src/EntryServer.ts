/**
 * HTTP interface for callers, on Node's `http`: receives requests within their limits, passes them
 * to the request handlers and sends their refusals.
 */
import * as Core from '@berylyoke/core';
import * as http from 'node:http';
import * as Classify from './Classify.js';
import * as ClientErrors from './ClientErrors.js';
import type * as DaemonContext from './DaemonContext.js';
import * as HealthRoutes from './HealthRoutes.js';
import * as HttpServer from './HttpServer.js';
import * as ListenerLimits from './ListenerLimits.js';
import * as RequestHandlers from './RequestHandlers.js';
import type * as RequestTypes from './RequestTypes.js';
import * as ReceiveBody from './ReceiveBody.js';
import * as Refusal from './Refusal.js';
import type * as RelayChat from './RelayChat.js';

/** Longest time to open a connection to a backend server, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Interval at which Node checks the time limits of requests, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** Sends a refusal. If the body has not been received, the connection closes afterwards. */
function sendRefusal(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  refusal: Refusal.Refusal,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const { status } = Refusal.REFUSAL_CODES[refusal.code];
  const headers = Refusal.buildRefusalHeaders(refusal);
  const body = Refusal.buildRefusalBody(refusal);
  if (!Core.hasBody(request) || request.complete) {
    response.writeHead(status, headers);
    response.end(body);
    return;
  }
  response.writeHead(status, {
    ...headers, connection: 'close', 'content-length': Buffer.byteLength(body),
  });
  Core.endRefusal(request, response, body);
}

/** Event of the server directory for each result of an attempt; undefined for no event. */
const SERVER_EVENTS: Readonly<Record<
  RequestTypes.AttemptOutcome['result'],
  'failed' | 'succeeded' | undefined
>> = {
  busy: undefined, cancelled: undefined, failed: 'failed', ok: 'succeeded', silent: 'failed',
};

/** Starts the entry interface. Rejects if it cannot listen on its address. */
export async function startEntryServer(
  context: DaemonContext.DaemonContext,
): Promise<HttpServer.RunningServer> {
  const { limits } = context.settings;
  const relay: RelayChat.RelayContext = {
    agent: new http.Agent({ keepAlive: true, maxFreeSockets: 256 }),
    clock: context.clock,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    credential: context.settings.backendCredential,
    explain: (requestId, filter, decision, detail) => context.explanations.add(requestId, {
      atMs: context.clock.readWall(), decision, filter, ...detail === undefined ? {} : { detail },
    }),
    metrics: context.metrics,
    recordServerResult: (id, result) => {
      const eventTag = SERVER_EVENTS[result];
      if (eventTag !== undefined) context.servers.directory.applyEvent({ _tag: eventTag, id });
    },
    ports: context.ports,
    silentStreamMs: limits.silentStreamMs,
  };
  const handlers = RequestHandlers.createRequestHandlers(context, relay);
  const handlersByRoute: Readonly<Record<string, RequestHandlers.RequestHandler>> = {
    'GET /v1/models': handlers.handleModels,
    [`POST ${Classify.CHAT_PATH}`]: handlers.handleChat,
  };

  const handleRequest = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    requestId: string,
  ): Promise<void> => {
    const [path = '/', query = ''] = (request.url ?? '/').split('?', 2);
    response.setHeader('x-request-id', requestId);
    // During a drain each response closes its connection, so that the caller reconnects to another
    // daemon.
    if (context.isDraining()) response.setHeader('connection', 'close');
    if (HealthRoutes.handleHealth(context, path, response)) return;
    const { headers, method = 'GET' } = request;
    const handler = handlersByRoute[`${method} ${path}`];
    const checkHead = handler === undefined ? handlers.checkRoute : handlers.checkCaller;
    // A request without a valid key must not hold a body. The handlers check the key again, since
    // it may be withdrawn while the body is received.
    const headRefusal = checkHead({ headers, method, path });
    // Nothing else refuses the body of a request that is refused here.
    if (headRefusal !== undefined) Core.setRefusalHandler(request, () => undefined);
    // The parser has not processed what came with the head yet; a microtask runs after it.
    const body = await (headRefusal ?? ReceiveBody.receiveBody(request, limits.bodyBytes));
    if (Refusal.isRefusal(body)) {
      context.metrics.addRefusal(body.code);
      relay.explain(requestId, 'refuse', body.code, { notRun: body.notRun });
      sendRefusal(request, response, body);
      return;
    }
    if (response.closed) return;
    const abort = new AbortController();
    response.on('close', Core.withErrorHandler(() => {
      if (!response.writableFinished) abort.abort();
    }, (error) => context.handleDefect(error, requestId)));
    const received: RequestTypes.ReceivedRequest = {
      body,
      headers,
      method,
      path,
      query,
      receivedAtMs: context.clock.readMonotonic(),
      requestId,
      signal: abort.signal,
      trace: context.tracing.startRequest(request.headers.traceparent, {
        'berylyoke.request_id': requestId, 'http.request.method': method,
      }),
    };
    const refusal = await (handler ?? handlers.handleRoute)(received, response, abort);
    received.trace?.end(refusal?.code ?? 'answered');
    if (refusal === undefined) return;
    context.metrics.addRefusal(refusal.code);
    relay.explain(requestId, 'refuse', refusal.code, { notRun: refusal.notRun });
    sendRefusal(request, response, refusal);
  };

  const server = http.createServer({
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    headersTimeout: limits.requestReadMs,
    maxHeaderSize: limits.headerBytes,
    requestTimeout: limits.requestReadMs,
  });
  const handleIncoming: http.RequestListener = (request, response) => {
    const requestId = Core.createId();
    handleRequest(request, response, requestId).catch((error: unknown) => {
      context.handleDefect(error, requestId);
      response.destroy();
    });
  };
  Core.guardListener(server, {
    clock: context.clock,
    handleRequest: handleIncoming,
    limits: ListenerLimits.computeEntryLimits(limits),
    onEnd: (reason) => context.metrics.addGuardEnd('entry', reason),
    onError: (error) => context.handleDefect(error),
    refuseMalformed: ClientErrors.refuseMalformed,
  });
  return HttpServer.startHttpServer(server, context.settings.entry);
}
