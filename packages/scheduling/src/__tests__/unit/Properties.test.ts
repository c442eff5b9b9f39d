/**
 * Property tests of the scheduling decisions. Each property must hold for the real implementation
 * and fail for its mutants; seeds are fixed so that results are reproducible.
 */
import * as FastCheck from 'fast-check';
import * as Scheduling from '../../index.js';
import { checkProperty } from './checkProperty.js';

type Queue = Scheduling.FairQueue<null>;
type Request = Scheduling.QueuedRequest<null>;
type QueueFactory = (options: Scheduling.QueueOptions) => Queue;

const createQueue: QueueFactory = (options) => Scheduling.createFairQueue<null>(options);

function buildRequest(index: number, fields: Partial<Request>): Request {
  return {
    account: 'a',
    class: { classId: 'c', floorShare: 0.02, tier: 0 },
    costTokens: 100,
    latestStartMs: 1e9,
    payload: null,
    pool: 'm',
    queuedMs: index,
    requestId: `r${index}`,
    weight: 1,
    ...fields,
  };
}

function buildClass(tier: number): Scheduling.QueueClass {
  return { classId: `c${tier}`, floorShare: 0.05, tier };
}

const arrivals = FastCheck.array(FastCheck.record({
  account: FastCheck.constantFrom('a', 'b', 'c'),
  costTokens: FastCheck.integer({ max: 500, min: 1 }),
  isDequeue: FastCheck.boolean(),
  pool: FastCheck.constantFrom('m', 'n'),
  tier: FastCheck.nat(4),
}), { maxLength: 80, minLength: 20 });

checkProperty<QueueFactory>('load shedding of the queue', {
  build: (implementation) => FastCheck.property(arrivals, FastCheck.integer({ max: 10, min: 1 }), (
    steps,
    maxRequests,
  ) => {
    const queue = implementation({ ...Scheduling.defaultQueueOptions, maxRequests });
    return steps.every((step, index) => {
      if (step.isDequeue) {
        queue.dequeueRequest(step.pool, index);
        return true;
      }
      const { account, costTokens, pool } = step;
      const shed = queue.queueRequest(buildRequest(index, {
        account, class: buildClass(step.tier), costTokens, pool,
      }));
      const waiting = queue.getSnapshot().backlogs.filter(({ requests }) => requests > 0);
      return queue.countRequests() <= maxRequests && shed.every(({ request }) => (
        waiting.every(({ tier }) => tier <= request.class.tier)
      ));
    });
  }),
  guardsAgainst: 'shedding a higher tier while a lower one is queued, and exceeding the limit',
  mutants: {
    'floors protect their class from shedding': (options) => {
      const queue = createQueue(options);
      return {
        ...queue,
        queueRequest: (request) => queue.queueRequest(request).map((shed) => {
          if (shed.request.class.tier < 4) return shed;
          const removed = queue.removeMatching(() => true);
          removed.slice(1).forEach((kept) => queue.queueRequest(kept));
          queue.queueRequest(shed.request);
          return { ...shed, request: removed[0] ?? shed.request };
        }),
      };
    },
    'the new request is shed regardless of its tier': (options) => {
      const queue = createQueue(options);
      return {
        ...queue,
        queueRequest: (request) => (queue.countRequests() < options.maxRequests
          ? queue.queueRequest(request)
          : [{ reason: { _tag: 'QueueFull', maxRequests: 0, tier: 0 }, request }]),
      };
    },
    'the queue is not bounded': (options) => createQueue({ ...options, maxRequests: 1_000 }),
  },
  implementation: createQueue,
});

