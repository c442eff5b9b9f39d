/**
 * Collects the bytes of a message up to a size limit. The bytes are copied into one growing buffer,
 * because a message may arrive one byte at a time, and a list of such chunks would take a hundred
 * times their size.
 */

/** Collector for the bytes of one message. */
export interface ByteCollector {
  /** Adds bytes; returns false and adds none if the message would exceed the limit. */
  readonly append: (bytes: Buffer) => boolean;
  readonly getLength: () => number;
  /** Returns the collected bytes, which the next `append` may overwrite. */
  readonly getBytes: () => Buffer;
  /** Returns the collected bytes and empties the collector. */
  readonly take: () => Buffer;
}

const EMPTY_BUFFER = Buffer.alloc(0);

/** Creates an empty collector for messages of at most `maxBytes`. */
export function createByteCollector(maxBytes: number): ByteCollector {
  let buffer: Buffer = EMPTY_BUFFER;
  let length = 0;
  const reserve = (needed: number): void => {
    if (needed <= buffer.length) return;
    const grown = Buffer.allocUnsafe(Math.max(needed, Math.min(maxBytes, needed * 2)));
    buffer.copy(grown, 0, 0, length);
    buffer = grown;
  };
  return {
    append: (bytes) => {
      if (length + bytes.length > maxBytes) return false;
      if (length === 0 && bytes.length > buffer.length) {
        // The first chunk is used without a copy; appending another one reallocates the buffer.
        buffer = bytes;
      } else {
        reserve(length + bytes.length);
        bytes.copy(buffer, length);
      }
      length += bytes.length;
      return true;
    },
    getBytes: () => buffer.subarray(0, length),
    getLength: () => length,
    take: () => {
      const collected = buffer.subarray(0, length);
      buffer = EMPTY_BUFFER;
      length = 0;
      return collected;
    },
  };
}
