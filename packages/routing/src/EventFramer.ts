/**
 * Cuts a stream of server-sent events into whole events, so that half an event is never passed on
 * and a resumed stream can be joined after the last delivered one. Bytes are passed on unchanged.
 * Every byte is looked at once, however the stream is cut into chunks.
 */
import * as ByteCollector from './ByteCollector.js';

/** One whole event with the empty line that ends it. */
export interface StreamEvent {
  /** Value of the event's `id` field, if it is a whole number. */
  readonly id: number | undefined;
  /** Whether the event carries data; comments keep a connection open and are no progress. */
  readonly hasData: boolean;
  readonly bytes: Buffer;
}

/** What bytes of a stream completed. */
export interface FramedEvents {
  readonly events: readonly StreamEvent[];
  /** Whether the event in progress is larger than the bound; nothing more may be pushed. */
  readonly isTooLong: boolean;
}

/** Framer of one stream. */
export interface EventFramer {
  /** Adds bytes and returns the events that are whole now. */
  readonly push: (bytes: Buffer) => FramedEvents;
  /** Takes the bytes after the last whole event. */
  readonly takeRemainder: () => Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d{1,15})\r?$/m;
const DATA_LINE = /^data(:|\r?$)/m;

function parseEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1');
  const id = ID_LINE.exec(text)?.[1];
  return { bytes, hasData: DATA_LINE.test(text), id: id === undefined ? undefined : Number(id) };
}

/** Creates a framer without bytes; `maxEventBytes` bounds one event. */
export function createEventFramer(maxEventBytes: number): EventFramer {
  const pending = ByteCollector.createByteCollector(maxEventBytes);
  /** Bytes of the line in progress, and whether they are a single carriage return. */
  let lineBytes = 0;
  let isCarriageReturnOnly = false;
  /** Whether the event in progress has a line that is not empty. */
  let hasNonEmptyLine = false;

  /** Finds the offset after the next whole event; -1 where none ends in these bytes. */
  const findEventEnd = (bytes: Buffer, from: number): number => {
    let start = from;
    while (start < bytes.length) {
      const lineFeed = bytes.indexOf(LINE_FEED, start);
      const end = lineFeed < 0 ? bytes.length : lineFeed;
      if (lineBytes === 0 && end > start) isCarriageReturnOnly = bytes[start] === CARRIAGE_RETURN;
      lineBytes += end - start;
      if (lineFeed < 0) return -1;
      const isEmpty = lineBytes === 0 || (lineBytes === 1 && isCarriageReturnOnly);
      const isEnd = isEmpty && hasNonEmptyLine;
      lineBytes = 0;
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
    takeRemainder: pending.take,
  };
}
