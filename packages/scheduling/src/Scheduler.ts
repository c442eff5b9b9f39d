/**
 * The decisions of one daemon put together: length estimate, admission, fair queue, choice of
 * server, ejection and retry budget. Each event returns the requests to start and to refuse; the
 * caller does the sending. The measuring command drives the same scheduler as the daemon.
 */
import type * as Core from '@berylyoke/core';
import * as Admission from './Admission.js';
import type * as CacheIndex from './CacheIndex.js';
import type * as Explanation from './Explanation.js';
import * as FairQueue from './FairQueue.js';
import * as FleetShares from './FleetShares.js';
import * as LengthEstimate from './LengthEstimate.js';
import * as Outliers from './Outliers.js';
import * as RetryBudget from './RetryBudget.js';
import * as ServerChoice from './ServerChoice.js';
import * as ServiceRate from './ServiceRate.js';
import * as SlotReserve from './SlotReserve.js';
import * as WaitCorrection from './WaitCorrection.js';

/** A class as the scheduler needs it. */
export interface ScheduledClass extends FairQueue.QueueClass {
  /** Target for the first token, or for the whole answer of a plain service. */
  readonly firstTokenMs: Core.Millis;
  readonly maxQueueMs: Core.Millis;
}

/** A request that asks to run. */
export interface ScheduledRequest {
  readonly requestId: string;
  readonly account: string;
  readonly weight: number;
  readonly limits: Admission.AccountLimits;
  readonly class: ScheduledClass;
  /** Model, or name of the plain service. */
  readonly pool: string;
  readonly adapter?: string;
  readonly promptTokens: number;
  /** The caller's own limit on the answer. */
  readonly maxAnswerTokens?: number;
  readonly prefix?: { readonly hash: number; readonly tokens: number };
  /** True where another server can continue the answer. */
  readonly isResumable: boolean;
  readonly arrivedMs: Core.Millis;
  /** Servers that have failed this request. */
  readonly excluded: readonly string[];
}

/** Why a request was refused by one of the decisions. */
export type RefusalReason = Explanation.AdmissionReason | Explanation.ChoiceReason
  | Explanation.RetryReason | Explanation.ShedReason;

/** A request to start on a server. */
export interface ScheduledStart {
  readonly request: ScheduledRequest;
  readonly choice: ServerChoice.ServerChoice;
  readonly reason: Explanation.DequeueReason;
}

/** A request to answer at once with a refusal. */
export interface ScheduledRefusal {
  readonly request: ScheduledRequest;
  readonly status: 429 | 503;
  readonly retryAfterMs: Core.Millis;
  readonly reason: RefusalReason;
}

/** What is to be done after an event. */
export interface ScheduleActions {
  readonly starts: readonly ScheduledStart[];
  readonly refusals: readonly ScheduledRefusal[];
}

/** How a request ended on a server. */
export type AttemptResult = 'cancelled' | 'failed' | 'ok';

/** Options of the decisions. */
export interface SchedulerOptions {
  readonly admission: Admission.AdmissionOptions;
  readonly choice: ServerChoice.ChoiceOptions;
  readonly length: LengthEstimate.LengthOptions;
  readonly outliers: Outliers.OutlierOptions;
  readonly queue: FairQueue.QueueOptions;
  /** Share of a server's slots that daemons may claim over an even division. */
  readonly slotHeadroom: number;
  /** Targets up to this one count as urgent: slots are reserved for such requests. */
  readonly urgentMs: Core.Millis;
  /** Margin of the reserve, in units of the square root of the mean number of requests. */
  readonly reserveDeviations: number;
}

