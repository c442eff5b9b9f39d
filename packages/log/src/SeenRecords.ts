/** Bounded index of the record ids of a stream, used to drop duplicate records. */

/** Maps each record id to the lowest offset at which it was seen. */
export interface SeenRecords {
  /** Records an occurrence; returns true for a duplicate, that is if a lower offset is stored. */
  readonly observe: (recordId: string, offset: number) => boolean;
  readonly size: () => number;
}

/**
 * Creates an index of at most `capacity` ids. It keeps the lowest offset of each id, so that a
 * reader that replays old entries does not treat a record as a duplicate of itself. When the index
 * is full, the id that was added first is evicted.
 */
export function createSeenRecords(capacity: number): SeenRecords {
  const offsets = new Map<string, number>();
  return {
    observe: (recordId, offset) => {
      const knownOffset = offsets.get(recordId);
      if (knownOffset !== undefined && knownOffset <= offset) return knownOffset < offset;
      offsets.set(recordId, offset);
      if (offsets.size > capacity) {
        const [oldest] = offsets.keys();
        if (oldest !== undefined) offsets.delete(oldest);
      }
      return false;
    },
    size: () => offsets.size,
  };
}
