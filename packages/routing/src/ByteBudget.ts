/** Bound of the bytes that all requests of a daemon hold together. */

/** A shared bound. */
export interface ByteBudget {
  /** Takes bytes from the bound; false, without taking any, where too few are left. */
  readonly claim: (bytes: number) => boolean;
  readonly release: (bytes: number) => void;
}

/** Creates a bound of which nothing is taken. */
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
