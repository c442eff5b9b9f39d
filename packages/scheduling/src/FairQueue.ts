/**
 * Queue of requests that wait for a backend server. A pool is a set of interchangeable servers,
 * such as those that have one model loaded. Requests of different pools do not wait for each other,
 * but all pools share one limit on the number of queued requests.
 *
 * Dispatch order within a pool: higher tiers first, except that every class is guaranteed a small
 * share of the dispatches, its floor. Within a tier, the account with the lowest virtual token
 * counter goes first (tokens received divided by weight, as in "Fairness in Serving Large Language
 * Models", OSDI 2024). Within an account, the request that has to start first goes first. Requests
 * whose latest start time has passed are returned as expired.
 *
 * When the queue is full, one request is shed: from the lowest tier that has requests, from the
 * account whose counter would be highest after all its queued requests, the request with the latest
 * start time. Floors do not protect a class from shedding.
 *
 * The cost of an operation is logarithmic in the queue length, and linear in the number of classes
 * and pools.
 */
import type * as Core from '@berylyoke/core';
import * as Explanation from './Explanation.js';
import * as IndexedHeap from './IndexedHeap.js';

/** Queueing parameters of a request class. */
export interface QueueClass {
  readonly classId: string;
  /** Priority; 0 is the highest. */
  readonly tier: number;
  /** Share of the pool's dispatches guaranteed to the class while higher tiers have requests. */
  readonly floorShare: number;
}

/** A request in the queue, with the caller's payload. */
export interface QueuedRequest<T> {
  readonly requestId: string;
  readonly pool: string;
  readonly class: QueueClass;
  readonly account: string;
  /** Weight of the account in fair sharing. */
  readonly weight: number;
  /** Expected cost of prompt and answer, in units of one answer token. */
  readonly costTokens: number;
  readonly queuedMs: Core.Millis;
  /** Latest dispatch time at which the request can still meet its latency target. */
  readonly latestStartMs: Core.Millis;
  readonly payload: T;
}

/** Limits of a queue. */
export interface QueueOptions {
  /** Maximum number of queued requests in all pools together. */
  readonly maxRequests: number;
  /** Maximum share of a pool's dispatches that floors may take from the strict tier order. */
  readonly maxFloorShare: number;
  /** Time without a dispatch after which a class with queued requests is due by its floor. */
  readonly floorIntervalMs: Core.Millis;
}

/** A request that left the queue without being dispatched. */
export interface ShedRequest<T> {
  readonly request: QueuedRequest<T>;
  readonly reason: Explanation.ShedReason;
}

/** Result of a dequeue; `request` is undefined when no request of the pool may be dispatched. */
export interface DequeueResult<T> {
  readonly request: QueuedRequest<T> | undefined;
  readonly reason: Explanation.DequeueReason;
  /** Requests of any pool whose latest start time has passed; the caller must refuse them. */
  readonly expired: readonly ShedRequest<T>[];
}

/** Queued work that would be dispatched before a new request, in units of one answer token. */
export interface WorkAhead {
  /** Work queued in higher tiers. */
  readonly higherTokens: number;
  /** Work queued in the same tier that fair sharing dispatches first. */
  readonly sameTierTokens: number;
}

/** Queued requests of one class in one pool, and their total cost in tokens. */
export interface ClassBacklog {
  readonly pool: string;
  readonly classId: string;
  readonly tier: number;
  readonly requests: number;
  readonly tokens: number;
}

/** Fair-sharing state of one account in one tier of a pool. */
export interface AccountSnapshot {
  readonly pool: string;
  readonly tier: number;
  readonly account: string;
  /**
   * Tokens received divided by weight; raised to the lowest counter of the tier when an idle
   * account becomes active.
   */
  readonly virtualTokens: number;
  readonly requests: number;
}

/** State of a queue at one moment. */
export interface QueueSnapshot {
  readonly requests: number;
  readonly backlogs: readonly ClassBacklog[];
  readonly accounts: readonly AccountSnapshot[];
}

