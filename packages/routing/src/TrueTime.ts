/**
 * Estimate of the true time for the numbering of usage windows. The time of day of a VM may step by
 * seconds and back, and the steady clock stands still while the VM is suspended; both look alike
 * from inside. The estimate follows the steady clock from the start, and takes over a changed time
 * of day only when a record of another daemon shows that the estimate is behind.
 */
import type * as Core from '@berylyoke/core';
import type * as ClockReading from './ClockReading.js';

/** Lag of the estimate behind a record of another daemon that shows a suspension. */
const MAX_LAG_MS = 400;

/** Estimate of the true time of one process. */
export interface TrueTime {
  /** Milliseconds since the Unix epoch. */
  readonly read: () => Core.Millis;
  /**
   * Compares the estimate with the time at which another daemon wrote a record that was just read.
   * The record may be seconds old, so it can only show that the estimate is behind.
   */
  readonly observeRemote: (writtenMs: Core.Millis) => void;
}

/** Creates an estimate that starts from the time of day. */
export function createTrueTime(readClocks: () => ClockReading.ClockReading): TrueTime {
  const start = readClocks();
  let offsetMs = start.wallMs - start.monotonicMs;
  const read = (): Core.Millis => readClocks().monotonicMs + offsetMs;
  return {
    observeRemote: (writtenMs) => {
      const now = readClocks();
      const lagMs = writtenMs - (now.monotonicMs + offsetMs);
      const wallLagMs = writtenMs - now.wallMs;
      if (lagMs > MAX_LAG_MS && Math.abs(wallLagMs) < lagMs) {
        offsetMs = now.wallMs - now.monotonicMs;
      }
    },
    read,
  };
}
