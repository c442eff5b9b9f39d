/**
 * Time in milliseconds. Decisions take the current time as an argument; only the edges read a
 * clock. Durations and deadlines are measured on the monotonic time, which never goes back; wall
 * time is used only to name usage windows and to stamp what people read.
 */

/** A point in time or a duration, in milliseconds. */
export type Millis = number;

/** Source of time of one process. */
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

/** Clock that a test moves by hand. */
export interface ManualClock extends Clock {
  /** Moves both times forward. */
  readonly advance: (byMs: Millis) => void;
}

/** Creates a clock that stands still until a test advances it. */
export function createManualClock(startMs: Millis = 0, wallOffsetMs: Millis = 0): ManualClock {
  let nowMs = startMs;
  return {
    advance: (byMs) => {
      nowMs += byMs;
    },
    readMonotonic: () => nowMs,
    readWall: () => nowMs + wallOffsetMs,
  };
}
