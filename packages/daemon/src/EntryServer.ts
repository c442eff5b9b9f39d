/**
 * HTTP interface towards callers, over Node's `http`: receives a request within its limits and
 * passes it through the filters of the path.
 */
import * as Core from '@berylyoke/core';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as Classify from './Classify.js';
import type * as DaemonContext from './DaemonContext.js';
import * as HealthRoutes from './HealthRoutes.js';
import * as Identify from './Identify.js';
import type * as PathTypes from './PathTypes.js';
import * as Refusal from './Refusal.js';
import * as RelayChat from './RelayChat.js';
import * as RelayRoute from './RelayRoute.js';

/** Time to open a connection to a backend server, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;

/** A running HTTP interface. */
export interface RunningServer {
  readonly url: string;
  readonly close: () => Promise<void>;
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
    close: async () => {
      const closed = new Promise((resolve) => {
        server.close(resolve);
      });
      server.closeIdleConnections();
      await closed;
    },
    url: `http://${host}:${address.port}`,
  };
}

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

function readBody(
  request: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | Refusal.Refusal> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) chunks.push(chunk);
      else {
        const message = `the body is larger than ${maxBytes} bytes`;
        resolve(Refusal.createRefusal('body_too_large', message));
      }
    });
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('error', () => {
      resolve(Refusal.createRefusal('invalid_request', 'the body was cut off'));
    });
  });
}

function buildModelList({ models }: PathTypes.Caller['plan']): string {
  return JSON.stringify({
    data: models.map((id) => ({
      created: 0, id, object: 'model', owned_by: 'berylyoke',
    })),
    object: 'list',
  });
}

type PathHandler = (
  received: PathTypes.ReceivedRequest,
  response: http.ServerResponse,
) => Promise<Refusal.Refusal | undefined>;

function createPathHandlers(
  context: DaemonContext.DaemonContext,
  relay: RelayChat.RelayContext,
): { readonly handleChat: PathHandler;
  readonly handleModels: PathHandler;
  readonly handleRoute: PathHandler; } {
  const identify = (
    received: PathTypes.ReceivedRequest,
  ): PathTypes.Caller | Refusal.Refusal => Identify.identifyCaller(
    received.headers,
    context.config.getState(),
    context.ports.get('keyGuard'),
    context.clock.readMonotonic(),
  );

  const runActive = async <A>(
    request: PathTypes.ClassifiedRequest,
    abort: AbortController,
    run: (active: PathTypes.ClassifiedRequest) => Promise<A>,
  ): Promise<A> => {
    const undo = context.active.register({
      end: () => abort.abort(),
      isRunning: () => true,
      keyId: request.caller?.keyId,
      repeatable: request.repeatable,
      requestId: request.received.requestId,
    });
    const signal = AbortSignal.any([request.received.signal, abort.signal]);
    try {
      return await run({ ...request, received: { ...request.received, signal } });
    } finally {
      undo();
    }
  };

  const explainClass = (request: PathTypes.ClassifiedRequest): void => relay.explain(
    request.received.requestId,
    'classify',
    'accepted',
    {
      account: request.caller?.account.id ?? 'open',
      class: request.class.id,
      tier: request.class.tier,
    },
  );

  const handleChat: PathHandler = async (received, response) => {
    const caller = identify(received);
    if (Refusal.isRefusal(caller)) return caller;
    const request = Classify.classifyChat(received, caller, context.config.getState().lists);
    if (Refusal.isRefusal(request)) return request;
    explainClass(request);
    const target = request.target as PathTypes.ChatTarget;
    const outcome = await runActive(request, new AbortController(), (active) => (
      RelayChat.relayChat(relay, active, target, response)
    ));
    if (Refusal.isRefusal(outcome)) return outcome;
    context.ports.get('usage').record({
      account: caller.account.id,
      class: request.class.id,
      inputTokens: outcome.usage?.inputTokens ?? 0,
      model: target.model,
      outputTokens: outcome.usage?.outputTokens ?? outcome.delivered,
    });
    relay.explain(received.requestId, 'account', outcome.result, { delivered: outcome.delivered });
    return undefined;
  };

  const handleModels: PathHandler = async (received, response) => {
    const caller = identify(received);
    if (Refusal.isRefusal(caller)) return caller;
    response.writeHead(HTTP_OK, { 'content-type': 'application/json' });
    response.end(buildModelList(caller.plan));
    return undefined;
  };

  const handleRoute: PathHandler = async (received, response) => {
    const { lists } = context.config.getState();
    const route = Classify.findRoute(lists, received.path);
    if (route === undefined) return Refusal.createRefusal('not_found', 'no such path');
    if (!(route.methods as readonly string[]).includes(received.method)) {
      return Refusal.createRefusal('method_not_allowed', 'the route does not allow this method');
    }
    const caller = route.open ? undefined : identify(received);
    if (Refusal.isRefusal(caller)) return caller;
    const request = Classify.classifyRoute(received, caller, lists, route);
    if (Refusal.isRefusal(request)) return request;
    explainClass(request);
    const target = request.target as PathTypes.RouteTarget;
    const outcome = await runActive(request, new AbortController(), (active) => (
      RelayRoute.relayRoute(relay, active, target, response)
    ));
    if (Refusal.isRefusal(outcome)) return outcome;
    context.ports.get('usage').record({
      account: caller?.account.id ?? 'open',
      class: request.class.id,
      inputTokens: 0,
      model: undefined,
      outputTokens: 0,
    });
    relay.explain(received.requestId, 'account', 'done', { status: outcome.status });
    return undefined;
  };
  return { handleChat, handleModels, handleRoute };
}

/** Starts the interface towards callers. */
export async function startEntryServer(
  context: DaemonContext.DaemonContext,
): Promise<RunningServer> {
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
    ports: context.ports,
    silentStreamMs: limits.silentStreamMs,
  };
  const handlers = createPathHandlers(context, relay);
  const table: Readonly<Record<string, PathHandler>> = {
    'GET /v1/models': handlers.handleModels,
    [`POST ${Classify.CHAT_PATH}`]: handlers.handleChat,
  };

  const handleRequest = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const [path = '/'] = (request.url ?? '/').split('?');
    const requestId = Core.createId();
    response.setHeader('x-request-id', requestId);
    if (HealthRoutes.handleHealth(context, path, response)) return;
    const body = await readBody(request, limits.bodyBytes);
    if (Refusal.isRefusal(body)) {
      response.setHeader('connection', 'close');
      sendRefusal(response, body);
      return;
    }
    const abort = new AbortController();
    response.on('close', () => {
      if (!response.writableFinished) abort.abort();
    });
    const received: PathTypes.ReceivedRequest = {
      body,
      headers: request.headers,
      method: request.method ?? 'GET',
      path,
      receivedAtMs: context.clock.readMonotonic(),
      requestId,
      signal: abort.signal,
    };
    const handle = table[`${received.method} ${path}`] ?? handlers.handleRoute;
    const refusal = await handle(received, response);
    if (refusal === undefined) return;
    relay.explain(requestId, 'refuse', refusal.code, { notRun: refusal.notRun });
    sendRefusal(response, refusal);
  };

  const server = http.createServer({
    headersTimeout: limits.requestReadMs,
    maxHeaderSize: limits.headerBytes,
    requestTimeout: limits.requestReadMs,
  }, (request, response) => {
    handleRequest(request, response).catch((error: unknown) => {
      logger.error({ err: error }, 'request failed');
      response.destroy();
    });
  });
  server.maxConnections = limits.connections;
  return startHttpServer(server, context.settings.entry);
}
