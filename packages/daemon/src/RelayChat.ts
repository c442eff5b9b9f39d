/**
 * Relays chat completions: runs attempts until the response is complete, and resumes a broken
 * stream on another server after the last delivered token.
 */
import * as Core from '@berylyoke/core';
import * as http from 'node:http';
import * as AcquireDispatch from './AcquireDispatch.js';
import * as BackendCall from './BackendCall.js';
import * as ResponseWriter from './ResponseWriter.js';
import type * as RequestMetrics from './RequestMetrics.js';
import type * as DaemonPorts from './DaemonPorts.js';
import type * as RequestTypes from './RequestTypes.js';
import * as ReadResponse from './ReadResponse.js';
import * as Refusal from './Refusal.js';
import * as SseReader from './SseReader.js';

/** Largest number of attempts of one request, including the first. */
const MAX_ATTEMPTS = 3;
/** Length assumed for the time limit of a response that is not streamed, in tokens. */
const ASSUMED_OUTPUT_TOKENS = 4_096;
/** Multiple of a latency target after which a server without a response counts as silent. */
const SILENCE_TIMEOUT_FACTOR = 4;
/**
 * Time after which the connection of a caller that reads nothing is closed, since its request
 * occupies an engine, in milliseconds.
 */
const STALLED_CALLER_TIMEOUT_MS = 60_000;
/** Largest response of an engine that is not streamed, in bytes. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;
const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;
/** Statuses with which an engine reports that it has no capacity. */
const BUSY_STATUSES: readonly number[] = [429, 503];
/** Retry-After of requests whose attempts have all failed, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** Services of the daemon that relaying needs. */
export interface RelayContext {
  readonly clock: Core.Clock;
  readonly ports: DaemonPorts.DaemonPortRegistry;
  readonly agent: http.Agent;
  readonly credential: string;
  readonly metrics: RequestMetrics.RequestMetrics;
  readonly silentStreamMs: Core.Millis;
  readonly connectTimeoutMs: Core.Millis;
  /** Reports the result of an attempt to the directory of backend servers. */
  readonly recordServerResult: (
    serverId: string,
    result: RequestTypes.AttemptOutcome['result'],
  ) => void;
  readonly explain: (
    requestId: string,
    filter: string,
    decision: string,
    detail?: Readonly<Record<string, boolean | number | string | readonly string[]>>,
  ) => void;
}

type AttemptResult = 'aborted' | 'busy' | 'done' | 'failed' | 'rejected' | 'silent';

function buildHeaders(
  request: RequestTypes.ClassifiedRequest,
  credential: string,
  resumeFrom: number,
  traceparent: string | undefined,
): Record<string, string> {
  const { requestId } = request.received;
  return {
    accept: 'text/event-stream, application/json',
    authorization: `Bearer ${credential}`,
    'content-type': 'application/json',
    'x-priority': String(request.class.tier),
    'x-request-id': requestId,
    ...traceparent === undefined ? {} : { traceparent },
    ...resumeFrom > 0 ? { 'x-resume-from': String(resumeFrom) } : {},
  };
}

/**
 * Computes the longest time until the head of a response. Without streaming, an engine sends the
 * head after it has generated the complete response.
 */
function computeHeadTimeout(
  context: RelayContext,
  request: RequestTypes.ClassifiedRequest,
  { maxTokens = ASSUMED_OUTPUT_TOKENS, stream }: RequestTypes.ChatTarget,
): Core.Millis {
  const { betweenTokensMs, firstTokenMs } = request.class;
  const headTimeoutMs = Math.max(context.silentStreamMs, SILENCE_TIMEOUT_FACTOR * firstTokenMs);
  return stream
    ? headTimeoutMs
    : headTimeoutMs + SILENCE_TIMEOUT_FACTOR * betweenTokensMs * maxTokens;
}

/** Cancels a request on its server, which may not have noticed that the connection is closed. */
function cancelOnServer(context: RelayContext, address: string, requestId: string): void {
  const request = http.request({
    agent: context.agent,
    headers: { authorization: `Bearer ${context.credential}` },
    host: address.split(':')[0],
    method: 'DELETE',
    path: `/v1/requests/${requestId}`,
    port: Number(address.split(':')[1]),
    timeout: context.connectTimeoutMs,
  }, (answer) => answer.resume());
  request.on('timeout', () => request.destroy());
  request.on('error', () => undefined);
  request.end();
}

interface StreamRelay {
  readonly context: RelayContext;
  readonly answer: http.IncomingMessage;
  readonly target: RequestTypes.ChatTarget;
  readonly requestId: string;
  readonly responseWriter: ResponseWriter.ResponseWriter;
  readonly signal: AbortSignal;
  readonly observeTokens: ((tokens: number) => void) | undefined;
}

