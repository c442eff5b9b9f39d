/** Writes the tokens of one answer of the fake engine, with the faults of its table. */
import type * as http from 'node:http';
import type * as EngineText from './EngineText.js';
import type * as Faults from './Faults.js';

/** What a stream needs to know. */
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

/** Builds a plain answer. */
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

/** Starts to write a stream of server-sent events, one token in each chunk; returns a stop. */
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
  const gapMs = options.betweenTokensMs + (fault?.kind === 'slow' ? fault.delayMs : 0);
  let index = from;
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

  const writeFault = (): 'continue' | 'stop' => {
    if (fault === undefined || index - from !== (fault.afterTokens ?? 0)) return 'continue';
    if (fault.kind === 'crash') response.destroy();
    if (fault.kind === 'crossed') response.write(formatToken('other-request', { content: 'X' }));
    return fault.kind === 'crash' || fault.kind === 'silence' ? 'stop' : 'continue';
  };

  const writeNext = (): void => {
    if (stopped || writeFault() === 'stop') return;
    if (index >= text.length) {
      finish();
      return;
    }
    const role = index === 0 ? { role: 'assistant' } : {};
    const writable = response.write(formatToken(id, { ...role, content: text.getToken(index) }));
    index += 1;
    options.onToken();
    const schedule = (): void => {
      if (gapMs === 0) setImmediate(writeNext);
      else timer = setTimeout(writeNext, gapMs);
    };
    if (writable) schedule();
    else response.once('drain', schedule);
  };

  response.writeHead(200, {
    'cache-control': 'no-cache',
    'content-type': 'text/event-stream',
    'x-request-id': id,
  });
  response.flushHeaders();
  writeNext();
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
}
