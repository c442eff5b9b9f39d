/** Default budget that limits the retries of a daemon. */
import * as Scheduling from '@berylyoke/scheduling';
import type * as DaemonPorts from './DaemonPorts.js';

/**
 * Retries that may be made right after the start: enough to restart the requests of one failed
 * server in a small fleet.
 */
const INITIAL_CREDIT = 50;

/** Creates a budget that starts with its full credit. */
export function createDefaultRetryBudget(): DaemonPorts.RetryBudgetPort {
  let budget = Scheduling.createRetryBudget(undefined, INITIAL_CREDIT, INITIAL_CREDIT);
  return {
    addRequest: () => {
      budget = Scheduling.recordFirstAttempt(budget);
    },
    claim: (isResume) => Scheduling.claimRetry(budget).caseOf({
      Left: () => isResume,
      Right: (grant) => {
        ({ budget } = grant);
        return true;
      },
    }),
  };
}
