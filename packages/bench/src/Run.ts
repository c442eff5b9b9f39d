/**
 * Event-driven run of one case under one policy, in virtual time. It models what the decisions see:
 * engines, late and lost reports, a lagging list of servers and callers that give up. It is a bench
 * of the decisions and no simulator of the cluster.
 */
import * as Scheduling from '@berylyoke/scheduling';
import type * as CaseFile from './CaseFile.js';
import * as EngineModel from './EngineModel.js';
import type * as Policy from './Policy.js';
import * as Random from './Random.js';
import * as Workload from './Workload.js';

/** What became of a request. */
export type Outcome = 'abandoned' | 'broken' | 'done' | 'refused' | 'running';

/** A request after the run. */
export interface RequestRecord {
  readonly request: Workload.WorkloadRequest;
  outcome: Outcome;
  reason: string | undefined;
  /** Time until the refusal. */
  refusedAfterMs: number;
  firstTokenMs: number | undefined;
  lastTokenAtMs: number;
  delivered: number;
  serverId: string | undefined;
  hasAttemptToken: boolean;
  resumes: number;
}

/** Everything that the measures need of a run. */
export interface RunRecord {
  readonly policy: string;
  readonly durationMs: number;
  readonly requests: readonly RequestRecord[];
  readonly tokensByKind: Readonly<Record<Scheduling.ServerKind, number>>;
  /** Classes that got a token in each window of 10 s, by window. */
  readonly progress: ReadonlyMap<number, ReadonlySet<string>>;
  /** Tokens by pool, tier and account. */
  readonly served: ReadonlyMap<string, number>;
  readonly costCents: number;
  readonly loadErrors: readonly number[];
  readonly reportErrors: readonly number[];
  readonly orders: readonly string[];
}

/** Length of the windows in which classes have to progress. */
export const PROGRESS_WINDOW_MS = 10_000;

/** Callers give up when the first token is later than this multiple of its target. */
const PATIENCE = 4;

const REPORT_EVERY_MS = 1_000;
const PURCHASE_EVERY_MS = 5_000;
const NETWORK_MS = 1;
const HOUR_MS = 3_600_000;

/** Time after the last arrival in which answers may still end. */
const TAIL_MS = 60_000;

interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

interface Server {
  readonly engine: EngineModel.EngineModel;
  readonly priceCents: number;
  readonly startedMs: number;
  view: Scheduling.ServerView;
  isUp: boolean;
  isStepping: boolean;
  slowFactor: number;
  sequence: number;
  reported: number;
  stoppedMs: number | undefined;
}

