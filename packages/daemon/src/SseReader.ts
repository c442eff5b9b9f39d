/**
 * Splits server-sent events of an engine's stream and checks that each chunk belongs to the
 * request. Works on bytes: only the last events of a stream are parsed as JSON.
 */

/** What one read of the stream gave. */
export interface SseBatch {
  /** Whole events to pass on, in order; empty when there are none. */
  readonly forward: Buffer;
  /** Chunks in `forward` that carry a token. */
  readonly tokens: number;
  readonly usage: SseUsage | undefined;
  /** The usage chunk as received, for callers that asked for it. */
  readonly usageEvent: Buffer | undefined;
  /** The end marker was read. */
  readonly done: boolean;
  /** A chunk of another request was read and left out. */
  readonly foreign: number;
}

/** Usage counts of an answer, in tokens. */
export interface SseUsage {
  readonly inputTokens: number;
  readonly outputTokens: number;
}

/** Reader of one stream. */
export interface SseReader {
  readonly read: (data: Buffer) => SseBatch;
}

const EVENT_END = Buffer.from('\n\n');
const DONE = Buffer.from('data: [DONE]');
const EMPTY_CHOICES = Buffer.from('"choices":[]');
const EMPTY = Buffer.alloc(0);

function parseUsage(event: Buffer): SseUsage | undefined {
  try {
    const { usage } = JSON.parse(event.subarray('data: '.length).toString('utf8')) as {
      usage?: { completion_tokens?: number; prompt_tokens?: number };
    };
    if (usage === undefined || usage === null) return undefined;
    return {
      inputTokens: usage.prompt_tokens ?? 0, outputTokens: usage.completion_tokens ?? 0,
    };
  } catch {
    return undefined;
  }
}

/** Creates a reader that accepts only chunks whose id is that of the request. */
export function createSseReader(requestId: string): SseReader {
  const idMarker = Buffer.from(`"id":"chatcmpl-${requestId}"`);
  let rest: Buffer = EMPTY;

  const read = (data: Buffer): SseBatch => {
    const buffer = rest.length === 0 ? data : Buffer.concat([rest, data]);
    const parts: Buffer[] = [];
    let tokens = 0;
    let foreign = 0;
    let done = false;
    let usage: SseUsage | undefined;
    let usageEvent: Buffer | undefined;
    let start = 0;
    // Adjacent events are passed on as one slice, so that a batch costs one write.
    let sliceStart = 0;
    const cutSlice = (end: number, next: number): void => {
      if (end > sliceStart) parts.push(buffer.subarray(sliceStart, end));
      sliceStart = next;
    };
    let end = buffer.indexOf(EVENT_END);
    while (end !== -1 && !done) {
      const next = end + EVENT_END.length;
      const event = buffer.subarray(start, end);
      if (event.indexOf(DONE) === 0) {
        done = true;
        cutSlice(start, next);
      } else if (event.indexOf(idMarker) === -1) {
        if (event.length > 0 && event[0] !== 0x3a) foreign += 1;
        cutSlice(start, next);
      } else if (event.indexOf(EMPTY_CHOICES) !== -1) {
        usage = parseUsage(event);
        usageEvent = buffer.subarray(start, next);
        cutSlice(start, next);
      } else {
        tokens += 1;
      }
      start = next;
      end = buffer.indexOf(EVENT_END, start);
    }
    cutSlice(start, start);
    rest = buffer.subarray(start);
    const [only] = parts;
    return {
      done,
      foreign,
      forward: parts.length === 1 && only !== undefined ? only : Buffer.concat(parts),
      tokens,
      usage,
      usageEvent,
    };
  };

  return { read };
}
