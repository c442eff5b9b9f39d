/** Interface of the platform for usage reports, with its failures. */
import type * as Core from '@berylyoke/core';
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';
import type * as UsageAmounts from './UsageAmounts.js';

/** Right to act as the reporter, as the lease on the duty `reporting` gives it. */
export interface Authority {
  readonly fence: number;
  /** Time until the holder's own belief ends, in milliseconds. */
  readonly remainingMs: Core.Millis;
}

/** Reads the authority at this moment; undefined where the process does not hold it. */
export type AuthoritySource = () => Authority | undefined;

/** Report of one sealed window; the figures are those of its seal. */
export interface UsageReport {
  readonly window: number;
  readonly reporter: string;
  readonly figures: UsageAmounts.AccountUsage;
}

/** The report is not known to be accepted. `sent` is false where no byte can have left. */
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
   * the time limit of the answer; when it ends all the same, the connection is broken.
   */
  readonly send: (
    report: UsageReport,
    fence: number,
    getAuthority: AuthoritySource,
  ) => Effect.Effect<void, UsageReportError>;
}