/** Runs a case under a policy. */
export function runCase(
  deployment: CaseFile.Deployment,
  one: CaseFile.Case,
  seed: number,
  policy: Policy.Policy,
): RunRecord {
  const draws = Random.createDraws(seed + 1);
  const durationMs = one.durationS * 1_000;
  const events = new Scheduling.IndexedHeap<Event>((a, b) => a.atMs - b.atMs || a.order - b.order);
  const servers = new Map<string, Server>();
  const records = new Map<string, RequestRecord>();
  const progress = new Map<number, Set<string>>();
  const served = new Map<string, number>();
  const tokensByKind = { cheap: 0, dear: 0 };
  const loadErrors: number[] = [];
  const reportErrors: number[] = [];
  const orders: string[] = [];
  const offered = new Map<number, number>();
  let forecasts = {
    must: Scheduling.initialDemandForecast, total: Scheduling.initialDemandForecast,
  };
  let purchaseState = Scheduling.initialPurchaseState;
  let nowMs = 0;
  let order = 0;

  const schedule = (atMs: number, run: () => void): void => {
    order += 1;
    events.add({ atMs: Math.max(atMs, nowMs), order, run });
  };

  const addServer = (group: CaseFile.ServerGroup, isLive: boolean): void => {
    const serverId = `${group.dataCentre}-${group.kind}-${servers.size}`;
    const slots = group.pool === 'model' ? deployment.engine.slots : deployment.serviceSlots;
    servers.set(serverId, {
      engine: EngineModel.createEngineModel(deployment.engine, slots),
      isStepping: false,
      isUp: isLive,
      priceCents: group.priceCents,
      reported: 0,
      sequence: 0,
      slowFactor: 1,
      startedMs: nowMs,
      stoppedMs: undefined,
      view: {
        adapters: [],
        dataCentre: group.dataCentre,
        kind: group.kind,
        models: [group.pool],
        roundTripMs: NETWORK_MS,
        role: 'mixed',
        serverId,
        slots,
        state: isLive ? 'live' : 'loading',
      },
    });
  };

  const listViews = (): readonly Scheduling.ServerView[] => [...servers.values()]
    .filter(({ stoppedMs }) => stoppedMs === undefined)
    .map(({ view }) => view);

  let applyActions: (actions: Policy.Actions) => void = () => undefined;

  const publishList = (): void => {
    const views = listViews();
    schedule(nowMs + deployment.listLagMs, () => applyActions(policy.setServers(views, nowMs)));
  };

  const failRequest = (requestId: string, serverId: string): void => {
    const record = records.get(requestId);
    if (record === undefined || record.outcome !== 'running') return;
    record.serverId = undefined;
    applyActions(policy.recordEnd(requestId, 'failed', nowMs));
    if (policy.resumeRequest === undefined || !record.request.class.repeatable) {
      record.outcome = 'broken';
      return;
    }
    record.resumes += 1;
    applyActions(policy.resumeRequest(record.request, serverId, record.delivered, nowMs));
  };

  const recordToken = (requestId: string, isLast: boolean, server: Server): void => {
    const record = records.get(requestId);
    if (record === undefined || record.outcome !== 'running') return;
    const { request } = record;
    record.delivered += 1;
    record.lastTokenAtMs = nowMs;
    record.firstTokenMs ??= nowMs + NETWORK_MS - request.atMs;
    if (!record.hasAttemptToken) policy.recordFirstToken(requestId, nowMs);
    record.hasAttemptToken = true;
    policy.recordTokens(requestId, nowMs);
    if (request.callMs === undefined) tokensByKind[server.view.kind] += 1;
    const window = Math.floor(nowMs / PROGRESS_WINDOW_MS);
    progress.set(window, (progress.get(window) ?? new Set<string>()).add(request.class.id));
    const key = `${request.class.pool} ${request.class.tier} ${request.account.id}`;
    served.set(key, (served.get(key) ?? 0) + 1);
    if (!isLast) return;
    record.outcome = 'done';
    applyActions(policy.recordEnd(requestId, 'ok', nowMs));
  };

  const publishCacheChanges = (server: Server): void => {
    const current = server;
    server.engine.takeCacheChanges().forEach(({ hash, isStored, tokens }) => {
      current.sequence += 1;
      const { sequence, view: { serverId } } = current;
      if (draws.uniform() < one.reportLoss) return;
      const event: Scheduling.CacheEvent = isStored
        ? {
          _tag: 'Stored', prefixHash: hash, sequence, serverId, tokens,
        }
        : {
          _tag: 'Removed', prefixHash: hash, sequence, serverId,
        };
      schedule(nowMs + one.reportLagMs, () => policy.recordCacheEvent(event, nowMs));
    });
  };

  const stepServer = (server: Server): void => {
    if (server.isStepping || !server.isUp) return;
    const lengthMs = server.engine.startStep(nowMs, server.slowFactor);
    if (lengthMs === undefined) return;
    const current = server;
    current.isStepping = true;
    schedule(nowMs + lengthMs, () => {
      current.isStepping = false;
      if (!current.isUp) return;
      server.engine.endStep(nowMs).tokens.forEach(({ isLast, requestId }) => (
        recordToken(requestId, isLast, server)
      ));
      publishCacheChanges(server);
      stepServer(server);
    });
  };

  const startRequest = (requestId: string, serverId: string): void => {
    const record = records.get(requestId);
    const server = servers.get(serverId);
    if (record === undefined || server === undefined || record.outcome !== 'running') return;
    record.serverId = serverId;
    record.hasAttemptToken = false;
    schedule(nowMs + NETWORK_MS, () => {
      if (record.outcome !== 'running' || record.serverId !== serverId) return;
      if (!server.isUp) {
        failRequest(requestId, serverId);
        return;
      }
      const { request } = record;
      server.engine.addJob({
        answerTokens: request.answerTokens - record.delivered,
        callMs: request.callMs,
        prefix: request.prefix,
        priority: policy.hasPriorities ? request.class.tier : 0,
        promptTokens: request.promptTokens + record.delivered,
        requestId,
      }, nowMs);
      stepServer(server);
    });
  };

  applyActions = ({ refused, starts }) => {
    refused.forEach(({ reason, requestId }) => {
      const record = records.get(requestId);
      if (record === undefined || record.outcome !== 'running') return;
      record.outcome = record.delivered > 0 ? 'broken' : 'refused';
      record.reason = reason;
      record.refusedAfterMs = nowMs - record.request.atMs;
    });
    starts.forEach(({ requestId, serverId }) => startRequest(requestId, serverId));
  };

  const submitRequest = (request: Workload.WorkloadRequest): void => {
    const { class: { callMs, firstTokenMs, tier }, requestId } = request;
    const record: RequestRecord = {
      delivered: 0,
      firstTokenMs: undefined,
      hasAttemptToken: false,
      lastTokenAtMs: 0,
      outcome: 'running',
      reason: undefined,
      refusedAfterMs: 0,
      request,
      resumes: 0,
      serverId: undefined,
    };
    records.set(requestId, record);
    if (callMs === undefined) offered.set(tier, (offered.get(tier) ?? 0) + request.answerTokens);
    applyActions(policy.submitRequest(request, nowMs));
    schedule(nowMs + firstTokenMs * PATIENCE, () => {
      if (record.outcome !== 'running' || record.firstTokenMs !== undefined) return;
      record.outcome = 'abandoned';
      policy.cancelRequest(requestId, nowMs);
      const server = servers.get(record.serverId ?? '');
      server?.engine.cancelJob(requestId);
      applyActions(policy.recordEnd(requestId, 'cancelled', nowMs));
    });
  };

  const crashServer = (server: Server): void => {
    const current = server;
    current.isUp = false;
    const { serverId } = server.view;
    server.engine.clear().forEach((requestId) => failRequest(requestId, serverId));
  };

  const setState = (server: Server, state: Scheduling.ServerView['state']): void => {
    const current = server;
    current.view = { ...server.view, state };
  };

  const listAffected = ({ dataCentre, kind, server }: CaseFile.Fault): readonly Server[] => {
    const models = [...servers.values()].filter(({ view }) => view.models.includes('model'));
    if (kind !== 'reclaim') return models.slice(server ?? 0, (server ?? 0) + 1);
    return models.filter(({ view }) => view.kind === 'cheap' && view.dataCentre === dataCentre);
  };

  const startFault = (fault: CaseFile.Fault): void => listAffected(fault).forEach((server) => {
    const current = server;
    if (fault.kind === 'slow') current.slowFactor = fault.factor;
    else crashServer(server);
    if (fault.kind === 'reclaim') {
      current.stoppedMs ??= nowMs;
      publishList();
    }
  });

  const endFault = (fault: CaseFile.Fault): void => listAffected(fault).forEach((server) => {
    const current = server;
    current.slowFactor = 1;
    if (fault.kind === 'crash') current.isUp = true;
  });

  const isReclaimed = (dataCentre: string): boolean => one.faults.some((fault) => (
    fault.kind === 'reclaim' && fault.dataCentre === dataCentre
    && nowMs >= fault.fromS * 1_000 - deployment.noticeMs && nowMs < fault.toS * 1_000
  ));

  const applyOrder = (purchase: Scheduling.PurchaseOrder): void => {
    orders.push(`${Math.round(nowMs / 1_000)}s ${purchase._tag} ${purchase.count} `
      + `${purchase.kind} ${purchase.dataCentre}: ${Scheduling.formatReason(purchase.reason)}`);
    const group = deployment.servers.find(({ dataCentre, kind, pool }) => (
      pool === 'model' && kind === purchase.kind && dataCentre === purchase.dataCentre
    )) ?? deployment.servers.find(({ kind, pool }) => pool === 'model' && kind === purchase.kind);
    if (purchase._tag === 'Start' && group !== undefined) {
      const before = servers.size;
      Array.from({ length: purchase.count }, () => (
        addServer({ ...group, dataCentre: purchase.dataCentre }, false)
      ));
      const added = [...servers.values()].slice(before);
      schedule(nowMs + deployment.leadMs, () => {
        added.forEach((server) => {
          const current = server;
          current.isUp = true;
          setState(server, 'live');
        });
        publishList();
      });
      return;
    }
    const surplus = [...servers.values()].filter(({ view }) => (
      view.state === 'live' && view.kind === purchase.kind
      && view.dataCentre === purchase.dataCentre && view.models.includes('model')
    ));
    surplus.slice(0, purchase.count).forEach((server) => setState(server, 'leaving'));
    publishList();
  };

  const purchase = (): void => {
    const perSecond = (isCounted: (tier: number) => boolean): number => (
      [...offered].reduce((sum, [tier, tokens]) => sum + (isCounted(tier) ? tokens : 0), 0)
      / (PURCHASE_EVERY_MS / 1_000)
    );
    forecasts = {
      must: Scheduling.observeDemand(
        forecasts.must,
        perSecond((tier) => tier <= deployment.mustHoldTier),
        nowMs,
      ),
      total: Scheduling.observeDemand(forecasts.total, perSecond(() => true), nowMs),
    };
    offered.clear();
    const { logOut } = one;
    const isOut = logOut !== undefined
      && nowMs >= logOut.fromS * 1_000 && nowMs < logOut.toS * 1_000;
    if (!one.purchases || !policy.hasPurchases || isOut) return;
    const groups = deployment.servers.filter(({ pool }) => pool === 'model');
    const servedBy = groups.reduce((sum, { count }) => sum + count, 0);
    const offers = groups.map(({
      count, dataCentre, kind, priceCents,
    }) => ({
      dataCentre,
      kind,
      maxServers: kind === 'cheap' && isReclaimed(dataCentre) ? 0 : count * 3,
      priceCents,
    }));
    const current = offers.map(({ dataCentre, kind }) => {
      const stand = [...servers.values()].filter(({ stoppedMs, view }) => (
        stoppedMs === undefined && view.kind === kind && view.dataCentre === dataCentre
        && view.models.includes('model')
      ));
      return {
        dataCentre,
        kind,
        servers: stand.filter(({ view }) => view.state === 'live').length,
        starting: stand.filter(({ view }) => view.state === 'loading').length,
      };
    });
    const plan = Scheduling.planPurchases(purchaseState, {
      model: 'model',
      mustHoldTokensPerSecond: Scheduling.estimateDemand(forecasts.must, deployment.leadMs),
      serverTokensPerSecond: Workload.computeCapacity(deployment, 'model') / servedBy,
      tokensPerSecond: Scheduling.estimateDemand(forecasts.total, deployment.leadMs),
    }, offers, current, nowMs);
    purchaseState = plan.state;
    plan.orders.forEach(applyOrder);
  };

  const reportLoads = (): void => {
    const loads = policy.listLoads();
    servers.forEach((server, serverId) => {
      const current = server;
      if (server.stoppedMs !== undefined || !server.isUp) return;
      const inFlight = server.engine.countJobs();
      if (server.view.state === 'leaving' && inFlight === 0) {
        current.stoppedMs = nowMs;
        publishList();
      }
      const estimate = loads.get(serverId);
      if (estimate !== undefined) {
        loadErrors.push(Math.abs(estimate - inFlight));
        reportErrors.push(Math.abs(server.reported - inFlight));
      }
      if (draws.uniform() < one.reportLoss) return;
      const sampledMs = nowMs;
      schedule(nowMs + one.reportLagMs, () => {
        current.reported = inFlight;
        policy.recordReport({ inFlight, serverId, sampledMs });
      });
    });
    applyActions(policy.advanceTime(nowMs));
  };

  deployment.servers.forEach((group) => {
    Array.from({ length: group.count }, () => addServer(group, true));
  });
  applyActions(policy.setServers(listViews(), 0));
  Workload.buildWorkload(deployment, one, seed).forEach((request) => {
    schedule(request.atMs, () => submitRequest(request));
  });
  one.faults.forEach((fault) => {
    if (fault.kind === 'reclaim') {
      schedule(Math.max(0, fault.fromS * 1_000 - deployment.noticeMs), () => {
        listAffected(fault).forEach((server) => setState(server, 'leaving'));
        publishList();
      });
    }
    schedule(fault.fromS * 1_000, () => startFault(fault));
    schedule(fault.toS * 1_000, () => endFault(fault));
  });
  const endMs = durationMs + TAIL_MS;
  Array.from({ length: endMs / REPORT_EVERY_MS }, (_, index) => (
    schedule((index + 1) * REPORT_EVERY_MS, reportLoads)
  ));
  Array.from({ length: durationMs / PURCHASE_EVERY_MS }, (_, index) => (
    schedule((index + 1) * PURCHASE_EVERY_MS, purchase)
  ));
  let event = events.getTop();
  while (event !== undefined && event.atMs <= endMs) {
    events.remove(event);
    nowMs = event.atMs;
    event.run();
    event = events.getTop();
  }
  const costCents = [...servers.values()].reduce((sum, { priceCents, startedMs, stoppedMs }) => (
    sum + (priceCents * Math.max(0, Math.min(stoppedMs ?? durationMs, durationMs) - startedMs))
      / HOUR_MS
  ), 0);
  return {
    costCents,
    durationMs,
    loadErrors,
    orders,
    policy: policy.name,
    progress,
    reportErrors,
    requests: [...records.values()],
    served,
    tokensByKind,
  };
}
