/** Policies that the bench compares: the scheduler of the daemons and two plain baselines. */
import * as Scheduling from '@berylyoke/scheduling';
import type * as CaseFile from './CaseFile.js';
import type * as Workload from './Workload.js';

/** What a policy wants to be done. */
export interface Actions {
  readonly starts: readonly { readonly requestId: string; readonly serverId: string }[];
  readonly refused: readonly {
    readonly requestId: string;
    readonly reason: string;
    readonly retryAfterMs: number;
  }[];
}

/** A policy over virtual time. */
export interface Policy {
  readonly name: string;
  readonly hasPriorities: boolean;
  readonly hasPurchases: boolean;
  readonly submitRequest: (request: Workload.WorkloadRequest, nowMs: number) => Actions;
  readonly cancelRequest: (requestId: string, nowMs: number) => void;
  readonly recordFirstToken: (requestId: string, nowMs: number) => void;
  readonly recordTokens: (requestId: string, nowMs: number) => void;
  readonly recordEnd: (
    requestId: string, result: Scheduling.AttemptResult, nowMs: number,
  ) => Actions;
  /** Undefined where a broken answer is not continued. */
  readonly resumeRequest?: (
    request: Workload.WorkloadRequest, failedServer: string, delivered: number, nowMs: number,
  ) => Actions;
  readonly advanceTime: (nowMs: number) => Actions;
  readonly setServers: (views: readonly Scheduling.ServerView[], nowMs: number) => Actions;
  readonly recordReport: (report: Scheduling.LoadReport) => void;
  readonly recordCacheEvent: (event: Scheduling.CacheEvent, nowMs: number) => void;
  /** Expected requests in flight of each server, where the policy has an estimate. */
  readonly listLoads: () => ReadonlyMap<string, number>;
}

/** Accounts in one digest. */
const MAX_DIGEST_ACCOUNTS = 200;

const NOTHING: Actions = { refused: [], starts: [] };

/** Limits that do not bind: the cases measure sharing, not limits. */
const LIMITS: Scheduling.AccountLimits = {
  concurrentRequests: 100_000, tokensPerMinute: 1_000_000_000,
};

function toActions({ refusals, starts }: Scheduling.ScheduleActions): Actions {
  return {
    refused: refusals.map(({ reason, request, retryAfterMs }) => ({
      reason: reason._tag, requestId: request.requestId, retryAfterMs,
    })),
    starts: starts.map(({ choice, request }) => ({
      requestId: request.requestId, serverId: choice.serverId,
    })),
  };
}

function mergeActions(list: readonly Actions[]): Actions {
  return {
    refused: list.flatMap(({ refused }) => refused), starts: list.flatMap(({ starts }) => starts),
  };
}

/** Creates the scheduler of every daemon. */
export function createSchedulerPolicy(
  { daemons: daemonCount, engine, serviceSlots }: CaseFile.Deployment,
  random: () => number,
  options: Scheduling.SchedulerOptions = Scheduling.defaultSchedulerOptions,
): Policy {
  const daemons = Array.from({ length: daemonCount }, () => (
    Scheduling.createScheduler(random, options)
  ));
  const owners = new Map<string, Scheduling.Scheduler>();
  const served = daemons.map(() => new Map<string, number>());
  const sumOthers = (index: number): ReadonlyMap<string, number> => {
    const sums = new Map<string, number>();
    served.forEach((counts, other) => {
      if (other === index) return;
      counts.forEach((tokens, key) => sums.set(key, (sums.get(key) ?? 0) + tokens));
    });
    return sums;
  };
  const getOwner = (requestId: string): Scheduling.Scheduler => (
    owners.get(requestId) ?? daemons[0] as Scheduling.Scheduler
  );
  const buildRequest = (
    request: Workload.WorkloadRequest,
    excluded: readonly string[],
    delivered: number,
  ): Scheduling.ScheduledRequest => ({
    account: request.account.id,
    arrivedMs: request.atMs,
    class: {
      classId: request.class.id,
      firstTokenMs: request.class.firstTokenMs,
      floorShare: request.class.floorShare,
      maxQueueMs: request.class.maxQueueMs,
      tier: request.class.tier,
    },
    excluded,
    isResumable: request.class.repeatable,
    limits: LIMITS,
    pool: request.class.pool,
    promptTokens: request.callMs === undefined ? request.promptTokens + delivered : 0,
    requestId: request.requestId,
    weight: request.account.weight,
    ...request.prefix === undefined ? {} : { prefix: request.prefix },
    ...request.callMs === undefined ? {} : { maxAnswerTokens: 1 },
  });
  return {
    advanceTime: (nowMs) => {
      // What was built a second ago arrives now, as through a relay of the data centre.
      daemons.forEach((one, index) => one.applyDigest({
        sampledMs: nowMs - 1_000, tokens: sumOthers(index),
      }));
      daemons.forEach((one, index) => one.buildDigest(nowMs, MAX_DIGEST_ACCOUNTS).tokens
        .forEach((tokens, key) => served[index]?.set(key, tokens)));
      return mergeActions(daemons.map((one) => toActions(one.advanceTime(nowMs))));
    },
    cancelRequest: (requestId, nowMs) => getOwner(requestId).cancelRequest(requestId, nowMs),
    hasPriorities: true,
    hasPurchases: true,
    listLoads: () => {
      // Each daemon estimates the whole load of a server; their mean is compared with the truth.
      const loads = new Map<string, number>();
      daemons.forEach((one) => one.listEstimates().forEach(({
        othersInFlight, ownInFlight, serverId,
      }) => {
        const load = (othersInFlight + ownInFlight) / daemonCount;
        loads.set(serverId, (loads.get(serverId) ?? 0) + load);
      }));
      return loads;
    },
    name: 'berylyoke',
    recordCacheEvent: (event, nowMs) => daemons.forEach((one) => (
      one.recordCacheEvent(event, nowMs)
    )),
    recordEnd: (requestId, result, nowMs) => (
      toActions(getOwner(requestId).recordEnd(requestId, result, nowMs))
    ),
    recordFirstToken: (requestId, nowMs) => getOwner(requestId).recordFirstToken(requestId, nowMs),
    recordReport: (report) => daemons.forEach((one) => one.recordReport(report)),
    recordTokens: (requestId, nowMs) => getOwner(requestId).recordTokens(requestId, 1, nowMs),
    resumeRequest: (request, failedServer, delivered, nowMs) => toActions(
      getOwner(request.requestId)
        .resumeRequest(buildRequest(request, [failedServer], delivered), nowMs),
    ),
    setServers: (views, nowMs) => mergeActions(daemons.map((one) => (
      toActions(one.setServers(views.map((view) => ({
        ...view, slots: view.models.includes('model') ? engine.slots : serviceSlots,
      })), daemonCount, nowMs))
    ))),
    submitRequest: (request, nowMs) => {
      const owner = daemons[request.daemon] as Scheduling.Scheduler;
      owners.set(request.requestId, owner);
      return toActions(owner.submitRequest(buildRequest(request, [], 0), nowMs));
    },
  };
}

