/**
 * Readings of the two clocks of a process, and checks of how long ago data was verified.
 *
 * A withdrawn key must stop working within a bound, even at a daemon that cannot reach the store.
 * The list of keys therefore counts as current only for a limited time after a successful read,
 * measured from when the read was sent. The monotonic clock stops while a VM is suspended, so the
 * list also counts as outdated, until the next read, when the wall clock has jumped relative to the
 * monotonic clock.
 */
import type * as Core from '@berylyoke/core';

/** Readings of both clocks of a process at the same moment. */
export interface ClockReading {
  readonly monotonicMs: Core.Millis;
  readonly wallMs: Core.Millis;
}

/**
 * Drift of the wall clock relative to the monotonic clock above which the process may have been
 * suspended, in milliseconds. Slewing of a synchronised clock stays far below it.
 */
export const MAX_CLOCK_DRIFT_MS = 250;

/** Reads both clocks. */
export function readClocks(clock: Core.Clock): ClockReading {
  return { monotonicMs: clock.readMonotonic(), wallMs: clock.readWall() };
}

/** Shifts both clocks of a reading by a time in milliseconds. */
export function shiftReading(reading: ClockReading, byMs: Core.Millis): ClockReading {
  return { monotonicMs: reading.monotonicMs + byMs, wallMs: reading.wallMs + byMs };
}

/** Checks whether the clocks drifted apart between two readings. */
export function hasDrifted(from: ClockReading, to: ClockReading): boolean {
  const drift = (to.wallMs - from.wallMs) - (to.monotonicMs - from.monotonicMs);
  return Math.abs(drift) > MAX_CLOCK_DRIFT_MS;
}

/** Checks whether data that was verified at `verifiedAt` still counts as current. */
export function isReadingFresh(
  verifiedAt: ClockReading | undefined,
  now: ClockReading,
  maxAgeMs: Core.Millis,
): boolean {
  if (verifiedAt === undefined || hasDrifted(verifiedAt, now)) return false;
  return now.monotonicMs - verifiedAt.monotonicMs <= maxAgeMs;
}
