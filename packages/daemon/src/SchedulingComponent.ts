/**
 * Part: admission, queue and choice of backend server for the request path. The decisions are those
 * of the scheduler; this part keeps the requests that wait for them, and polls load reports.
 */
import * as Core from '@berylyoke/core';
import * as Scheduling from '@berylyoke/scheduling';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type * as DaemonContext from './DaemonContext.js';
import type * as DaemonPorts from './DaemonPorts.js';
import type * as RequestTypes from './RequestTypes.js';
import * as Refusal from './Refusal.js';

/** Interval at which waiting requests are checked for expiry, in milliseconds. */
const ADVANCE_MS = 100;
/** Interval at which engines are asked for their load, in milliseconds. */
const REPORT_MS = 1_000;
/** Engines asked in one interval; more than these take turns. */
const REPORTS_AT_ONCE = 50;
/** Slots of an engine that has not reported them yet. */
const ENGINE_SLOTS = 16;
/** Calls that a plain service runs at once; plain services report no load. */
const SERVICE_SLOTS = 64;
/** Bytes of prompt text for each token, on average in English. */
const BYTES_PER_TOKEN = 4;
/** Account of requests on open routes. */
const OPEN_ACCOUNT = 'open';

const LoadAnswer = Schema.Struct({
  queued: Schema.Number, running: Schema.Number, slots: Schema.optional(Schema.Number),
});
const decodeLoad = Schema.decodeUnknown(LoadAnswer);

/** How the scheduler sees the end of an attempt. */
const ENDS: Readonly<Record<
  RequestTypes.AttemptOutcome['result'],
  Parameters<Scheduling.Scheduler['recordEnd']>[1]
>> = {
  busy: 'cancelled', cancelled: 'cancelled', failed: 'failed', ok: 'ok', silent: 'failed',
};

type Settle = (result: RequestTypes.Dispatch | Refusal.Refusal) => void;

const REFUSALS: Readonly<Record<
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

/** Builds what the scheduler needs to know of a request. */
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
    account: caller?.account.id ?? OPEN_ACCOUNT,
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
    slots: isEngine ? slots.get(server.id) ?? ENGINE_SLOTS : SERVICE_SLOTS,
    state: server.state,
  };
}

function createDispatchPort(
  context: DaemonContext.DaemonContext,
  scheduler: Scheduling.Scheduler,
  waiting: Map<string, Settle>,
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
        // An answer that was not streamed is known only when it is whole.
        if (result === 'ok' && !hasToken) observeTokens(Math.max(1, outputTokens));
        applyStep(scheduler.recordEnd(requestId, ENDS[result], clock.readMonotonic()));
      },
    };
  };

  applyStep = ({ refusals, starts }) => {
    refusals.forEach(({ reason, request: { requestId }, retryAfterMs }) => {
      const settle = waiting.get(requestId);
      waiting.delete(requestId);
      explain(requestId, 'admit', reason);
      const [code, message] = REFUSALS[reason._tag];
      settle?.(Refusal.createRefusal(code, message, retryAfterMs));
    });
    starts.forEach(({ choice, reason, request: { requestId } }) => {
      const settle = waiting.get(requestId);
      const server = context.servers.getServers().find(({ id }) => id === choice.serverId);
      waiting.delete(requestId);
      explain(requestId, 'queue', reason);
      explain(requestId, 'choose', choice.reason);
      if (settle !== undefined && server !== undefined) {
        settle(buildDispatch(requestId, server));
        return;
      }
      applyStep(scheduler.recordEnd(requestId, 'cancelled', clock.readMonotonic()));
      const [code, message] = REFUSALS.NoCandidate;
      settle?.(Refusal.createRefusal(code, message, REPORT_MS));
    });
  };

  return {
    acquire: (request, excluded) => new Promise((resolve) => {
      const { requestId, signal } = request.received;
      const handleAbort = (): void => {
        // The path has answered already; the place in the queue is given up.
        if (!waiting.delete(requestId)) return;
        scheduler.cancelRequest(requestId, clock.readMonotonic());
      };
      signal.addEventListener('abort', handleAbort, { once: true });
      waiting.set(requestId, (result) => {
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

/** Registers admission, queue and choice in place of the default dispatch. */
export function registerSchedulingComponent(context: DaemonContext.DaemonContext): Core.Cleanup {
  const { clock, servers, settings } = context;
  const scheduler = Scheduling.createScheduler(Math.random, {
    ...Scheduling.defaultSchedulerOptions,
    queue: {
      ...Scheduling.defaultQueueOptions, maxRequests: settings.limits.queuedRequests,
    },
  });
  const waiting = new Map<string, Settle>();
  const port = createDispatchPort(context, scheduler, waiting);
  const slots = new Map<string, number>();
  const daemonCount = settings.peers.length + 1;
  let turn = 0;

  const updateServers = (): void => {
    const views = servers.getServers().map((server) => buildServerView(server, slots));
    port.applyStep(scheduler.setServers(views, daemonCount, clock.readMonotonic()));
  };

  const requestLoad = ({ address, id }: RequestTypes.BackendServer): void => {
    const sampledMs = clock.readMonotonic();
    Effect.runFork(Core.requestJson({
      method: 'GET', timeoutMs: REPORT_MS, url: `http://${address}/load`,
    }).pipe(
      Effect.flatMap(({ body }) => decodeLoad(body)),
      Effect.match({
        // A missing report leaves the own estimate, which does not depend on it.
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

  const requestLoads = (): void => {
    const engines = servers.getServers().filter(({ role }) => role === 'engine');
    const first = engines.length <= REPORTS_AT_ONCE ? 0 : turn % engines.length;
    turn += REPORTS_AT_ONCE;
    [...engines, ...engines]
      .slice(first, first + Math.min(engines.length, REPORTS_AT_ONCE))
      .forEach(requestLoad);
  };

  updateServers();
  const advance = setInterval(() => {
    port.applyStep(scheduler.advanceTime(clock.readMonotonic()));
  }, ADVANCE_MS);
  const reports = setInterval(requestLoads, REPORT_MS);
  return Core.mergeCleanups(
    () => clearInterval(advance),
    () => clearInterval(reports),
    servers.registerListener(updateServers),
    context.ports.register('dispatch', port),
    context.registerStatus('scheduling', () => ({
      outliers: Object.fromEntries(scheduler.getOutliers().servers),
      queue: scheduler.getQueueSnapshot().backlogs,
      servers: scheduler.listEstimates(),
      waiting: waiting.size,
    })),
  );
}
