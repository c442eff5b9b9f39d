/**
 * Proof that the list of keys is current. A withdrawn key must stop working within a bound, also at
 * a daemon that the store turns away, so only a read that succeeded proves anything, and only for
 * the time at which it was sent. The steady clock stands still while a VM is suspended, so a jump
 * of the time of day against it voids the proof until the next read.
 */
import type * as Core from '@berylyoke/core';

/** Both clocks of a process at one moment. */
export interface ClockReading {
  readonly monotonicMs: Core.Millis;
  readonly wallMs: Core.Millis;
}

/**
 * Change of the time of day against the steady clock above which a process may have been suspended.
 * Slewing of a synchronised clock stays far below it.
 */
export const MAX_CLOCK_DRIFT_MS = 250;

/** Reads both clocks. */
export function readClocks(clock: Core.Clock): ClockReading {
  return { monotonicMs: clock.readMonotonic(), wallMs: clock.readWall() };
}

/** Moves a reading of both clocks by a time. */
export function shiftReading(reading: ClockReading, byMs: Core.Millis): ClockReading {
  return { monotonicMs: reading.monotonicMs + byMs, wallMs: reading.wallMs + byMs };
}

/** Checks whether the clocks moved apart between two readings. */
export function hasDrifted(from: ClockReading, to: ClockReading): boolean {
  const drift = (to.wallMs - from.wallMs) - (to.monotonicMs - from.monotonicMs);
  return Math.abs(drift) > MAX_CLOCK_DRIFT_MS;
}

/** Checks whether a proof from a read that was sent at `proof` still holds. */
export function isReadingFresh(
  verifiedAt: ClockReading | undefined,
  now: ClockReading,
  maxAgeMs: Core.Millis,
): boolean {
  if (verifiedAt === undefined || hasDrifted(verifiedAt, now)) return false;
  return now.monotonicMs - verifiedAt.monotonicMs <= maxAgeMs;
}
