/** Bounded memory of record ids, by which the readers of a stream drop repetitions. */

/** Remembers where a record id was seen first. */
export interface SeenRecords {
  /** Records a sighting and returns true when the id was seen at a lower offset. */
  readonly observe: (recordId: string, offset: number) => boolean;
  readonly size: () => number;
}

/**
 * Creates the memory. It keeps the lowest offset of each id, so that a reader that replays old
 * entries does not take a record for the repetition of itself. The id added first is forgotten
 * first.
 */
export function createSeenRecords(capacity: number): SeenRecords {
  const offsets = new Map<string, number>();
  return {
    observe: (recordId, offset) => {
      const known = offsets.get(recordId);
      if (known !== undefined && known <= offset) return known < offset;
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
