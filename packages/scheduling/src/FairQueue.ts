/**
 * Queue of requests that wait for a backend server. A pool is a set of interchangeable servers,
 * such as those that have one model loaded; requests of different pools never wait for each other,
 * but share the room of the queue.
 *
 * Dispatch inside a pool: tiers are strict, apart from a small floor for every class. Inside a tier
 * the account with the lowest virtual token counter goes first (tokens received over weight, as in
 * "Fairness in Serving Large Language Models", OSDI 2024), and inside an account the request with
 * the earliest latest start. Requests whose latest start has passed are handed back as expired.
 *
 * When there is no room, the request that goes is of the lowest tier in the queue, from the account
 * whose counter would be highest once all its queued requests were served, the one that could wait
 * longest. Floors play no part in it.
 *
 * Every operation costs the logarithm of the queue length, and the number of classes and pools.
 */
import type * as Core from '@berylyoke/core';
import * as Explanation from './Explanation.js';
import * as IndexedHeap from './IndexedHeap.js';

/** What the queue needs to know of a class. */
export interface QueueClass {
  readonly classId: string;
  /** 0 is the highest. */
  readonly tier: number;
  /** Share of the pool's dispatches that the class gets even when higher tiers are busy. */
  readonly floorShare: number;
}

/** A request as the queue holds it. */
export interface QueueRequest<T> {
  readonly requestId: string;
  readonly pool: string;
  readonly class: QueueClass;
  readonly account: string;
  /** Weight of the account in fair sharing. */
  readonly weight: number;
  /** Expected prompt and answer tokens, in tokens of work. */
  readonly costTokens: number;
  readonly queuedMs: Core.Millis;
  /** Last time at which a dispatch still meets the target. */
  readonly latestStartMs: Core.Millis;
  readonly payload: T;
}

/** Bounds of a queue. */
export interface QueueOptions {
  /** Requests in all pools together. */
  readonly maxRequests: number;
  /** Largest share of a pool's dispatches that floors may take from the strict order. */
  readonly maxFloorShare: number;
  /** A class with waiting requests is due for its floor after this time without a dispatch. */
  readonly floorIntervalMs: Core.Millis;
}

/** A request that left the queue without being dispatched. */
export interface ShedRequest<T> {
  readonly request: QueueRequest<T>;
  readonly reason: Explanation.ShedReason;
}

/** Result of a dequeue; `request` is undefined when the pool has none. */
export interface DequeueResult<T> {
  readonly request: QueueRequest<T> | undefined;
  readonly reason: Explanation.DequeueReason;
  /** Requests of any pool whose latest start has passed; to be refused at once. */
  readonly expired: readonly ShedRequest<T>[];
}

/** Work that would be served before a new request. */
export interface WorkAhead {
  /** Queued tokens of higher tiers. */
  readonly higherTokens: number;
  /** Queued tokens of the same tier that fair sharing serves first. */
  readonly sameTierTokens: number;
}

/** Waiting requests of one class in one pool. */
export interface ClassBacklog {
  readonly pool: string;
  readonly classId: string;
  readonly tier: number;
  readonly requests: number;
  readonly tokens: number;
}

/** Service of one account in one tier of a pool. */
export interface AccountService {
  readonly pool: string;
  readonly tier: number;
  readonly account: string;
  /** Tokens received over weight, raised to the tier's level when the account was idle. */
  readonly virtualTokens: number;
  readonly requests: number;
}

/** State of a queue at one moment. */
export interface QueueSnapshot {
  readonly requests: number;
  readonly backlogs: readonly ClassBacklog[];
  readonly accounts: readonly AccountService[];
}

