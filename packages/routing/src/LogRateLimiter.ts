/**
 * Limits the rate of log lines of one kind. Lines beyond the limit are suppressed and counted, and
 * the next line that is written carries the count, so that a reader knows how many are missing.
 */
import type * as Core from '@berylyoke/core';

/** Rate limiter for one kind of log line. */
export interface LogRateLimiter {
  /**
   * Requests permission to write one line.
   *
   * @returns the number of lines suppressed since the last written one, or undefined if this one is
   * suppressed too
   */
  readonly take: () => number | undefined;
}

const MS_PER_S = 1_000;

/** Creates a limiter; a burst may have as many lines as the limit of one second. */
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
