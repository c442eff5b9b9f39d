/**
 * Properties of the decisions, each checked on the real rule and on weakened rules that it has to
 * catch. Seeds are fixed, so a verdict does not change from run to run.
 */
import * as FastCheck from 'fast-check';
import * as Scheduling from '../../index.js';
import { checkCase } from './checkCase.js';

type Queue = Scheduling.FairQueue<null>;
type Request = Scheduling.QueueRequest<null>;
type QueueRule = (options: Scheduling.QueueOptions) => Queue;

const createQueue: QueueRule = (options) => Scheduling.createFairQueue<null>(options);

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

checkCase<QueueRule>('shed order of the queue', {
  build: (rule) => FastCheck.property(arrivals, FastCheck.integer({ max: 10, min: 1 }), (
    steps,
    maxRequests,
  ) => {
    const queue = rule({ ...Scheduling.defaultQueueOptions, maxRequests });
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
  guardsAgainst: 'a shed of a higher tier while a lower one is queued, and growth past the bound',
  mutants: {
    'floors protect their class from shedding': (options) => {
      const queue = createQueue(options);
      return {
        ...queue,
        queueRequest: (request) => queue.queueRequest(request).map((shed) => {
          if (shed.request.class.tier < 4) return shed;
          const other = queue.removeMatching(() => true);
          other.slice(1).forEach((kept) => queue.queueRequest(kept));
          queue.queueRequest(shed.request);
          return { ...shed, request: other[0] ?? shed.request };
        }),
      };
    },
    'the newcomer goes whatever its tier': (options) => {
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
  rule: createQueue,
});

checkCase<QueueRule>('progress of every class', {
  build: (rule) => FastCheck.property(
    FastCheck.uniqueArray(FastCheck.nat(4), { maxLength: 5, minLength: 2 }),
    FastCheck.integer({ max: 10, min: 2 }),
    (tiers, floorPercent) => {
      const floorShare = floorPercent / 100;
      const options = { ...Scheduling.defaultQueueOptions, maxFloorShare: 0.1 };
      const queue = rule(options);
      const limit = Math.ceil(1 / floorShare) + (tiers.length + 1) / options.maxFloorShare;
      const last = new Map(tiers.map((tier) => [tier, 0]));
      tiers.forEach((tier) => Array.from({ length: 400 }, (_, index) => (
        queue.queueRequest(buildRequest(0, {
          class: { ...buildClass(tier), floorShare }, queuedMs: 0, requestId: `${tier}-${index}`,
        }))
      )));
      return Array.from({ length: 390 }, (_, index) => index).every((index) => {
        const served = queue.dequeueRequest('m', 1).request?.class.tier ?? -1;
        last.set(served, index);
        return [...last.values()].every((at) => index - at <= limit);
      });
    },
  ),
  guardsAgainst: 'a class that waits for more than a bounded number of dispatches',
  mutants: {
    'no floor': (options) => createQueue({ ...options, maxFloorShare: 0 }),
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
  rule: createQueue,
});

checkCase<QueueRule>('cost of the floors', {
  build: (rule) => FastCheck.property(FastCheck.integer({ max: 200, min: 20 }), (dispatches) => {
    const queue = rule({ ...Scheduling.defaultQueueOptions, maxFloorShare: 0.1 });
    [0, 1, 2].forEach((tier) => Array.from({ length: 250 }, (_, index) => (
      queue.queueRequest(buildRequest(0, {
        class: { ...buildClass(tier), floorShare: 1 }, requestId: `${tier}-${index}`,
      }))
    )));
    const served = Array.from({ length: dispatches }, () => queue.dequeueRequest('m', 1).request);
    return served.filter((request) => request?.class.tier !== 0).length <= dispatches * 0.1 + 1;
  }),
  guardsAgainst: 'floors, however large in the lists, that take more than their bound',
  mutants: {
    'floors are not bounded': (options) => createQueue({ ...options, maxFloorShare: 1 }),
  },
  rule: createQueue,
});

checkCase<QueueRule>('shares of accounts', {
  build: (rule) => FastCheck.property(
    FastCheck.array(FastCheck.record({
      costs: FastCheck.array(FastCheck.integer({ max: 400, min: 1 }), {
        maxLength: 12, minLength: 4,
      }),
      weight: FastCheck.integer({ max: 4, min: 1 }),
    }), { maxLength: 5, minLength: 2 }),
    (accounts) => {
      const queue = rule(Scheduling.defaultQueueOptions);
      accounts.forEach(({ costs, weight }, account) => Array.from({ length: 100 }, (_, index) => (
        queue.queueRequest(buildRequest(account * 1_000 + index, {
          account: `a${account}`, costTokens: costs[index % costs.length] ?? 1, weight,
        }))
      )));
      const service = accounts.map(() => 0);
      return Array.from({ length: 100 }, () => 0).every(() => {
        const { request } = queue.dequeueRequest('m', 1);
        const index = Number(request?.account.slice(1));
        const received = (request?.costTokens ?? 0) / (request?.weight ?? 1);
        service[index] = (service[index] ?? 0) + received;
        // One request of the largest cost and the smallest weight.
        return Math.max(...service) - Math.min(...service) <= 400;
      });
    },
  ),
  guardsAgainst: 'an account that gets less than its weighted share because others ask for more',
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
            queue.recordTokens({ account, pool, tier }, 1 - request.costTokens);
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
  rule: createQueue,
});

type PreemptionRule = typeof Scheduling.choosePreemption;

const running = FastCheck.array(FastCheck.record({
  interruptions: FastCheck.nat(3),
  isResumable: FastCheck.boolean(),
  requestId: FastCheck.string(),
  resumeTokens: FastCheck.nat(1_000),
  serverId: FastCheck.string(),
  tier: FastCheck.nat(4),
}), { maxLength: 10 });

checkCase<PreemptionRule>('preemption', {
  build: (rule) => FastCheck.property(running, FastCheck.nat(4), (requests, tier) => {
    const victim = rule(requests, tier);
    if (victim === undefined) return true;
    const couldGo = requests.filter((other) => (
      other.isResumable && other.interruptions < Scheduling.MAX_INTERRUPTIONS
    ));
    return victim.isResumable && victim.tier > tier && requests.some((other) => other === victim)
      && couldGo.every((other) => other.tier <= victim.tier);
  }),
  guardsAgainst: 'an interrupted request of the same or a higher tier, or one that cannot resume',
  mutants: {
    'the same tier may be interrupted': (requests, tier) => (
      Scheduling.choosePreemption(requests, tier - 1)
    ),
    'the cheapest goes whatever its tier': (requests, tier) => [...requests]
      .filter((other) => other.isResumable && other.tier > tier)
      .sort((a, b) => a.resumeTokens - b.resumeTokens)[0],
  },
  rule: Scheduling.choosePreemption,
});

type AdmissionRule = (options: Scheduling.AdmissionOptions) => Scheduling.Admission;

const outlooks = FastCheck.record({
  hasFreeSlot: FastCheck.boolean(),
  serviceMs: FastCheck.integer({ max: 2_000, min: 1 }),
  tierTokensPerSecond: FastCheck.integer({ max: 5_000, min: 1 }),
  totalTokensPerSecond: FastCheck.integer({ max: 5_000, min: 1 }),
  workAhead: FastCheck.record({
    higherTokens: FastCheck.nat(5_000), sameTierTokens: FastCheck.nat(5_000),
  }),
});

checkCase<AdmissionRule>('refusals', {
  build: (rule) => FastCheck.property(
    FastCheck.array(FastCheck.tuple(outlooks, FastCheck.nat(2_000)), { minLength: 5 }),
    (steps) => {
      const admission = rule(Scheduling.defaultAdmissionOptions);
      const limits = { concurrentRequests: 3, tokensPerMinute: 3_000 };
      let reservedTokens = 0;
      return steps.every(([outlook, answerTokens], index) => {
        const before = admission.countRunning('a');
        const result = admission.admitRequest({
          account: 'a',
          answerTokens,
          elapsedMs: 0,
          limits,
          maxQueueMs: 1_000,
          promptTokens: 10,
          targetMs: 900,
        }, outlook, index, 0.5);
        return result.caseOf({
          Left: ({ retryAfterMs }) => retryAfterMs > 0
            && Number.isFinite(retryAfterMs)
            && admission.countRunning('a') === before,
          Right: (grant) => {
            reservedTokens += grant.tokens;
            const refilled = (index * limits.tokensPerMinute) / 60_000;
            return grant.expectedFirstTokenMs <= 900 && grant.latestStartMs >= index
              && grant.latestStartMs + outlook.serviceMs <= index + 900
              && before < limits.concurrentRequests
              && reservedTokens <= limits.tokensPerMinute + refilled + 1e-6;
          },
        });
      });
    },
  ),
  guardsAgainst: 'a request held although it cannot meet its target, and a refusal without a time',
  mutants: {
    'infeasible requests are queued': (options) => {
      const admission = Scheduling.createAdmission(options);
      return {
        ...admission,
        admitRequest: (request, outlook, nowMs, random) => admission.admitRequest(request, {
          ...outlook, workAhead: { higherTokens: 0, sameTierTokens: 0 },
        }, nowMs, random).map((grant) => ({
          ...grant, expectedFirstTokenMs: Scheduling.estimateFirstTokenMs(outlook),
        })),
      };
    },
    'limits are not counted': (options) => {
      const admission = Scheduling.createAdmission(options);
      return {
        ...admission,
        admitRequest: (request, outlook, nowMs, random) => (
          admission.admitRequest(request, outlook, nowMs, random).ifRight((grant) => {
            admission.releaseGrant(grant, 0);
          })
        ),
      };
    },
    'refusals have no time': (options) => {
      const admission = Scheduling.createAdmission(options);
      return {
        ...admission,
        admitRequest: (...args) => admission.admitRequest(...args)
          .mapLeft((refusal) => ({ ...refusal, retryAfterMs: 0 })),
      };
    },
  },
  rule: Scheduling.createAdmission,
});

type OutlierRule = typeof Scheduling.reduceOutliers;

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
  rule: OutlierRule,
  events: readonly Scheduling.OutlierEvent[],
  options: Scheduling.OutlierOptions,
): readonly Scheduling.OutlierState[] {
  const members = { _tag: 'Members' as const, serverIds: SERVER_IDS };
  let { state } = rule(Scheduling.initialOutlierState, members, 0, options);
  return events.map((event, index) => {
    state = rule(state, event, index * 100, options).state;
    return state;
  });
}

checkCase<OutlierRule>('ejection', {
  build: (rule) => FastCheck.property(outlierEvents, (events) => {
    const options = { ...Scheduling.defaultOutlierOptions, maxEjectedShare: 0.34 };
    const states = runOutliers(rule, events, options);
    return states.every((state) => {
      const bound = Math.min(
        Math.max(1, Math.floor(state.memberCount * 0.34)),
        Math.max(0, state.memberCount - 1),
      );
      return Scheduling.countEjected(state) <= bound;
    });
  }),
  guardsAgainst: 'more servers out than the bound, also when the pool shrinks',
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
  rule: Scheduling.reduceOutliers,
});

type MixRule = typeof Scheduling.planMix;

const offers = FastCheck.record({
  centres: FastCheck.integer({ max: 4, min: 2 }),
  cheapPriceCents: FastCheck.integer({ max: 50, min: 10 }),
  dearPriceCents: FastCheck.integer({ max: 200, min: 60 }),
  stock: FastCheck.integer({ max: 20, min: 0 }),
}).map(({
  centres, cheapPriceCents, dearPriceCents, stock,
}) => Array.from({ length: centres }, (_, index) => `dc${index}`).flatMap((dataCentre) => [
  {
    dataCentre, kind: 'cheap' as const, maxServers: stock, priceCents: cheapPriceCents,
  },
  {
    dataCentre, kind: 'dear' as const, maxServers: 30, priceCents: dearPriceCents,
  },
]));

/** Cheapest cost by trying every number of cheap and dear servers, evenly spread when cheap. */
function computeLeastCost(
  all: readonly Scheduling.Offer[],
  need: { readonly total: number; readonly afterLoss: number },
): number {
  const cheap = all.filter(({ kind }) => kind === 'cheap');
  const dear = all.filter(({ kind }) => kind === 'dear');
  const maxCheap = cheap.reduce((sum, { maxServers }) => sum + maxServers, 0);
  return Array.from({ length: maxCheap + 1 }, (_, count) => {
    const largest = Math.ceil(count / cheap.length);
    const dearCount = Math.max(0, need.total - count, need.afterLoss - (count - largest));
    return count * (cheap[0]?.priceCents ?? 0) + dearCount * (dear[0]?.priceCents ?? 0);
  }).reduce((a, b) => Math.min(a, b));
}

checkCase<MixRule>('purchases', {
  build: (rule) => FastCheck.property(
    offers,
    FastCheck.integer({ max: 20, min: 1 }),
    FastCheck.integer({ max: 20, min: 1 }),
    (all, a, b) => {
      const need = { afterLoss: Math.min(a, b), total: Math.max(a, b) };
      const mix = rule(all, need);
      const total = mix.stands.reduce((sum, { servers }) => sum + servers, 0);
      const centres = [...new Set(all.map(({ dataCentre }) => dataCentre))];
      return total >= need.total
        && centres.every((centre) => (
          Scheduling.countAfterLoss(mix.stands, centre) >= need.afterLoss
        ))
        && mix.costCents <= computeLeastCost(all, need)
        && mix.stands.every(({ dataCentre, kind, servers }) => all.some((offer) => (
          offer.dataCentre === dataCentre && offer.kind === kind && servers <= offer.maxServers
        )));
    },
  ),
  guardsAgainst: 'a mix that one cheap data centre takes below what must hold, or that costs more',
  mutants: {
    'only dear servers': (all, need) => (
      Scheduling.planMix(all.filter(({ kind }) => kind === 'dear'), need)
    ),
    'the cheapest servers in one data centre': (all, need) => (
      Scheduling.planMix(all.map((offer) => (offer.dataCentre === 'dc0'
        ? { ...offer, priceCents: offer.priceCents - 1 }
        : offer)), { ...need, afterLoss: 0 })
    ),
    'the loss is not considered': (all, need) => Scheduling.planMix(all, { ...need, afterLoss: 0 }),
  },
  rule: Scheduling.planMix,
});

type SharesRule = typeof Scheduling.createFleetShares;

const DAEMONS = 4;
const REQUEST_TOKENS = 10;

/**
 * Serves two accounts at daemons that exchange digests. During the first half only one of them has
 * requests at the first daemon; the result is the largest difference in the last quarter.
 */
function runFleet(rule: SharesRule, everyMs: number, order: readonly number[]): number {
  const daemons = Array.from({ length: DAEMONS }, () => ({
    counters: [0, 0], own: [0, 0], shares: rule(),
  }));
  const service = [0, 0];
  const sumOthers = (index: number, account: number): number => (
    daemons.reduce((sum, { own }, other) => sum + (other === index ? 0 : own[account] ?? 0), 0)
  );
  const gaps = order.map((index, nowMs) => {
    const isAlone = index === 0 && nowMs < order.length / 2;
    const { counters, own, shares } = daemons[index] as typeof daemons[number];
    const account = isAlone || (counters[0] ?? 0) <= (counters[1] ?? 0) ? 0 : 1;
    [counters, own, service].forEach((counts) => counts.splice(
      account,
      1,
      (counts[account] ?? 0) + REQUEST_TOKENS,
    ));
    shares.recordService(`${account}`, REQUEST_TOKENS);
    if (nowMs % everyMs === everyMs - 1) {
      daemons.forEach((receiver, at) => {
        const tokens = new Map([0, 1].map((other) => [`${other}`, sumOthers(at, other)]));
        receiver.shares.applyDigest({ sampledMs: nowMs, tokens }).forEach((step) => {
          const other = Number(step.account);
          receiver.counters.splice(other, 1, (receiver.counters[other] ?? 0) + step.tokens);
        });
      });
    }
    return Math.abs((service[0] ?? 0) - (service[1] ?? 0));
  });
  return Math.max(...gaps.slice(Math.floor(order.length * 0.75)));
}

checkCase<SharesRule>('shares across daemons', {
  build: (rule) => FastCheck.property(
    FastCheck.integer({ max: 50, min: 5 }),
    FastCheck.array(FastCheck.nat(DAEMONS - 1), { maxLength: 2_000, minLength: 1_500 }),
    (everyMs, order) => runFleet(rule, everyMs, order) <= Scheduling.computeShareBound({
      daemonCount: DAEMONS,
      digestAgeMs: everyMs,
      fleetTokensPerSecond: REQUEST_TOKENS * 1_000,
      maxRequestTokens: REQUEST_TOKENS,
      minWeight: 1,
    }),
  ),
  guardsAgainst: 'accounts whose shares drift further apart than the age of digests explains',
  mutants: {
    'digests are ignored': () => ({
      ...Scheduling.createFleetShares(), applyDigest: () => [],
    }),
    'sums are taken for increments': () => ({
      ...Scheduling.createFleetShares(),
      applyDigest: ({ tokens }) => [...tokens].map(([account, sum]) => ({
        account, tokens: account === '0' ? sum : sum / 2,
      })),
    }),
  },
  rule: Scheduling.createFleetShares,
});

type RetryRule = typeof Scheduling.claimRetry;

checkCase<RetryRule>('retries', {
  build: (rule) => FastCheck.property(FastCheck.array(FastCheck.boolean()), (steps) => {
    let budget = Scheduling.createRetryBudget(0.1, 50, 5);
    let requests = 0;
    let retries = 0;
    return steps.every((isRetry) => {
      if (isRetry) {
        rule(budget).ifRight((grant) => {
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
    'each request may retry': (budget) => Scheduling.claimRetry({ ...budget, credit: 5 }),
  },
  rule: Scheduling.claimRetry,
});
