/** Component that claims non-repeatable calls with an idempotency key, so that each runs once. */
import * as Core from '@berylyoke/core';
import * as Once from '@berylyoke/once';
import * as Cause from 'effect/Cause';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Option from 'effect/Option';
import * as ActiveRequests from './ActiveRequests.js';
import type * as DaemonContext from './DaemonContext.js';
import type * as DaemonPorts from './DaemonPorts.js';
import * as Refusal from './Refusal.js';
import * as RelayRoute from './RelayRoute.js';

/** Longest wait at a planned stop until the last results are in the log, in milliseconds. */
const DRAIN_TIMEOUT_MS = 5_000;

const CODES_BY_REASON: Readonly<Record<Once.ClaimRefusalReason, Refusal.RefusalCode>> = {
  abandoned: 'overloaded',
  'answer-not-kept': 'answer_not_kept',
  behind: 'log_unavailable',
  'body-differs': 'body_differs',
  held: 'claim_in_progress',
  'log-unavailable': 'log_unavailable',
  'not-read-back': 'log_unavailable',
  'table-full': 'overloaded',
  unknown: 'outcome_unknown',
};

function buildRefusal(
  {
    message, notRun, reason, retryAfterMs,
  }: Once.ClaimRefusal,
): Refusal.Refusal {
  const refusal: Refusal.Refusal = {
    _tag: 'Refusal', code: CODES_BY_REASON[reason], message, notRun,
  };
  return retryAfterMs === undefined ? refusal : { ...refusal, retryAfterMs };
}

function createTicket(permit: Once.SendPermit): DaemonPorts.ClaimTicket {
  return {
    _tag: 'ClaimTicket',
    complete: async (answer) => {
      await Effect.runPromise(permit.finish(answer));
    },
    markUnknown: async () => {
      await Effect.runPromise(permit.finishUnknown());
    },
    release: async () => permit.release(),
    requestSend: permit.requestSend,
  };
}

/** Registers the claim service. */
export function registerClaimsComponent(context: DaemonContext.DaemonContext): Core.Cleanup {
  const service = Once.createClaimService({
    clock: context.clock,
    isGone: (writer) => context.ports.get('incarnations').isEnded(writer),
    limits: Once.DEFAULT_CLAIM_LIMITS,
    log: context.log,
  });
  const claim: DaemonPorts.ClaimPort['claim'] = async (request, idempotencyKey) => {
    const { target, received } = request;
    const {
      body, method, path, signal,
    } = received;
    const backendPath = target._tag === 'RouteTarget'
      ? RelayRoute.buildPath(received, target.route)
      : path;
    const exit = await Effect.runPromiseExit(service.claim({
      account: request.caller?.account.id ?? '',
      body,
      idempotencyKey,
      parameters: `${method} ${backendPath}`,
      route: path,
    }), { signal });
    if (Exit.isSuccess(exit)) {
      const outcome = exit.value;
      return outcome._tag === 'Permit'
        ? createTicket(outcome)
        : { _tag: 'RepeatedAnswer', answer: { ...outcome, body: Buffer.from(outcome.body) } };
    }
    const refusal = Option.getOrUndefined(Cause.failureOption(exit.cause));
    // Without a refusal, the claim was interrupted because the request was aborted; the service has
    // released the claim already.
    return refusal === undefined
      ? Refusal.createRefusal('request_timeout', 'the caller left before the call was claimed')
      : buildRefusal(refusal);
  };
  return Core.mergeCleanups(
    service.close,
    context.ports.register('once', { claim }),
    context.registerStatusSection('once', service.getCounts),
    context.registerDrainHook('once', async () => {
      await ActiveRequests.waitUntilEmptyWithin(
        context.activeRequests,
        context.settings.limits.drainMs,
      );
      await Effect.runPromise(service.drain(DRAIN_TIMEOUT_MS));
    }),
  );
}
