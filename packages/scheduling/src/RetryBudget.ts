/**
 * Budget of retries as a share of requests: when many servers fail at once, retries add at most
 * this share to the load, whatever the number of attempts that a single request could make.
 */
import * as Purify from 'purify-ts';
import type * as Explanation from './Explanation.js';

/** State of the budget. */
export interface RetryBudget {
  /** Retries that may be made now. */
  readonly credit: number;
  readonly share: number;
  readonly maxCredit: number;
}

/** No retry is allowed; the failure goes to the caller. */
export interface RetryRefusal {
  readonly _tag: 'RetryRefusal';
  readonly reason: Explanation.RetryReason;
}

/** A retry that was allowed and the budget after it. */
export interface RetryGrant {
  readonly budget: RetryBudget;
  readonly reason: Explanation.RetryReason;
}

/** Creates a budget; a daemon that has just started may make a few retries. */
export function createRetryBudget(share = 0.1, maxCredit = 50, credit = 5): RetryBudget {
  return { credit, maxCredit, share };
}

/** Adds the share of one first attempt. */
export function recordFirstAttempt(budget: RetryBudget): RetryBudget {
  const credit = Math.min(budget.maxCredit, budget.credit + budget.share);
  return { ...budget, credit };
}

/** Takes one retry from the budget, or refuses it. */
export function claimRetry(budget: RetryBudget): Purify.Either<RetryRefusal, RetryGrant> {
  const { credit } = budget;
  if (credit < 1) {
    return Purify.Left({ _tag: 'RetryRefusal', reason: { _tag: 'BudgetSpent', credit } });
  }
  return Purify.Right({
    budget: { ...budget, credit: credit - 1 }, reason: { _tag: 'WithinBudget', credit: credit - 1 },
  });
}
