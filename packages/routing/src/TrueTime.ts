/**
 * Estimate of the true time, from which usage windows are numbered. The wall clock of a VM may step
 * by seconds and back, and the monotonic clock stops while the VM is suspended. A process
 * cannot tell these cases apart. The estimate therefore starts at the wall clock and advances with
 * the monotonic clock. It adopts the current wall clock only when a record of another daemon shows
 * that the estimate is behind.
 */
import type * as Core from '@berylyoke/core';
import type * as ClockReading from './ClockReading.js';

/**
 * Lag behind the record of another daemon above which this VM is taken to have been suspended, in
 * milliseconds. Smaller ones are not corrected.
 */
export const MAX_LAG_MS = 400;

/**
 * Largest expected error of the time of day of a VM when a process starts, in milliseconds. The
 * time of day of a VM may step by seconds and back.
 */
export const MAX_STEP_MS = 5_000;

/** Estimate of the true time by one process. */
export interface TrueTime {
  /** Returns the estimate in milliseconds since the Unix epoch. */
  readonly read: () => Core.Millis;
  /**
   * Compares the estimate with the time at which another daemon wrote a record that was just read,
   * in Unix milliseconds. The record may be seconds old, so it can only show that the estimate is
   * behind, never that it is ahead. `maxAgeMs` is the time since a read that did not find the
   * record yet, in milliseconds; `Infinity` if there was none.
   */
  readonly observeRemote: (writtenMs: Core.Millis, maxAgeMs: Core.Millis) => void;
  /**
   * Returns the latest time that it may be now by the estimate of any daemon, in milliseconds since
   * the Unix epoch. Only the wall clock of a VM shows that it was suspended, and only records of
   * other daemons show that the time of day was right at the start of this process.
   */
  readonly readLatest: () => Core.Millis;
}

/** Creates an estimate that starts at the current wall clock. */
export function createTrueTime(readClocks: () => ClockReading.ClockReading): TrueTime {
  const start = readClocks();
  let offsetMs = start.wallMs - start.monotonicMs;
  let latestOffsetMs = offsetMs + MAX_STEP_MS;
  const read = (): Core.Millis => readClocks().monotonicMs + offsetMs;
  return {
    observeRemote: (writtenMs, maxAgeMs) => {
      const now = readClocks();
      const lagMs = writtenMs - (now.monotonicMs + offsetMs);
      const wallLagMs = writtenMs - now.wallMs;
      if (lagMs > MAX_LAG_MS && Math.abs(wallLagMs) < lagMs) {
        offsetMs = now.wallMs - now.monotonicMs;
      }
      latestOffsetMs = Math.min(latestOffsetMs, writtenMs + maxAgeMs - now.monotonicMs);
    },
    read,
    readLatest: () => {
      const { monotonicMs, wallMs } = readClocks();
      return Math.max(monotonicMs + Math.max(offsetMs, latestOffsetMs), wallMs) + MAX_LAG_MS;
    },
  };
}
