/**
 * Clocks, in milliseconds. Functions that decide something take the current time as an argument;
 * only the code around them reads a clock. Durations and deadlines use monotonic time, which never
 * goes backwards. Wall-clock time is used only to number usage windows and for timestamps that
 * people read.
 */

/** A point in time or a duration, in milliseconds. */
export type Millis = number;

/** Time source of one process. */
export interface Clock {
  /** Monotonic time since an arbitrary origin, in milliseconds with a fraction. */
  readonly readMonotonic: () => Millis;
  /** Milliseconds since the Unix epoch. */
  readonly readWall: () => Millis;
}

/** Clock of the operating system. */
export const systemClock: Clock = {
  readMonotonic: () => performance.now(),
  readWall: () => Date.now(),
};

/** Clock for tests that advances only on request. */
export interface ManualClock extends Clock {
  /** Advances the monotonic and the wall-clock time. */
  readonly advance: (durationMs: Millis) => void;
}

/**
 * Creates a clock that stands still until it is advanced.
 *
 * @param startMs monotonic time at creation
 * @param wallOffsetMs difference between wall-clock and monotonic time
 */
export function createManualClock(startMs: Millis = 0, wallOffsetMs: Millis = 0): ManualClock {
  let nowMs = startMs;
  return {
    advance: (durationMs) => {
      nowMs += durationMs;
    },
    readMonotonic: () => nowMs,
    readWall: () => nowMs + wallOffsetMs,
  };
}