checkProperty<QueueFactory>('progress of every class', {
  build: (implementation) => FastCheck.property(
    FastCheck.uniqueArray(FastCheck.nat(4), { maxLength: 5, minLength: 2 }),
    FastCheck.integer({ max: 10, min: 2 }),
    (tiers, floorPercent) => {
      const floorShare = floorPercent / 100;
      const options = { ...Scheduling.defaultQueueOptions, maxFloorShare: 0.1 };
      const queue = implementation(options);
      const maxDispatchesBetween = Math.ceil(1 / floorShare)
        + (tiers.length + 1) / options.maxFloorShare;
      const lastDispatchByTier = new Map(tiers.map((tier) => [tier, 0]));
      tiers.forEach((tier) => Array.from({ length: 400 }, (_, index) => (
        queue.queueRequest(buildRequest(0, {
          class: { ...buildClass(tier), floorShare }, queuedMs: 0, requestId: `${tier}-${index}`,
        }))
      )));
      return Array.from({ length: 390 }, (_, index) => index).every((index) => {
        const served = queue.dequeueRequest('m', 1).request?.class.tier ?? -1;
        lastDispatchByTier.set(served, index);
        return [...lastDispatchByTier.values()].every((at) => index - at <= maxDispatchesBetween);
      });
    },
  ),
  guardsAgainst: 'starving a class: the dispatches between two of its own are bounded',
  mutants: {
    'floors are disabled': (options) => createQueue({ ...options, maxFloorShare: 0 }),
    'the floor of the class is ignored': (options) => {
      const queue = createQueue(options);
      return {
        ...queue,
        queueRequest: (request) => queue.queueRequest({
          ...request, class: { ...request.class, floorShare: 0 },
        }),
      };
    },
  },
  implementation: createQueue,
});

checkProperty<QueueFactory>('maximum share of the floors', {
  build: (implementation) => FastCheck.property(FastCheck.integer({ max: 200, min: 20 }), (
    dispatches,
  ) => {
    const queue = implementation({ ...Scheduling.defaultQueueOptions, maxFloorShare: 0.1 });
    [0, 1, 2].forEach((tier) => Array.from({ length: 250 }, (_, index) => (
      queue.queueRequest(buildRequest(0, {
        class: { ...buildClass(tier), floorShare: 1 }, requestId: `${tier}-${index}`,
      }))
    )));
    const served = Array.from({ length: dispatches }, () => queue.dequeueRequest('m', 1).request);
    return served.filter((request) => request?.class.tier !== 0).length <= dispatches * 0.1 + 1;
  }),
  guardsAgainst: 'floors that take more than their maximum share, regardless of the configuration',
  mutants: {
    'floors are not bounded': (options) => createQueue({ ...options, maxFloorShare: 1 }),
  },
  implementation: createQueue,
});

checkProperty<QueueFactory>('fair shares of accounts', {
  build: (implementation) => FastCheck.property(
    FastCheck.array(FastCheck.record({
      costs: FastCheck.array(FastCheck.integer({ max: 400, min: 1 }), {
        maxLength: 12, minLength: 4,
      }),
      weight: FastCheck.integer({ max: 4, min: 1 }),
    }), { maxLength: 5, minLength: 2 }),
    (accounts) => {
      const queue = implementation(Scheduling.defaultQueueOptions);
      accounts.forEach(({ costs, weight }, account) => Array.from({ length: 100 }, (_, index) => (
        queue.queueRequest(buildRequest(account * 1_000 + index, {
          account: `a${account}`, costTokens: costs[index % costs.length] ?? 1, weight,
        }))
      )));
      const weightedService = accounts.map(() => 0);
      return Array.from({ length: 100 }, () => 0).every(() => {
        const { request } = queue.dequeueRequest('m', 1);
        const index = Number(request?.account.slice(1));
        const weightedTokens = (request?.costTokens ?? 0) / (request?.weight ?? 1);
        weightedService[index] = (weightedService[index] ?? 0) + weightedTokens;
        // The cost of one request of maximum cost at minimum weight.
        return Math.max(...weightedService) - Math.min(...weightedService) <= 400;
      });
    },
  ),
  guardsAgainst: 'giving an account less than its weighted share because others queue more',
  mutants: {
    'first come first served': (options) => {
      const queue = createQueue(options);
      const names = new Map<string, string>();
      const weights = new Map<string, number>();
      return {
        ...queue,
        dequeueRequest: (pool, nowMs) => {
          const result = queue.dequeueRequest(pool, nowMs);
          if (result.request === undefined) return result;
          const { requestId } = result.request;
          const account = names.get(requestId) ?? '';
          const weight = weights.get(requestId) ?? 1;
          return { ...result, request: { ...result.request, account, weight } };
        },
        queueRequest: (request) => {
          names.set(request.requestId, request.account);
          weights.set(request.requestId, request.weight);
          return queue.queueRequest({ ...request, account: 'all' });
        },
      };
    },
    'requests count instead of tokens': (options) => {
      const queue = createQueue(options);
      return {
        ...queue,
        dequeueRequest: (pool, nowMs) => {
          const result = queue.dequeueRequest(pool, nowMs);
          const { request } = result;
          if (request !== undefined) {
            const { account, class: { tier } } = request;
            queue.correctCharge({ account, pool, tier }, 1 - request.costTokens);
          }
          return result;
        },
      };
    },
    'weights are ignored': (options) => {
      const queue = createQueue(options);
      return {
        ...queue,
        dequeueRequest: (pool, nowMs) => {
          const result = queue.dequeueRequest(pool, nowMs);
          const { request } = result;
          if (request === undefined) return result;
          return { ...result, request: { ...request, weight: request.payload ?? request.weight } };
        },
        queueRequest: (request) => queue.queueRequest({
          ...request, payload: request.weight as unknown as null, weight: 1,
        }),
      };
    },
  },
  implementation: createQueue,
});

