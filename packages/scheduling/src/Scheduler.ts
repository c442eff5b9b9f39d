/**
 * Scheduler of one daemon. Combines answer length estimation, admission control, the fair queue,
 * server selection, outlier ejection and the retry budget. Each event returns the requests to start
 * and to refuse; the caller sends them. The daemon and the benchmarks run the same scheduler.
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

/** Scheduling parameters of a request class. */
export interface ScheduledClass extends FairQueue.QueueClass {
  /** Latency target: until the first token, or until the complete answer of a plain service. */
  readonly firstTokenMs: Core.Millis;
  readonly maxQueueMs: Core.Millis;
}

/** A request submitted to the scheduler. */
export interface ScheduledRequest {
  readonly requestId: string;
  readonly account: string;
  readonly weight: number;
  readonly limits: Admission.AccountLimits;
  readonly class: ScheduledClass;
  /** Model or plain service that serves the request. */
  readonly pool: string;
  readonly adapter?: string;
  readonly promptTokens: number;
  /** Limit on the answer length set by the caller. */
  readonly maxAnswerTokens?: number;
  readonly prefix?: { readonly hash: number; readonly tokens: number };
  /** True if another server can continue an interrupted answer. */
  readonly isResumable: boolean;
  readonly arrivedMs: Core.Millis;
  /** Servers on which this request has already failed; they are not chosen again. */
  readonly excluded: readonly string[];
}

/** Why a request was refused, whichever decision refused it. */
export type RefusalReason = Explanation.AdmissionReason | Explanation.ChoiceReason
  | Explanation.RetryReason | Explanation.ShedReason;

/** A queued request to send to the chosen server now. */
export interface ScheduledStart {
  readonly request: ScheduledRequest;
  readonly choice: ServerChoice.ServerChoice;
  readonly reason: Explanation.DequeueReason;
}

/** A request to answer immediately with an error status. */
export interface ScheduledRefusal {
  readonly request: ScheduledRequest;
  readonly status: 429 | 503;
  readonly retryAfterMs: Core.Millis;
  readonly reason: RefusalReason;
}

/** Requests that the caller must start or refuse after an event. */
export interface ScheduleActions {
  readonly starts: readonly ScheduledStart[];
  readonly refusals: readonly ScheduledRefusal[];
}

/** Result of one attempt to run a request on a server. */
export type AttemptResult = 'cancelled' | 'failed' | 'ok';

/** Options of the scheduler and its components. */
export interface SchedulerOptions {
  readonly admission: Admission.AdmissionOptions;
  readonly choice: ServerChoice.ChoiceOptions;
  readonly length: LengthEstimate.LengthOptions;
  readonly outliers: Outliers.OutlierOptions;
  readonly queue: FairQueue.QueueOptions;
  /**
   * Multiple of an even share that each daemon may use of a server's slots: with 1, the slots are
   * divided evenly among the daemons.
   */
  readonly slotHeadroom: number;
  /** Longest latency target that counts as urgent; slots are reserved for urgent requests. */
  readonly maxUrgentTargetMs: Core.Millis;
  /** Margin of the slot reserve, in multiples of the square root of the mean request count. */
  readonly reserveDeviations: number;
}