/** Scheduler of one daemon. */
export interface Scheduler {
  readonly submitRequest: (request: ScheduledRequest, nowMs: Core.Millis) => ScheduleActions;
  /**
   * Queues a request again after its server failed, if the retry budget allows it. `isBudgeted`
   * tells that the caller keeps a budget of its own, which has allowed it already.
   */
  readonly resumeRequest: (
    request: ScheduledRequest, nowMs: Core.Millis, isBudgeted?: boolean,
  ) => ScheduleActions;
  /** Removes a waiting request whose caller has gone. */
  readonly cancelRequest: (requestId: string, nowMs: Core.Millis) => void;
  readonly recordFirstToken: (requestId: string, nowMs: Core.Millis) => void;
  readonly recordTokens: (requestId: string, tokens: number, nowMs: Core.Millis) => void;
  /** Ends an attempt; a `failed` one may be resumed afterwards. */
  readonly recordEnd: (
    requestId: string, result: AttemptResult, nowMs: Core.Millis,
  ) => ScheduleActions;
  /** To be called about once a second: expiry, probation, comparison of servers. */
  readonly advanceTime: (nowMs: Core.Millis) => ScheduleActions;
  readonly setServers: (
    views: readonly ServerChoice.ServerView[], daemonCount: number, nowMs: Core.Millis,
  ) => ScheduleActions;
  readonly recordReport: (report: ServerChoice.LoadReport) => void;
  readonly recordCacheEvent: (event: CacheIndex.CacheEvent, nowMs: Core.Millis) => void;
  /** Builds this daemon's part of the next digest, the accounts with the largest changes first. */
  readonly buildDigest: (nowMs: Core.Millis, maxAccounts: number) => FleetShares.ServiceDigest;
  /** Charges the accounts with what the other daemons, summed up, have served them. */
  readonly applyDigest: (digest: FleetShares.ServiceDigest) => void;
  readonly getQueueSnapshot: () => FairQueue.QueueSnapshot;
  readonly listEstimates: () => readonly ServerChoice.ServerEstimate[];
  readonly getOutliers: () => Outliers.OutlierState;
}

/** Values used when nothing else is set. */
export const defaultSchedulerOptions: SchedulerOptions = {
  admission: Admission.defaultAdmissionOptions,
  choice: ServerChoice.defaultChoiceOptions,
  length: LengthEstimate.defaultLengthOptions,
  outliers: Outliers.defaultOutlierOptions,
  queue: FairQueue.defaultQueueOptions,
  reserveDeviations: 1,
  slotHeadroom: 1,
  urgentMs: 1_000,
};

/** Work of a prompt token in units of an answer token: prompts are read in large batches. */
export const PROMPT_TOKEN_WORK = 0.1;

/** Wait of an interrupted stream for another server, before its caller sees the break. */
const RESUME_WAIT_MS = 5_000;

/** Time to come back when no server answers for a model. */
const NO_SERVER_RETRY_MS = 1_000;

/** Prior of a pool's rate for each of the daemon's slots, until dispatches show it. */
const SLOT_TOKENS_PER_SECOND = 25;

/** Requests that find no server although others might, before the rest has to wait for them. */
const MAX_BLOCKED = 8;

/** An expired request would have waited longer than it did; by how much is not known. */
const EXPIRED_WAIT_FACTOR = 1.2;

/** Tiers of the operators' lists. */
const TIERS = [0, 1, 2, 3, 4];

const EMPTY_STEP: ScheduleActions = { refusals: [], starts: [] };

interface Waiting {
  readonly queuedMs: Core.Millis;
  /** Wait as expected without correction. */
  readonly expectedWaitMs: Core.Millis;
  readonly request: ScheduledRequest;
  readonly grant: Admission.AdmissionGrant;
  readonly expectedTokens: number;
}

interface Running extends Waiting {
  readonly serverId: string;
  readonly startedMs: Core.Millis;
  charge: LengthEstimate.TokenCharge;
  lastTokenMs: Core.Millis | undefined;
}

interface ServiceTime {
  readonly meanMs: Core.Millis;
  readonly deviationMs: Core.Millis;
  readonly observedMs: Core.Millis;
}

/** Time in which an observed time to the first token loses two thirds of its weight. */
const SERVICE_TIME_FADING_MS = 3_000;

/** Service is shared fairly inside a tier of a pool, so that is what digests count. */
function formatShareKey(
  { account, class: { tier }, pool }: Pick<ScheduledRequest, 'account' | 'class' | 'pool'>,
): string {
  return `${tier} ${account} ${pool}`;
}

/** Weight of a new observation of the time to the first token. */
const SERVICE_TIME_WEIGHT = 0.05;

/**
 * Creates a scheduler without servers.
 *
 * @param random draws numbers in [0, 1), for the draws of servers and the spread of retry times
 */