type PreemptionChooser = typeof Scheduling.choosePreemption;

const running = FastCheck.array(FastCheck.record({
  interruptions: FastCheck.nat(3),
  isResumable: FastCheck.boolean(),
  requestId: FastCheck.string(),
  resumeTokens: FastCheck.nat(1_000),
  serverId: FastCheck.string(),
  tier: FastCheck.nat(4),
}), { maxLength: 10 });

checkProperty<PreemptionChooser>('preemption', {
  build: (implementation) => FastCheck.property(running, FastCheck.nat(4), (requests, tier) => {
    const victim = implementation(requests, tier);
    if (victim === undefined) return true;
    const candidates = requests.filter((other) => (
      other.isResumable && other.interruptions < Scheduling.MAX_INTERRUPTIONS
    ));
    return victim.isResumable && victim.tier > tier && requests.some((other) => other === victim)
      && candidates.every((other) => other.tier <= victim.tier);
  }),
  guardsAgainst: 'interrupting a request of the same or a higher tier, or one that cannot resume',
  mutants: {
    'the same tier may be interrupted': (requests, tier) => (
      Scheduling.choosePreemption(requests, tier - 1)
    ),
    'the cheapest request is interrupted regardless of its tier': (requests, tier) => [...requests]
      .filter((other) => other.isResumable && other.tier > tier)
      .sort((a, b) => a.resumeTokens - b.resumeTokens)[0],
  },
  implementation: Scheduling.choosePreemption,
});

type AdmissionFactory = (options: Scheduling.AdmissionOptions) => Scheduling.Admission;

const poolLoads = FastCheck.record({
  hasFreeSlot: FastCheck.boolean(),
  dispatchToFirstTokenMs: FastCheck.integer({ max: 2_000, min: 1 }),
  tierTokensPerSecond: FastCheck.integer({ max: 5_000, min: 1 }),
  totalTokensPerSecond: FastCheck.integer({ max: 5_000, min: 1 }),
  workAhead: FastCheck.record({
    higherTokens: FastCheck.nat(5_000), sameTierTokens: FastCheck.nat(5_000),
  }),
});

