/**
 * Admission of requests to the engines of an overloaded service. Queues at engines are kept short
 * enough for the more urgent kinds of requests: a less urgent request is sent only if the predicted
 * wait at its engine leaves their targets reachable. Otherwise it waits for a short time in the
 * daemon and is then refused, before it has cost anything, with the time after which it would be
 * admitted. The state is a credit for each kind, so that none is refused altogether, and a bounded
 * set of waiting requests.
 */
import type * as Core from '@berylyoke/core';
import type * as EngineModel from './EngineModel.js';

/** Priority and target of a route; 0 is the most urgent priority. */
export interface RouteTerms {
  readonly priority: number;
  /** Target time to the first token. */
  readonly targetMs: Core.Millis;
}

/** A request about which to decide. */
export interface OverloadRequest {
  /** Name of its route, the kind of the request. */
  readonly kind: string;
  /** Priority of its account or else of its route, and the target of its route. */
  readonly terms: RouteTerms;
  /** Time at which its caller stops waiting. */
  readonly deadlineMs: Core.Millis;
  /** Time of the first decision about the request. */
  readonly decidedMs: Core.Millis;
}

/** What is known of the service at the time of a decision. */
export interface OverloadSituation {
  /** Terms of all routes to the service. */
  readonly routes: readonly RouteTerms[];
  /** Share of the request's account in the prompt tokens of all accounts. */
  readonly account: { readonly share: number; readonly accounts: number };
}

/** Why a request is sent. */
export type SendReason = 'allowed' | 'floor' | 'most-urgent';

/** Why a request is refused. */
export type OverloadReason = 'infeasible' | 'overloaded';

/** A decision on a request. */
export type OverloadDecision = {
  readonly _tag: 'Send';
  readonly reason: SendReason;
  readonly allowanceMs: Core.Millis;
} | {
  readonly _tag: 'Wait';
  readonly untilMs: Core.Millis;
  readonly allowanceMs: Core.Millis;
} | {
  readonly _tag: 'Refuse';
  readonly reason: OverloadReason;
  /** Predicted time until a request of this kind would be admitted, without jitter. */
  readonly retryAfterMs: Core.Millis;
  readonly allowanceMs: Core.Millis;
};

/** Admission to the engines of all services by one daemon. */
export interface OverloadControl {
  /** Checks whether a request could be sent at once to a server with the given prediction. */
  readonly isAllowed: (
    request: OverloadRequest,
    situation: OverloadSituation,
    prediction: EngineModel.FirstTokenPrediction,
    nowMs: Core.Millis,
  ) => boolean;
  /** Decides on a request by the prediction for the best server. */
  readonly decide: (
    request: OverloadRequest,
    situation: OverloadSituation,
    prediction: EngineModel.FirstTokenPrediction,
    nowMs: Core.Millis,
  ) => OverloadDecision;
}

/** Constants of the admission. */
export const OVERLOAD = {
  /** Share of the time that a target leaves for queues; the rest covers wrong predictions. */
  usableTargetShare: 0.8,
  /** Longest wait in the daemon, as a share of the target. */
  waitTargetShare: 1 / 8,
  /** Share of the prompt tokens, as a multiple of an equal one, above which allowances shrink. */
  maxShareFactor: 2,
  /** Factor of the allowances of an account above that share. */
  excessAllowanceFactor: 0.5,
  /** Time after a wait or refusal for which accounts above their share have smaller allowances. */
  contentionMs: 1_000,
  /** Shortest retry time; a queue that is known from sums changes in no less. */
  minRetryAfterMs: 250,
  /** Longest retry time, for predictions that are far off. */
  maxRetryAfterMs: 10_000,
} as const;

/** Checks whether no route of the service is more urgent than a priority. */
function isMostUrgent(priority: number, routes: readonly RouteTerms[]): boolean {
  return routes.every((route) => priority <= route.priority);
}

function computeMinTarget(routes: readonly RouteTerms[]): Core.Millis {
  return Math.min(...routes.map(({ targetMs }) => targetMs));
}

/**
 * Computes the longest predicted wait at which a request is sent; infinite for the most urgent
 * ones. It is at least that of any less urgent request of the same size, because one that is sent
 * while this one is refused would invert their order.
 */
export function computeAllowance(
  { priority, targetMs }: RouteTerms,
  routes: readonly RouteTerms[],
  ownMs: Core.Millis,
): Core.Millis {
  if (isMostUrgent(priority, routes)) return Infinity;
  const moreUrgent = routes.filter((route) => route.priority < priority);
  const notLessUrgent = routes.filter((route) => route.priority <= priority);
  const longestTargetMs = Math.max(...routes.map((route) => route.targetMs));
  const usableMs = Math.max(
    0,
    Math.min(targetMs - ownMs, computeMinTarget(moreUrgent)),
    Math.min(longestTargetMs - ownMs, computeMinTarget(notLessUrgent)),
  );
  return usableMs * OVERLOAD.usableTargetShare;
}

/** Computes the time until which a request may wait in the daemon. */
export function computeWaitEnd({ deadlineMs, decidedMs, terms }: OverloadRequest): Core.Millis {
  return Math.min(deadlineMs, decidedMs + terms.targetMs * OVERLOAD.waitTargetShare);
}