export function createScheduler(
  random: () => number,
  options: SchedulerOptions = defaultSchedulerOptions,
): Scheduler {
  const admission = Admission.createAdmission(options.admission);
  const chooser = ServerChoice.createServerChooser(options.choice);
  const lengths = LengthEstimate.createLengthEstimates(options.length);
  const queue = FairQueue.createFairQueue<Waiting>(options.queue);
  const shares = FleetShares.createFleetShares();
  const rates = new Map<string, ServiceRate.ServiceRate>();
  const running = new Map<string, Running>();
  const reserves = new Map<string, SlotReserve.SlotReserve>();
  const corrections = new Map<string, WaitCorrection.WaitCorrection>();
  const serviceTimes = new Map<string, ServiceTime>();
  let retries = RetryBudget.createRetryBudget();
  /** Servers that are compared with each other: those that answer for the same models. */
  const groups = new Map<string, Outliers.OutlierState>();
  const groupNames = new Map<string, string>();

  const getRate = (pool: string): ServiceRate.ServiceRate => {
    const known = rates.get(pool);
    if (known !== undefined) return known;
    const slots = Math.max(1, chooser.countFreeSlots(pool));
    const added = ServiceRate.createServiceRate(slots * SLOT_TOKENS_PER_SECOND);
    rates.set(pool, added);
    return added;
  };

  const getReserve = (pool: string): SlotReserve.SlotReserve => {
    const known = reserves.get(pool);
    if (known !== undefined) return known;
    const added = SlotReserve.createSlotReserve(options.reserveDeviations);
    reserves.set(pool, added);
    return added;
  };

  const isUrgent = ({ class: { firstTokenMs } }: ScheduledRequest): boolean => (
    firstTokenMs <= options.urgentMs
  );

  const releaseReserve = (request: ScheduledRequest, nowMs: Core.Millis): void => {
    if (isUrgent(request)) getReserve(request.pool).removeRequest(request.class.tier, nowMs);
  };

  /** Finds the lowest tier that leaves its reserve with the free slots; -1 when none does. */
  const findLowestTier = (pool: string, nowMs: Core.Millis): number => {
    const free = chooser.countFreeSlots(pool);
    const reserve = getReserve(pool);
    const blocked = TIERS.findIndex((tier) => reserve.computeReserve(tier, nowMs) >= free);
    return blocked === -1 ? Infinity : blocked - 1;
  };

  const getServiceMs = (
    { class: { classId }, pool, promptTokens }: ScheduledRequest,
    nowMs: Core.Millis,
  ): Core.Millis => {
    const priorMs = promptTokens * options.choice.promptTokenMs
      + 2 * options.choice.betweenTokensMs;
    const known = serviceTimes.get(`${pool} ${classId}`);
    if (known === undefined) return priorMs;
    // A class that is refused is not observed; without fading it would be refused for good.
    const fading = Math.exp(-(nowMs - known.observedMs) / SERVICE_TIME_FADING_MS);
    return priorMs + (known.meanMs + known.deviationMs - priorMs) * fading;
  };

  const buildChoiceRequest = (request: ScheduledRequest): ServerChoice.ChoiceRequest => ({
    excluded: request.excluded,
    model: request.pool,
    phase: 'whole',
    promptTokens: request.promptTokens,
    requestId: request.requestId,
    ...request.adapter === undefined ? {} : { adapter: request.adapter },
    ...request.prefix === undefined ? {} : { prefix: request.prefix },
  });

  const getCorrection = (
    { class: { tier }, pool }: ScheduledRequest,
  ): WaitCorrection.WaitCorrection => (
    corrections.get(`${tier} ${pool}`) ?? WaitCorrection.initialWaitCorrection
  );

  const getWaitFactor = (request: ScheduledRequest): number => (
    WaitCorrection.computeWaitFactor(getCorrection(request))
  );

  const observeWait = (waiting: Waiting, observedMs: Core.Millis): void => {
    const { expectedWaitMs, request } = waiting;
    const { class: { tier }, pool } = request;
    corrections.set(
      `${tier} ${pool}`,
      WaitCorrection.observeWait(getCorrection(request), expectedWaitMs, observedMs),
    );
  };

  const buildOutlook = (request: ScheduledRequest, nowMs: number): Admission.AdmissionOutlook => {
    const rate = getRate(request.pool);
    const factor = getWaitFactor(request);
    return {
      hasFreeSlot: chooser.countFreeSlots(request.pool) > 0,
      serviceMs: getServiceMs(request, nowMs),
      tierTokensPerSecond: rate.getTierRate(request.class.tier, nowMs) / factor,
      totalTokensPerSecond: rate.getTotalRate(nowMs) / factor,
      workAhead: queue.estimateWorkAhead(request),
    };
  };

  const refuseShed = (
    { reason, request: { payload } }: FairQueue.ShedRequest<Waiting>,
    nowMs: Core.Millis,
  ): ScheduledRefusal => {
    const { grant, queuedMs, request } = payload;
    if (reason._tag === 'Expired') observeWait(payload, (nowMs - queuedMs) * EXPIRED_WAIT_FACTOR);
    admission.releaseGrant(grant, 0);
    releaseReserve(request, nowMs);
    const waitMs = Admission.estimateFirstTokenMs(buildOutlook(request, nowMs));
    const { maxRetryAfterMs, minRetryAfterMs } = options.admission;
    const boundedMs = Math.min(Math.max(minRetryAfterMs, waitMs), maxRetryAfterMs);
    return {
      reason, request, retryAfterMs: Math.ceil(boundedMs * (1 + random() / 4)), status: 503,
    };
  };

  const startQueued = (
    { costTokens, payload: waiting, pool }: FairQueue.QueueRequest<Waiting>,
    reason: Explanation.DequeueReason,
    nowMs: Core.Millis,
  ): ScheduledStart | undefined => {
    const { request } = waiting;
    const choiceRequest = buildChoiceRequest(request);
    const choice = chooser.chooseServer(choiceRequest, nowMs, random).extract();
    if ('_tag' in choice) return undefined;
    chooser.recordDispatch(choiceRequest, choice, nowMs);
    observeWait(waiting, nowMs - waiting.queuedMs);
    shares.recordService(formatShareKey(request), request.promptTokens * PROMPT_TOKEN_WORK);
    const isSaturated = queue.countRequests(pool) > 0;
    getRate(pool).recordDispatch(request.class.tier, costTokens, nowMs, isSaturated);
    running.set(request.requestId, {
      ...waiting,
      charge: LengthEstimate.createTokenCharge(waiting.expectedTokens),
      lastTokenMs: undefined,
      serverId: choice.serverId,
      startedMs: nowMs,
    });
    return { choice, reason, request };
  };

  const startNext = (pool: string, nowMs: Core.Millis): ScheduleActions => {
    const starts: ScheduledStart[] = [];
    const refusals: ScheduledRefusal[] = [];
    const blocked: FairQueue.QueueRequest<Waiting>[] = [];
    while (
      blocked.length < MAX_BLOCKED
      && queue.countRequests(pool) > 0
      && chooser.countFreeSlots(pool) > 0
    ) {
      const lowestTier = findLowestTier(pool, nowMs);
      const { expired, reason, request } = queue.dequeueRequest(pool, nowMs, lowestTier);
      refusals.push(...expired.map((shed) => refuseShed(shed, nowMs)));
      if (request === undefined) break;
      const start = startQueued(request, reason, nowMs);
      if (start === undefined) blocked.push(request);
      else starts.push(start);
    }
    blocked.forEach(queue.returnRequest);
    return { refusals, starts };
  };

  const queueWaiting = (
    waiting: Waiting,
    latestStartMs: Core.Millis,
    nowMs: Core.Millis,
  ): ScheduleActions => {
    const { request } = waiting;
    if (isUrgent(request)) getReserve(request.pool).addRequest(request.class.tier, nowMs);
    const shed = queue.queueRequest({
      account: request.account,
      class: request.class,
      costTokens: request.promptTokens * PROMPT_TOKEN_WORK + waiting.expectedTokens,
      latestStartMs,
      payload: waiting,
      pool: request.pool,
      queuedMs: nowMs,
      requestId: request.requestId,
      weight: request.weight,
    });
    const step = startNext(request.pool, nowMs);
    return {
      refusals: [...shed.map((one) => refuseShed(one, nowMs)), ...step.refusals],
      starts: step.starts,
    };
  };

  const startAll = (nowMs: Core.Millis): ScheduleActions => {
    const steps = [...rates.keys()].map((pool) => startNext(pool, nowMs));
    return {
      refusals: steps.flatMap(({ refusals }) => refusals),
      starts: steps.flatMap(({ starts }) => starts),
    };
  };

  const mergeOutliers = (): Outliers.OutlierState => {
    const states = [...groups.values()];
    return {
      memberCount: states.reduce((sum, { memberCount }) => sum + memberCount, 0),
      servers: new Map(states.flatMap(({ servers }) => [...servers])),
    };
  };

  const applyToGroup = (group: string, event: Outliers.OutlierEvent, nowMs: number): void => {
    const state = groups.get(group) ?? Outliers.initialOutlierState;
    const step = Outliers.reduceOutliers(state, event, nowMs, options.outliers);
    if (step.state === state) return;
    groups.set(group, step.state);
    if (step.changes.length > 0) chooser.setOutliers(mergeOutliers());
  };

  const applyResult = (serverId: string, tag: 'Failure' | 'Success', nowMs: number): void => {
    const group = groupNames.get(serverId);
    if (group !== undefined) applyToGroup(group, { _tag: tag, serverId }, nowMs);
  };

  const compareServers = (nowMs: Core.Millis): void => {
    const used = chooser.listEstimates().filter(({ ownInFlight }) => ownInFlight > 0);
    [...groups.keys()].forEach((group) => {
      applyToGroup(group, { _tag: 'Tick' }, nowMs);
      const members = used.filter(({ serverId }) => groupNames.get(serverId) === group);
      const slowdowns = new Map(members.map((one) => [one.serverId, one.slowdown]));
      const { betweenTokensMs: priorMs } = options.choice;
      const gaps = new Map(members.map((one) => [one.serverId, one.betweenTokensMs / priorMs]));
      applyToGroup(group, { _tag: 'Observed', slowdowns }, nowMs);
      applyToGroup(group, { _tag: 'Observed', slowdowns: gaps }, nowMs);
    });
  };

  const correctCharge = (entry: Running, step: LengthEstimate.ChargeStep): void => {
    const current = entry;
    current.charge = step.charge;
    if (step.deltaTokens !== 0) {
      const { account, class: { tier }, pool } = entry.request;
      queue.recordTokens({ account, pool, tier }, step.deltaTokens);
    }
  };

  const submitRequest: Scheduler['submitRequest'] = (request, nowMs) => {
    retries = RetryBudget.recordFirstAttempt(retries);
    if (chooser.countCandidates(request.pool) === 0) {
      return {
        refusals: [{
          reason: { _tag: 'NoCandidate', model: request.pool },
          request,
          retryAfterMs: NO_SERVER_RETRY_MS,
          status: 503,
        }],
        starts: [],
      };
    }
    const { account, class: { classId }, maxAnswerTokens } = request;
    const length = lengths.estimateLength(classId, account, maxAnswerTokens);
    const outlook = buildOutlook(request, nowMs);
    return admission.admitRequest({
      account: request.account,
      answerTokens: length.pessimisticTokens,
      elapsedMs: nowMs - request.arrivedMs,
      limits: request.limits,
      maxQueueMs: request.class.maxQueueMs,
      promptTokens: request.promptTokens,
      targetMs: request.class.firstTokenMs,
    }, outlook, nowMs, random()).caseOf<ScheduleActions>({
      Left: ({ reason, retryAfterMs, status }) => ({
        refusals: [{
          reason, request, retryAfterMs, status,
        }],
        starts: [],
      }),
      Right: (grant) => queueWaiting({
        expectedTokens: length.medianTokens,
        expectedWaitMs: (grant.expectedFirstTokenMs - outlook.serviceMs) / getWaitFactor(request),
        grant,
        queuedMs: nowMs,
        request,
      }, grant.latestStartMs, nowMs),
    });
  };

  const queueResumed = (request: ScheduledRequest, nowMs: Core.Millis): ScheduleActions => {
    const { account, class: { classId }, maxAnswerTokens } = request;
    const latestStartMs = nowMs + RESUME_WAIT_MS;
    // Its admission stands: the caller has been promised an answer and may hold part of it.
    return queueWaiting({
      expectedTokens: lengths.estimateLength(classId, account, maxAnswerTokens).medianTokens,
      expectedWaitMs: 0,
      grant: admission.renewGrant(account, latestStartMs),
      queuedMs: nowMs,
      request,
    }, latestStartMs, nowMs);
  };

  const applyDigest = (digest: FleetShares.ServiceDigest): void => {
    shares.applyDigest(digest).forEach(({ account: key, tokens }) => {
      const [tier, account, pool] = key.split(' ');
      if (account === undefined || pool === undefined) return;
      queue.recordTokens({ account, pool, tier: Number(tier) }, tokens);
    });
  };

  return {
    advanceTime: (nowMs) => {
      const expired = queue.shedExpired(nowMs).map((shed) => refuseShed(shed, nowMs));
      compareServers(nowMs);
      const step = startAll(nowMs);
      return { refusals: [...expired, ...step.refusals], starts: step.starts };
    },
    applyDigest,
    buildDigest: shares.buildDigest,
    cancelRequest: (requestId, nowMs) => {
      const removed = queue.removeRequest(requestId);
      if (removed === undefined) return;
      admission.releaseGrant(removed.payload.grant, 0);
      releaseReserve(removed.payload.request, nowMs);
    },
    getOutliers: mergeOutliers,
    getQueueSnapshot: queue.getSnapshot,
    listEstimates: chooser.listEstimates,
    recordCacheEvent: chooser.recordCacheEvent,
    recordEnd: (requestId, result, nowMs) => {
      const entry = running.get(requestId);
      if (entry === undefined) return EMPTY_STEP;
      const { grant, request, serverId } = entry;
      running.delete(requestId);
      releaseReserve(request, nowMs);
      chooser.recordEnd(serverId, requestId, nowMs);
      correctCharge(entry, LengthEstimate.closeTokenCharge(entry.charge));
      const { deliveredTokens } = entry.charge;
      admission.releaseGrant(grant, request.promptTokens + deliveredTokens);
      if (result === 'ok') {
        lengths.recordLength(request.class.classId, request.account, deliveredTokens);
        applyResult(serverId, 'Success', nowMs);
      }
      if (result === 'failed') applyResult(serverId, 'Failure', nowMs);
      return startNext(request.pool, nowMs);
    },
    recordFirstToken: (requestId, nowMs) => {
      const entry = running.get(requestId);
      if (entry === undefined) return;
      chooser.recordFirstToken(entry.serverId, requestId, nowMs);
      const key = `${entry.request.pool} ${entry.request.class.classId}`;
      const observedMs = nowMs - entry.startedMs;
      const known = serviceTimes.get(key) ?? {
        deviationMs: observedMs / 4, meanMs: observedMs,
      };
      const errorMs = observedMs - known.meanMs;
      serviceTimes.set(key, {
        deviationMs: known.deviationMs
          + (Math.abs(errorMs) - known.deviationMs) * SERVICE_TIME_WEIGHT,
        meanMs: known.meanMs + errorMs * SERVICE_TIME_WEIGHT,
        observedMs: nowMs,
      });
    },
    recordReport: chooser.recordReport,
    recordTokens: (requestId, tokens, nowMs) => {
      const entry = running.get(requestId);
      if (entry === undefined) return;
      if (entry.lastTokenMs !== undefined && tokens > 0) {
        chooser.recordGap(entry.serverId, (nowMs - entry.lastTokenMs) / tokens);
      }
      entry.lastTokenMs = nowMs;
      shares.recordService(formatShareKey(entry.request), tokens);
      correctCharge(entry, LengthEstimate.addDeliveredTokens(entry.charge, tokens));
    },
    resumeRequest: (request, nowMs, isBudgeted = false) => {
      if (isBudgeted) return queueResumed(request, nowMs);
      return RetryBudget.claimRetry(retries).caseOf<ScheduleActions>({
        Left: ({ reason }) => ({
          refusals: [{
            reason, request, retryAfterMs: NO_SERVER_RETRY_MS, status: 503,
          }],
          starts: [],
        }),
        Right: ({ budget }) => {
          retries = budget;
          return queueResumed(request, nowMs);
        },
      });
    },
    setServers: (views, daemonCount, nowMs) => {
      chooser.setServers(views, Math.min(1, options.slotHeadroom / Math.max(1, daemonCount)));
      groupNames.clear();
      views.forEach(({ models, serverId }) => groupNames.set(serverId, models.join(' ')));
      new Set([...groups.keys(), ...groupNames.values()]).forEach((group) => {
        const serverIds = views
          .filter(({ serverId }) => groupNames.get(serverId) === group)
          .map(({ serverId }) => serverId);
        applyToGroup(group, { _tag: 'Members', serverIds }, nowMs);
      });
      chooser.setOutliers(mergeOutliers());
      return startAll(nowMs);
    },
    submitRequest,
  };
}
