/**
 * Cuts a stream of server-sent events into whole events, so that half an event is never passed on
 * and a resumed stream can be joined after the last delivered one. Bytes are passed on unchanged.
 */

/** One whole event with the empty line that ends it. */
export interface StreamEvent {
  /** Value of the event's `id` field, if it is a whole number. */
  readonly id: number | undefined;
  readonly bytes: Buffer;
}

/** Framer of one stream. */
export interface EventFramer {
  /** Adds bytes and returns the events that are whole now. */
  readonly push: (bytes: Buffer) => readonly StreamEvent[];
  /** Bytes after the last whole event. */
  readonly getRest: () => Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;

/** Finds the end of the first whole event from an offset; -1 where there is none. */
function findEventEnd(bytes: Buffer, from: number): number {
  const end = bytes.indexOf(LINE_FEED, from);
  if (end < 0 || end + 1 >= bytes.length) return -1;
  if (bytes[end + 1] === LINE_FEED) return end + 2;
  if (bytes[end + 1] === CARRIAGE_RETURN && bytes[end + 2] === LINE_FEED) return end + 3;
  return findEventEnd(bytes, end + 1);
}

function parseEvent(bytes: Buffer): StreamEvent {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
  return { bytes, id: id === undefined ? undefined : Number(id) };
}

/** Creates a framer without bytes. */
export function createEventFramer(): EventFramer {
  let rest: Buffer = Buffer.alloc(0);
  return {
    getRest: () => rest,
    push: (bytes) => {
      const all = rest.length === 0 ? bytes : Buffer.concat([rest, bytes]);
      const events: StreamEvent[] = [];
      let start = 0;
      let end = findEventEnd(all, start);
      while (end >= 0) {
        events.push(parseEvent(all.subarray(start, end)));
        start = end;
        end = findEventEnd(all, start);
      }
      rest = all.subarray(start);
      return events;
    },
  };
}