checkProperty<AdmissionFactory>('admission control', {
  build: (implementation) => FastCheck.property(
    FastCheck.array(FastCheck.tuple(poolLoads, FastCheck.nat(2_000)), { minLength: 5 }),
    (steps) => {
      const admission = implementation(Scheduling.defaultAdmissionOptions);
      const limits = { concurrentRequests: 3, tokensPerMinute: 3_000 };
      let reservedTokens = 0;
      return steps.every(([poolLoad, answerTokens], index) => {
        const runningBefore = admission.countRunningRequests('a');
        const result = admission.admitRequest({
          account: 'a',
          answerTokens,
          elapsedMs: 0,
          limits,
          maxQueueMs: 1_000,
          promptTokens: 10,
          targetMs: 900,
        }, poolLoad, index, 0.5);
        return result.caseOf({
          Left: ({ retryAfterMs }) => retryAfterMs > 0
            && Number.isFinite(retryAfterMs)
            && admission.countRunningRequests('a') === runningBefore,
          Right: (grant) => {
            reservedTokens += grant.tokens;
            const refilled = (index * limits.tokensPerMinute) / 60_000;
            return grant.expectedFirstTokenMs <= 900 && grant.latestStartMs >= index
              && grant.latestStartMs + poolLoad.dispatchToFirstTokenMs <= index + 900
              && runningBefore < limits.concurrentRequests
              && reservedTokens <= limits.tokensPerMinute + refilled + 1e-6;
          },
        });
      });
    },
  ),
  guardsAgainst: 'queueing a request that cannot meet its target, or refusing without a retry time',
  mutants: {
    'infeasible requests are queued': (options) => {
      const admission = Scheduling.createAdmission(options);
      return {
        ...admission,
        admitRequest: (request, poolLoad, nowMs, random) => admission.admitRequest(request, {
          ...poolLoad, workAhead: { higherTokens: 0, sameTierTokens: 0 },
        }, nowMs, random).map((grant) => ({
          ...grant, expectedFirstTokenMs: Scheduling.estimateFirstTokenMs(poolLoad),
        })),
      };
    },
    'account limits are not enforced': (options) => {
      const admission = Scheduling.createAdmission(options);
      return {
        ...admission,
        admitRequest: (request, poolLoad, nowMs, random) => (
          admission.admitRequest(request, poolLoad, nowMs, random).ifRight((grant) => {
            admission.releaseGrant(grant, 0);
          })
        ),
      };
    },
    'refusals have no retry time': (options) => {
      const admission = Scheduling.createAdmission(options);
      return {
        ...admission,
        admitRequest: (...args) => admission.admitRequest(...args)
          .mapLeft((refusal) => ({ ...refusal, retryAfterMs: 0 })),
      };
    },
  },
  implementation: Scheduling.createAdmission,
});

type OutlierReducer = typeof Scheduling.reduceOutliers;

const SERVER_IDS = ['s0', 's1', 's2', 's3', 's4', 's5', 's6', 's7'];

const outlierEvents = FastCheck.array(FastCheck.oneof(
  FastCheck.record({
    _tag: FastCheck.constant('Failure' as const), serverId: FastCheck.constantFrom(...SERVER_IDS),
  }),
  FastCheck.record({
    _tag: FastCheck.constant('Success' as const), serverId: FastCheck.constantFrom(...SERVER_IDS),
  }),
  FastCheck.record({
    _tag: FastCheck.constant('Members' as const), serverIds: FastCheck.subarray(SERVER_IDS),
  }),
  FastCheck.record({
    _tag: FastCheck.constant('Observed' as const),
    slowdowns: FastCheck.array(
      FastCheck.tuple(FastCheck.constantFrom(...SERVER_IDS), FastCheck.nat(1_000)),
    ).map((entries) => new Map(entries)),
  }),
  FastCheck.record({ _tag: FastCheck.constant('Tick' as const) }),
), { maxLength: 100, minLength: 40 });

function runOutliers(
  implementation: OutlierReducer,
  events: readonly Scheduling.OutlierEvent[],
  options: Scheduling.OutlierOptions,
): readonly Scheduling.OutlierState[] {
  const members = { _tag: 'Members' as const, serverIds: SERVER_IDS };
  let { state } = implementation(Scheduling.initialOutlierState, members, 0, options);
  return events.map((event, index) => {
    state = implementation(state, event, index * 100, options).state;
    return state;
  });
}

checkProperty<OutlierReducer>('outlier ejection', {
  build: (implementation) => FastCheck.property(outlierEvents, (events) => {
    const options = { ...Scheduling.defaultOutlierOptions, maxEjectedShare: 0.34 };
    const states = runOutliers(implementation, events, options);
    return states.every((state) => {
      const bound = Math.min(
        Math.max(1, Math.floor(state.memberCount * 0.34)),
        Math.max(0, state.memberCount - 1),
      );
      return Scheduling.countEjected(state) <= bound;
    });
  }),
  guardsAgainst: 'ejecting more servers than the bound, also when the pool shrinks',
  mutants: {
    'a shrinking pool keeps its ejections': (state, event, nowMs, options) => {
      const step = Scheduling.reduceOutliers(state, event, nowMs, options);
      if (event._tag !== 'Members') return step;
      return { ...step, state: { ...step.state, servers: state.servers } };
    },
    'the bound is not checked': (state, event, nowMs) => (
      Scheduling.reduceOutliers(state, event, nowMs, {
        ...Scheduling.defaultOutlierOptions, maxEjectedShare: 1,
      })
    ),
  },
  implementation: Scheduling.reduceOutliers,
});

