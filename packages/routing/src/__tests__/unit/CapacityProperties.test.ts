/**
 * Properties of the server orders over generated histories of demand, losses, lack of stock and
 * late answers. Seeds are fixed so that results are reproducible.
 */
import * as FastCheck from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';
import * as SimulatedStock from '../support/SimulatedStock.js';

const RUN_OPTIONS = { numRuns: 100, seed: 20_261_206 };

const DATA_CENTRES = ['a', 'b', 'c', 'd'] as const;

const MAX_SERVERS = 8;

/** Length of a history; afterwards everything can be ordered again. */
const HISTORY_MS = 60_000;

/**
 * Time by which the demand must be carried once servers can be had: the longest delay of a repeated
 * order, the boot time, the margin after which an order counts as overdue, and two steps.
 */
const RECOVERY_MS = 8_000 + 4_000 + 2_000 + 2 * SimulatedStock.STEP_MS;

const dataCentre = FastCheck.constantFrom(...DATA_CENTRES);

const event = FastCheck.oneof(
  FastCheck.record({
    kind: FastCheck.constant('need' as const), servers: FastCheck.integer({ max: 26, min: 0 }),
  }),
  FastCheck.record({ kind: FastCheck.constant('unknown need' as const) }),
  FastCheck.record({
    dataCentre,
    hasStock: FastCheck.boolean(),
    kind: FastCheck.constant('reclaim' as const),
    noticeMs: FastCheck.constantFrom(0, 3_000, 6_000),
  }),
  FastCheck.record({
    dataCentre,
    hasStock: FastCheck.boolean(),
    isReclaimable: FastCheck.boolean(),
    kind: FastCheck.constant('stock' as const),
  }),
  FastCheck.record({
    kind: FastCheck.constant('interface' as const),
    state: FastCheck.constantFrom('down' as const, 'lost answers' as const, 'up' as const),
  }),
  FastCheck.record({ kind: FastCheck.constant('holder' as const) }),
);

type Event = typeof event extends FastCheck.Arbitrary<infer T> ? T : never;

const history = FastCheck.array(FastCheck.record({
  atMs: FastCheck.integer({ max: HISTORY_MS, min: 10_000 }), event,
}), { maxLength: 14, minLength: 2 });

type History = readonly { readonly atMs: number; readonly event: Event }[];

function applyEvent(simulation: SimulatedStock.Simulation, change: Event): void {
  const { stock } = simulation;
  if (change.kind === 'need') simulation.setNeed(change.servers);
  else if (change.kind === 'unknown need') simulation.setNeed(undefined);
  else if (change.kind === 'stock') {
    stock.setStock(change.dataCentre, change.isReclaimable, change.hasStock);
  } else if (change.kind === 'reclaim') {
    stock.setStock(change.dataCentre, true, change.hasStock);
    stock.reclaim(change.dataCentre, simulation.getNowMs(), change.noticeMs);
  } else if (change.kind === 'interface') stock.setInterface(change.state);
  else simulation.changeHolder();
}

function runHistory(
  events: History,
  createPlanner: SimulatedStock.PlannerFactory,
  isApplied: (change: Event) => boolean = () => true,
): SimulatedStock.Simulation {
  const simulation = SimulatedStock.createSimulation(createPlanner);
  simulation.setNeed(4);
  [...events].sort((a, b) => a.atMs - b.atMs).forEach(({ atMs, event: change }) => {
    simulation.runUntil(atMs);
    if (isApplied(change)) applyEvent(simulation, change);
  });
  simulation.runUntil(HISTORY_MS);
  return simulation;
}

/** Creates a planner whose inputs are changed; a mutant for which a property must fail. */
function createMutant(
  change: (input: Routing.OrderInput, nowMs: number) => Partial<Routing.OrderInput>,
): SimulatedStock.PlannerFactory {
  return () => {
    const planner = Routing.createOrderPlanner();
    return {
      planDue: (inputs, nowMs) => planner.planDue(
        inputs.map((input) => ({ ...input, ...change(input, nowMs) })),
        nowMs,
      ),
      recordAnswer: planner.recordAnswer,
    };
  };
}

/** Mutant that orders the base plan only, as before replacements. */
const withoutReplacement = createMutant(() => (
  { demand: { requests: undefined, tokensPerSecond: 0 } }
));

