/**
 * Handlers of chat completions, the model list and configured routes. Each identifies the caller,
 * classifies the request, relays it to a backend server and records its usage.
 */
import type * as Config from '@berylyoke/config';
import type * as http from 'node:http';
import * as Classify from './Classify.js';
import type * as DaemonContext from './DaemonContext.js';
import * as Identify from './Identify.js';
import type * as RequestTypes from './RequestTypes.js';
import * as Refusal from './Refusal.js';
import * as RelayChat from './RelayChat.js';
import * as RelayRoute from './RelayRoute.js';

const HTTP_OK = 200;

function buildModelList({ models }: RequestTypes.Caller['plan']): string {
  return JSON.stringify({
    data: models.map((id) => ({
      created: 0, id, object: 'model', owned_by: 'berylyoke',
    })),
    object: 'list',
  });
}

function observeAnswer(
  { clock, metrics }: DaemonContext.DaemonContext,
  { class: { id }, received }: RequestTypes.ClassifiedRequest,
  { delivered, firstTokenAtMs, result }: RelayChat.ChatOutcome,
): void {
  metrics.addAnswer(id, result, delivered);
  if (firstTokenAtMs === undefined) return;
  metrics.observe('firstToken', id, firstTokenAtMs - received.receivedAtMs);
  if (delivered < 2) return;
  const sinceFirstMs = clock.readMonotonic() - firstTokenAtMs;
  metrics.observe('betweenTokens', id, sinceFirstMs / (delivered - 1));
}

/** Handles a request and writes its response, or returns the refusal to send. */
export type RequestHandler = (
  received: RequestTypes.ReceivedRequest,
  response: http.ServerResponse,
  abort: AbortController,
) => Promise<Refusal.Refusal | undefined>;

/** What is known of a request before its body is read. */
export type RequestHeadView = Pick<RequestTypes.ReceivedRequest, 'headers' | 'method' | 'path'>;

/** Checks a request before its body is read; undefined if its body may be read. */
export type HeadCheck = (head: RequestHeadView) => Refusal.Refusal | undefined;

interface RouteAccess {
  readonly caller: RequestTypes.Caller | undefined;
  readonly route: Config.Route;
}

/** Creates the request handlers of a daemon. */
export function createRequestHandlers(
  context: DaemonContext.DaemonContext,
  relay: RelayChat.RelayContext,
): {
  /** Checks the key of a chat completion or of a request for the model list. */
  readonly checkCaller: HeadCheck;
  /** Checks path, method and key of a call to a plain service. */
  readonly checkRoute: HeadCheck;
  readonly handleChat: RequestHandler;
  readonly handleModels: RequestHandler;
  readonly handleRoute: RequestHandler;
} {
  const identify = (
    head: RequestHeadView,
  ): RequestTypes.Caller | Refusal.Refusal => Identify.identifyCaller(
    head.headers,
    context.config.getState(),
    context.ports.get('keyGuard'),
    context.clock.readMonotonic(),
  );

  const findRouteAccess = (head: RequestHeadView): RouteAccess | Refusal.Refusal => {
    const route = Classify.findRoute(context.config.getState().lists, head.path);
    if (route === undefined) return Refusal.createRefusal('not_found', 'no such path');
    if (!(route.methods as readonly string[]).includes(head.method)) {
      return Refusal.createRefusal('method_not_allowed', 'the route does not allow this method');
    }
    const caller = route.open ? undefined : identify(head);
    return Refusal.isRefusal(caller) ? caller : { caller, route };
  };

  const checkCaller: HeadCheck = (head) => {
    const caller = identify(head);
    return Refusal.isRefusal(caller) ? caller : undefined;
  };

  const checkRoute: HeadCheck = (head) => {
    const access = findRouteAccess(head);
    return Refusal.isRefusal(access) ? access : undefined;
  };

  const runActive = async <A>(
    request: RequestTypes.ClassifiedRequest,
    abort: AbortController,
    run: (activeRequest: RequestTypes.ClassifiedRequest) => Promise<A>,
  ): Promise<A> => {
    let isRunning = false;
    const undo = context.activeRequests.register({
      end: () => abort.abort(Refusal.createRefusal('key_withdrawn', 'the key was withdrawn')),
      isRunning: () => isRunning,
      keyId: request.caller?.keyId,
      repeatable: request.repeatable,
      requestId: request.received.requestId,
    });
    const onDispatched = (): void => {
      isRunning = true;
    };
    try {
      return await run({ ...request, onDispatched });
    } finally {
      undo();
    }
  };

  const explainClassification = (request: RequestTypes.ClassifiedRequest): void => relay.explain(
    request.received.requestId,
    'classify',
    'accepted',
    {
      account: request.caller?.account.id ?? 'open',
      class: request.class.id,
      tier: request.class.tier,
    },
  );

  const handleChat: RequestHandler = async (received, response, abort) => {
    const caller = identify(received);
    if (Refusal.isRefusal(caller)) return caller;
    const request = Classify.classifyChat(received, caller, context.config.getState().lists);
    if (Refusal.isRefusal(request)) return request;
    explainClassification(request);
    const target = request.target as RequestTypes.ChatTarget;
    const outcome = await runActive(request, abort, (activeRequest) => (
      RelayChat.relayChat(relay, activeRequest, target, response)
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
    observeAnswer(context, request, outcome);
    return undefined;
  };

  const handleModels: RequestHandler = async (received, response) => {
    const caller = identify(received);
    if (Refusal.isRefusal(caller)) return caller;
    response.writeHead(HTTP_OK, { 'content-type': 'application/json' });
    response.end(buildModelList(caller.plan));
    return undefined;
  };

  const handleRoute: RequestHandler = async (received, response, abort) => {
    // Keys and routes may have changed while the body was read.
    const access = findRouteAccess(received);
    if (Refusal.isRefusal(access)) return access;
    const { caller, route } = access;
    const { lists } = context.config.getState();
    const request = Classify.classifyRoute(received, caller, lists, route);
    if (Refusal.isRefusal(request)) return request;
    explainClassification(request);
    const target = request.target as RequestTypes.RouteTarget;
    const outcome = await runActive(request, abort, (activeRequest) => (
      RelayRoute.relayRoute(relay, activeRequest, target, response)
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
    context.metrics.addAnswer(request.class.id, 'done', 0);
    context.metrics.observe(
      'firstToken',
      request.class.id,
      context.clock.readMonotonic() - received.receivedAtMs,
    );
    return undefined;
  };
  return {
    checkCaller, checkRoute, handleChat, handleModels, handleRoute,
  };
}