/** Fair queue of one daemon. */
export interface FairQueue<T> {
  /** Adds a request and returns what had to go for it, which may be the request itself. */
  readonly queueRequest: (request: QueueRequest<T>) => readonly ShedRequest<T>[];
  /**
   * Takes the next request of a pool. Tiers below `lowestTier` are served only through floors.
   */
  readonly dequeueRequest: (
    pool: string, nowMs: Core.Millis, lowestTier?: number,
  ) => DequeueResult<T>;
  /** Puts back a request that found no server; its account is not charged for the dispatch. */
  readonly returnRequest: (request: QueueRequest<T>) => void;
  /** Removes the requests whose latest start has passed. */
  readonly shedExpired: (nowMs: Core.Millis) => readonly ShedRequest<T>[];
  /** Removes one request, as when its caller has gone. */
  readonly removeRequest: (requestId: string) => QueueRequest<T> | undefined;
  /** Removes every request that matches, as when a key is withdrawn; reads the whole queue. */
  readonly removeMatching: (
    isMatch: (request: QueueRequest<T>) => boolean,
  ) => readonly QueueRequest<T>[];
  /** Corrects what an account was charged; negative when an answer was shorter than expected. */
  readonly recordTokens: (
    owner: { readonly account: string; readonly pool: string; readonly tier: number },
    deltaTokens: number,
  ) => void;
  /** Estimates the work that would be served before a new request of an account. */
  readonly estimateWorkAhead: (
    request: Pick<QueueRequest<unknown>, 'account' | 'class' | 'pool' | 'weight'>,
  ) => WorkAhead;
  readonly countRequests: (pool?: string) => number;
  readonly getSnapshot: () => QueueSnapshot;
}

/** Bounds used when nothing else is set. */
export const defaultQueueOptions: QueueOptions = {
  // Half of the 10 s in which every class has to progress.
  floorIntervalMs: 5_000,
  // Leaves the strict order at least nine dispatches in ten.
  maxFloorShare: 0.1,
  maxRequests: 10_000,
};

/** Floor of a class whose own floor is lower, so that no class starves. */
export const MIN_FLOOR_SHARE = 0.005;

interface Entry<T> {
  readonly request: QueueRequest<T>;
  readonly lane: Lane<T>;
}

interface Lane<T> {
  readonly owner: AccountQueue<T>;
  readonly classQueue: ClassQueue<T>;
  readonly entries: IndexedHeap.IndexedHeap<Entry<T>>;
}

interface AccountQueue<T> {
  readonly account: string;
  readonly lanes: Map<string, Lane<T>>;
  readonly byLongestWait: IndexedHeap.IndexedHeap<Entry<T>>;
  weight: number;
  virtualTokens: number;
  queuedTokens: number;
}

interface ClassQueue<T> {
  readonly classId: string;
  readonly tier: number;
  readonly lanes: IndexedHeap.IndexedHeap<Lane<T>>;
  floorShare: number;
  requests: number;
  tokens: number;
  /** Dispatch number of the pool, and time, since which the class has waited for a dispatch. */
  waitingSinceDispatch: number;
  waitingSinceMs: Core.Millis;
}

interface TierQueue<T> {
  readonly tier: number;
  readonly accounts: Map<string, AccountQueue<T>>;
  readonly classes: ClassQueue<T>[];
  readonly byProjected: IndexedHeap.IndexedHeap<AccountQueue<T>>;
  /** Counter of the account that was dispatched last; where an idle tier resumes. */
  lastVirtualTokens: number;
  requests: number;
  tokens: number;
  activeWeight: number;
}