/** Fair queue of one daemon. */
export interface FairQueue<T> {
  /** Adds a request. If the queue is full, returns the shed request, which may be the new one. */
  readonly queueRequest: (request: QueuedRequest<T>) => readonly ShedRequest<T>[];
  /**
   * Removes and returns the next request of a pool. Tiers of lower priority than `lowestTier` get
   * dispatches only by their floors.
   */
  readonly dequeueRequest: (
    pool: string, nowMs: Core.Millis, lowestTier?: number,
  ) => DequeueResult<T>;
  /** Requeues a request that found no server, and refunds its account the charged tokens. */
  readonly requeueRequest: (request: QueuedRequest<T>) => void;
  /** Removes the requests whose latest start time has passed. */
  readonly shedExpired: (nowMs: Core.Millis) => readonly ShedRequest<T>[];
  /** Removes one request, for example after its caller has disconnected. */
  readonly removeRequest: (requestId: string) => QueuedRequest<T> | undefined;
  /**
   * Removes all requests that match, for example after an API key has been withdrawn. Scans the
   * whole queue.
   */
  readonly removeMatching: (
    isMatch: (request: QueuedRequest<T>) => boolean,
  ) => readonly QueuedRequest<T>[];
  /**
   * Corrects the tokens charged to an account; `deltaTokens` is negative when an answer was shorter
   * than expected.
   */
  readonly correctCharge: (
    accountKey: { readonly account: string; readonly pool: string; readonly tier: number },
    deltaTokens: number,
  ) => void;
  /** Estimates the work that would be dispatched before a new request of an account. */
  readonly estimateWorkAhead: (
    request: Pick<QueuedRequest<unknown>, 'account' | 'class' | 'pool' | 'weight'>,
  ) => WorkAhead;
  readonly countRequests: (pool?: string) => number;
  readonly getSnapshot: () => QueueSnapshot;
}

/** Default limits. */
export const defaultQueueOptions: QueueOptions = {
  // Every class must get a dispatch within 10 s; this is half of it.
  floorIntervalMs: 5_000,
  // At least nine of ten dispatches follow the strict tier order.
  maxFloorShare: 0.1,
  maxRequests: 10_000,
};

/** Minimum floor of any class, so that a class with a low or zero floor does not starve. */
export const MIN_FLOOR_SHARE = 0.005;

/** A queued request and the subqueue that contains it. */
interface QueueEntry<T> {
  readonly request: QueuedRequest<T>;
  readonly subqueue: Subqueue<T>;
}

/** Queued requests of one account in one class; the one with the earliest latest start is first. */
interface Subqueue<T> {
  readonly accountQueue: AccountQueue<T>;
  readonly classQueue: ClassQueue<T>;
  readonly entries: IndexedHeap.IndexedHeap<QueueEntry<T>>;
}

interface AccountQueue<T> {
  readonly account: string;
  readonly subqueues: Map<string, Subqueue<T>>;
  /** All entries of the account; the one with the latest start time of all is first. */
  readonly byMostSlack: IndexedHeap.IndexedHeap<QueueEntry<T>>;
  weight: number;
  virtualTokens: number;
  queuedTokens: number;
}

interface ClassQueue<T> {
  readonly classId: string;
  readonly tier: number;
  readonly subqueues: IndexedHeap.IndexedHeap<Subqueue<T>>;
  floorShare: number;
  requests: number;
  tokens: number;
  /** Dispatch count of the pool when the class last got a dispatch or its first queued request. */
  waitingSinceDispatch: number;
  /** Time of the same event. */
  waitingSinceMs: Core.Millis;
}

interface TierQueue<T> {
  readonly tier: number;
  readonly accounts: Map<string, AccountQueue<T>>;
  readonly classes: ClassQueue<T>[];
  /** Accounts with entries; the one with the highest counter after all its entries is first. */
  readonly byProjectedTokens: IndexedHeap.IndexedHeap<AccountQueue<T>>;
  /** Counter of the last dispatched account; initial counter of accounts while the tier is idle. */
  lastVirtualTokens: number;
  requests: number;
  tokens: number;
  /** Sum of the weights of the accounts with queued requests. */
  activeWeight: number;
}

