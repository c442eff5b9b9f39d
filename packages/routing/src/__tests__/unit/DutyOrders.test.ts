/** Orders that the duty runner sends, with the demand that it reads from the counts log. */
import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import * as FakeDuties from '../support/FakeDuties.js';
import * as SimulatedStock from '../support/SimulatedStock.js';
import * as Routing from '../../index.js';

const WINDOW_MS = 5_000;

/** Demand in servers, of which 14 have to be there; the stock without `a` and `c` carries 12. */
const NEED = 20;

/** Data centres that have no reclaimable servers. */
const EMPTY_DATA_CENTRES: readonly string[] = ['a', 'c'];

/** Starts the duty runner of `vm-0`, which nobody else competes with. */
function startRunner(context: Pick<
  Routing.DutyContext, 'countsLog' | 'listServers' | 'logger' | 'onOrderAnswered'
> & Pick<Routing.DutyCalls, 'orderServers'>): Routing.DutyRunner {
  const { orderServers, ...rest } = context;
  return Routing.startDuties({
    ...rest,
    usageCounter: Routing.createUsageCounter(WINDOW_MS),
    calls: { orderServers, sendUsage: () => Effect.succeed('accepted' as const) },
    clock: Core.systemClock,
    cores: 1,
    sendInterimCounts: () => undefined,
    daemonId: 'vm-0',
    dataCentre: 'a',
    dutyLog: FakeDuties.createFakeLog(() => 'none').connect('vm-0'),
    handOver: async () => true,
    leaseMs: 3_000,
    listServices: () => [SimulatedStock.SERVICE],
    onRelaysChanged: () => undefined,
    peerAddress: undefined,
    region: undefined,
    regionDataCentres: ['a'],
    random: () => 0,
    trueTime: Routing.createTrueTime(() => Routing.readClocks(Core.systemClock)),
    usageDueMs: 10_000,
    usageErrorShare: 0.05,
    windowMs: WINDOW_MS,
  });
}

/** Hands over the demand of the last window, in servers, for another daemon. */
function appendDemand(countsLog: FakeDuties.FakeLog, servers: number): Promise<number> {
  return Effect.runPromise(countsLog.connect('vm-other').append([{
    cores: 1,
    counts: {},
    daemonId: 'vm-other',
    dataCentre: 'b',
    incarnation: '1',
    tokens: { chat: servers * 24_000 * (WINDOW_MS / 1_000) },
    window: Routing.computeWindow(Date.now(), WINDOW_MS) - 1,
    writtenMs: Date.now(),
  } satisfies Routing.CountsRecord]));
}

beforeEach(() => {
  vi.useFakeTimers({
    now: 1_000_000_000_000, toFake: ['Date', 'clearTimeout', 'performance', 'setTimeout'],
  });
});
afterEach(() => {
  vi.useRealTimers();
});

// Guards against a new holder that orders without the demand that the counts log states, and
// against a replacement that is ordered only in a later step than the refusal for lack of stock.
test('a new holder replaces what the demand needs with its first orders', async () => {
  const stock = SimulatedStock.createSimulatedStock();
  const startMs = performance.now();
  const readTime = (): number => performance.now() - startMs;
  const { prices } = SimulatedStock.SERVICE.purchase as Routing.PurchaseTerms;
  [...prices.keys()].forEach((dataCentre) => stock.order({
    count: EMPTY_DATA_CENTRES.includes(dataCentre) ? 0 : 5,
    dataCentre,
    isReclaimable: true,
    service: 'chat',
  }, 0));
  ['b', 'd'].forEach((dataCentre) => stock.order({
    count: 1, dataCentre, isReclaimable: false, service: 'chat',
  }, 0));
  EMPTY_DATA_CENTRES.forEach((dataCentre) => stock.setStock(dataCentre, true, false));
  await vi.advanceTimersByTimeAsync(WINDOW_MS);
  const ordersBefore = stock.received.length;
  const countsLog = FakeDuties.createFakeLog(() => 'none');
  await appendDemand(countsLog, NEED);
  const lines: string[] = [];
  const answers: Routing.DutyAnswer[] = [];
  const runner = startRunner({
    countsLog: countsLog.connect('vm-0'),
    listServers: () => stock.listServers(readTime()),
    logger: {
      ...Core.createLogger('silent', {}),
      info: (fields: unknown, text: string) => lines.push(`${text} ${JSON.stringify(fields)}`),
    } as unknown as Core.Logger,
    onOrderAnswered: (_, answer) => answers.push(answer),
    orderServers: (order) => Effect.sync(() => stock.order(order, readTime())),
  });
  await vi.waitFor(async () => {
    await vi.advanceTimersByTimeAsync(100);
    expect(stock.received.length).toBeGreaterThan(ordersBefore);
  }, { interval: 0, timeout: 10_000 });
  await vi.advanceTimersByTimeAsync(100);
  const orders = stock.received.slice(ordersBefore);
  const firstMs = orders[0]?.atMs ?? 0;
  const lasting = orders.filter(({ atMs, isReclaimable }) => !isReclaimable && atMs === firstMs);
  // Two of the base plan, and two for the demand.
  expect(lasting.reduce((sum, { count }) => sum + count, 0)).toBe(4);
  expect(answers.filter((answer) => answer === 'unavailable')).toHaveLength(2);
  const planned = lines.filter((line) => line.startsWith('capacity planned'));
  expect(planned).toHaveLength(1);
  expect(planned[0]).toMatch(/"neededServers":14,"replacementServers":2/);
  expect(runner.listPlans()).toHaveLength(1);
  runner.stop();
  await vi.advanceTimersByTimeAsync(1_000);
});

// Guards against a holder that takes the absence of counts, which were deleted from the log before
// it read them, for the absence of demand.
test('a new holder gives back no servers before it knows the demand', async () => {
  const startMs = performance.now();
  const countsLog = FakeDuties.createFakeLog(() => 'none');
  const { prices } = SimulatedStock.SERVICE.purchase as Routing.PurchaseTerms;
  const stock = SimulatedStock.createSimulatedStock();
  // The demand needs more servers than the base plan has without a demand.
  [...prices.keys()].forEach((dataCentre) => stock.order({
    count: 7, dataCentre, isReclaimable: true, service: 'chat',
  }, 0));
  await vi.advanceTimersByTimeAsync(WINDOW_MS);
  const orders: Routing.ServerOrder[] = [];
  await appendDemand(countsLog, 28);
  countsLog.deleteHistory();
  const runner = startRunner({
    countsLog: countsLog.connect('vm-0'),
    listServers: () => stock.listServers(performance.now() - startMs),
    logger: Core.createLogger('silent', {}),
    onOrderAnswered: () => undefined,
    orderServers: (order) => Effect.sync(() => {
      orders.push(order);
      return 'accepted' as const;
    }),
  });
  const listReductions = () => orders.filter(({ count, isReclaimable }) => (
    isReclaimable && count < 7
  ));
  await vi.advanceTimersByTimeAsync(WINDOW_MS / 2);
  expect(orders.length).toBeGreaterThan(0);
  expect(listReductions()).toEqual([]);
  await vi.advanceTimersByTimeAsync(WINDOW_MS);
  await appendDemand(countsLog, 28);
  await vi.advanceTimersByTimeAsync(WINDOW_MS);
  expect(listReductions()).toEqual([]);
  expect(orders).toContainEqual({
    count: 7, dataCentre: 'b', isReclaimable: true, service: 'chat',
  });
  runner.stop();
  await vi.advanceTimersByTimeAsync(1_000);
});
