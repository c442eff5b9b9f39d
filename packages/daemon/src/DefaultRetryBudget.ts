/** Default retry budget of the daemon. */
import * as Scheduling from '@berylyoke/scheduling';
import type * as DaemonPorts from './DaemonPorts.js';

/** Enough at the start to restart what one failed server of a small fleet had been given. */
const START_CREDIT = 50;

/** Creates a full budget. */
export function createDefaultRetryBudget(): DaemonPorts.RetryBudgetPort {
  let budget = Scheduling.createRetryBudget(undefined, START_CREDIT, START_CREDIT);
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
