/**
 * Splits a stream of server-sent events into complete events, so that a partial event is never
 * relayed and a resumed stream can continue after the last delivered event. The bytes are not
 * changed. Each byte is scanned once, regardless of how the stream is divided into chunks.
 */
import * as Core from '@berylyoke/core';

/** One complete event, with the empty line that ends it. */
export interface StreamEvent {
  /** Value of the event's `id` field if it is an integer of at most 15 digits. */
  readonly id: number | undefined;
  /** Whether the event carries data; comments only keep the connection open. */
  readonly hasData: boolean;
  /** Whether the bytes contain the status line of a response, which no event does. */
  readonly hasStatusLine: boolean;
  readonly bytes: Buffer;
}

/** Events that were completed by the bytes of one chunk. */
export interface FramedEvents {
  readonly events: readonly StreamEvent[];
  /** Whether the incomplete event exceeds the size limit; nothing more may be pushed. */
  readonly isTooLong: boolean;
}

/** Bytes after the last complete event. */
export interface StreamRemainder {
  readonly bytes: Buffer;
  /** Whether the stream ends inside an event; otherwise the bytes are empty lines. */
  readonly isPartialEvent: boolean;
}

/** Framer of one stream. */
export interface EventFramer {
  /** Adds bytes and returns the events that they complete. */
  readonly push: (bytes: Buffer) => FramedEvents;
  /** Counts the bytes after the last complete event. */
  readonly countPendingBytes: () => number;
  /** Takes the bytes after the last complete event at the end of the stream. */
  readonly takeRemainder: () => StreamRemainder;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d{1,15})\r?$/m;
const DATA_LINE = /^data(:|\r?$)/m;
const STATUS_LINE = /^HTTP\/1\.\d \d{3}/m;

function parseEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1');
  const id = ID_LINE.exec(text)?.[1];
  return {
    bytes,
    hasData: DATA_LINE.test(text),
    hasStatusLine: STATUS_LINE.test(text),
    id: id === undefined ? undefined : Number(id),
  };
}

/** Creates a framer for events of at most `maxEventBytes`. */
export function createEventFramer(maxEventBytes: number): EventFramer {
  const pending = Core.createByteCollector(maxEventBytes);
  /** Length of the incomplete line, and whether it begins with a carriage return. */
  let lineLength = 0;
  let startsWithReturn = false;
  /** Whether the incomplete event has a non-empty line. */
  let hasNonEmptyLine = false;

  const isLineEmpty = (): boolean => lineLength === 0 || (lineLength === 1 && startsWithReturn);

  /** Finds the offset after the next complete event; -1 if none ends within these bytes. */
  const findEventEnd = (bytes: Buffer, from: number): number => {
    let start = from;
    while (start < bytes.length) {
      const lineFeed = bytes.indexOf(LINE_FEED, start);
      const end = lineFeed < 0 ? bytes.length : lineFeed;
      if (lineLength === 0 && end > start) startsWithReturn = bytes[start] === CARRIAGE_RETURN;
      lineLength += end - start;
      if (lineFeed < 0) return -1;
      const isEmpty = isLineEmpty();
      const isEnd = isEmpty && hasNonEmptyLine;
      lineLength = 0;
      hasNonEmptyLine = !isEnd && (hasNonEmptyLine || !isEmpty);
      start = lineFeed + 1;
      if (isEnd) return start;
    }
    return -1;
  };
  const takeEvent = (bytes: Buffer): StreamEvent | undefined => {
    if (pending.getLength() === 0 && bytes.length <= maxEventBytes) return parseEvent(bytes);
    return pending.append(bytes) ? parseEvent(pending.take()) : undefined;
  };

  return {
    countPendingBytes: pending.getLength,
    push: (bytes) => {
      const events: StreamEvent[] = [];
      let start = 0;
      let end = findEventEnd(bytes, start);
      while (end >= 0) {
        const event = takeEvent(bytes.subarray(start, end));
        if (event === undefined) return { events, isTooLong: true };
        events.push(event);
        start = end;
        end = findEventEnd(bytes, start);
      }
      return { events, isTooLong: !pending.append(bytes.subarray(start)) };
    },
    takeRemainder: () => ({
      bytes: pending.take(), isPartialEvent: hasNonEmptyLine || !isLineEmpty(),
    }),
  };
}