/** Mutant that believes in a larger maximum than the operator's. */
const withLargerMaximum = createMutant(({ service }) => ({
  service: {
    ...service,
    purchase: { ...service.purchase as Routing.PurchaseTerms, maxServers: MAX_SERVERS + 2 },
  },
}));

/** Mutant that forgets its replacements every three seconds, as if the holder changed. */
const withoutMemory: SimulatedStock.PlannerFactory = () => {
  let planner = Routing.createOrderPlanner();
  let createdMs = 0;
  return {
    planDue: (inputs, nowMs) => {
      if (nowMs - createdMs >= 3_000) {
        planner = Routing.createOrderPlanner();
        createdMs = nowMs;
      }
      return planner.planDue(inputs, nowMs);
    },
    recordAnswer: (...answer) => planner.recordAnswer(...answer),
  };
};

type Property = FastCheck.IRawProperty<unknown>;

/** Checks that a property holds for the planner and fails for a mutant, so it detects the fault. */
function checkPlanner(
  build: (createPlanner: SimulatedStock.PlannerFactory) => unknown,
  mutant: SimulatedStock.PlannerFactory,
): void {
  FastCheck.assert(build(Routing.createOrderPlanner) as Property, RUN_OPTIONS);
  expect(FastCheck.check(build(mutant) as Property, { ...RUN_OPTIONS, endOnFailure: true }))
    .toMatchObject({ failed: true });
}

/** Plan of the version before replacements, against which the base plan is compared. */
function planEarlierOrders(
  servers: readonly Routing.BackendServer[],
  tokensPerSecond: number,
): readonly Routing.ServerOrder[] {
  const { maxServers, minServers, prices } = SimulatedStock.SERVICE
    .purchase as Routing.PurchaseTerms;
  const lastingDataCentres = new Set([...prices].sort(([, a], [, b]) => a - b)
    .map(([name]) => name).slice(0, Math.ceil(prices.size * 0.5)));
  const demanded = Math.ceil(tokensPerSecond / 24_000 / prices.size);
  const base = Math.max(Math.ceil(maxServers * 0.6), demanded);
  return [...prices.keys()].flatMap((name) => {
    const ready = servers.filter((server) => (
      server.dataCentre === name && server.state === 'ready'
    ));
    const readyReclaimable = ready.filter(({ isReclaimable }) => isReclaimable).length;
    const readyLasting = ready.length - readyReclaimable;
    const lastingWanted = lastingDataCentres.has(name) ? Math.min(1, maxServers) : 0;
    const reclaimable = Math.min(
      maxServers - lastingWanted,
      Math.max(base, minServers - lastingWanted),
    );
    const hasReplacements = readyReclaimable >= Math.min(reclaimable, maxServers - readyLasting);
    const lasting = hasReplacements ? lastingWanted : Math.max(lastingWanted, readyLasting);
    const order = { dataCentre: name, service: 'chat' };
    return [
      { ...order, count: Math.min(reclaimable, maxServers - lasting), isReclaimable: true },
      { ...order, count: lasting, isReclaimable: false },
    ];
  });
}

function createServers(
  name: string,
  isReclaimable: boolean,
  count: number,
): readonly Routing.BackendServer[] {
  return Array.from({ length: count }, (_, index) => ({
    bornMs: 0,
    dataCentre: name,
    host: '10.0.0.1',
    id: `${name}-${String(isReclaimable)}-${index}`,
    isReclaimable,
    port: 80,
    service: 'chat',
    slots: 32,
    state: 'ready' as const,
    version: 'v1',
  }));
}

