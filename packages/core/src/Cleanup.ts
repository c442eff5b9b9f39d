/** Cleanup functions, which registrations and started services return to their callers. */

/** Reverts one registration or stops one service. A second call has no effect. */
export type Cleanup = () => void;

/** Merges cleanup functions into one that runs each of them once, in reverse order. */
export function mergeCleanups(...cleanups: readonly Cleanup[]): Cleanup {
  let pending = [...cleanups];
  return () => {
    const current = pending;
    pending = [];
    current.reverse().forEach((cleanup) => cleanup());
  };
}