/** Scheduler of one daemon. */
export interface Scheduler {
  readonly submitRequest: (request: ScheduledRequest, nowMs: Core.Millis) => ScheduleActions;
  /**
   * Queues a request again after its server failed, if the retry budget allows it. Set
   * `hasCallerBudget` when the caller keeps its own retry budget and has already charged the retry
   * to it; the scheduler's budget is then not used.
   */
  readonly resumeRequest: (
    request: ScheduledRequest, nowMs: Core.Millis, hasCallerBudget?: boolean,
  ) => ScheduleActions;
  /** Removes a queued request whose caller has disconnected. */
  readonly cancelRequest: (requestId: string, nowMs: Core.Millis) => void;
  readonly recordFirstToken: (requestId: string, nowMs: Core.Millis) => void;
  readonly recordTokens: (requestId: string, tokens: number, nowMs: Core.Millis) => void;
  /** Ends an attempt; a `failed` one may then be passed to `resumeRequest`. */
  readonly recordEnd: (
    requestId: string, result: AttemptResult, nowMs: Core.Millis,
  ) => ScheduleActions;
  /**
   * Refuses expired requests, ends ejections that are over, and compares servers to eject slow
   * ones. Must be called at least about once a second.
   */
  readonly advanceTime: (nowMs: Core.Millis) => ScheduleActions;
  readonly setServers: (
    views: readonly ServerChoice.ServerView[], daemonCount: number, nowMs: Core.Millis,
  ) => ScheduleActions;
  readonly recordReport: (report: ServerChoice.LoadReport) => void;
  readonly recordCacheEvent: (event: CacheIndex.CacheEvent, nowMs: Core.Millis) => void;
  /** Builds this daemon's part of the next digest; accounts with the largest changes go first. */
  readonly buildDigest: (nowMs: Core.Millis, maxAccounts: number) => FleetShares.ServedTokensDigest;
  /** Charges accounts for the tokens that the other daemons have served them in total. */
  readonly applyDigest: (digest: FleetShares.ServedTokensDigest) => void;
  readonly getQueueSnapshot: () => FairQueue.QueueSnapshot;
  readonly listEstimates: () => readonly ServerChoice.ServerEstimate[];
  readonly getOutliers: () => Outliers.OutlierState;
}

/** Default options. */
export const defaultSchedulerOptions: SchedulerOptions = {
  admission: Admission.defaultAdmissionOptions,
  choice: ServerChoice.defaultChoiceOptions,
  length: LengthEstimate.defaultLengthOptions,
  outliers: Outliers.defaultOutlierOptions,
  queue: FairQueue.defaultQueueOptions,
  reserveDeviations: 1,
  slotHeadroom: 1,
  maxUrgentTargetMs: 1_000,
};

/** Cost of a prompt token in answer tokens; low because prefill runs in large batches. */
export const PROMPT_TOKEN_COST = 0.1;

/** Maximum time for which an interrupted stream waits for another server before it fails. */
const MAX_RESUME_WAIT_MS = 5_000;

/** Retry-After of a request for a model without servers, and when the retry budget is spent. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Assumed throughput of one slot until the rate of its pool has been measured from dispatches. */
const INITIAL_SLOT_TOKENS_PER_SECOND = 25;

/**
 * Requests skipped because no server can take them, for example when their adapter is loaded on
 * busy servers only. After this many, the rest of the queue waits too.
 */
const MAX_SKIPPED_REQUESTS = 8;

/**
 * Factor on the observed wait of an expired request, which would have waited longer by an unknown
 * amount.
 */
const EXPIRED_WAIT_FACTOR = 1.2;

/** Tiers that operators can configure, highest first. */
const TIERS = [0, 1, 2, 3, 4];

const NO_ACTIONS: ScheduleActions = { refusals: [], starts: [] };

interface WaitingRequest {
  readonly queuedMs: Core.Millis;
  /** Expected queue wait before the correction by observed waits. */
  readonly expectedWaitMs: Core.Millis;
  readonly request: ScheduledRequest;
  readonly grant: Admission.AdmissionGrant;
  readonly expectedTokens: number;
}

interface RunningAttempt extends WaitingRequest {
  readonly serverId: string;
  readonly startedMs: Core.Millis;
  charge: LengthEstimate.TokenCharge;
  lastTokenMs: Core.Millis | undefined;
}

interface FirstTokenTime {
  readonly meanMs: Core.Millis;
  readonly deviationMs: Core.Millis;
  readonly observedMs: Core.Millis;
}

