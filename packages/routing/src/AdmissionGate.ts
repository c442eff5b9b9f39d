/**
 * Admits requests to the engines of overloaded services. `OverloadControl` decides; the gate keeps
 * the waiting requests, decides on them again at short intervals in their order, and ends their
 * wait when their callers leave, their time limit passes or the daemon stops. Requests whose server
 * was not chosen by the model of engines are sent at once.
 */
import type * as Core from '@berylyoke/core';
import * as Scheduling from '@berylyoke/scheduling';
import type * as EnginePicker from './EnginePicker.js';
import type * as FleetLoad from './FleetLoad.js';
import type * as PathContext from './PathContext.js';
import * as Refusals from './Refusals.js';
import type * as RoutingConfig from './RoutingConfig.js';
import type * as RoutingMetrics from './RoutingMetrics.js';
import type * as RoutingSettings from './RoutingSettings.js';
import type * as ServerSelection from './ServerSelection.js';

/** Interval at which waiting requests are decided on again; engines finish steps within it. */
export const RECHECK_MS = 25;

/** A request at the gate. */
export interface GateRequest {
  readonly service: string;
  readonly route: RoutingConfig.Route;
  readonly account: RoutingConfig.ClientAccount | undefined;
  /** Monotonic time at which its caller stops waiting. */
  readonly deadlineMs: Core.Millis;
  /**
   * Chooses the best server at the time of the call, one to which the request may be sent if there
   * is any; undefined if there is no server.
   */
  readonly choose: (
    isAllowed: EnginePicker.AllowanceCheck,
  ) => ServerSelection.ChosenServer | undefined;
  /** Returns the share of its account in the load of the fleet. */
  readonly getAccountShare: () => FleetLoad.AccountShare;
  /** Called unless `onRefuse` is; `chosen` is undefined if there was no server. */
  readonly onSend: (chosen: ServerSelection.ChosenServer | undefined) => void;
  /** `retryAfterMs` is the predicted time after which the request would be admitted. */
  readonly onRefuse: (code: Refusals.RefusalCode, retryAfterMs: Core.Millis) => void;
}

/** What the log says about an admission. */
export interface AdmissionSummary {
  /** The result: the reason of a send or a refusal, `waiting` if the request ended meanwhile. */
  readonly reason: string;
  /** Wait at the best server as predicted for the last decision. */
  readonly predictedWaitMs: Core.Millis;
  /** Longest predicted wait with which it would be sent; undefined if there is no limit. */
  readonly allowanceMs: Core.Millis | undefined;
  /** Age of the known load of the fleet. */
  readonly loadAgeMs: Core.Millis;
  /** Time for which the request waited in the daemon. */
  readonly waitedMs: Core.Millis;
}

/** Admission of one request. */
export interface Admission {
  /** Decides for the first time; may call a handler of the request before it returns. */
  readonly start: () => void;
  /** Ends a wait without a decision; no handler is called afterwards. */
  readonly cancel: () => void;
  /** Undefined before the first decision. */
  readonly describe: () => AdmissionSummary | undefined;
}

/** Gate of one daemon. */
export interface AdmissionGate {
  readonly isEnabled: boolean;
  readonly open: (request: GateRequest) => Admission;
  /** Refuses all waiting requests because the daemon stops. */
  readonly refuseWaiting: () => void;
  readonly countWaiting: () => number;
}

/** Dependencies of a gate. */
export interface GateContext extends Pick<
  PathContext.PathContext,
  'clock' | 'getActiveConfig' | 'getPhase' | 'random'
> {
  readonly metrics: Pick<RoutingMetrics.RoutingMetrics, 'addAdmission'>;
  readonly settings: RoutingSettings.RoutingSettings['overload'];
}

/** A request whose wait has not ended. */
interface WaitingRequest extends Scheduling.WaitingOrder {
  readonly service: string;
  /** Requests of the same kind are decided alike. */
  readonly kind: string;
  readonly decide: (nowMs: Core.Millis) => Scheduling.OverloadDecision['_tag'] | undefined;
  readonly refuse: (code: Refusals.RefusalCode, reason: string, retryAfterMs: Core.Millis) => void;
  readonly isOverdue: (nowMs: Core.Millis) => boolean;
}

/** Lists the terms of the routes that lead to a service. */
export function listRouteTerms(
  config: RoutingConfig.RoutingConfig | undefined,
  service: string,
): readonly Scheduling.RouteTerms[] {
  return config?.routes
    .filter(({ shares }) => shares.some((share) => share.service === service)) ?? [];
}

