/**
 * Fake of the platform's append-only log: streams of entries with offsets; each stream keeps a
 * limited number of entries. Operations `append` and `read` support faults. To simulate an outage,
 * set a fault with a large count for both.
 */
import * as Log from '@berylyoke/log';
import * as Schema from 'effect/Schema';
import * as FakeServer from './FakeServer.js';

const DEFAULT_RETAINED_ENTRIES = 1_000_000;
const HTTP_GONE = 410;
const HTTP_OK = 200;

interface Stream {
  /** Offset of `entries[0]`. */
  first: number;
  entries: Log.LogEntry[];
  waiters: (() => void)[];
}

/** Options of the fake. */
export interface FakeLogOptions {
  readonly port?: number;
  /** Maximum number of entries that a stream keeps. */
  readonly retainedEntries?: number;
}

/** A running fake of the log. */
export interface FakeLog extends FakeServer.FakeServer {
  readonly listEntries: (stream: string) => readonly Log.LogEntry[];
  readonly countAppends: () => number;
  /** Appends an entry without a request, in place of another client of the log. */
  readonly append: (stream: string, records: readonly Log.LogRecord[]) => number;
  /** Removes the entries below an offset, as the log does when their retention time ends. */
  readonly expireBefore: (stream: string, offset: number) => void;
}

const decodeAppend = Schema.decodeUnknownSync(
  Schema.Struct({ records: Schema.Array(Log.LogRecord) }),
);

/** Starts the fake on a loopback port. */
export async function startFakeLog(
  { port = 0, retainedEntries = DEFAULT_RETAINED_ENTRIES }: FakeLogOptions = {},
): Promise<FakeLog> {
  const streams = new Map<string, Stream>();
  let appendCount = 0;

  const getStream = (name: string): Stream => {
    const stream = streams.get(name) ?? { entries: [], first: 0, waiters: [] };
    streams.set(name, stream);
    return stream;
  };

  const append = (name: string, records: readonly Log.LogRecord[]): number => {
    const stream = getStream(name);
    const offset = stream.first + stream.entries.length;
    stream.entries.push({ offset, records, timestampMs: Date.now() });
    const excessCount = stream.entries.length - retainedEntries;
    if (excessCount > 0) {
      stream.entries.splice(0, excessCount);
      stream.first += excessCount;
    }
    appendCount += 1;
    stream.waiters.splice(0).forEach((wake) => wake());
    return offset;
  };

  const waitForEntry = async (stream: Stream, from: number, waitMs: number): Promise<void> => {
    if (waitMs <= 0 || from < stream.first + stream.entries.length) return;
    await new Promise<void>((resolve) => {
      const waiter: { wake?: () => void } = {};
      const timer = setTimeout(() => waiter.wake?.(), waitMs);
      waiter.wake = () => {
        clearTimeout(timer);
        Object.assign(stream, { waiters: stream.waiters.filter((wake) => wake !== waiter.wake) });
        resolve();
      };
      stream.waiters.push(waiter.wake);
    });
  };

  const read = async (
    name: string,
    query: URLSearchParams,
  ): Promise<FakeServer.FakeAnswer> => {
    const stream = getStream(name);
    const from = Number(query.get('from') ?? 0);
    if (from < stream.first) return { body: { first: stream.first }, status: HTTP_GONE };
    await waitForEntry(stream, from, Number(query.get('waitMs') ?? 0));
    const start = Math.max(0, from - stream.first);
    const entries = stream.entries.slice(start, start + Number(query.get('limit') ?? 100));
    return {
      body: { entries, first: stream.first, next: from + entries.length }, status: HTTP_OK,
    };
  };

  const server = await FakeServer.startFakeServer([
    {
      handle: ({ text }, _, [, name = '']) => {
        const { records } = decodeAppend(JSON.parse(text));
        return { body: { offset: append(decodeURIComponent(name), records) }, status: HTTP_OK };
      },
      name: 'append',
      pattern: /^POST \/streams\/([^/]+)\/entries$/,
    },
    {
      handle: ({ query }, _, [, name = '']) => read(decodeURIComponent(name), query),
      name: 'read',
      pattern: /^GET \/streams\/([^/]+)\/entries$/,
    },
  ], port);
  return {
    ...server,
    append,
    countAppends: () => appendCount,
    expireBefore: (name, offset) => {
      const stream = getStream(name);
      const endOffset = stream.first + stream.entries.length;
      const expiredCount = Math.min(offset, endOffset) - stream.first;
      if (expiredCount <= 0) return;
      stream.entries.splice(0, expiredCount);
      stream.first += expiredCount;
    },
    listEntries: (name) => getStream(name).entries,
  };
}
