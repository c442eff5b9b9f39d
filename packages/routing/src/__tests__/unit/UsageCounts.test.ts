import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const WINDOW_MS = 5_000;

describe('usage counts', () => {
  test('a request is counted in the window in which it started', () => {
    const usageCounter = Routing.createUsageCounter(WINDOW_MS);
    usageCounter.addStart('shop', 9_999);
    usageCounter.addStart('shop', 10_000);
    expect(usageCounter.listChanged().map(({ counts, window }) => [window, counts]))
      .toEqual([[1, { shop: 1 }], [2, { shop: 1 }]]);
  });

  test('counts that were handed over are listed again only when they have grown', () => {
    const usageCounter = Routing.createUsageCounter(WINDOW_MS);
    usageCounter.addStart('shop', 1_000);
    usageCounter.listChanged().forEach(usageCounter.recordHandOver);
    expect(usageCounter.listChanged()).toEqual([]);
    usageCounter.addStart('shop', 1_001);
    expect(usageCounter.listChanged()).toHaveLength(1);
  });

  test('counts whose log was lost are listed again', () => {
    const usageCounter = Routing.createUsageCounter(WINDOW_MS);
    usageCounter.addStart('shop', 1_000);
    usageCounter.listChanged().forEach(usageCounter.recordHandOver);
    usageCounter.resetHandOver();
    expect(usageCounter.listChanged()).toMatchObject([{ counts: { shop: 1 }, window: 0 }]);
  });

  test('demand is handed over even if no request could be served', () => {
    const usageCounter = Routing.createUsageCounter(WINDOW_MS);
    usageCounter.addDemand('chat', 17_000, 1_000);
    expect(usageCounter.listChanged())
      .toEqual([{ counts: {}, tokens: { chat: 17_000 }, window: 0 }]);
  });

  test('windows that began before the oldest counts after a gap are not complete', () => {
    const collection = Routing.createUsageCollection(WINDOW_MS);
    expect(collection.getCompleteFrom()).toBeUndefined();
    collection.observeGap(2 * WINDOW_MS + 1);
    expect(collection.getCompleteFrom()).toBe(3);
    collection.observeGap(2 * WINDOW_MS);
    expect(collection.getCompleteFrom()).toBe(3);
  });

  test('counts that arrive twice, late or from an earlier process are summed correctly', () => {
    const collection = Routing.createUsageCollection(WINDOW_MS);
    const create = (incarnation: string, shop: number): Routing.WindowCounts => ({
      address: '10.0.0.1:7340',
      cores: 1,
      counts: { shop },
      daemonId: 'a',
      dataCentre: 'z',
      incarnation,
      tokens: { chat: shop * 10 },
      window: 3,
    });
    collection.apply(create('1', 5));
    collection.apply(create('1', 8));
    collection.apply(create('1', 5));
    collection.apply(create('2', 2));
    expect(collection.sumWindow(3)).toEqual({ shop: 10 });
    expect(collection.sumTokens(3, 'chat')).toBe(100);
    expect(collection.countDaemons(3)).toBe(1);
    expect(collection.listMembers(3)).toEqual([
      {
        address: '10.0.0.1:7340', cores: 1, daemonId: 'a', dataCentre: 'z',
      },
    ]);
  });

  test('the missing share is that of daemons which counted in the three preceding windows', () => {
    const collection = Routing.createUsageCollection(WINDOW_MS);
    const add = (daemonId: string, window: number, shop: number): void => collection.apply({
      address: undefined,
      cores: 1,
      counts: { shop },
      daemonId,
      dataCentre: 'z',
      incarnation: 'i',
      tokens: {},
      window,
    });
    add('a', 6, 60);
    add('b', 6, 40);
    expect(collection.estimateMissingShare(6)).toBe(0);
    add('a', 7, 60);
    expect(collection.estimateMissingShare(7)).toBe(0.4);
    add('a', 8, 60);
    expect(collection.estimateMissingShare(8)).toBe(0.4);
    add('a', 10, 60);
    expect(collection.estimateMissingShare(10)).toBe(0);
  });
});
