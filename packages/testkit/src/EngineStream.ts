/** Writes an answer of the fake engine as a stream or as one body, and injects stream faults. */
import type * as http from 'node:http';
import type * as EngineText from './EngineText.js';
import type * as Faults from './Faults.js';

/** Options of one stream. `from` is the index of the first token to write. */
export interface EngineStreamOptions {
  readonly betweenTokensMs: number;
  readonly body: EngineText.ChatBody;
  readonly fault: Faults.Fault | undefined;
  readonly from: number;
  readonly id: string;
  readonly response: http.ServerResponse;
  readonly text: EngineText.EngineText;
  readonly onToken: () => void;
  readonly onFinish: () => void;
}

function buildUsage(text: EngineText.EngineText): unknown {
  return {
    completion_tokens: text.length,
    prompt_tokens: text.promptTokens,
    total_tokens: text.length + text.promptTokens,
  };
}

/** Builds the body of an answer that is not streamed. */
export function buildCompletion(
  id: string,
  model: string,
  text: EngineText.EngineText,
  content: string,
): unknown {
  return {
    choices: [{
      finish_reason: text.finishReason,
      index: 0,
      logprobs: null,
      message: { content, refusal: null, role: 'assistant' },
    }],
    created: Math.floor(Date.now() / 1_000),
    id,
    model,
    object: 'chat.completion',
    usage: buildUsage(text),
  };
}

/**
 * Starts to write server-sent events with one token in each chunk.
 *
 * @returns a function that stops the stream; it does not end the response
 */
export function startEngineStream(options: EngineStreamOptions): () => void {
  const {
    body, fault, from, id, response, text,
  } = options;
  const created = Math.floor(Date.now() / 1_000);
  const formatChunk = (chunkId: string, choices: unknown, usage?: unknown): string => (
    `data: ${JSON.stringify({
      choices,
      created,
      id: chunkId,
      model: body.model,
      object: 'chat.completion.chunk',
      ...usage === undefined ? {} : { usage },
    })}\n\n`
  );
  const formatToken = (chunkId: string, delta: unknown): string => (
    formatChunk(chunkId, [{ delta, finish_reason: null, index: 0 }])
  );
  const intervalMs = options.betweenTokensMs + (fault?.kind === 'slow' ? fault.delayMs : 0);
  let tokenIndex = from;
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;

  const finish = (): void => {
    stopped = true;
    response.write(formatChunk(id, [{ delta: {}, finish_reason: text.finishReason, index: 0 }]));
    if (body.stream_options?.include_usage === true) {
      response.write(formatChunk(id, [], buildUsage(text)));
    }
    response.end('data: [DONE]\n\n');
    options.onFinish();
  };

  const applyFault = (): 'continue' | 'stop' => {
    if (fault === undefined || tokenIndex - from !== (fault.afterTokens ?? 0)) return 'continue';
    if (fault.kind === 'crash') response.destroy();
    if (fault.kind === 'crossed') response.write(formatToken('other-request', { content: 'X' }));
    return fault.kind === 'crash' || fault.kind === 'silence' ? 'stop' : 'continue';
  };

  const writeNextToken = (): void => {
    if (stopped || applyFault() === 'stop') return;
    if (tokenIndex >= text.length) {
      finish();
      return;
    }
    const role = tokenIndex === 0 ? { role: 'assistant' } : {};
    const hasCapacity = response.write(
      formatToken(id, { ...role, content: text.getToken(tokenIndex) }),
    );
    tokenIndex += 1;
    options.onToken();
    const scheduleNextToken = (): void => {
      if (intervalMs === 0) setImmediate(writeNextToken);
      else timer = setTimeout(writeNextToken, intervalMs);
    };
    if (hasCapacity) scheduleNextToken();
    else response.once('drain', scheduleNextToken);
  };

  response.writeHead(200, {
    'cache-control': 'no-cache',
    'content-type': 'text/event-stream',
    'x-request-id': id,
  });
  response.flushHeaders();
  writeNextToken();
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
}