function clampRetryAfter(retryAfterMs: Core.Millis): Core.Millis {
  return Math.min(OVERLOAD.maxRetryAfterMs, Math.max(OVERLOAD.minRetryAfterMs, retryAfterMs));
}

/**
 * Creates the admission of a daemon.
 *
 * @param floorShare share of the requests of a kind that is sent although it would be refused as
 *   overloaded
 * @param random uniform in [0, 1); sets where the count of each kind starts, so that daemons with
 *   few requests don't all refuse their first ones
 */
export function createOverloadControl(floorShare: number, random: () => number): OverloadControl {
  /** Part of a request that the floor owes to each kind; bounded by the number of routes. */
  const credits = new Map<string, number>();
  let contendedMs = -Infinity;

  /** Counts a request that would be refused; returns whether the floor lets it pass. */
  const claimFloor = (kind: string, canSend: boolean): boolean => {
    const credit = (credits.get(kind) ?? random()) + floorShare;
    const isClaimed = credit >= 1 && canSend;
    credits.set(kind, isClaimed ? credit - 1 : Math.min(1, credit));
    return isClaimed;
  };

  const computeOwnAllowance = (
    { terms }: OverloadRequest,
    { account, routes }: OverloadSituation,
    { ownMs }: EngineModel.FirstTokenPrediction,
    nowMs: Core.Millis,
  ): Core.Millis => {
    const isContended = nowMs - contendedMs < OVERLOAD.contentionMs;
    const hasExcessiveShare = account.accounts > 1
      && account.share > OVERLOAD.maxShareFactor / account.accounts;
    return computeAllowance(terms, routes, ownMs)
      * (isContended && hasExcessiveShare ? OVERLOAD.excessAllowanceFactor : 1);
  };

  return {
    decide: (request, situation, prediction, nowMs) => {
      const { deadlineMs, kind, terms } = request;
      const { routes } = situation;
      const {
        hasRoom, ownMs, roomWaitMs, waitMs,
      } = prediction;
      const allowanceMs = computeOwnAllowance(request, situation, prediction, nowMs);
      const lateMs = nowMs + waitMs + ownMs - deadlineMs;
      if (lateMs >= 0) {
        return {
          _tag: 'Refuse', allowanceMs, reason: 'infeasible', retryAfterMs: clampRetryAfter(lateMs),
        };
      }
      if (hasRoom && waitMs <= allowanceMs) {
        const reason = isMostUrgent(terms.priority, routes) ? 'most-urgent' : 'allowed';
        return { _tag: 'Send', allowanceMs, reason };
      }
      contendedMs = nowMs;
      const untilMs = computeWaitEnd(request);
      if (nowMs < untilMs) return { _tag: 'Wait', allowanceMs, untilMs };
      if (claimFloor(kind, hasRoom)) return { _tag: 'Send', allowanceMs, reason: 'floor' };
      return {
        _tag: 'Refuse',
        allowanceMs,
        reason: 'overloaded',
        retryAfterMs: clampRetryAfter(Math.max(roomWaitMs, waitMs - allowanceMs)),
      };
    },
    isAllowed: (request, situation, prediction, nowMs) => (
      prediction.hasRoom
        && nowMs + prediction.waitMs + prediction.ownMs < request.deadlineMs
        && prediction.waitMs <= computeOwnAllowance(request, situation, prediction, nowMs)
    ),
  };
}

/** What orders waiting requests. */
export interface WaitingOrder {
  readonly priority: number;
  readonly deadlineMs: Core.Millis;
}

/** Bounded set of waiting requests, in the order in which they are decided on again. */
export interface WaitingRequests<T extends WaitingOrder> {
  /** Adds a request; returns the one that has to leave, which may be the added one. */
  readonly add: (request: T) => T | undefined;
  /** Removes a request; returns whether it was waiting. */
  readonly remove: (request: T) => boolean;
  /** Lists the requests: the most urgent first, and of those the one with the earliest deadline. */
  readonly list: () => readonly T[];
}

/**
 * Orders waiting requests. A caller that returns after a refusal has less time left than a newcomer
 * of its route, and therefore goes first.
 */
export function compareWaiting(a: WaitingOrder, b: WaitingOrder): number {
  return a.priority - b.priority || a.deadlineMs - b.deadlineMs;
}

/** Creates an empty set of at most `maxWaiting` requests. */
export function createWaitingRequests<T extends WaitingOrder>(
  maxWaiting: number,
): WaitingRequests<T> {
  // A sorted array is enough for some hundred requests, and both of its ends are needed.
  const waiting: T[] = [];
  return {
    add: (request) => {
      const index = waiting.findIndex((other) => compareWaiting(request, other) < 0);
      waiting.splice(index < 0 ? waiting.length : index, 0, request);
      return waiting.length > maxWaiting ? waiting.pop() : undefined;
    },
    list: () => [...waiting],
    remove: (request) => {
      const index = waiting.indexOf(request);
      if (index >= 0) waiting.splice(index, 1);
      return index >= 0;
    },
  };
}
