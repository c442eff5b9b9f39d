/** Port for usage reports to the platform, with its errors. */
import type * as Core from '@berylyoke/core';
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';
import type * as UsageAmounts from './UsageAmounts.js';

/** Permission to act as the reporter, from the lease of the duty `reporting`. */
export interface Authority {
  readonly fence: number;
  /** Time until the holder's term ends, in milliseconds. */
  readonly remainingMs: Core.Millis;
}

/** Gets the authority at the time of the call; undefined if the process does not hold the lease. */
export type AuthoritySource = () => Authority | undefined;

/** Report of one sealed window, with the figures of its seal. */
export interface UsageReport {
  readonly window: number;
  readonly reporter: string;
  readonly figures: UsageAmounts.AccountUsage;
}

/** The report is not known to be accepted. If `sent` is false, no byte of it was sent. */
export class UsageReportError extends Data.TaggedError('UsageReportError')<{
  readonly window: number;
  readonly sent: boolean;
  readonly reason: 'authority' | 'connection' | 'invalid-answer' | 'rejected' | 'timeout';
}> {
  get message(): string {
    return `report of usage window ${this.window} failed: ${this.reason}`;
  }
}

/** The platform's interface for usage reports. */
export interface UsageReportPort {
  /**
   * Sends a report. The authority is checked in the event-loop turn of the write and has to outlast
   * the time-out of the answer. If it ends before the answer nevertheless, the connection is
   * closed. Fails with UsageReportError.
   */
  readonly send: (
    report: UsageReport,
    fence: number,
    getAuthority: AuthoritySource,
  ) => Effect.Effect<void, UsageReportError>;
}
