/**
 * Fake of a model engine. It serves OpenAI chat completions with a bounded number of slots and a
 * prefix cache, supports resumption and cancellation, publishes delayed load reports and checks the
 * fencing tokens of orders. Operation `chat` supports the faults crash, crossed, delay, refusal,
 * silence and slow.
 */
import * as Either from 'effect/Either';
import * as Schema from 'effect/Schema';
import type * as http from 'node:http';
import * as DelayedValue from './DelayedValue.js';
import * as EngineSlots from './EngineSlots.js';
import * as EngineStream from './EngineStream.js';
import * as EngineText from './EngineText.js';
import * as FakeServer from './FakeServer.js';
import type * as Faults from './Faults.js';
import * as ReceivedRequests from './ReceivedRequests.js';

const HTTP_BAD_REQUEST = 400;
const HTTP_CONFLICT = 409;
const HTTP_NOT_FOUND = 404;
const HTTP_OK = 200;
const HTTP_TOO_MANY = 429;
const HTTP_UNAVAILABLE = 503;
/** Fraction by which a fully cached prompt shortens the time to first token. */
const CACHED_PROMPT_SAVING = 0.8;
const LOWEST_PRIORITY = 9;

/** Options of the fake; times are in milliseconds. */
export interface FakeEngineOptions {
  readonly port?: number;
  readonly models?: readonly string[];
  readonly slots?: number;
  readonly queueLimit?: number;
  readonly firstTokenMs?: number;
  readonly betweenTokensMs?: number;
  /** Tokens of an answer unless the request sets a lower limit. */
  readonly answerTokens?: number;
  /** Capacity of the cache, in prompt prefixes. */
  readonly maxCachedPrefixes?: number;
  readonly loadLagMs?: number;
  /** Whether an order with a lower fencing token than an earlier one is refused. */
  readonly isFenceChecked?: boolean;
}

const EngineOrder = Schema.Struct({
  action: Schema.String,
  fence: Schema.Int,
  model: Schema.optional(Schema.String),
  orderId: Schema.String,
});
/** An order that the engine executed. */
export type EngineOrder = typeof EngineOrder.Type;

/** Totals of chat requests and tokens since the start. */
export interface EngineCounts {
  readonly started: number;
  readonly finished: number;
  readonly cancelled: number;
  readonly tokens: number;
}

/** A running fake engine. */
export interface FakeEngine extends FakeServer.FakeServer {
  readonly getCounts: () => EngineCounts;
  readonly listOrders: () => readonly EngineOrder[];
  readonly listReceivedRequests: () => readonly ReceivedRequests.ReceivedRequest[];
}

const decodeBody = Schema.decodeUnknownEither(Schema.parseJson(EngineText.ChatBody));
const decodeOrder = Schema.decodeUnknownSync(EngineOrder);

function buildError(status: number, code: string, message: string): FakeServer.FakeAnswer {
  return { body: { error: { code, message, type: 'engine_error' } }, status };
}

/** Adds prefixes to the least-recently-used cache; returns the fraction that it already held. */
function updatePrefixCache(
  prefixCache: Set<string>,
  prefixes: readonly string[],
  limit: number,
): number {
  const cached = prefixes.filter((prefix) => prefixCache.has(prefix)).length;
  prefixes.forEach((prefix) => {
    prefixCache.delete(prefix);
    prefixCache.add(prefix);
  });
  [...prefixCache].slice(0, Math.max(0, prefixCache.size - limit)).forEach((prefix) => (
    prefixCache.delete(prefix)
  ));
  return prefixes.length === 0 ? 0 : cached / prefixes.length;
}

