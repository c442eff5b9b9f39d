/**
 * Component for admission, queueing and the choice of the backend server. The scheduler makes the
 * decisions; this component keeps the requests that wait for a decision and polls the load of the
 * engines.
 */
import * as Core from '@berylyoke/core';
import * as Scheduling from '@berylyoke/scheduling';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type * as DaemonContext from './DaemonContext.js';
import type * as DaemonPorts from './DaemonPorts.js';
import type * as RequestTypes from './RequestTypes.js';
import * as Refusal from './Refusal.js';

/** Interval at which the scheduler checks queued requests for expiry, in milliseconds. */
const ADVANCE_INTERVAL_MS = 100;
/** Interval at which engines are polled for their load, in milliseconds. */
const LOAD_POLL_INTERVAL_MS = 1_000;
/** Largest number of engines polled in one interval; a larger fleet is polled in rotation. */
const MAX_ENGINES_PER_POLL = 50;
/** Number of slots assumed for an engine that has not reported its slots yet. */
const DEFAULT_ENGINE_SLOTS = 16;
/** Concurrent calls assumed for a plain service; plain services report no load. */
const SERVICE_SLOTS = 64;
/** Average number of bytes per token in English prompts. */
const BYTES_PER_TOKEN = 4;
/** Account id of requests on open routes, which have no client account. */
const OPEN_ROUTE_ACCOUNT = 'open';

const LoadReport = Schema.Struct({
  queued: Schema.Number, running: Schema.Number, slots: Schema.optional(Schema.Number),
});
const decodeLoadReport = Schema.decodeUnknown(LoadReport);

/** The scheduler's result for each outcome of an attempt. */
const ATTEMPT_RESULTS: Readonly<Record<
  RequestTypes.AttemptOutcome['result'],
  Parameters<Scheduling.Scheduler['recordEnd']>[1]
>> = {
  busy: 'cancelled', cancelled: 'cancelled', failed: 'failed', ok: 'ok', silent: 'failed',
};

type ResolveDispatch = (result: RequestTypes.Dispatch | Refusal.Refusal) => void;

const REFUSALS_BY_REASON: Readonly<Record<
  Scheduling.RefusalReason['_tag'],
  readonly [code: Refusal.RefusalCode, message: string]
>> = {
  Admitted: ['overloaded', 'the request cannot run now'],
  Affinity: ['overloaded', 'the request cannot run now'],
  AllBusy: ['overloaded', 'every backend server is busy'],
  BudgetSpent: ['overloaded', 'too many requests are being retried'],
  ConcurrencyLimit: ['account_limit', 'the account has too many requests running'],
  Expired: ['target_missed', 'the request can no longer meet its latency target'],
  Infeasible: ['target_missed', 'the request cannot meet its latency target now'],
  LessLoaded: ['overloaded', 'the request cannot run now'],
  NoCandidate: ['no_server', 'no backend server can run this request'],
  QueueFull: ['overloaded', 'the queue is full'],
  Renewed: ['overloaded', 'the request cannot run now'],
  TokenLimit: ['account_limit', 'the account has used its tokens of this minute'],
  WithinBudget: ['overloaded', 'the request cannot run now'],
};

function getPool(target: RequestTypes.Target): string {
  return target._tag === 'ChatTarget' ? target.model : `service:${target.route.service}`;
}

