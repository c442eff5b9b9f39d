/** Limits the bytes that all requests of a daemon buffer together. */

/** A shared limit on buffered bytes. */
export interface ByteBudget {
  /** Claims bytes; returns false and claims none if too few are left. */
  readonly claim: (bytes: number) => boolean;
  readonly release: (bytes: number) => void;
}

/** Creates a budget of which no byte is claimed. */
export function createByteBudget(maxBytes: number): ByteBudget {
  let claimed = 0;
  return {
    claim: (bytes) => {
      if (claimed + bytes > maxBytes) return false;
      claimed += bytes;
      return true;
    },
    release: (bytes) => {
      claimed -= bytes;
    },
  };
}