type MixPlanner = typeof Scheduling.planMix;

const offers = FastCheck.record({
  dataCentres: FastCheck.integer({ max: 4, min: 2 }),
  cheapPriceCents: FastCheck.integer({ max: 50, min: 10 }),
  dearPriceCents: FastCheck.integer({ max: 200, min: 60 }),
  stock: FastCheck.integer({ max: 20, min: 0 }),
}).map(({
  dataCentres, cheapPriceCents, dearPriceCents, stock,
}) => Array.from({ length: dataCentres }, (_, index) => `dc${index}`).flatMap((dataCentre) => [
  {
    dataCentre, kind: 'cheap' as const, maxServers: stock, priceCents: cheapPriceCents,
  },
  {
    dataCentre, kind: 'dear' as const, maxServers: 30, priceCents: dearPriceCents,
  },
]));

/** Computes the minimum cost by trying every number of cheap servers, spread evenly. */
function computeLeastCost(
  allOffers: readonly Scheduling.Offer[],
  required: { readonly total: number; readonly afterLoss: number },
): number {
  const cheap = allOffers.filter(({ kind }) => kind === 'cheap');
  const dear = allOffers.filter(({ kind }) => kind === 'dear');
  const maxCheap = cheap.reduce((sum, { maxServers }) => sum + maxServers, 0);
  return Array.from({ length: maxCheap + 1 }, (_, count) => {
    const largest = Math.ceil(count / cheap.length);
    const dearCount = Math.max(0, required.total - count, required.afterLoss - (count - largest));
    return count * (cheap[0]?.priceCents ?? 0) + dearCount * (dear[0]?.priceCents ?? 0);
  }).reduce((a, b) => Math.min(a, b));
}

checkProperty<MixPlanner>('server mix', {
  build: (implementation) => FastCheck.property(
    offers,
    FastCheck.integer({ max: 20, min: 1 }),
    FastCheck.integer({ max: 20, min: 1 }),
    (allOffers, a, b) => {
      const required = { afterLoss: Math.min(a, b), total: Math.max(a, b) };
      const mix = implementation(allOffers, required);
      const total = mix.allocations.reduce((sum, { servers }) => sum + servers, 0);
      const dataCentres = [...new Set(allOffers.map(({ dataCentre }) => dataCentre))];
      return total >= required.total
        && dataCentres.every((dataCentre) => (
          Scheduling.countAfterLoss(mix.allocations, dataCentre) >= required.afterLoss
        ))
        && mix.costCents <= computeLeastCost(allOffers, required)
        && mix.allocations.every(({ dataCentre, kind, servers }) => allOffers.some((offer) => (
          offer.dataCentre === dataCentre && offer.kind === kind && servers <= offer.maxServers
        )));
    },
  ),
  guardsAgainst: 'a mix with too few servers after a loss, or at more than the minimum cost',
  mutants: {
    'only dear servers are bought': (allOffers, required) => (
      Scheduling.planMix(allOffers.filter(({ kind }) => kind === 'dear'), required)
    ),
    'all cheap servers are in one data centre': (allOffers, required) => (
      Scheduling.planMix(allOffers.map((offer) => (offer.dataCentre === 'dc0'
        ? { ...offer, priceCents: offer.priceCents - 1 }
        : offer)), { ...required, afterLoss: 0 })
    ),
    'the loss of a data centre is ignored': (
      allOffers,
      required,
    ) => Scheduling.planMix(allOffers, { ...required, afterLoss: 0 }),
  },
  implementation: Scheduling.planMix,
});

type SharesFactory = typeof Scheduling.createFleetShares;

const DAEMON_COUNT = 4;
const TOKENS_PER_REQUEST = 10;