function relayStream({
  answer, context, responseWriter, observeTokens, requestId, signal, target,
}: StreamRelay): Promise<AttemptResult> {
  const reader = SseReader.createSseReader(requestId);
  // Comments and chunks without a token bring the caller no nearer to its answer, and the reader
  // holds such chunks back.
  const allowance = Core.createSendAllowance(SseReader.MAX_EVENT_BYTES);
  return new Promise((resolve, reject) => {
    let isFinished = false;
    let timer: NodeJS.Timeout | undefined;
    const finish = (result: AttemptResult): void => {
      if (isFinished) return;
      isFinished = true;
      clearTimeout(timer);
      if (result !== 'done') answer.destroy();
      resolve(result);
    };
    const handleError = (error: unknown): void => {
      reject(error);
      finish('failed');
    };
    const startSilenceTimer = (): void => {
      timer = setTimeout(() => finish('silent'), context.silentStreamMs);
    };
    const handleStreamEnd = (): void => finish(signal.aborted ? 'aborted' : 'failed');
    startSilenceTimer();
    answer.on('data', Core.withErrorHandler((data: Buffer) => {
      if (isFinished) return;
      timer?.refresh();
      allowance.spendBytes(data.length);
      allowance.spendPieces(1);
      const batch = reader.read(data);
      if (batch.tokens > 0) {
        allowance.reset();
        observeTokens?.(batch.tokens);
      }
      if (batch.state === 'done') {
        responseWriter.endStream(batch, target.includeUsage);
        finish('done');
        return;
      }
      const isWritable = responseWriter.writeBatch(batch);
      // An engine that mixes up responses may also have sent a token of this one to another
      // request, so the rest of the response is generated on another engine.
      if (batch.state === 'invalid' || allowance.isExhausted()) finish('failed');
      if (isWritable || isFinished) return;
      // The caller is slower than the engine: stop reading until the write buffer is empty.
      answer.pause();
      clearTimeout(timer);
      timer = setTimeout(() => finish('aborted'), STALLED_CALLER_TIMEOUT_MS);
      responseWriter.onDrain(Core.withErrorHandler(() => {
        if (isFinished) return;
        clearTimeout(timer);
        startSilenceTimer();
        answer.resume();
      }, handleError));
    }, handleError));
    answer.on('end', handleStreamEnd);
    answer.on('error', handleStreamEnd);
    answer.on('close', handleStreamEnd);
  });
}

function parseUsage(
  body: Buffer,
  requestId: string,
): SseReader.SseUsage | undefined {
  try {
    const answer = JSON.parse(body.toString('utf8')) as {
      id?: unknown;
      usage?: { completion_tokens?: number; prompt_tokens?: number };
    };
    if (typeof answer.id !== 'string' || !answer.id.startsWith(requestId)) return undefined;
    return {
      inputTokens: answer.usage?.prompt_tokens ?? 0,
      outputTokens: answer.usage?.completion_tokens ?? 0,
    };
  } catch {
    return undefined;
  }
}

async function relayWithoutStream(
  answer: http.IncomingMessage,
  requestId: string,
  responseWriter: ResponseWriter.ResponseWriter,
): Promise<AttemptResult> {
  const body = await ReadResponse.readResponseBody(answer, MAX_RESPONSE_BYTES);
  const usage = body === undefined ? undefined : parseUsage(body, requestId);
  if (body === undefined || usage === undefined) return 'failed';
  responseWriter.endWithBody(body, usage);
  return 'done';
}

const RESULTS_BY_FAILURE: Readonly<Record<BackendCall.BackendFailure['reason'], AttemptResult>> = {
  aborted: 'aborted', connection: 'failed', 'not-permitted': 'failed', silent: 'silent',
};

async function runAttempt(
  context: RelayContext,
  request: RequestTypes.ClassifiedRequest,
  target: RequestTypes.ChatTarget,
  dispatch: RequestTypes.Dispatch,
  responseWriter: ResponseWriter.ResponseWriter,
  traceparent: string | undefined,
): Promise<AttemptResult> {
  const { requestId, signal } = request.received;
  const { delivered } = responseWriter.getProgress();
  const answer = await BackendCall.sendBackendRequest({
    address: dispatch.server.address,
    agent: context.agent,
    body: target.payload,
    connectTimeoutMs: context.connectTimeoutMs,
    headTimeoutMs: computeHeadTimeout(context, request, target),
    headers: buildHeaders(request, context.credential, delivered, traceparent),
    method: 'POST',
    path: '/v1/chat/completions',
    signal,
  });
  if (BackendCall.isBackendFailure(answer)) {
    return RESULTS_BY_FAILURE[answer.reason];
  }
  const echoedId = answer.headers['x-request-id'];
  if (echoedId !== undefined && echoedId !== requestId) {
    // The response to this request is still to come on the connection.
    answer.destroy();
    return 'failed';
  }
  if (answer.statusCode !== HTTP_OK) {
    answer.resume();
    if (BUSY_STATUSES.includes(answer.statusCode ?? 0)) return 'busy';
    return (answer.statusCode ?? HTTP_SERVER_ERROR) < HTTP_SERVER_ERROR ? 'rejected' : 'failed';
  }
  if (!target.stream) return relayWithoutStream(answer, requestId, responseWriter);
  responseWriter.writeStreamHead();
  return relayStream({
    answer,
    context,
    responseWriter,
    observeTokens: dispatch.observeTokens,
    requestId,
    signal,
    target,
  });
}

