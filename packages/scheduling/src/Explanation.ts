/**
 * Reasons for scheduling decisions as typed values. The `explain` command shows them to operators;
 * no decision depends on them.
 */

/** Why a request left the queue without being dispatched. */
export type ShedReason = {
  readonly _tag: 'Expired';
  readonly lateMs: number;
}
  | { readonly _tag: 'QueueFull'; readonly maxRequests: number; readonly tier: number };

/** Why a request was dequeued, or why none was. */
export type DequeueReason = {
  readonly _tag: 'Empty';
}
  | { readonly _tag: 'Floor'; readonly classId: string; readonly tier: number }
  | { readonly _tag: 'StrictTier'; readonly tier: number; readonly virtualTokens: number };

/** Why a request was admitted or refused. */
export type AdmissionReason = {
  readonly _tag: 'Admitted';
  readonly expectedFirstTokenMs: number;
  readonly targetMs: number;
}
  | { readonly _tag: 'ConcurrencyLimit'; readonly limit: number; readonly running: number }
  | {
    readonly _tag: 'Infeasible';
    readonly expectedFirstTokenMs: number;
    readonly targetMs: number;
  }
  | { readonly _tag: 'Renewed' }
  | {
    readonly _tag: 'TokenLimit';
    readonly availableTokens: number;
    readonly neededTokens: number;
  };

/** Why a backend server was chosen, or why none was. */
export type ChoiceReason = {
  readonly _tag: 'Affinity';
  readonly cachedTokens: number;
  readonly loadRatio: number;
}
  | { readonly _tag: 'AllBusy'; readonly candidates: number }
  | { readonly _tag: 'LessLoaded'; readonly expectedFirstTokenMs: number; readonly over?: string }
  | { readonly _tag: 'NoCandidate'; readonly model: string };

/** Why a backend server was ejected or readmitted, or was not ejected although it failed. */
export type OutlierReason = {
  readonly _tag: 'BoundReached';
  readonly ejected: number;
  readonly maxEjected: number;
}
  | { readonly _tag: 'ConsecutiveFailures'; readonly failures: number }
  | { readonly _tag: 'ProbationOver'; readonly successes: number }
  | { readonly _tag: 'ProbationStarted'; readonly afterMs: number }
  | { readonly _tag: 'Slow'; readonly median: number; readonly slowdown: number };

/** Why a retry was allowed or refused. */
export type RetryReason = {
  readonly _tag: 'BudgetSpent';
  readonly credit: number;
}
  | { readonly _tag: 'WithinBudget'; readonly credit: number };

/** Why servers are started or stopped, or why neither is done. */
export type PurchaseReason = {
  readonly _tag: 'Demand';
  readonly forecastTokensPerSecond: number;
}
  | { readonly _tag: 'Drain'; readonly surplusForMs: number }
  | { readonly _tag: 'Hold'; readonly surplusServers: number }
  | { readonly _tag: 'LossOfDataCentre'; readonly dataCentre: string }
  | { readonly _tag: 'OutOfStock'; readonly dataCentre: string; readonly kind: string };

/** Reason for any scheduling decision. */
export type DecisionReason = AdmissionReason | ChoiceReason | DequeueReason | OutlierReason
  | PurchaseReason | RetryReason | ShedReason;

/** Formats a reason as one line, such as `Infeasible expectedFirstTokenMs=930 targetMs=890`. */
export function formatReason(reason: DecisionReason): string {
  const fields = Object.entries(reason)
    .filter(([key, value]) => key !== '_tag' && value !== undefined)
    .map(([key, value]) => (
      `${key}=${typeof value === 'number' ? Math.round(value * 100) / 100 : value}`
    ));
  return [reason._tag, ...fields].join(' ');
}