/**
 * Simulates daemons that serve two accounts and exchange digests. During the first half, only one
 * of the accounts has requests at the first daemon. Returns the largest difference between the
 * tokens served to the accounts in the last quarter.
 */
function runFleet(
  implementation: SharesFactory,
  digestIntervalMs: number,
  daemonOrder: readonly number[],
): number {
  const daemons = Array.from({ length: DAEMON_COUNT }, () => ({
    counters: [0, 0], ownTokens: [0, 0], shares: implementation(),
  }));
  const servedTokens = [0, 0];
  const sumOthers = (index: number, account: number): number => (
    daemons.reduce(
      (sum, { ownTokens }, other) => sum + (other === index ? 0 : ownTokens[account] ?? 0),
      0,
    )
  );
  const differences = daemonOrder.map((index, nowMs) => {
    const isSingleAccount = index === 0 && nowMs < daemonOrder.length / 2;
    const { counters, ownTokens, shares } = daemons[index] as typeof daemons[number];
    const account = isSingleAccount || (counters[0] ?? 0) <= (counters[1] ?? 0) ? 0 : 1;
    [counters, ownTokens, servedTokens].forEach((counts) => counts.splice(
      account,
      1,
      (counts[account] ?? 0) + TOKENS_PER_REQUEST,
    ));
    shares.recordServedTokens(`${account}`, TOKENS_PER_REQUEST);
    if (nowMs % digestIntervalMs === digestIntervalMs - 1) {
      daemons.forEach((receiver, at) => {
        const tokens = new Map([0, 1].map((other) => [`${other}`, sumOthers(at, other)]));
        receiver.shares.applyDigest({ sampledMs: nowMs, tokens }).forEach((step) => {
          const other = Number(step.account);
          receiver.counters.splice(other, 1, (receiver.counters[other] ?? 0) + step.tokens);
        });
      });
    }
    return Math.abs((servedTokens[0] ?? 0) - (servedTokens[1] ?? 0));
  });
  return Math.max(...differences.slice(Math.floor(daemonOrder.length * 0.75)));
}

checkProperty<SharesFactory>('shares across daemons', {
  build: (implementation) => FastCheck.property(
    FastCheck.integer({ max: 50, min: 5 }),
    FastCheck.array(FastCheck.nat(DAEMON_COUNT - 1), { maxLength: 2_000, minLength: 1_500 }),
    (digestIntervalMs, daemonOrder) => runFleet(
      implementation,
      digestIntervalMs,
      daemonOrder,
    ) <= Scheduling.computeShareBound({
      daemonCount: DAEMON_COUNT,
      digestAgeMs: digestIntervalMs,
      fleetTokensPerSecond: TOKENS_PER_REQUEST * 1_000,
      maxRequestTokens: TOKENS_PER_REQUEST,
      minWeight: 1,
    }),
  ),
  guardsAgainst: 'shares of accounts that differ by more than the bound for the age of digests',
  mutants: {
    'digests are ignored': () => ({
      ...Scheduling.createFleetShares(), applyDigest: () => [],
    }),
    'cumulative counts are applied as increments': () => ({
      ...Scheduling.createFleetShares(),
      applyDigest: ({ tokens }) => [...tokens].map(([account, sum]) => ({
        account, tokens: account === '0' ? sum : sum / 2,
      })),
    }),
  },
  implementation: Scheduling.createFleetShares,
});

type RetryClaimer = typeof Scheduling.claimRetry;

checkProperty<RetryClaimer>('retry budget', {
  build: (implementation) => FastCheck.property(FastCheck.array(FastCheck.boolean()), (steps) => {
    let budget = Scheduling.createRetryBudget(0.1, 50, 5);
    let requests = 0;
    let retries = 0;
    return steps.every((isRetry) => {
      if (isRetry) {
        implementation(budget).ifRight((grant) => {
          budget = grant.budget;
          retries += 1;
        });
      } else {
        budget = Scheduling.recordFirstAttempt(budget);
        requests += 1;
      }
      return retries <= requests * 0.1 + 5;
    });
  }),
  guardsAgainst: 'retries that exceed their share of the requests',
  mutants: {
    'the budget is never spent': (budget) => Scheduling.claimRetry({ ...budget, credit: 5 }),
  },
  implementation: Scheduling.claimRetry,
});
