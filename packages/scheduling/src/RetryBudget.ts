/**
 * Retry budget: limits retries to a share of the requests. When many servers fail at the same time,
 * retries add at most this share to the load, regardless of how often a single request may retry.
 */
import * as Purify from 'purify-ts';
import type * as Explanation from './Explanation.js';

/** State of a retry budget. */
export interface RetryBudget {
  /** Number of retries allowed now, with a fractional part. */
  readonly credit: number;
  /** Credit added by each request. */
  readonly share: number;
  readonly maxCredit: number;
}

/** The retry is not allowed; the caller gets the error of the failed attempt. */
export interface RetryRefusal {
  readonly _tag: 'RetryRefusal';
  readonly reason: Explanation.RetryReason;
}

/** The retry is allowed; `budget` is the remaining budget. */
export interface RetryGrant {
  readonly budget: RetryBudget;
  readonly reason: Explanation.RetryReason;
}

/** Creates a budget; the initial credit allows a few retries right after the start of a daemon. */
export function createRetryBudget(share = 0.1, maxCredit = 50, credit = 5): RetryBudget {
  return { credit, maxCredit, share };
}

/** Adds the credit of one request at its first attempt. */
export function recordFirstAttempt(budget: RetryBudget): RetryBudget {
  const credit = Math.min(budget.maxCredit, budget.credit + budget.share);
  return { ...budget, credit };
}

/** Claims one retry from the budget; fails if less than one retry is left. */
export function claimRetry(budget: RetryBudget): Purify.Either<RetryRefusal, RetryGrant> {
  const { credit } = budget;
  if (credit < 1) {
    return Purify.Left({ _tag: 'RetryRefusal', reason: { _tag: 'BudgetSpent', credit } });
  }
  return Purify.Right({
    budget: { ...budget, credit: credit - 1 }, reason: { _tag: 'WithinBudget', credit: credit - 1 },
  });
}