const OUTCOMES_BY_RESULT: Readonly<Record<AttemptResult, RequestTypes.AttemptOutcome['result']>> = {
  aborted: 'cancelled',
  busy: 'busy',
  done: 'ok',
  failed: 'failed',
  rejected: 'ok',
  silent: 'silent',
};

/** Outcome of a chat completion whose response has ended. */
export interface ChatOutcome extends ResponseWriter.ResponseProgress {
  readonly _tag: 'ChatOutcome';
  readonly result: 'aborted' | 'broken' | 'done';
}

function buildAttemptOutcome(
  result: AttemptResult,
  startedMs: Core.Millis,
  endedMs: Core.Millis,
  { delivered, firstTokenAtMs, usage }: ResponseWriter.ResponseProgress,
): RequestTypes.AttemptOutcome {
  return {
    durationMs: endedMs - startedMs,
    // An attempt that resumes a stream did not generate the first token.
    firstTokenMs: firstTokenAtMs === undefined || firstTokenAtMs < startedMs
      ? undefined
      : firstTokenAtMs - startedMs,
    outputTokens: usage?.outputTokens ?? delivered,
    result: OUTCOMES_BY_RESULT[result],
  };
}

/** Relays a chat completion until its response has ended, or returns the refusal to send. */
export async function relayChat(
  context: RelayContext,
  request: RequestTypes.ClassifiedRequest,
  target: RequestTypes.ChatTarget,
  response: http.ServerResponse,
): Promise<ChatOutcome | Refusal.Refusal> {
  const { received: { requestId, signal, trace } } = request;
  const retryBudget = context.ports.get('retry');
  const responseWriter = ResponseWriter.createResponseWriter(response, context.clock);
  const finish = (result: ChatOutcome['result']): ChatOutcome => ({
    _tag: 'ChatOutcome', ...responseWriter.getProgress(), result,
  });
  const endWithFailure = (refusal: Refusal.Refusal): ChatOutcome | Refusal.Refusal => {
    if (!responseWriter.getProgress().isHeadSent) return refusal;
    responseWriter.closeConnection();
    return finish(signal.aborted ? 'aborted' : 'broken');
  };

  const attempt = async (excluded: readonly string[]): Promise<ChatOutcome | Refusal.Refusal> => {
    const dispatch = await AcquireDispatch.acquireDispatch(context, request, excluded);
    if (Refusal.isRefusal(dispatch)) {
      return endWithFailure(excluded.length === 0 ? dispatch : { ...dispatch, notRun: false });
    }
    const { server } = dispatch;
    const startedMs = context.clock.readMonotonic();
    if (excluded.length === 0) {
      context.metrics.observe('queue', request.class.id, startedMs - request.received.receivedAtMs);
    }
    const span = trace?.startChild('berylyoke.forward', { 'berylyoke.server': server.id });
    const settle = (result: AttemptResult): void => dispatch.settle(buildAttemptOutcome(
      result,
      startedMs,
      context.clock.readMonotonic(),
      responseWriter.getProgress(),
    ));
    const result = await runAttempt(
      context,
      request,
      target,
      dispatch,
      responseWriter,
      span?.traceparent,
    ).catch((error: unknown) => {
      // An unexpected error of the daemon is no failure of the server.
      span?.end('aborted');
      settle('aborted');
      throw error;
    });
    span?.end(result);
    const progress = responseWriter.getProgress();
    if (result === 'silent') cancelOnServer(context, server.address, requestId);
    settle(result);
    context.explain(requestId, 'forward', result, {
      delivered: progress.delivered, server: server.id,
    });
    if (result === 'done') return finish('done');
    if (result === 'aborted' || signal.aborted) {
      return endWithFailure({ ...AcquireDispatch.getAbortRefusal(signal), notRun: false });
    }
    if (result === 'rejected') {
      return endWithFailure(Refusal.createUnknownOutcome(
        'backend_failed',
        'the backend server rejected the request',
      ));
    }
    const kind = progress.delivered > 0 ? 'resume' : 'restart';
    if (excluded.length + 1 < MAX_ATTEMPTS) {
      if (retryBudget.claim(kind === 'resume')) {
        context.metrics.addRetry(kind);
        return attempt([...excluded, server.id]);
      }
      context.metrics.addRetry('denied');
    }
    const refusal = result === 'busy'
      ? Refusal.createUnknownOutcome('overloaded', 'the backend servers have no room')
      : Refusal.createUnknownOutcome('backend_failed', 'every attempt on a backend server failed');
    return endWithFailure({ ...refusal, retryAfterMs: RETRY_AFTER_MS });
  };
  retryBudget.addRequest();
  return attempt([]);
}