/** Builds the scheduler's view of a request; `excluded` lists the servers it failed on. */
export function buildScheduledRequest(
  {
    caller, class: requestClass, received, repeatable, target,
  }: RequestTypes.ClassifiedRequest,
  excluded: readonly string[],
): Scheduling.ScheduledRequest {
  const { concurrentRequests = 1e9, tokensPerMinute = 1e12, weight = 1 } = caller?.plan ?? {};
  const work = target._tag === 'ChatTarget'
    ? {
      prefix: {
        hash: Core.hashText(target.promptPrefix),
        tokens: Math.ceil(target.promptPrefix.length / BYTES_PER_TOKEN),
      },
      promptTokens: Math.ceil(target.promptBytes / BYTES_PER_TOKEN),
      ...target.maxTokens === undefined ? {} : { maxAnswerTokens: target.maxTokens },
    }
    : { maxAnswerTokens: 1, promptTokens: 0 };
  return {
    account: caller?.account.id ?? OPEN_ROUTE_ACCOUNT,
    arrivedMs: received.receivedAtMs,
    class: {
      classId: requestClass.id,
      firstTokenMs: requestClass.firstTokenMs,
      floorShare: requestClass.floorShare,
      maxQueueMs: requestClass.maxQueueMs,
      tier: requestClass.tier,
    },
    excluded,
    isResumable: repeatable && target._tag === 'ChatTarget',
    limits: { concurrentRequests, tokensPerMinute },
    pool: getPool(target),
    requestId: received.requestId,
    weight,
    ...work,
  };
}

function buildServerView(
  server: RequestTypes.BackendServer,
  slots: ReadonlyMap<string, number>,
): Scheduling.ServerView {
  const isEngine = server.role === 'engine';
  return {
    adapters: [],
    dataCentre: server.dataCentre,
    kind: server.kind,
    models: isEngine ? server.models : [`service:${server.service}`],
    roundTripMs: 1,
    role: 'mixed',
    serverId: server.id,
    slots: isEngine ? slots.get(server.id) ?? DEFAULT_ENGINE_SLOTS : SERVICE_SLOTS,
    state: server.state,
  };
}

function createDispatchPort(
  context: DaemonContext.DaemonContext,
  scheduler: Scheduling.Scheduler,
  waitingRequests: Map<string, ResolveDispatch>,
): { readonly applyStep: (step: Scheduling.ScheduleActions) => void } & DaemonPorts.DispatchPort {
  const { clock, explanations } = context;
  const explain = (requestId: string, filter: string, reason: Scheduling.DecisionReason): void => {
    explanations.add(requestId, {
      atMs: clock.readMonotonic(),
      decision: reason._tag,
      detail: { reason: Scheduling.formatReason(reason) },
      filter,
    });
  };
  let applyStep: (step: Scheduling.ScheduleActions) => void = () => undefined;

  const buildDispatch = (
    requestId: string,
    server: RequestTypes.BackendServer,
  ): RequestTypes.Dispatch => {
    let hasToken = false;
    const observeTokens = (tokens: number): void => {
      const nowMs = clock.readMonotonic();
      if (!hasToken) scheduler.recordFirstToken(requestId, nowMs);
      hasToken = true;
      scheduler.recordTokens(requestId, tokens, nowMs);
    };
    return {
      observeTokens,
      server,
      settle: ({ outputTokens, result }) => {
        // The tokens of a response without streaming are known only when it is complete.
        if (result === 'ok' && !hasToken) observeTokens(Math.max(1, outputTokens));
        applyStep(scheduler.recordEnd(requestId, ATTEMPT_RESULTS[result], clock.readMonotonic()));
      },
    };
  };

  applyStep = ({ refusals, starts }) => {
    refusals.forEach(({ reason, request: { requestId }, retryAfterMs }) => {
      const resolveDispatch = waitingRequests.get(requestId);
      waitingRequests.delete(requestId);
      explain(requestId, 'admit', reason);
      const [code, message] = REFUSALS_BY_REASON[reason._tag];
      resolveDispatch?.(Refusal.createRefusal(code, message, retryAfterMs));
    });
    starts.forEach(({ choice, reason, request: { requestId } }) => {
      const resolveDispatch = waitingRequests.get(requestId);
      const server = context.servers.getServers().find(({ id }) => id === choice.serverId);
      waitingRequests.delete(requestId);
      explain(requestId, 'queue', reason);
      explain(requestId, 'choose', choice.reason);
      if (resolveDispatch !== undefined && server !== undefined) {
        resolveDispatch(buildDispatch(requestId, server));
        return;
      }
      applyStep(scheduler.recordEnd(requestId, 'cancelled', clock.readMonotonic()));
      const [code, message] = REFUSALS_BY_REASON.NoCandidate;
      resolveDispatch?.(Refusal.createRefusal(code, message, LOAD_POLL_INTERVAL_MS));
    });
  };

  return {
    acquire: (request, excluded) => new Promise((resolve) => {
      const { requestId, signal } = request.received;
      const handleAbort = (): void => {
        // The caller of `acquire` has resolved the abort itself; only the queue entry is removed.
        if (!waitingRequests.delete(requestId)) return;
        scheduler.cancelRequest(requestId, clock.readMonotonic());
      };
      signal.addEventListener('abort', handleAbort, { once: true });
      waitingRequests.set(requestId, (result) => {
        signal.removeEventListener('abort', handleAbort);
        resolve(result);
      });
      const scheduled = buildScheduledRequest(request, excluded);
      const nowMs = clock.readMonotonic();
      applyStep(excluded.length === 0
        ? scheduler.submitRequest(scheduled, nowMs)
        : scheduler.resumeRequest(scheduled, nowMs, true));
    }),
    applyStep,
  };
}