describe('server orders over generated histories', () => {
  // Guards against a service that stays short of servers although there are some to be had.
  test('the demand is carried soon after lasting servers and answers can be had again', () => {
    checkPlanner((createPlanner) => FastCheck.property(
      history,
      FastCheck.integer({ max: 20, min: 0 }),
      FastCheck.uniqueArray(dataCentre, { maxLength: 2 }),
      (events, servers, lost) => {
        const simulation = runHistory(events, createPlanner);
        simulation.stock.setInterface('up');
        DATA_CENTRES.forEach((name) => {
          simulation.stock.setStock(name, false, true);
          simulation.stock.setStock(name, true, !lost.includes(name));
        });
        simulation.setNeed(servers);
        simulation.runUntil(HISTORY_MS + RECOVERY_MS);
        const counts: number[] = [];
        simulation.runUntil(HISTORY_MS + RECOVERY_MS + 20_000, () => {
          counts.push(simulation.countReady());
        });
        expect(Math.min(...counts)).toBeGreaterThanOrEqual(servers);
      },
    ), withoutReplacement);
  });

  // Guards against a loss that is made up for only after a delay for other reasons.
  test('with lasting servers in stock, a loss is made up for within the boot time', () => {
    checkPlanner((createPlanner) => FastCheck.property(
      FastCheck.uniqueArray(dataCentre, { maxLength: 2, minLength: 1 }),
      FastCheck.integer({ max: 6_000, min: 0 }),
      FastCheck.constantFrom(0, 2_000, 6_000),
      FastCheck.integer({ max: 20, min: 0 }),
      (lost, gapMs, noticeMs, servers) => {
        const simulation = SimulatedStock.createSimulation(createPlanner);
        simulation.setNeed(servers);
        simulation.runUntil(15_000);
        lost.forEach((name, index) => {
          simulation.runUntil(15_000 + index * gapMs);
          simulation.stock.setStock(name, true, false);
          simulation.stock.reclaim(name, simulation.getNowMs(), noticeMs);
        });
        simulation.runUntil(simulation.getNowMs() + 4_000 + 2 * SimulatedStock.STEP_MS);
        expect(simulation.countReady()).toBeGreaterThanOrEqual(servers);
      },
    ), withoutReplacement);
  });

  // Guards against orders that the platform refuses, or that cost more than the operator allows.
  test('both kinds together never exceed the maximum of a data centre', () => {
    checkPlanner((createPlanner) => FastCheck.property(history, (events) => {
      const { stock } = runHistory(events, createPlanner);
      expect(stock.getMaxOrdered()).toBeLessThanOrEqual(MAX_SERVERS);
      stock.received.forEach(({ count }) => expect(count).toBeGreaterThanOrEqual(0));
    }), withLargerMaximum);
  });

  // Guards against servers that are started and given up again before they were of use. A new
  // holder does not know when its predecessor ordered, so these histories have one holder.
  test('an order of lasting servers is not reduced within 10 s of its increase', () => {
    checkPlanner((createPlanner) => FastCheck.property(history, (events) => {
      const { stock } = runHistory(events, createPlanner, ({ kind }) => kind !== 'holder');
      DATA_CENTRES.forEach((name) => {
        const orders = stock.received.filter((order) => (
          order.dataCentre === name && !order.isReclaimable && order.answer === 'accepted'
        ));
        orders.forEach((order, index) => {
          if (order.count >= (orders[index - 1]?.count ?? 0)) return;
          const increases = orders.slice(0, index).filter((each, position) => (
            each.count > (orders[position - 1]?.count ?? 0)
          ));
          const increasedMs = Math.max(...increases.map(({ atMs }) => atMs));
          expect(order.atMs - increasedMs).toBeGreaterThanOrEqual(10_000);
        });
      });
    }), withoutMemory);
  });

  // Guards against other orders than before for deployments that are not short of servers.
  test('where nothing is missing, or the demand is carried, the orders are those of before', () => {
    FastCheck.assert(FastCheck.property(
      FastCheck.array(FastCheck.tuple(FastCheck.nat(8), FastCheck.nat(8)), {
        maxLength: 4, minLength: 4,
      }),
      FastCheck.nat(40),
      (counts, servers) => {
        const listed = counts.flatMap(([lasting, reclaimable], index) => {
          const name = DATA_CENTRES[index] ?? 'a';
          return [
            ...createServers(name, false, lasting), ...createServers(name, true, reclaimable),
          ];
        });
        const tokensPerSecond = servers * 24_000;
        const earlier = planEarlierOrders(listed, tokensPerSecond);
        const carrying = earlier.map(({ count, isReclaimable, dataCentre: name }) => Math.min(
          isReclaimable ? count : Number(name === 'b' || name === 'd'),
          listed.filter((server) => (
            server.dataCentre === name && server.isReclaimable === isReclaimable
          )).length,
        ));
        FastCheck.pre(carrying.reduce((sum, count) => sum + count, 0) >= servers);
        expect(Routing.planOrders({
          servers: listed, service: SimulatedStock.SERVICE, tokensPerSecond,
        })).toEqual(earlier);
      },
    ), RUN_OPTIONS);
  });
});
