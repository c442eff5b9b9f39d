/** What the status of a response means, whoever generates it. */

/** Lowest status of a final response. */
const FIRST_FINAL_STATUS = 200;

/** Checks whether a response is a final one; Node.js passes on 101 as such, although it is not. */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS;
}

/** Statuses that callers take for the promise that their request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Checks whether callers take a status to mean that their request has not run. */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}