/** Creates a gate without waiting requests. */
export function createAdmissionGate({
  clock, getActiveConfig, getPhase, metrics, random, settings,
}: GateContext): AdmissionGate {
  const control = Scheduling.createOverloadControl(settings.floorShare, random);
  const waiting = Scheduling.createWaitingRequests<WaitingRequest>(settings.maxWaiting);
  let timer: NodeJS.Timeout | undefined;

  /**
   * Decides on the waiting requests in their order; those of a kind have to wait with its first.
   * Returns the kinds that have to wait.
   */
  const recheck = (): ReadonlySet<string> => {
    const nowMs = clock.readMonotonic();
    const waitingKinds = new Set<string>();
    waiting.list().forEach((request) => {
      if (waitingKinds.has(request.kind) && !request.isOverdue(nowMs)) return;
      if (request.decide(nowMs) === 'Wait') waitingKinds.add(request.kind);
    });
    return waitingKinds;
  };
  const schedule = (): void => {
    if (timer !== undefined || waiting.list().length === 0) return;
    timer = setTimeout(() => {
      timer = undefined;
      recheck();
      schedule();
    }, RECHECK_MS);
  };

  const open = (request: GateRequest): Admission => {
    const {
      account, deadlineMs, route, service,
    } = request;
    const priority = account?.priority ?? route.priority;
    const kind = `${service} ${route.name} ${priority}`;
    let state: 'done' | 'new' | 'waiting' = 'new';
    let startedMs = 0;
    let endedMs: Core.Millis | undefined;
    let summary: Omit<AdmissionSummary, 'waitedMs'> | undefined;
    let untilMs = Infinity;
    let entry: WaitingRequest | undefined;

    const getOverloadRequest = (): Scheduling.OverloadRequest => ({
      deadlineMs, decidedMs: startedMs, kind, terms: { priority, targetMs: route.targetMs },
    });
    const finish = (reason: string, result: RoutingMetrics.AdmissionResult): void => {
      state = 'done';
      endedMs = clock.readMonotonic();
      if (entry !== undefined) waiting.remove(entry);
      if (summary !== undefined) summary = { ...summary, reason };
      metrics.addAdmission(service, result, reason, endedMs - startedMs);
    };
    const refuse: WaitingRequest['refuse'] = (code, reason, retryAfterMs) => {
      finish(reason, 'refused');
      const remainingMs = deadlineMs - clock.readMonotonic();
      request.onRefuse(code, Refusals.clampRetryAfter(retryAfterMs, remainingMs));
    };
    const send = (chosen: ServerSelection.ChosenServer | undefined, reason: string): void => {
      finish(reason, 'sent');
      request.onSend(chosen);
    };
    const wait = (): void => {
      untilMs = Scheduling.computeWaitEnd(getOverloadRequest());
      if (state === 'waiting' || entry === undefined) return;
      if (getPhase() !== 'running') {
        refuse('stopping', 'stopping', 0);
        return;
      }
      state = 'waiting';
      const evicted = waiting.add(entry);
      evicted?.refuse('overloaded', 'too-many-waiting', Scheduling.OVERLOAD.minRetryAfterMs);
      schedule();
    };
    const decide = (nowMs: Core.Millis): Scheduling.OverloadDecision['_tag'] | undefined => {
      const situation: Scheduling.OverloadSituation = {
        account: request.getAccountShare(),
        routes: listRouteTerms(getActiveConfig()?.config, service),
      };
      const chosen = request.choose((prediction) => (
        control.isAllowed(getOverloadRequest(), situation, prediction, nowMs)
      ));
      // The choice may have ended the request by an unexpected error.
      if (state === 'done') return undefined;
      if (chosen?.engine === undefined) {
        send(chosen, 'not-applicable');
        return 'Send';
      }
      const { load, prediction } = chosen.engine;
      const decision = control.decide(getOverloadRequest(), situation, prediction, nowMs);
      summary = {
        allowanceMs: Number.isFinite(decision.allowanceMs) ? decision.allowanceMs : undefined,
        loadAgeMs: load.ageMs,
        predictedWaitMs: prediction.waitMs,
        reason: 'waiting',
      };
      if (decision._tag === 'Wait') wait();
      else if (decision._tag === 'Send') send(chosen, decision.reason);
      else refuse(decision.reason, decision.reason, decision.retryAfterMs);
      return decision._tag;
    };

    return {
      cancel: () => {
        if (state === 'waiting') finish('waiting', 'ended');
        state = 'done';
      },
      describe: () => (summary === undefined
        ? undefined
        : { ...summary, waitedMs: (endedMs ?? clock.readMonotonic()) - startedMs }),
      start: () => {
        startedMs = clock.readMonotonic();
        entry = {
          deadlineMs,
          decide: (nowMs) => (state === 'waiting' ? decide(nowMs) : undefined),
          isOverdue: (nowMs) => nowMs >= untilMs,
          kind,
          priority,
          refuse,
          service,
        };
        const isBehind = waiting.list().some((other) => (
          other.service === service
          && Scheduling.compareWaiting(other, entry as WaitingRequest) <= 0
        ));
        // Those ahead of it are decided on first.
        if (isBehind && recheck().has(kind)) wait();
        else decide(clock.readMonotonic());
      },
    };
  };

  return {
    countWaiting: () => waiting.list().length,
    isEnabled: settings.enabled,
    open,
    refuseWaiting: () => {
      clearTimeout(timer);
      timer = undefined;
      waiting.list().forEach((request) => request.refuse('stopping', 'stopping', 0));
    },
  };
}