/** Registers a dispatch port that uses the scheduler, in place of the default dispatch. */
export function registerSchedulingComponent(context: DaemonContext.DaemonContext): Core.Cleanup {
  const { clock, servers, settings } = context;
  const scheduler = Scheduling.createScheduler(Math.random, {
    ...Scheduling.defaultSchedulerOptions,
    queue: {
      ...Scheduling.defaultQueueOptions, maxRequests: settings.limits.queuedRequests,
    },
  });
  const waitingRequests = new Map<string, ResolveDispatch>();
  const dispatchPort = createDispatchPort(context, scheduler, waitingRequests);
  const slots = new Map<string, number>();
  const daemonCount = settings.peers.length + 1;
  let pollOffset = 0;

  const updateServers = (): void => {
    const serverViews = servers.getServers().map((server) => buildServerView(server, slots));
    dispatchPort.applyStep(scheduler.setServers(serverViews, daemonCount, clock.readMonotonic()));
  };

  const requestLoad = ({ address, id }: RequestTypes.BackendServer): void => {
    const sampledMs = clock.readMonotonic();
    Effect.runFork(Core.requestJson({
      method: 'GET', timeoutMs: LOAD_POLL_INTERVAL_MS, url: `http://${address}/load`,
    }).pipe(
      Effect.flatMap(({ body }) => decodeLoadReport(body)),
      Effect.match({
        // Without a report the scheduler keeps its own estimate, which does not depend on reports.
        onFailure: () => undefined,
        onSuccess: (load) => {
          scheduler.recordReport({ inFlight: load.running + load.queued, serverId: id, sampledMs });
          if (load.slots === undefined || slots.get(id) === load.slots) return;
          slots.set(id, load.slots);
          updateServers();
        },
      }),
    ));
  };

  const pollLoads = (): void => {
    const engines = servers.getServers().filter(({ role }) => role === 'engine');
    const firstIndex = engines.length <= MAX_ENGINES_PER_POLL ? 0 : pollOffset % engines.length;
    pollOffset += MAX_ENGINES_PER_POLL;
    [...engines, ...engines]
      .slice(firstIndex, firstIndex + Math.min(engines.length, MAX_ENGINES_PER_POLL))
      .forEach(requestLoad);
  };

  updateServers();
  const advanceTimer = setInterval(() => {
    dispatchPort.applyStep(scheduler.advanceTime(clock.readMonotonic()));
  }, ADVANCE_INTERVAL_MS);
  const loadPollTimer = setInterval(pollLoads, LOAD_POLL_INTERVAL_MS);
  return Core.mergeCleanups(
    () => clearInterval(advanceTimer),
    () => clearInterval(loadPollTimer),
    servers.registerListener(updateServers),
    context.ports.register('dispatch', dispatchPort),
    context.registerStatusSection('scheduling', () => ({
      outliers: Object.fromEntries(scheduler.getOutliers().servers),
      queue: scheduler.getQueueSnapshot().backlogs,
      servers: scheduler.listEstimates(),
      waiting: waitingRequests.size,
    })),
  );
}
