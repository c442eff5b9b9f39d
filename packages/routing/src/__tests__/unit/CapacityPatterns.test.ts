/**
 * Orders of servers under the load patterns that left a service short of servers: reclaimed data
 * centres, no stock, late and lost answers, and changes of the lease holder.
 */
import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';
import * as SimulatedStock from '../support/SimulatedStock.js';

const DATA_CENTRES = ['a', 'b', 'c', 'd'] as const;

/** Demand of a burst in servers; without replacement, the loss of two data centres leaves 12. */
const BURST_NEED = 18;

/** Boot time and two steps, which see the loss and send the orders. */
const RECOVERY_MS = 4_000 + 2 * SimulatedStock.STEP_MS;

function startBurst(): SimulatedStock.Simulation {
  const simulation = SimulatedStock.createSimulation();
  simulation.runUntil(20_000);
  simulation.setNeed(BURST_NEED);
  simulation.runUntil(30_000);
  return simulation;
}

/** Lists the lasting servers that were ordered beyond those of the base plan. */
function listLastingOrders(
  { stock }: SimulatedStock.Simulation,
): readonly SimulatedStock.ReceivedOrder[] {
  return stock.received.filter(({ count, isReclaimable }) => !isReclaimable && count > 1);
}

function reclaimTwo(simulation: SimulatedStock.Simulation, noticeMs: number): void {
  const { stock } = simulation;
  ['a', 'c'].forEach((dataCentre, index) => {
    simulation.runUntil(30_000 + index * 3_000);
    stock.setStock(dataCentre, true, false);
    stock.reclaim(dataCentre, simulation.getNowMs(), noticeMs);
  });
}

