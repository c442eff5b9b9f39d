/**
 * Collects the bytes of a message up to a bound. A message may come a byte at a time, so the bytes
 * are copied into one growing buffer: a list of the pieces would take a hundred times their size.
 */

/** Collected bytes of one message. */
export interface ByteCollector {
  /** Adds bytes; false, without adding any, where the message would pass the bound. */
  readonly append: (bytes: Buffer) => boolean;
  readonly getLength: () => number;
  /** Returns the bytes and starts anew. */
  readonly take: () => Buffer;
}

const EMPTY_BUFFER = Buffer.alloc(0);

/** Creates a collector without bytes. */
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
        // A message of one piece is not copied; the next piece never fits behind it.
        buffer = bytes;
      } else {
        reserve(length + bytes.length);
        bytes.copy(buffer, length);
      }
      length += bytes.length;
      return true;
    },
    getLength: () => length,
    take: () => {
      const collected = buffer.subarray(0, length);
      buffer = EMPTY_BUFFER;
      length = 0;
      return collected;
    },
  };
}
