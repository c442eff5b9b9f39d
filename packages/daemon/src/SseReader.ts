/**
 * Splits server-sent events of an engine's stream and checks that each chunk belongs to the
 * request: its id starts with the request id. Works on bytes: JSON is parsed only for the usage
 * chunk and for chunks that are not written in the compact form.
 */

/** What one read of the stream gave. */
export interface SseBatch {
  /** Whole events to pass on, in order; empty when there are none. */
  readonly forward: Buffer;
  /** Chunks in `forward` that carry a token. */
  readonly tokens: number;
  /** Counts of the whole answer, once it is done. */
  readonly usage: SseUsage | undefined;
  /** The usage chunk as received, once the answer is done; it follows `forward`. */
  readonly usageEvent: Buffer | undefined;
  /** `done`: the end marker was read; `invalid`: a chunk of another request, or no event at all. */
  readonly state: 'done' | 'invalid' | 'open';
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

/** Longest event; a stream without event ends must not fill the memory. */
const MAX_EVENT_BYTES = 1024 * 1024;
const COLON = 0x3a;
const DATA_PREFIX = 'data: ';
const EVENT_END = Buffer.from('\n\n');
const DONE = Buffer.from('data: [DONE]');
const EMPTY_CHOICES = Buffer.from('"choices":[]');
/** Marks of chunks without a token: the role alone, or the reason of the end. */
const EMPTY_CONTENT = Buffer.from('"content":""');
const EMPTY_DELTA = Buffer.from('"delta":{}');
const EMPTY = Buffer.alloc(0);

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
    if (event.indexOf(DONE) === 0) return 'done';
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
 * until a token or the end marker follows: a stream that breaks in between is resumed by its number
 * of tokens, and the resumed stream repeats them.
 */
export function createSseReader(requestId: string): SseReader {
  const idMarker = Buffer.from(`"id":"${requestId}`);
  let rest: Buffer = EMPTY;
  let held: readonly Buffer[] = [];
  let usage: SseUsage | undefined;
  let usageEvent: Buffer | undefined;

  const read = (data: Buffer): SseBatch => {
    const buffer = rest.length === 0 ? data : Buffer.concat([rest, data]);
    const out: Buffer[] = [];
    let tokens = 0;
    let state: SseBatch['state'] = 'open';
    let start = 0;
    // Adjacent events form one run, which is passed on as one slice; bytes of the run beyond
    // `safeEnd` are held back.
    let runStart = 0;
    let safeEnd = 0;
    const closeRun = (runEnd: number, next: number): void => {
      if (safeEnd > runStart) out.push(buffer.subarray(runStart, safeEnd));
      const heldStart = Math.max(runStart, safeEnd);
      if (runEnd > heldStart) held = [...held, buffer.subarray(heldStart, runEnd)];
      runStart = next;
      safeEnd = next;
    };
    const releaseHeld = (): void => {
      if (held.length === 0) return;
      out.push(...held);
      held = [];
    };
    let end = buffer.indexOf(EVENT_END);
    while (end !== -1 && state === 'open') {
      const next = end + EVENT_END.length;
      const event = buffer.subarray(start, end);
      const kind = classifyEvent(event, idMarker, requestId);
      if (kind === 'token') {
        releaseHeld();
        tokens += 1;
        safeEnd = next;
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
    rest = buffer.subarray(start);
    if (rest.length > MAX_EVENT_BYTES) state = 'invalid';
    const [only] = out;
    return {
      forward: out.length === 1 && only !== undefined ? only : Buffer.concat(out),
      state,
      tokens,
      usage: state === 'done' ? usage : undefined,
      usageEvent: state === 'done' ? usageEvent : undefined,
    };
  };

  return { read };
}