describe('orders while reclaimable servers are missing', () => {
  // Guards against 15 s with a third of the engines, as no lasting server was ordered.
  test('two data centres reclaimed three seconds apart in a burst, without notice', () => {
    const simulation = startBurst();
    reclaimTwo(simulation, 0);
    simulation.runUntil(33_000 + RECOVERY_MS);
    expect(simulation.countReady()).toBeGreaterThanOrEqual(BURST_NEED);
    expect(simulation.stock.getMaxOrdered()).toBeLessThanOrEqual(8);
  });

  // Guards against waiting for the loss when the notice came before it.
  test('two data centres reclaimed with a notice longer than the boot time', () => {
    const simulation = startBurst();
    reclaimTwo(simulation, 5_000);
    const counts: number[] = [];
    simulation.runUntil(45_000, () => {
      // Leaving servers are not counted, so this is the capacity after the loss.
      if (simulation.getNowMs() >= 33_000 + RECOVERY_MS) counts.push(simulation.countReady());
    });
    expect(Math.min(...counts)).toBeGreaterThanOrEqual(BURST_NEED);
    const [first] = listLastingOrders(simulation).filter(({ atMs }) => atMs > 30_000);
    expect(first?.atMs).toBeLessThan(35_000);
  });

  // Guards against orders of idle servers after each reclaim of a service with little load.
  test('a reclaimed data centre without demand for its servers is not replaced', () => {
    const simulation = SimulatedStock.createSimulation();
    simulation.setNeed(5);
    simulation.runUntil(30_000);
    simulation.stock.setStock('a', true, false);
    simulation.stock.reclaim('a', 30_000, 0);
    simulation.runUntil(60_000);
    expect(listLastingOrders(simulation)).toEqual([]);
  });

  // Guards against replacements that stay, or that are released before the stock is back.
  test('none to give for 15 s: the replacement is released after the servers are back', () => {
    const simulation = startBurst();
    reclaimTwo(simulation, 0);
    simulation.runUntil(48_000);
    ['a', 'c'].forEach((dataCentre) => simulation.stock.setStock(dataCentre, true, true));
    const counts: number[] = [];
    simulation.runUntil(90_000, () => counts.push(simulation.countReady()));
    expect(Math.min(...counts)).toBeGreaterThanOrEqual(BURST_NEED);
    const servers = simulation.stock.listServers(simulation.getNowMs());
    expect(servers.filter(({ isReclaimable }) => !isReclaimable)).toHaveLength(2);
    expect(servers.filter(({ isReclaimable }) => isReclaimable)).toHaveLength(20);
  });

  // Guards against an order every 2 s while there is no stock.
  test('none to give for 15 s: the time between orders for one kind and place doubles', () => {
    const simulation = startBurst();
    simulation.stock.setStock('a', true, false);
    simulation.stock.reclaim('a', 30_000, 0);
    simulation.setNeed(23);
    simulation.runUntil(46_000);
    const times = simulation.stock.received
      .filter(({ answer, dataCentre }) => answer === 'unavailable' && dataCentre === 'a')
      .map(({ atMs }) => atMs);
    const gaps = times.slice(1).map((atMs, index) => atMs - (times[index] ?? 0));
    expect(times.length).toBeGreaterThan(2);
    expect(times.length).toBeLessThanOrEqual(4);
    gaps.forEach((gap, index) => expect(gap).toBeGreaterThanOrEqual(2_000 * 2 ** index));
  });

  // Guards against room that stays empty for reclaimable servers which the platform does not have,
  // and against orders of both kinds that exceed the maximum together.
  test('a burst above the maximum while two data centres have none to give', () => {
    const simulation = startBurst();
    reclaimTwo(simulation, 0);
    simulation.setNeed(40);
    simulation.runUntil(33_000 + RECOVERY_MS + 2_000);
    expect(simulation.countReady()).toBe(32);
    expect(simulation.stock.getMaxOrdered()).toBeLessThanOrEqual(8);
    ['a', 'c'].forEach((dataCentre) => simulation.stock.setStock(dataCentre, true, true));
    simulation.setNeed(10);
    simulation.runUntil(90_000);
    const servers = simulation.stock.listServers(simulation.getNowMs());
    expect(servers.filter(({ isReclaimable }) => !isReclaimable)).toHaveLength(2);
  });

  // Guards against waiting for servers of an accepted order that were taken back as well.
  test('reclaimed just after the order was accepted', () => {
    const simulation = startBurst();
    simulation.stock.reclaim('a', 30_000, 0);
    simulation.setNeed(21);
    simulation.runUntil(34_800);
    ['a', 'b'].forEach((dataCentre) => {
      simulation.stock.setStock(dataCentre, true, false);
      simulation.stock.reclaim(dataCentre, simulation.getNowMs(), 0);
    });
    const lostMs = simulation.getNowMs();
    simulation.runUntil(lostMs + RECOVERY_MS);
    expect(simulation.countReady()).toBeGreaterThanOrEqual(20);
  });

  // Guards against orders that are forgotten, or sent in each step, while the interface is down.
  test('the order interface is down meanwhile', () => {
    const simulation = startBurst();
    simulation.stock.setInterface('down');
    reclaimTwo(simulation, 0);
    simulation.runUntil(45_000);
    const whileDown = simulation.stock.received.filter(({ atMs }) => atMs > 30_000);
    simulation.stock.setInterface('up');
    // An unanswered order is repeated after two seconds.
    simulation.runUntil(47_100 + RECOVERY_MS);
    expect(simulation.countReady()).toBeGreaterThanOrEqual(BURST_NEED);
    const keys = whileDown.map((each) => `${each.dataCentre}/${String(each.isReclaimable)}`);
    const mostRepeated = Math.max(...keys.map((key) => keys.filter((each) => each === key).length));
    expect(mostRepeated).toBeLessThanOrEqual(8);
  });

  // Guards against a new holder that cancels the replacement or orders a second one.
  test.each([1_000, 3_000, 6_000, 9_000])('the holder changes %i ms after the loss', (delayMs) => {
    const simulation = startBurst();
    reclaimTwo(simulation, 0);
    simulation.runUntil(33_000 + delayMs);
    simulation.changeHolder();
    simulation.setNeed(undefined);
    simulation.runUntil(33_000 + delayMs + 1_500);
    simulation.setNeed(BURST_NEED);
    simulation.runUntil(33_000 + delayMs + 1_500 + RECOVERY_MS);
    expect(simulation.countReady()).toBeGreaterThanOrEqual(BURST_NEED);
    expect(simulation.countReady()).toBeLessThanOrEqual(BURST_NEED + 4);
    expect(simulation.stock.getMaxOrdered()).toBeLessThanOrEqual(8);
  });

  // Guards against a release of the replacement while the counts are missing for a moment.
  test('the demand is not known for eight seconds', () => {
    const simulation = startBurst();
    reclaimTwo(simulation, 0);
    simulation.runUntil(40_000);
    simulation.setNeed(undefined);
    const counts: number[] = [];
    simulation.runUntil(48_000, () => counts.push(simulation.countReady()));
    expect(Math.min(...counts)).toBeGreaterThanOrEqual(BURST_NEED);
  });

  // Guards against a share of the base plan that is replaced while it is still starting.
  test('all servers start at once: the base plan alone is ordered', () => {
    const simulation = SimulatedStock.createSimulation();
    simulation.setNeed(BURST_NEED);
    simulation.runUntil(20_000);
    expect(simulation.stock.received).toHaveLength(2 * DATA_CENTRES.length);
    expect(listLastingOrders(simulation)).toEqual([]);
  });

  test('a pool of fixed size is not planned', () => {
    const planner = Routing.createOrderPlanner();
    const service = { ...SimulatedStock.SERVICE, purchase: undefined };
    expect(planner.planDue([{
      demand: undefined, servers: [], service, tokensPerSecond: 1e6,
    }], 0)).toEqual([]);
  });
});
