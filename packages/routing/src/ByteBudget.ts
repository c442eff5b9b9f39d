/**
 * Limits the bytes that all requests of a daemon hold of what servers sent. When they exceed the
 * limit, the answer that holds most is ended, so that a server which sends without end costs its
 * own callers an answer, and not those of others.
 */

/** Bytes that one answer holds. */
export interface HeldBytes {
  /**
   * Sets how many bytes the answer holds, and ends those that hold most while the limit is
   * exceeded. Returns false if this answer was one of them, without a call of its `onEvict`.
   */
  readonly set: (bytes: number) => boolean;
  /** Releases all bytes; nothing may be set afterwards. */
  readonly close: () => void;
}

/** A shared limit on held bytes. */
export interface ByteBudget {
  /** Adds an answer that holds nothing; `onEvict` has to close it. */
  readonly open: (onEvict: () => void) => HeldBytes;
}

interface Holder {
  bytes: number;
  readonly onEvict: () => void;
}

/** Creates a budget of which no byte is held. */
export function createByteBudget(maxBytes: number): ByteBudget {
  /** Only the answers that hold bytes. */
  const holders = new Set<Holder>();
  let total = 0;
  const remove = (holder: Holder): void => {
    total -= holder.bytes;
    // eslint-disable-next-line no-param-reassign
    holder.bytes = 0;
    holders.delete(holder);
  };
  const findLargest = (): Holder | undefined => [...holders].reduce<Holder | undefined>(
    (largest, holder) => (largest === undefined || holder.bytes > largest.bytes ? holder : largest),
    undefined,
  );
  return {
    open: (onEvict) => {
      const holder: Holder = { bytes: 0, onEvict };
      return {
        close: () => remove(holder),
        set: (bytes) => {
          if (bytes === holder.bytes) return true;
          total += bytes - holder.bytes;
          holder.bytes = bytes;
          if (bytes === 0) holders.delete(holder);
          else holders.add(holder);
          while (total > maxBytes) {
            const largest = findLargest() as Holder;
            remove(largest);
            if (largest === holder) return false;
            largest.onEvict();
          }
          return true;
        },
      };
    },
  };
}
