/**
 * Splits an engine's stream into server-sent events and checks that each chunk belongs to the
 * request, that is, that its id starts with the request id. The reader works on bytes: it parses
 * JSON only for the usage chunk and for chunks that are not in compact form.
 */

/** Result of reading one piece of the stream. */
export interface SseBatch {
  /** Complete events to forward, in order; empty if there are none. */
  readonly forward: Buffer;
  /** Number of chunks in `forward` that carry a token. */
  readonly tokens: number;
  /** Usage of the complete response, once the end marker is read. */
  readonly usage: SseUsage | undefined;
  /** The usage chunk as received, once the end marker is read; it follows `forward`. */
  readonly usageEvent: Buffer | undefined;
  /**
   * `done`: the end marker was read; `invalid`: a chunk belongs to another request, cannot be
   * parsed or has no end within the size limit.
   */
  readonly state: 'done' | 'invalid' | 'open';
}

/** Usage of a response, in tokens. */
export interface SseUsage {
  readonly inputTokens: number;
  readonly outputTokens: number;
}

/** Reader of one stream. */
export interface SseReader {
  readonly read: (data: Buffer) => SseBatch;
}

/** Largest event, in bytes: a stream without event ends must not fill the memory. */
export const MAX_EVENT_BYTES = 1024 * 1024;
const COLON = 0x3a;
const DATA_PREFIX = 'data: ';
const EVENT_END = Buffer.from('\n\n');
const DONE_DATA = Buffer.from('data: [DONE]');
const EMPTY_CHOICES = Buffer.from('"choices":[]');
/** Content of chunks without a token, which have only the role or the finish reason. */
const EMPTY_CONTENT = Buffer.from('"content":""');
const EMPTY_DELTA = Buffer.from('"delta":{}');
const EMPTY_BUFFER = Buffer.alloc(0);

interface Chunk {
  readonly choices?: readonly { readonly delta?: Readonly<Record<string, unknown>> }[];
  readonly id?: unknown;
  readonly usage?: { readonly completion_tokens?: number; readonly prompt_tokens?: number } | null;
}

function parseChunk(event: Buffer): Chunk | undefined {
  try {
    return JSON.parse(event.subarray(DATA_PREFIX.length).toString('utf8')) as Chunk;
  } catch {
    return undefined;
  }
}

type EventKind = 'comment' | 'done' | 'foreign' | 'plain' | 'token' | 'usage';

function classifyParsed(chunk: Chunk | undefined, requestId: string): EventKind {
  if (typeof chunk?.id !== 'string' || !chunk.id.startsWith(requestId)) return 'foreign';
  if (chunk.choices === undefined || chunk.choices.length === 0) return 'usage';
  const hasToken = chunk.choices.some(({ delta }) => (
    Object.entries(delta ?? {}).some(([key, value]) => key !== 'role' && value !== '')
  ));
  return hasToken ? 'token' : 'plain';
}

function classifyEvent(event: Buffer, idMarker: Buffer, requestId: string): EventKind {
  if (event.length === 0 || event[0] === COLON) return 'comment';
  if (event.indexOf(idMarker) === -1) {
    if (event.indexOf(DONE_DATA) === 0) return 'done';
    return classifyParsed(parseChunk(event), requestId);
  }
  if (event.indexOf(EMPTY_CHOICES) !== -1) return 'usage';
  if (event.indexOf(EMPTY_DELTA) !== -1 || event.indexOf(EMPTY_CONTENT) !== -1) return 'plain';
  return 'token';
}

function parseUsage(event: Buffer): SseUsage | undefined {
  const usage = parseChunk(event)?.usage;
  if (usage === undefined || usage === null) return undefined;
  return {
    inputTokens: usage.prompt_tokens ?? 0, outputTokens: usage.completion_tokens ?? 0,
  };
}

/**
 * Creates a reader that accepts only chunks of the request. Chunks without a token are held back
 * until a token or the end marker follows. A broken stream is resumed after the number of delivered
 * tokens, so the resumed stream repeats the chunks without a token that came after the last one.
 */
export function createSseReader(requestId: string): SseReader {
  const idMarker = Buffer.from(`"id":"${requestId}`);
  let incompleteEvent: Buffer = EMPTY_BUFFER;
  let heldEvents: readonly Buffer[] = [];
  let usage: SseUsage | undefined;
  let usageEvent: Buffer | undefined;

  const read = (data: Buffer): SseBatch => {
    const buffer = incompleteEvent.length === 0 ? data : Buffer.concat([incompleteEvent, data]);
    const parts: Buffer[] = [];
    let tokens = 0;
    let state: SseBatch['state'] = 'open';
    let start = 0;
    // Adjacent events form one run, which is forwarded as one slice up to `forwardEnd`; the events
    // after it are held back.
    let runStart = 0;
    let forwardEnd = 0;
    const closeRun = (runEnd: number, next: number): void => {
      if (forwardEnd > runStart) parts.push(buffer.subarray(runStart, forwardEnd));
      const heldStart = Math.max(runStart, forwardEnd);
      if (runEnd > heldStart) heldEvents = [...heldEvents, buffer.subarray(heldStart, runEnd)];
      runStart = next;
      forwardEnd = next;
    };
    const releaseHeld = (): void => {
      if (heldEvents.length === 0) return;
      parts.push(...heldEvents);
      heldEvents = [];
    };
    let end = buffer.indexOf(EVENT_END);
    while (end !== -1 && state === 'open') {
      const next = end + EVENT_END.length;
      const event = buffer.subarray(start, end);
      const kind = classifyEvent(event, idMarker, requestId);
      if (kind === 'token') {
        releaseHeld();
        tokens += 1;
        forwardEnd = next;
      } else if (kind !== 'plain') {
        closeRun(start, next);
        if (kind === 'done') {
          releaseHeld();
          state = 'done';
        }
        if (kind === 'foreign') state = 'invalid';
        if (kind === 'usage') {
          usage = parseUsage(event);
          usageEvent = buffer.subarray(start, next);
        }
      }
      start = next;
      end = buffer.indexOf(EVENT_END, start);
    }
    closeRun(start, start);
    incompleteEvent = buffer.subarray(start);
    if (incompleteEvent.length > MAX_EVENT_BYTES) state = 'invalid';
    const [first] = parts;
    return {
      forward: parts.length === 1 && first !== undefined ? first : Buffer.concat(parts),
      state,
      tokens,
      usage: state === 'done' ? usage : undefined,
      usageEvent: state === 'done' ? usageEvent : undefined,
    };
  };

  return { read };
}
