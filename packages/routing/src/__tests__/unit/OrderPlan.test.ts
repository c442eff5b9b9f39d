import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const SERVICE: Routing.Service = {
  maxConnections: 370,
  name: 'chat',
  purchase: {
    maxServers: 7,
    minServers: 1,
    prices: new Map([['a', 1], ['b', 0.8], ['c', 1.25], ['d', 0.9]]),
  },
};

function createServers(
  dataCentre: string,
  lasting: number,
  reclaimable: number,
): Routing.BackendServer[] {
  return Array.from({ length: lasting + reclaimable }, (_, index) => ({
    bornMs: 0,
    dataCentre,
    host: '10.0.0.1',
    id: `${dataCentre}-${index}`,
    isReclaimable: index >= lasting,
    port: 80,
    service: 'chat',
    slots: 64,
    state: 'ready' as const,
    version: 'v1',
  }));
}

function findOrder(
  servers: readonly Routing.BackendServer[],
  dataCentre: string,
  isReclaimable: boolean,
  tokensPerSecond = 0,
): number | undefined {
  return Routing.planOrders({ servers, service: SERVICE, tokensPerSecond }).find((order) => (
    order.dataCentre === dataCentre && order.isReclaimable === isReclaimable
  ))?.count;
}

describe('planned server orders', () => {
  test('lasting servers are kept until the reclaimable ones that replace them are ready', () => {
    const servers = createServers('a', 5, 0);
    expect(findOrder(servers, 'a', false)).toBe(5);
    expect(findOrder(servers, 'a', true)).toBe(2);
  });

  test('servers of a full data centre are replaced in steps, without waiting for room', () => {
    expect(findOrder(createServers('a', 5, 2), 'a', false)).toBe(0);
    expect(findOrder(createServers('b', 5, 2), 'b', false)).toBe(1);
    expect(findOrder(createServers('b', 1, 2), 'b', true)).toBe(5);
  });

  test('a data centre whose servers were reclaimed keeps its order and its lasting server', () => {
    const servers = createServers('b', 1, 0);
    expect(findOrder(servers, 'b', true)).toBe(5);
    expect(findOrder(servers, 'b', false)).toBe(1);
  });

  test('orders of both kinds together do not exceed the limit of the data centre', () => {
    [0, 1, 3, 7].forEach((lasting) => ['a', 'b', 'c', 'd'].forEach((dataCentre) => {
      const servers = createServers(dataCentre, lasting, 0);
      const sum = (findOrder(servers, dataCentre, true) ?? 0)
        + (findOrder(servers, dataCentre, false) ?? 0);
      expect(sum).toBeLessThanOrEqual(7);
    }));
  });

  test('no servers are ordered for a pool of fixed size', () => {
    const service = { ...SERVICE, purchase: undefined };
    expect(Routing.planOrders({ servers: [], service, tokensPerSecond: 1e6 })).toEqual([]);
  });

  test('demand far above the base raises the order up to the limit', () => {
    const servers = createServers('c', 0, 5);
    expect(findOrder(servers, 'c', true, 300_000)).toBe(5);
    expect(findOrder(servers, 'c', true, 560_000)).toBe(6);
    expect(findOrder(servers, 'c', true, 5_000_000)).toBe(7);
  });
});

describe('order tracker', () => {
  test('an accepted order is not sent again, and one without stock only after a delay', () => {
    const tracker = Routing.createOrderTracker();
    const order = {
      count: 4, dataCentre: 'a', isReclaimable: true, service: 'chat',
    };
    tracker.recordAnswer(order, 'unavailable', 0);
    expect(tracker.selectDue([order], 100)).toEqual([]);
    expect(tracker.selectDue([order], Routing.STOCK_RETRY_MS)).toEqual([order]);
    tracker.recordAnswer(order, 'accepted', 3_000);
    expect(tracker.selectDue([order], 10_000)).toEqual([]);
    expect(tracker.selectDue([{ ...order, count: 3 }], 10_000)).toHaveLength(1);
  });
});