interface Pool<T> {
  readonly name: string;
  /** Highest tier first. */
  tiers: readonly TierQueue<T>[];
  dispatches: number;
  /** Floor dispatches allowed now; every dispatch adds `maxFloorShare`. */
  floorCredit: number;
  requests: number;
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

function compareLatestStarts<T>(a: QueueEntry<T>, b: QueueEntry<T>): number {
  return a.request.latestStartMs - b.request.latestStartMs
    || a.request.queuedMs - b.request.queuedMs
    || compareText(a.request.requestId, b.request.requestId);
}

function compareSubqueues<T>(a: Subqueue<T>, b: Subqueue<T>): number {
  const aTop = a.entries.getTop();
  const bTop = b.entries.getTop();
  return a.accountQueue.virtualTokens - b.accountQueue.virtualTokens
    || (aTop !== undefined && bTop !== undefined ? compareLatestStarts(aTop, bTop) : 0);
}

function computeProjectedTokens<T>(account: AccountQueue<T>): number {
  return account.virtualTokens + account.queuedTokens / account.weight;
}

function createTier<T>(tier: number): TierQueue<T> {
  return {
    accounts: new Map(),
    activeWeight: 0,
    byProjectedTokens: new IndexedHeap.IndexedHeap<AccountQueue<T>>((a, b) => (
      computeProjectedTokens(b) - computeProjectedTokens(a) || compareText(a.account, b.account)
    )),
    classes: [],
    lastVirtualTokens: 0,
    requests: 0,
    tier,
    tokens: 0,
  };
}

function findNextSubqueue<T>(tier: TierQueue<T>): Subqueue<T> | undefined {
  return tier.classes.reduce<Subqueue<T> | undefined>((best, { subqueues }) => {
    const subqueue = subqueues.getTop();
    if (subqueue === undefined) return best;
    return best === undefined || compareSubqueues(subqueue, best) < 0 ? subqueue : best;
  }, undefined);
}

function updateSubqueues<T>(account: AccountQueue<T>): void {
  account.subqueues.forEach((subqueue) => {
    if (subqueue.entries.size > 0) subqueue.classQueue.subqueues.update(subqueue);
  });
}

/** Creates an empty queue. */
export function createFairQueue<T>(options: QueueOptions = defaultQueueOptions): FairQueue<T> {
  const pools = new Map<string, Pool<T>>();
  const entries = new Map<string, QueueEntry<T>>();
  const byLatestStart = new IndexedHeap.IndexedHeap<QueueEntry<T>>(compareLatestStarts);

  const findTier = (poolName: string, tier: number): TierQueue<T> | undefined => (
    pools.get(poolName)?.tiers.find((candidate) => candidate.tier === tier)
  );

  const getPool = (name: string): Pool<T> => {
    const existing = pools.get(name);
    if (existing !== undefined) return existing;
    const pool: Pool<T> = {
      dispatches: 0, floorCredit: 1, name, requests: 0, tiers: [],
    };
    pools.set(name, pool);
    return pool;
  };

  const getTier = (pool: Pool<T>, tier: number): TierQueue<T> => {
    const existing = pool.tiers.find((candidate) => candidate.tier === tier);
    if (existing !== undefined) return existing;
    const created = createTier<T>(tier);
    const current = pool;
    current.tiers = [...pool.tiers, created].sort((a, b) => a.tier - b.tier);
    return created;
  };

  const getClass = (pool: Pool<T>, tier: TierQueue<T>, { classId, floorShare }: QueueClass) => {
    const existing = tier.classes.find((candidate) => candidate.classId === classId);
    if (existing !== undefined) {
      existing.floorShare = Math.max(MIN_FLOOR_SHARE, floorShare);
      return existing;
    }
    const created: ClassQueue<T> = {
      classId,
      floorShare: Math.max(MIN_FLOOR_SHARE, floorShare),
      subqueues: new IndexedHeap.IndexedHeap<Subqueue<T>>(compareSubqueues),
      requests: 0,
      tier: tier.tier,
      tokens: 0,
      waitingSinceDispatch: pool.dispatches,
      waitingSinceMs: 0,
    };
    tier.classes.push(created);
    return created;
  };

  const getAccount = (tier: TierQueue<T>, name: string, weight: number): AccountQueue<T> => {
    const existing = tier.accounts.get(name);
    if (existing !== undefined) return existing;
    const created: AccountQueue<T> = {
      account: name,
      byMostSlack: new IndexedHeap.IndexedHeap<QueueEntry<T>>((a, b) => compareLatestStarts(b, a)),
      subqueues: new Map(),
      queuedTokens: 0,
      virtualTokens: 0,
      weight,
    };
    tier.accounts.set(name, created);
    return created;
  };

  const getSubqueue = (accountQueue: AccountQueue<T>, classQueue: ClassQueue<T>): Subqueue<T> => {
    const existing = accountQueue.subqueues.get(classQueue.classId);
    if (existing !== undefined) return existing;
    const subqueue = {
      classQueue,
      entries: new IndexedHeap.IndexedHeap<QueueEntry<T>>(compareLatestStarts),
      accountQueue,
    };
    accountQueue.subqueues.set(classQueue.classId, subqueue);
    return subqueue;
  };

  const addRequest = (request: QueuedRequest<T>): void => {
    const pool = getPool(request.pool);
    const tier = getTier(pool, request.class.tier);
    const classQueue = getClass(pool, tier, request.class);
    const accountQueue = getAccount(tier, request.account, request.weight);
    if (accountQueue.byMostSlack.size === 0) {
      // An idle account does not accumulate a claim to the tokens that it did not use.
      const minVirtualTokens = findNextSubqueue(tier)?.accountQueue.virtualTokens
        ?? tier.lastVirtualTokens;
      accountQueue.virtualTokens = Math.max(accountQueue.virtualTokens, minVirtualTokens);
      accountQueue.weight = request.weight;
      tier.activeWeight += request.weight;
    }
    if (classQueue.requests === 0) {
      classQueue.waitingSinceDispatch = pool.dispatches;
      classQueue.waitingSinceMs = request.queuedMs;
    }
    const subqueue = getSubqueue(accountQueue, classQueue);
    const entry = { subqueue, request };
    entries.set(request.requestId, entry);
    byLatestStart.add(entry);
    subqueue.entries.add(entry);
    accountQueue.byMostSlack.add(entry);
    accountQueue.queuedTokens += request.costTokens;
    classQueue.requests += 1;
    classQueue.tokens += request.costTokens;
    tier.requests += 1;
    tier.tokens += request.costTokens;
    pool.requests += 1;
    classQueue.subqueues.add(subqueue);
    tier.byProjectedTokens.add(accountQueue);
  };

  const removeEntry = (entry: QueueEntry<T>): void => {
    const { subqueue, request } = entry;
    const { classQueue, accountQueue } = subqueue;
    const pool = getPool(request.pool);
    const tier = getTier(pool, classQueue.tier);
    entries.delete(request.requestId);
    byLatestStart.remove(entry);
    subqueue.entries.remove(entry);
    accountQueue.byMostSlack.remove(entry);
    accountQueue.queuedTokens -= request.costTokens;
    classQueue.requests -= 1;
    classQueue.tokens -= request.costTokens;
    tier.requests -= 1;
    tier.tokens -= request.costTokens;
    pool.requests -= 1;
    if (subqueue.entries.size === 0) classQueue.subqueues.remove(subqueue);
    else classQueue.subqueues.update(subqueue);
    if (accountQueue.byMostSlack.size === 0) {
      // Floating-point sums accumulate rounding errors, so idle accounts and tiers reset to zero.
      accountQueue.queuedTokens = 0;
      tier.byProjectedTokens.remove(accountQueue);
      tier.activeWeight = tier.requests === 0 ? 0 : tier.activeWeight - accountQueue.weight;
      if (tier.requests === 0) tier.tokens = 0;
    } else tier.byProjectedTokens.update(accountQueue);
  };

  const setVirtualTokens = (
    tier: TierQueue<T>,
    accountQueue: AccountQueue<T>,
    virtualTokens: number,
  ): void => {
    const current = accountQueue;
    current.virtualTokens = virtualTokens;
    updateSubqueues(accountQueue);
    if (accountQueue.byMostSlack.size > 0) tier.byProjectedTokens.update(accountQueue);
  };

  const shedOneRequest = (): ShedRequest<T> | undefined => {
    let victim: AccountQueue<T> | undefined;
    let victimTier = -1;
    pools.forEach(({ tiers }) => {
      const lowestTier = [...tiers].reverse().find(({ requests }) => requests > 0);
      const top = lowestTier?.byProjectedTokens.getTop();
      if (lowestTier === undefined || top === undefined || lowestTier.tier < victimTier) return;
      if (victim === undefined || lowestTier.tier > victimTier
        || computeProjectedTokens(top) > computeProjectedTokens(victim)) {
        victim = top;
        victimTier = lowestTier.tier;
      }
    });
    const entry = victim?.byMostSlack.getTop();
    if (entry === undefined) return undefined;
    removeEntry(entry);
    return {
      reason: { _tag: 'QueueFull', maxRequests: options.maxRequests, tier: victimTier },
      request: entry.request,
    };
  };

  const shedExpired = (nowMs: Core.Millis): readonly ShedRequest<T>[] => {
    const expired: ShedRequest<T>[] = [];
    let entry = byLatestStart.getTop();
    while (entry !== undefined && entry.request.latestStartMs < nowMs) {
      removeEntry(entry);
      expired.push({
        reason: { _tag: 'Expired', lateMs: nowMs - entry.request.latestStartMs },
        request: entry.request,
      });
      entry = byLatestStart.getTop();
    }
    return expired;
  };

  const isFloorDue = (
    pool: Pool<T>,
    { floorShare, ...classQueue }: ClassQueue<T>,
    nowMs: number,
  ) => (
    (pool.dispatches - classQueue.waitingSinceDispatch) * floorShare >= 1
    || nowMs - classQueue.waitingSinceMs >= options.floorIntervalMs
  );

  const findDueClass = (pool: Pool<T>, nowMs: Core.Millis): ClassQueue<T> | undefined => {
    let dueClass: ClassQueue<T> | undefined;
    pool.tiers.forEach(({ classes }) => classes.forEach((candidate) => {
      if (candidate.requests === 0 || !isFloorDue(pool, candidate, nowMs)) return;
      // Compares dispatch counts, not times: several dispatches can share a millisecond, and when
      // ties were broken by list order, the last class starved.
      if (dueClass === undefined
        || candidate.waitingSinceDispatch < dueClass.waitingSinceDispatch) {
        dueClass = candidate;
      }
    }));
    return dueClass;
  };

  const dequeueRequest: FairQueue<T>['dequeueRequest'] = (
    poolName,
    nowMs,
    lowestTier = Infinity,
  ) => {
    const expired = shedExpired(nowMs);
    const pool = pools.get(poolName);
    const tier = pool?.tiers.find(({ requests }) => requests > 0);
    const strictSubqueue = tier === undefined ? undefined : findNextSubqueue(tier);
    const dueClass = pool !== undefined && pool.floorCredit >= 1
      ? findDueClass(pool, nowMs)
      : undefined;
    if (
      pool === undefined || tier === undefined || strictSubqueue === undefined
      || (tier.tier > lowestTier && dueClass === undefined)
    ) {
      return { expired, reason: { _tag: 'Empty' }, request: undefined };
    }
    const isFloorDispatch = dueClass !== undefined
      && (dueClass.tier !== tier.tier || dueClass.tier > lowestTier);
    const subqueue = (dueClass === undefined ? undefined : dueClass.subqueues.getTop())
      ?? strictSubqueue;
    const entry = subqueue.entries.getTop() as QueueEntry<T>;
    const { classQueue, accountQueue } = subqueue;
    const servedTier = getTier(pool, classQueue.tier);
    removeEntry(entry);
    pool.dispatches += 1;
    pool.floorCredit = Math.min(
      pool.floorCredit + options.maxFloorShare - (isFloorDispatch ? 1 : 0),
      1 + options.maxFloorShare,
    );
    classQueue.waitingSinceDispatch = pool.dispatches;
    classQueue.waitingSinceMs = nowMs;
    servedTier.lastVirtualTokens = accountQueue.virtualTokens;
    setVirtualTokens(
      servedTier,
      accountQueue,
      accountQueue.virtualTokens + entry.request.costTokens / accountQueue.weight,
    );
    const { tier: tierNumber } = classQueue;
    return {
      expired,
      reason: isFloorDispatch
        ? { _tag: 'Floor', classId: classQueue.classId, tier: tierNumber }
        : { _tag: 'StrictTier', tier: tierNumber, virtualTokens: accountQueue.virtualTokens },
      request: entry.request,
    };
  };

  const correctCharge: FairQueue<T>['correctCharge'] = (accountKey, deltaTokens) => {
    const tier = findTier(accountKey.pool, accountKey.tier);
    const accountQueue = tier?.accounts.get(accountKey.account);
    if (tier === undefined || accountQueue === undefined) return;
    setVirtualTokens(
      tier,
      accountQueue,
      Math.max(0, accountQueue.virtualTokens + deltaTokens / accountQueue.weight),
    );
  };

  return {
    countRequests: (poolName) => (
      poolName === undefined ? entries.size : pools.get(poolName)?.requests ?? 0
    ),
    dequeueRequest,
    estimateWorkAhead: (request) => {
      const tiers = pools.get(request.pool)?.tiers ?? [];
      const { tier: tierNumber } = request.class;
      const higherTokens = tiers.reduce((sum, { tier, tokens }) => (
        tier < tierNumber ? sum + tokens : sum
      ), 0);
      const tier = tiers.find((candidate) => candidate.tier === tierNumber);
      if (tier === undefined) return { higherTokens, sameTierTokens: 0 };
      const ownQueue = tier.accounts.get(request.account);
      const isActive = ownQueue !== undefined && ownQueue.byMostSlack.size > 0;
      const activeWeight = tier.activeWeight + (isActive ? 0 : request.weight);
      // While the account's own queued work is dispatched, the other active accounts get dispatches
      // in proportion to their weights.
      const fairTokens = ((ownQueue?.queuedTokens ?? 0) / request.weight) * activeWeight;
      return { higherTokens, sameTierTokens: Math.min(tier.tokens, fairTokens) };
    },
    getSnapshot: () => ({
      accounts: [...pools.values()].flatMap((pool) => pool.tiers.flatMap((tier) => (
        [...tier.accounts.values()].map(({ account, byMostSlack, virtualTokens }) => ({
          account, pool: pool.name, requests: byMostSlack.size, tier: tier.tier, virtualTokens,
        }))
      ))),
      backlogs: [...pools.values()].flatMap((pool) => pool.tiers.flatMap(({ classes, tier }) => (
        classes.map(({ classId, requests, tokens }) => ({
          classId, pool: pool.name, requests, tier, tokens,
        }))
      ))),
      requests: entries.size,
    }),
    queueRequest: (request) => {
      addRequest(request);
      if (entries.size <= options.maxRequests) return [];
      const shed = shedOneRequest();
      return shed === undefined ? [] : [shed];
    },
    correctCharge,
    removeMatching: (isMatch) => {
      const matching = [...entries.values()].filter(({ request }) => isMatch(request));
      matching.forEach(removeEntry);
      return matching.map(({ request }) => request);
    },
    removeRequest: (requestId) => {
      const entry = entries.get(requestId);
      if (entry !== undefined) removeEntry(entry);
      return entry?.request;
    },
    requeueRequest: (request) => {
      addRequest(request);
      const { account, class: { tier }, pool } = request;
      correctCharge({ account, pool, tier }, -request.costTokens);
    },
    shedExpired,
  };
}