/** Starts the fake on a loopback port. */
export async function startFakeEngine({
  answerTokens = 32,
  betweenTokensMs = 5,
  firstTokenMs = 20,
  isFenceChecked = true,
  loadLagMs = 0,
  maxCachedPrefixes = 1_000,
  models = ['small-chat'],
  port = 0,
  queueLimit = 64,
  slots = 32,
}: FakeEngineOptions = {}): Promise<FakeEngine> {
  const loadedModels = new Set(models);
  const prefixCache = new Set<string>();
  const cancelById = new Map<string, () => void>();
  const orders: EngineOrder[] = [];
  const receivedRequests = ReceivedRequests.createRequestList();
  const loadReport = DelayedValue.createDelayedValue({ queued: 0, running: 0 }, loadLagMs);
  const counts = {
    cancelled: 0, finished: 0, started: 0, tokens: 0,
  };
  let highestFence = -1;
  let chatCount = 0;
  const faultSource: { take: (operation: string) => Faults.Fault | undefined } = {
    take: () => undefined,
  };
  const engineSlots: EngineSlots.EngineSlots = EngineSlots.createEngineSlots(
    slots,
    queueLimit,
    () => loadReport.set(engineSlots.getCounts()),
  );

  const runChat = (
    request: FakeServer.FakeRequest,
    response: http.ServerResponse,
    body: EngineText.ChatBody,
  ): FakeServer.FakeAnswer => {
    const fault = faultSource.take('chat');
    if (fault?.kind === 'refusal') return buildError(HTTP_UNAVAILABLE, 'refused', 'refused');
    chatCount += 1;
    const id = request.headers['x-request-id']?.toString() ?? `engine-${chatCount}`;
    const from = Number(request.headers['x-resume-from'] ?? 0);
    const text = EngineText.buildEngineText(body, answerTokens);
    const timers: NodeJS.Timeout[] = [];
    const stopStreams: (() => void)[] = [];
    let finished = false;

    const finish = (): void => {
      finished = true;
      counts.finished += 1;
    };
    const sendCompletion = (): void => {
      if (fault?.kind === 'silence') return;
      if (fault?.kind === 'crash') {
        response.destroy();
        return;
      }
      counts.tokens += text.length - from;
      finish();
      response.writeHead(HTTP_OK, { 'content-type': 'application/json', 'x-request-id': id });
      response.end(JSON.stringify(EngineStream.buildCompletion(
        id,
        body.model,
        text,
        EngineText.joinTokens(text, from),
      )));
    };
    const startStream = (): void => {
      stopStreams.push(EngineStream.startEngineStream({
        betweenTokensMs,
        body,
        fault,
        from,
        id,
        onFinish: finish,
        onToken: () => {
          counts.tokens += 1;
        },
        response,
        text,
      }));
    };

    const start = (): void => {
      counts.started += 1;
      const cachedFraction = updatePrefixCache(prefixCache, text.prefixes, maxCachedPrefixes);
      const prefillMs = firstTokenMs * (1 - CACHED_PROMPT_SAVING * cachedFraction)
        + (fault?.kind === 'delay' ? fault.delayMs : 0);
      const decodeMs = betweenTokensMs * Math.max(0, text.length - from);
      const sendOutput = body.stream === true ? startStream : sendCompletion;
      const delayMs = body.stream === true ? prefillMs : prefillMs + decodeMs;
      // Without a delay no timer is used: a timer takes at least 1 ms, which would hide the
      // latencies that benchmarks measure.
      if (delayMs === 0) sendOutput();
      else timers.push(setTimeout(sendOutput, delayMs));
    };
    const slot = engineSlots.acquire(
      Number(request.headers['x-priority'] ?? LOWEST_PRIORITY),
      start,
    );
    if (!slot.accepted) return buildError(HTTP_TOO_MANY, 'queue_full', 'the queue is full');
    cancelById.set(id, () => response.destroy());
    response.on('close', () => {
      timers.forEach((timer) => clearTimeout(timer));
      stopStreams.forEach((stopStream) => stopStream());
      cancelById.delete(id);
      slot.release();
      if (!finished) counts.cancelled += 1;
    });
    return undefined;
  };

  const server = await FakeServer.startFakeServer([
    {
      handle: (request, response) => {
        receivedRequests.add({
          headers: request.headers, method: request.method, path: request.path,
        });
        const body = decodeBody(request.text);
        if (Either.isLeft(body)) {
          return buildError(HTTP_BAD_REQUEST, 'invalid_body', body.left.message);
        }
        if (!loadedModels.has(body.right.model)) {
          const message = `model ${body.right.model} is not loaded`;
          return buildError(HTTP_NOT_FOUND, 'model_not_loaded', message);
        }
        return runChat(request, response, body.right);
      },
      name: 'chat',
      pattern: /^POST \/v1\/chat\/completions$/,
      takesFaults: true,
    },
    {
      handle: (_, __, [, id = '']) => {
        const cancel = cancelById.get(decodeURIComponent(id));
        cancel?.();
        return { body: {}, status: cancel === undefined ? HTTP_NOT_FOUND : HTTP_OK };
      },
      name: 'cancel',
      pattern: /^DELETE \/v1\/requests\/([^/]+)$/,
    },
    {
      handle: () => ({
        body: { ...loadReport.get(), models: [...loadedModels], slots }, status: HTTP_OK,
      }),
      name: 'load',
      pattern: /^GET \/load$/,
    },
    {
      handle: () => ({ body: counts, status: HTTP_OK }),
      name: 'counts',
      pattern: /^GET \/counts$/,
    },
    {
      handle: () => ({ body: receivedRequests.list(), status: HTTP_OK }),
      name: 'seen',
      pattern: /^GET \/seen$/,
    },
    {
      handle: ({ text }) => {
        const order = decodeOrder(JSON.parse(text));
        if (isFenceChecked && order.fence < highestFence) {
          return { body: { fence: highestFence }, status: HTTP_CONFLICT };
        }
        highestFence = Math.max(highestFence, order.fence);
        if (!orders.some(({ orderId }) => orderId === order.orderId)) {
          orders.push(order);
          if (order.model !== undefined) loadedModels.add(order.model);
        }
        return { body: { orderId: order.orderId }, status: HTTP_OK };
      },
      name: 'order',
      pattern: /^POST \/orders$/,
    },
    {
      handle: () => ({ body: orders, status: HTTP_OK }),
      name: 'orders',
      pattern: /^GET \/orders$/,
    },
  ], port);
  faultSource.take = server.faults.take;
  return {
    ...server,
    getCounts: () => ({ ...counts }),
    listOrders: () => orders,
    listReceivedRequests: receivedRequests.list,
  };
}