interface BaselineState {
  readonly inFlight: Map<string, number>;
  readonly servers: Map<string, string>;
  views: readonly Scheduling.ServerView[];
}

function createBaselineState(): BaselineState {
  return { inFlight: new Map(), servers: new Map(), views: [] };
}

function listLive({ views }: BaselineState, pool: string): readonly Scheduling.ServerView[] {
  return views.filter(({ models, state }) => state === 'live' && models.includes(pool));
}

const BASELINE: Pick<
  Policy,
  'hasPriorities' | 'hasPurchases' | 'listLoads' | 'recordCacheEvent' | 'recordFirstToken'
  | 'recordReport' | 'recordTokens'
> = {
  hasPriorities: false,
  hasPurchases: false,
  listLoads: () => new Map(),
  recordCacheEvent: () => undefined,
  recordFirstToken: () => undefined,
  recordReport: () => undefined,
  recordTokens: () => undefined,
};

/** First come first served: one queue for all, to the server with the fewest requests. */
export function createFirstComePolicy(): Policy {
  const state = createBaselineState();
  let waiting: Workload.WorkloadRequest[] = [];
  const startWaiting = (): Actions => {
    const starts: { requestId: string; serverId: string }[] = [];
    const full = new Set<string>();
    waiting = waiting.filter(({ class: { pool }, requestId }) => {
      if (full.has(pool)) return true;
      const [server] = listLive(state, pool)
        .filter(({ serverId, slots }) => (state.inFlight.get(serverId) ?? 0) < slots)
        .sort((a, b) => (
          (state.inFlight.get(a.serverId) ?? 0) - (state.inFlight.get(b.serverId) ?? 0)
        ));
      if (server === undefined) {
        full.add(pool);
        return true;
      }
      const { serverId } = server;
      state.inFlight.set(serverId, (state.inFlight.get(serverId) ?? 0) + 1);
      state.servers.set(requestId, serverId);
      starts.push({ requestId, serverId });
      return false;
    });
    return { refused: [], starts };
  };
  return {
    ...BASELINE,
    advanceTime: startWaiting,
    cancelRequest: (requestId) => {
      waiting = waiting.filter((request) => request.requestId !== requestId);
    },
    name: 'first-come',
    recordEnd: (requestId) => {
      const serverId = state.servers.get(requestId);
      if (serverId === undefined) return NOTHING;
      state.servers.delete(requestId);
      state.inFlight.set(serverId, (state.inFlight.get(serverId) ?? 0) - 1);
      return startWaiting();
    },
    setServers: (views) => {
      state.views = views;
      return startWaiting();
    },
    submitRequest: (request) => {
      waiting.push(request);
      return startWaiting();
    },
  };
}

/** Round robin without tiers: each request goes at once to the next server, which queues it. */
export function createRoundRobinPolicy(): Policy {
  const state = createBaselineState();
  let turn = 0;
  return {
    ...BASELINE,
    advanceTime: () => NOTHING,
    cancelRequest: () => undefined,
    name: 'round-robin',
    recordEnd: () => NOTHING,
    setServers: (views) => {
      state.views = views;
      return NOTHING;
    },
    submitRequest: ({ class: { pool }, requestId }) => {
      const live = listLive(state, pool);
      turn += 1;
      const server = live[turn % Math.max(1, live.length)];
      if (server === undefined) {
        return { refused: [{ reason: 'NoCandidate', requestId, retryAfterMs: 1_000 }], starts: [] };
      }
      return { refused: [], starts: [{ requestId, serverId: server.serverId }] };
    },
  };
}