interface Pool<T> {
  readonly name: string;
  /** Highest tier first. */
  tiers: readonly TierQueue<T>[];
  dispatches: number;
  floorCredit: number;
  requests: number;
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

function compareStart<T>(a: Entry<T>, b: Entry<T>): number {
  return a.request.latestStartMs - b.request.latestStartMs
    || a.request.queuedMs - b.request.queuedMs
    || compareText(a.request.requestId, b.request.requestId);
}

function compareLane<T>(a: Lane<T>, b: Lane<T>): number {
  const aTop = a.entries.getTop();
  const bTop = b.entries.getTop();
  return a.owner.virtualTokens - b.owner.virtualTokens
    || (aTop !== undefined && bTop !== undefined ? compareStart(aTop, bTop) : 0);
}

function getProjected<T>(account: AccountQueue<T>): number {
  return account.virtualTokens + account.queuedTokens / account.weight;
}

function createTier<T>(tier: number): TierQueue<T> {
  return {
    accounts: new Map(),
    activeWeight: 0,
    byProjected: new IndexedHeap.IndexedHeap<AccountQueue<T>>((a, b) => (
      getProjected(b) - getProjected(a) || compareText(a.account, b.account)
    )),
    classes: [],
    lastVirtualTokens: 0,
    requests: 0,
    tier,
    tokens: 0,
  };
}

function findLowestLane<T>(tier: TierQueue<T>): Lane<T> | undefined {
  return tier.classes.reduce<Lane<T> | undefined>((best, { lanes }) => {
    const lane = lanes.getTop();
    if (lane === undefined) return best;
    return best === undefined || compareLane(lane, best) < 0 ? lane : best;
  }, undefined);
}

function updateLanes<T>(account: AccountQueue<T>): void {
  account.lanes.forEach((lane) => {
    if (lane.entries.size > 0) lane.classQueue.lanes.update(lane);
  });
}

/** Creates an empty queue. */
export function createFairQueue<T>(options: QueueOptions = defaultQueueOptions): FairQueue<T> {
  const pools = new Map<string, Pool<T>>();
  const entries = new Map<string, Entry<T>>();
  const byStart = new IndexedHeap.IndexedHeap<Entry<T>>(compareStart);

  const findTier = (poolName: string, tier: number): TierQueue<T> | undefined => (
    pools.get(poolName)?.tiers.find((candidate) => candidate.tier === tier)
  );

  const getPool = (name: string): Pool<T> => {
    const known = pools.get(name);
    if (known !== undefined) return known;
    const pool: Pool<T> = {
      dispatches: 0, floorCredit: 1, name, requests: 0, tiers: [],
    };
    pools.set(name, pool);
    return pool;
  };

  const getTier = (pool: Pool<T>, tier: number): TierQueue<T> => {
    const known = pool.tiers.find((candidate) => candidate.tier === tier);
    if (known !== undefined) return known;
    const added = createTier<T>(tier);
    const current = pool;
    current.tiers = [...pool.tiers, added].sort((a, b) => a.tier - b.tier);
    return added;
  };

  const getClass = (pool: Pool<T>, tier: TierQueue<T>, { classId, floorShare }: QueueClass) => {
    const known = tier.classes.find((candidate) => candidate.classId === classId);
    if (known !== undefined) {
      known.floorShare = Math.max(MIN_FLOOR_SHARE, floorShare);
      return known;
    }
    const added: ClassQueue<T> = {
      classId,
      floorShare: Math.max(MIN_FLOOR_SHARE, floorShare),
      lanes: new IndexedHeap.IndexedHeap<Lane<T>>(compareLane),
      requests: 0,
      tier: tier.tier,
      tokens: 0,
      waitingSinceDispatch: pool.dispatches,
      waitingSinceMs: 0,
    };
    tier.classes.push(added);
    return added;
  };

  const getAccount = (tier: TierQueue<T>, name: string, weight: number): AccountQueue<T> => {
    const known = tier.accounts.get(name);
    if (known !== undefined) return known;
    const added: AccountQueue<T> = {
      account: name,
      byLongestWait: new IndexedHeap.IndexedHeap<Entry<T>>((a, b) => compareStart(b, a)),
      lanes: new Map(),
      queuedTokens: 0,
      virtualTokens: 0,
      weight,
    };
    tier.accounts.set(name, added);
    return added;
  };

  const getLane = (owner: AccountQueue<T>, classQueue: ClassQueue<T>): Lane<T> => {
    const known = owner.lanes.get(classQueue.classId);
    if (known !== undefined) return known;
    const lane = {
      classQueue, entries: new IndexedHeap.IndexedHeap<Entry<T>>(compareStart), owner,
    };
    owner.lanes.set(classQueue.classId, lane);
    return lane;
  };

  const addRequest = (request: QueueRequest<T>): void => {
    const pool = getPool(request.pool);
    const tier = getTier(pool, request.class.tier);
    const classQueue = getClass(pool, tier, request.class);
    const owner = getAccount(tier, request.account, request.weight);
    if (owner.byLongestWait.size === 0) {
      // An account that was idle has no claim to what it did not use meanwhile.
      const level = findLowestLane(tier)?.owner.virtualTokens ?? tier.lastVirtualTokens;
      owner.virtualTokens = Math.max(owner.virtualTokens, level);
      owner.weight = request.weight;
      tier.activeWeight += request.weight;
    }
    if (classQueue.requests === 0) {
      classQueue.waitingSinceDispatch = pool.dispatches;
      classQueue.waitingSinceMs = request.queuedMs;
    }
    const lane = getLane(owner, classQueue);
    const entry = { lane, request };
    entries.set(request.requestId, entry);
    byStart.add(entry);
    lane.entries.add(entry);
    owner.byLongestWait.add(entry);
    owner.queuedTokens += request.costTokens;
    classQueue.requests += 1;
    classQueue.tokens += request.costTokens;
    tier.requests += 1;
    tier.tokens += request.costTokens;
    pool.requests += 1;
    classQueue.lanes.add(lane);
    tier.byProjected.add(owner);
  };

  const removeEntry = (entry: Entry<T>): void => {
    const { lane, request } = entry;
    const { classQueue, owner } = lane;
    const pool = getPool(request.pool);
    const tier = getTier(pool, classQueue.tier);
    entries.delete(request.requestId);
    byStart.remove(entry);
    lane.entries.remove(entry);
    owner.byLongestWait.remove(entry);
    owner.queuedTokens -= request.costTokens;
    classQueue.requests -= 1;
    classQueue.tokens -= request.costTokens;
    tier.requests -= 1;
    tier.tokens -= request.costTokens;
    pool.requests -= 1;
    if (lane.entries.size === 0) classQueue.lanes.remove(lane);
    else classQueue.lanes.update(lane);
    if (owner.byLongestWait.size === 0) {
      // Sums of fractions drift; an idle account and an idle tier start again from zero.
      owner.queuedTokens = 0;
      tier.byProjected.remove(owner);
      tier.activeWeight = tier.requests === 0 ? 0 : tier.activeWeight - owner.weight;
      if (tier.requests === 0) tier.tokens = 0;
    } else tier.byProjected.update(owner);
  };

  const setCounter = (
    tier: TierQueue<T>,
    owner: AccountQueue<T>,
    virtualTokens: number,
  ): void => {
    const current = owner;
    current.virtualTokens = virtualTokens;
    updateLanes(owner);
    if (owner.byLongestWait.size > 0) tier.byProjected.update(owner);
  };

  const shedLowest = (): ShedRequest<T> | undefined => {
    let victim: AccountQueue<T> | undefined;
    let victimTier = -1;
    pools.forEach(({ tiers }) => {
      const lowest = [...tiers].reverse().find(({ requests }) => requests > 0);
      const top = lowest?.byProjected.getTop();
      if (lowest === undefined || top === undefined || lowest.tier < victimTier) return;
      if (victim === undefined || lowest.tier > victimTier
        || getProjected(top) > getProjected(victim)) {
        victim = top;
        victimTier = lowest.tier;
      }
    });
    const entry = victim?.byLongestWait.getTop();
    if (entry === undefined) return undefined;
    removeEntry(entry);
    return {
      reason: { _tag: 'QueueFull', maxRequests: options.maxRequests, tier: victimTier },
      request: entry.request,
    };
  };

  const shedExpired = (nowMs: Core.Millis): readonly ShedRequest<T>[] => {
    const expired: ShedRequest<T>[] = [];
    let entry = byStart.getTop();
    while (entry !== undefined && entry.request.latestStartMs < nowMs) {
      removeEntry(entry);
      expired.push({
        reason: { _tag: 'Expired', lateMs: nowMs - entry.request.latestStartMs },
        request: entry.request,
      });
      entry = byStart.getTop();
    }
    return expired;
  };

  const isDue = (pool: Pool<T>, { floorShare, ...waiting }: ClassQueue<T>, nowMs: number) => (
    (pool.dispatches - waiting.waitingSinceDispatch) * floorShare >= 1
    || nowMs - waiting.waitingSinceMs >= options.floorIntervalMs
  );

  const findDueClass = (pool: Pool<T>, nowMs: Core.Millis): ClassQueue<T> | undefined => {
    let due: ClassQueue<T> | undefined;
    pool.tiers.forEach(({ classes }) => classes.forEach((candidate) => {
      if (candidate.requests === 0 || !isDue(pool, candidate, nowMs)) return;
      // Several dispatches fall into one millisecond; ordered by time, the last class starved.
      if (due === undefined || candidate.waitingSinceDispatch < due.waitingSinceDispatch) {
        due = candidate;
      }
    }));
    return due;
  };

  const dequeueRequest: FairQueue<T>['dequeueRequest'] = (
    poolName,
    nowMs,
    lowestTier = Infinity,
  ) => {
    const expired = shedExpired(nowMs);
    const pool = pools.get(poolName);
    const tier = pool?.tiers.find(({ requests }) => requests > 0);
    const strict = tier === undefined ? undefined : findLowestLane(tier);
    const due = pool !== undefined && pool.floorCredit >= 1
      ? findDueClass(pool, nowMs)
      : undefined;
    if (
      pool === undefined || tier === undefined || strict === undefined
      || (tier.tier > lowestTier && due === undefined)
    ) {
      return { expired, reason: { _tag: 'Empty' }, request: undefined };
    }
    const isFloor = due !== undefined && (due.tier !== tier.tier || due.tier > lowestTier);
    const lane = (due === undefined ? undefined : due.lanes.getTop()) ?? strict;
    const entry = lane.entries.getTop() as Entry<T>;
    const { classQueue, owner } = lane;
    const servedTier = getTier(pool, classQueue.tier);
    removeEntry(entry);
    pool.dispatches += 1;
    pool.floorCredit = Math.min(
      pool.floorCredit + options.maxFloorShare - (isFloor ? 1 : 0),
      1 + options.maxFloorShare,
    );
    classQueue.waitingSinceDispatch = pool.dispatches;
    classQueue.waitingSinceMs = nowMs;
    servedTier.lastVirtualTokens = owner.virtualTokens;
    setCounter(servedTier, owner, owner.virtualTokens + entry.request.costTokens / owner.weight);
    const { tier: servedNumber } = classQueue;
    return {
      expired,
      reason: isFloor
        ? { _tag: 'Floor', classId: classQueue.classId, tier: servedNumber }
        : { _tag: 'StrictTier', tier: servedNumber, virtualTokens: owner.virtualTokens },
      request: entry.request,
    };
  };

  const recordTokens: FairQueue<T>['recordTokens'] = (served, deltaTokens) => {
    const tier = findTier(served.pool, served.tier);
    const owner = tier?.accounts.get(served.account);
    if (tier === undefined || owner === undefined) return;
    setCounter(tier, owner, Math.max(0, owner.virtualTokens + deltaTokens / owner.weight));
  };

  return {
    countRequests: (poolName) => (
      poolName === undefined ? entries.size : pools.get(poolName)?.requests ?? 0
    ),
    dequeueRequest,
    estimateWorkAhead: (request) => {
      const tiers = pools.get(request.pool)?.tiers ?? [];
      const { tier: number } = request.class;
      const higherTokens = tiers.reduce((sum, { tier, tokens }) => (
        tier < number ? sum + tokens : sum
      ), 0);
      const tier = tiers.find((candidate) => candidate.tier === number);
      if (tier === undefined) return { higherTokens, sameTierTokens: 0 };
      const own = tier.accounts.get(request.account);
      const isActive = own !== undefined && own.byLongestWait.size > 0;
      const weights = tier.activeWeight + (isActive ? 0 : request.weight);
      // While an account is served its queued tokens, the others are served by their weights.
      const fairTokens = ((own?.queuedTokens ?? 0) / request.weight) * weights;
      return { higherTokens, sameTierTokens: Math.min(tier.tokens, fairTokens) };
    },
    getSnapshot: () => ({
      accounts: [...pools.values()].flatMap((pool) => pool.tiers.flatMap((tier) => (
        [...tier.accounts.values()].map(({ account, byLongestWait, virtualTokens }) => ({
          account, pool: pool.name, requests: byLongestWait.size, tier: tier.tier, virtualTokens,
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
      const shed = shedLowest();
      return shed === undefined ? [] : [shed];
    },
    recordTokens,
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
    returnRequest: (request) => {
      addRequest(request);
      const { account, class: { tier }, pool } = request;
      recordTokens({ account, pool, tier }, -request.costTokens);
    },
    shedExpired,
  };
}