/** Time constant with which an observed time to first token decays back to the prior. */
const FIRST_TOKEN_TIME_DECAY_MS = 3_000;

/** Formats a digest key. Digests count by tier and pool because that is where shares are fair. */
function formatShareKey(
  { account, class: { tier }, pool }: Pick<ScheduledRequest, 'account' | 'class' | 'pool'>,
): string {
  return `${tier} ${account} ${pool}`;
}

/** Weight of a new observation in the moving average of the time to first token. */
const FIRST_TOKEN_TIME_WEIGHT = 0.05;

/**
 * Creates a scheduler without servers.
 *
 * @param random returns numbers in [0, 1), used to sample servers and to add jitter to retry times
 */
export function createScheduler(
  random: () => number,
  options: SchedulerOptions = defaultSchedulerOptions,
): Scheduler {
  const admission = Admission.createAdmission(options.admission);
  const chooser = ServerChoice.createServerChooser(options.choice);
  const lengthEstimates = LengthEstimate.createLengthEstimates(options.length);
  const queue = FairQueue.createFairQueue<WaitingRequest>(options.queue);
  const fleetShares = FleetShares.createFleetShares();
  const serviceRates = new Map<string, ServiceRate.ServiceRate>();
  const runningAttempts = new Map<string, RunningAttempt>();
  const slotReserves = new Map<string, SlotReserve.SlotReserve>();
  const waitCorrections = new Map<string, WaitCorrection.WaitCorrection>();
  const firstTokenTimes = new Map<string, FirstTokenTime>();
  let retryBudget = RetryBudget.createRetryBudget();
  /** Outlier detection state by group; a group is the servers that serve the same models. */
  const outlierStates = new Map<string, Outliers.OutlierState>();
  const groupsByServer = new Map<string, string>();

  const getRate = (pool: string): ServiceRate.ServiceRate => {
    const existing = serviceRates.get(pool);
    if (existing !== undefined) return existing;
    const slots = Math.max(1, chooser.countFreeSlots(pool));
    const created = ServiceRate.createServiceRate(slots * INITIAL_SLOT_TOKENS_PER_SECOND);
    serviceRates.set(pool, created);
    return created;
  };

  const getReserve = (pool: string): SlotReserve.SlotReserve => {
    const existing = slotReserves.get(pool);
    if (existing !== undefined) return existing;
    const created = SlotReserve.createSlotReserve(options.reserveDeviations);
    slotReserves.set(pool, created);
    return created;
  };

  const isUrgent = ({ class: { firstTokenMs } }: ScheduledRequest): boolean => (
    firstTokenMs <= options.maxUrgentTargetMs
  );

  const removeFromReserve = (request: ScheduledRequest, nowMs: Core.Millis): void => {
    if (isUrgent(request)) getReserve(request.pool).removeRequest(request.class.tier, nowMs);
  };

  /**
   * Finds the lowest tier that may start a request while the slots reserved for higher tiers stay
   * free; -1 if no tier may.
   */
  const findLowestAllowedTier = (pool: string, nowMs: Core.Millis): number => {
    const freeSlots = chooser.countFreeSlots(pool);
    const reserve = getReserve(pool);
    const firstBlockedTier = TIERS.findIndex(
      (tier) => reserve.computeReserve(tier, nowMs) >= freeSlots,
    );
    return firstBlockedTier === -1 ? Infinity : firstBlockedTier - 1;
  };

  const estimateDispatchToFirstTokenMs = (
    { class: { classId }, pool, promptTokens }: ScheduledRequest,
    nowMs: Core.Millis,
  ): Core.Millis => {
    const priorMs = promptTokens * options.choice.promptTokenMs
      + 2 * options.choice.betweenTokensMs;
    const observed = firstTokenTimes.get(`${pool} ${classId}`);
    if (observed === undefined) return priorMs;
    // A class whose requests are all refused gets no new observations. Without the decay, one high
    // estimate would keep it refused forever.
    const decay = Math.exp(-(nowMs - observed.observedMs) / FIRST_TOKEN_TIME_DECAY_MS);
    return priorMs + (observed.meanMs + observed.deviationMs - priorMs) * decay;
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
    waitCorrections.get(`${tier} ${pool}`) ?? WaitCorrection.initialWaitCorrection
  );

  const getWaitFactor = (request: ScheduledRequest): number => (
    WaitCorrection.computeWaitFactor(getCorrection(request))
  );

  const observeWait = (waiting: WaitingRequest, observedMs: Core.Millis): void => {
    const { expectedWaitMs, request } = waiting;
    const { class: { tier }, pool } = request;
    waitCorrections.set(
      `${tier} ${pool}`,
      WaitCorrection.observeWait(getCorrection(request), expectedWaitMs, observedMs),
    );
  };

  const buildPoolLoad = (request: ScheduledRequest, nowMs: number): Admission.PoolLoad => {
    const serviceRate = getRate(request.pool);
    const waitFactor = getWaitFactor(request);
    return {
      hasFreeSlot: chooser.countFreeSlots(request.pool) > 0,
      dispatchToFirstTokenMs: estimateDispatchToFirstTokenMs(request, nowMs),
      tierTokensPerSecond: serviceRate.getTierRate(request.class.tier, nowMs) / waitFactor,
      totalTokensPerSecond: serviceRate.getTotalRate(nowMs) / waitFactor,
      workAhead: queue.estimateWorkAhead(request),
    };
  };

  const refuseShedRequest = (
    { reason, request: { payload } }: FairQueue.ShedRequest<WaitingRequest>,
    nowMs: Core.Millis,
  ): ScheduledRefusal => {
    const { grant, queuedMs, request } = payload;
    if (reason._tag === 'Expired') observeWait(payload, (nowMs - queuedMs) * EXPIRED_WAIT_FACTOR);
    admission.releaseGrant(grant, 0);
    removeFromReserve(request, nowMs);
    const waitMs = Admission.estimateFirstTokenMs(buildPoolLoad(request, nowMs));
    const { maxRetryAfterMs, minRetryAfterMs } = options.admission;
    const boundedMs = Math.min(Math.max(minRetryAfterMs, waitMs), maxRetryAfterMs);
    return {
      reason, request, retryAfterMs: Math.ceil(boundedMs * (1 + random() / 4)), status: 503,
    };
  };

  const startQueuedRequest = (
    { costTokens, payload: waiting, pool }: FairQueue.QueuedRequest<WaitingRequest>,
    reason: Explanation.DequeueReason,
    nowMs: Core.Millis,
  ): ScheduledStart | undefined => {
    const { request } = waiting;
    const choiceRequest = buildChoiceRequest(request);
    const choice = chooser.chooseServer(choiceRequest, nowMs, random).extract();
    if ('_tag' in choice) return undefined;
    chooser.recordDispatch(choiceRequest, choice, nowMs);
    observeWait(waiting, nowMs - waiting.queuedMs);
    fleetShares.recordServedTokens(
      formatShareKey(request),
      request.promptTokens * PROMPT_TOKEN_COST,
    );
    const isSaturated = queue.countRequests(pool) > 0;
    getRate(pool).recordDispatch(request.class.tier, costTokens, nowMs, isSaturated);
    runningAttempts.set(request.requestId, {
      ...waiting,
      charge: LengthEstimate.createTokenCharge(waiting.expectedTokens),
      lastTokenMs: undefined,
      serverId: choice.serverId,
      startedMs: nowMs,
    });
    return { choice, reason, request };
  };

  const startNextRequests = (pool: string, nowMs: Core.Millis): ScheduleActions => {
    const starts: ScheduledStart[] = [];
    const refusals: ScheduledRefusal[] = [];
    const skipped: FairQueue.QueuedRequest<WaitingRequest>[] = [];
    while (
      skipped.length < MAX_SKIPPED_REQUESTS
      && queue.countRequests(pool) > 0
      && chooser.countFreeSlots(pool) > 0
    ) {
      const lowestTier = findLowestAllowedTier(pool, nowMs);
      const { expired, reason, request } = queue.dequeueRequest(pool, nowMs, lowestTier);
      refusals.push(...expired.map((shed) => refuseShedRequest(shed, nowMs)));
      if (request === undefined) break;
      const start = startQueuedRequest(request, reason, nowMs);
      if (start === undefined) skipped.push(request);
      else starts.push(start);
    }
    skipped.forEach(queue.requeueRequest);
    return { refusals, starts };
  };

  const queueWaitingRequest = (
    waiting: WaitingRequest,
    latestStartMs: Core.Millis,
    nowMs: Core.Millis,
  ): ScheduleActions => {
    const { request } = waiting;
    if (isUrgent(request)) getReserve(request.pool).addRequest(request.class.tier, nowMs);
    const shedRequests = queue.queueRequest({
      account: request.account,
      class: request.class,
      costTokens: request.promptTokens * PROMPT_TOKEN_COST + waiting.expectedTokens,
      latestStartMs,
      payload: waiting,
      pool: request.pool,
      queuedMs: nowMs,
      requestId: request.requestId,
      weight: request.weight,
    });
    const actions = startNextRequests(request.pool, nowMs);
    return {
      refusals: [
        ...shedRequests.map((shed) => refuseShedRequest(shed, nowMs)), ...actions.refusals,
      ],
      starts: actions.starts,
    };
  };

  const startAllPools = (nowMs: Core.Millis): ScheduleActions => {
    const actionsByPool = [...serviceRates.keys()].map((pool) => startNextRequests(pool, nowMs));
    return {
      refusals: actionsByPool.flatMap(({ refusals }) => refusals),
      starts: actionsByPool.flatMap(({ starts }) => starts),
    };
  };

  const mergeOutliers = (): Outliers.OutlierState => {
    const states = [...outlierStates.values()];
    return {
      memberCount: states.reduce((sum, { memberCount }) => sum + memberCount, 0),
      servers: new Map(states.flatMap(({ servers }) => [...servers])),
    };
  };

  const applyOutlierEvent = (group: string, event: Outliers.OutlierEvent, nowMs: number): void => {
    const state = outlierStates.get(group) ?? Outliers.initialOutlierState;
    const transition = Outliers.reduceOutliers(state, event, nowMs, options.outliers);
    if (transition.state === state) return;
    outlierStates.set(group, transition.state);
    if (transition.changes.length > 0) chooser.setOutliers(mergeOutliers());
  };

  const applyServerResult = (serverId: string, tag: 'Failure' | 'Success', nowMs: number): void => {
    const group = groupsByServer.get(serverId);
    if (group !== undefined) applyOutlierEvent(group, { _tag: tag, serverId }, nowMs);
  };

  const compareServers = (nowMs: Core.Millis): void => {
    const busyServers = chooser.listEstimates().filter(({ ownInFlight }) => ownInFlight > 0);
    [...outlierStates.keys()].forEach((group) => {
      applyOutlierEvent(group, { _tag: 'Tick' }, nowMs);
      const members = busyServers.filter(({ serverId }) => groupsByServer.get(serverId) === group);
      const slowdowns = new Map(members.map((estimate) => [estimate.serverId, estimate.slowdown]));
      const { betweenTokensMs: priorMs } = options.choice;
      const tokenGaps = new Map(members.map((estimate) => [
        estimate.serverId, estimate.betweenTokensMs / priorMs,
      ]));
      applyOutlierEvent(group, { _tag: 'Observed', slowdowns }, nowMs);
      applyOutlierEvent(group, { _tag: 'Observed', slowdowns: tokenGaps }, nowMs);
    });
  };

  const applyChargeUpdate = (
    attempt: RunningAttempt,
    update: LengthEstimate.ChargeUpdate,
  ): void => {
    const current = attempt;
    current.charge = update.charge;
    if (update.deltaTokens !== 0) {
      const { account, class: { tier }, pool } = attempt.request;
      queue.correctCharge({ account, pool, tier }, update.deltaTokens);
    }
  };

  const submitRequest: Scheduler['submitRequest'] = (request, nowMs) => {
    retryBudget = RetryBudget.recordFirstAttempt(retryBudget);
    if (chooser.countCandidates(request.pool) === 0) {
      return {
        refusals: [{
          reason: { _tag: 'NoCandidate', model: request.pool },
          request,
          retryAfterMs: DEFAULT_RETRY_AFTER_MS,
          status: 503,
        }],
        starts: [],
      };
    }
    const { account, class: { classId }, maxAnswerTokens } = request;
    const lengthEstimate = lengthEstimates.estimateLength(classId, account, maxAnswerTokens);
    const poolLoad = buildPoolLoad(request, nowMs);
    return admission.admitRequest({
      account: request.account,
      answerTokens: lengthEstimate.pessimisticTokens,
      elapsedMs: nowMs - request.arrivedMs,
      limits: request.limits,
      maxQueueMs: request.class.maxQueueMs,
      promptTokens: request.promptTokens,
      targetMs: request.class.firstTokenMs,
    }, poolLoad, nowMs, random()).caseOf<ScheduleActions>({
      Left: ({ reason, retryAfterMs, status }) => ({
        refusals: [{
          reason, request, retryAfterMs, status,
        }],
        starts: [],
      }),
      Right: (grant) => queueWaitingRequest({
        expectedTokens: lengthEstimate.medianTokens,
        expectedWaitMs: (grant.expectedFirstTokenMs - poolLoad.dispatchToFirstTokenMs)
          / getWaitFactor(request),
        grant,
        queuedMs: nowMs,
        request,
      }, grant.latestStartMs, nowMs),
    });
  };

  const queueResumedRequest = (request: ScheduledRequest, nowMs: Core.Millis): ScheduleActions => {
    const { account, class: { classId }, maxAnswerTokens } = request;
    const latestStartMs = nowMs + MAX_RESUME_WAIT_MS;
    // Not subject to admission control again: the request was admitted, and its caller may already
    // have received part of the answer.
    return queueWaitingRequest({
      expectedTokens: lengthEstimates
        .estimateLength(classId, account, maxAnswerTokens).medianTokens,
      expectedWaitMs: 0,
      grant: admission.renewGrant(account, latestStartMs),
      queuedMs: nowMs,
      request,
    }, latestStartMs, nowMs);
  };

  const applyDigest = (digest: FleetShares.ServedTokensDigest): void => {
    fleetShares.applyDigest(digest).forEach(({ account: key, tokens }) => {
      const [tier, account, pool] = key.split(' ');
      if (account === undefined || pool === undefined) return;
      queue.correctCharge({ account, pool, tier: Number(tier) }, tokens);
    });
  };

  return {
    advanceTime: (nowMs) => {
      const expired = queue.shedExpired(nowMs).map((shed) => refuseShedRequest(shed, nowMs));
      compareServers(nowMs);
      const actions = startAllPools(nowMs);
      return { refusals: [...expired, ...actions.refusals], starts: actions.starts };
    },
    applyDigest,
    buildDigest: fleetShares.buildDigest,
    cancelRequest: (requestId, nowMs) => {
      const removedRequest = queue.removeRequest(requestId);
      if (removedRequest === undefined) return;
      admission.releaseGrant(removedRequest.payload.grant, 0);
      removeFromReserve(removedRequest.payload.request, nowMs);
    },
    getOutliers: mergeOutliers,
    getQueueSnapshot: queue.getSnapshot,
    listEstimates: chooser.listEstimates,
    recordCacheEvent: chooser.recordCacheEvent,
    recordEnd: (requestId, result, nowMs) => {
      const attempt = runningAttempts.get(requestId);
      if (attempt === undefined) return NO_ACTIONS;
      const { grant, request, serverId } = attempt;
      runningAttempts.delete(requestId);
      removeFromReserve(request, nowMs);
      chooser.recordEnd(serverId, requestId, nowMs);
      applyChargeUpdate(attempt, LengthEstimate.closeTokenCharge(attempt.charge));
      const { deliveredTokens } = attempt.charge;
      admission.releaseGrant(grant, request.promptTokens + deliveredTokens);
      if (result === 'ok') {
        lengthEstimates.recordLength(request.class.classId, request.account, deliveredTokens);
        applyServerResult(serverId, 'Success', nowMs);
      }
      if (result === 'failed') applyServerResult(serverId, 'Failure', nowMs);
      return startNextRequests(request.pool, nowMs);
    },
    recordFirstToken: (requestId, nowMs) => {
      const attempt = runningAttempts.get(requestId);
      if (attempt === undefined) return;
      chooser.recordFirstToken(attempt.serverId, requestId, nowMs);
      const key = `${attempt.request.pool} ${attempt.request.class.classId}`;
      const observedMs = nowMs - attempt.startedMs;
      const previous = firstTokenTimes.get(key) ?? {
        deviationMs: observedMs / 4, meanMs: observedMs,
      };
      const errorMs = observedMs - previous.meanMs;
      firstTokenTimes.set(key, {
        deviationMs: previous.deviationMs
          + (Math.abs(errorMs) - previous.deviationMs) * FIRST_TOKEN_TIME_WEIGHT,
        meanMs: previous.meanMs + errorMs * FIRST_TOKEN_TIME_WEIGHT,
        observedMs: nowMs,
      });
    },
    recordReport: chooser.recordReport,
    recordTokens: (requestId, tokens, nowMs) => {
      const attempt = runningAttempts.get(requestId);
      if (attempt === undefined) return;
      if (attempt.lastTokenMs !== undefined && tokens > 0) {
        chooser.recordTokenGap(attempt.serverId, (nowMs - attempt.lastTokenMs) / tokens);
      }
      attempt.lastTokenMs = nowMs;
      fleetShares.recordServedTokens(formatShareKey(attempt.request), tokens);
      applyChargeUpdate(attempt, LengthEstimate.addDeliveredTokens(attempt.charge, tokens));
    },
    resumeRequest: (request, nowMs, hasCallerBudget = false) => {
      if (hasCallerBudget) return queueResumedRequest(request, nowMs);
      return RetryBudget.claimRetry(retryBudget).caseOf<ScheduleActions>({
        Left: ({ reason }) => ({
          refusals: [{
            reason, request, retryAfterMs: DEFAULT_RETRY_AFTER_MS, status: 503,
          }],
          starts: [],
        }),
        Right: ({ budget }) => {
          retryBudget = budget;
          return queueResumedRequest(request, nowMs);
        },
      });
    },
    setServers: (views, daemonCount, nowMs) => {
      chooser.setServers(views, Math.min(1, options.slotHeadroom / Math.max(1, daemonCount)));
      groupsByServer.clear();
      views.forEach(({ models, serverId }) => groupsByServer.set(serverId, models.join(' ')));
      new Set([...outlierStates.keys(), ...groupsByServer.values()]).forEach((group) => {
        const serverIds = views
          .filter(({ serverId }) => groupsByServer.get(serverId) === group)
          .map(({ serverId }) => serverId);
        applyOutlierEvent(group, { _tag: 'Members', serverIds }, nowMs);
      });
      chooser.setOutliers(mergeOutliers());
      return startAllPools(nowMs);
    },
    submitRequest,
  };
}
