/**
 * Bounds the log lines of one kind. Lines beyond the budget of a second are counted, and the next
 * line that is written carries the count, so that a reader knows what is missing.
 */
import type * as Core from '@berylyoke/core';

/** Budget of one kind of line. */
export interface LogRateLimiter {
  /**
   * Takes one line.
   *
   * @returns the lines suppressed since the last one that was written, or undefined where this one
   * is suppressed as well
   */
  readonly take: () => number | undefined;
}

const MS_PER_S = 1_000;

/** Creates a budget of lines a second; up to one second's lines may be written at once. */
export function createLogRateLimiter(clock: Core.Clock, linesPerSecond: number): LogRateLimiter {
  let availableLines = linesPerSecond;
  let updatedMs = clock.readMonotonic();
  let suppressed = 0;
  return {
    take: () => {
      const nowMs = clock.readMonotonic();
      const refilledLines = ((nowMs - updatedMs) / MS_PER_S) * linesPerSecond;
      availableLines = Math.min(linesPerSecond, availableLines + refilledLines);
      updatedMs = nowMs;
      if (availableLines < 1) {
        suppressed += 1;
        return undefined;
      }
      availableLines -= 1;
      const before = suppressed;
      suppressed = 0;
      return before;
    },
  };
}
