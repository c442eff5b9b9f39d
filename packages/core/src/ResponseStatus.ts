/** What the status of a response promises, whoever generates it. */

/** Statuses that callers take for the promise that their request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Checks whether callers take a status to mean that their request has not run. */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}
