import {
  beforeEach, describe, expect, test,
} from 'vitest';
import * as Routing from '../../index.js';

function createServer(id: string, state: 'draining' | 'ready' = 'ready'): Routing.BackendServer {
  return {
    bornMs: 0,
    dataCentre: 'a',
    host: '10.0.0.1',
    id,
    isReclaimable: false,
    port: 80,
    service: 'chat',
    slots: 4,
    state,
    version: 'v1',
  };
}

describe('table of servers', () => {
  let table: Routing.ServerTable;
  const listIds = (nowMs: number): string[] => (
    table.listServing('chat', nowMs).map(({ id }) => id)
  );
  beforeEach(() => {
    table = Routing.createServerTable();
    table.observeRead(0);
    table.applyEntry('s1', createServer('s1'), 0);
  });

  test('a server that is draining or removed gets no new requests', () => {
    table.applyEntry('s2', createServer('s2'), 0);
    table.applyEntry('s1', createServer('s1', 'draining'), 100);
    table.applyEntry('s2', undefined, 100);
    expect(listIds(100)).toEqual([]);
  });

  test('a long gap between successful reads is no outage: a removed server is not retained', () => {
    table.observeRead(3_000);
    table.applyEntry('s1', undefined, 3_000);
    expect(listIds(3_000)).toEqual([]);
  });

  test('an entry that expired during an outage of the store is retained for two seconds', () => {
    table.observeReadFailure();
    table.observeRead(8_000);
    table.applyEntry('s1', undefined, 8_000);
    expect(listIds(9_900)).toEqual(['s1']);
    expect(listIds(10_000)).toEqual([]);
  });

  describe('after the store returned from an older copy', () => {
    // Guards against requests to a leaving server that is ready again in the copy.
    test('a draining server gets no requests, also if the copy has it as ready', () => {
      table.applyEntry('s1', createServer('s1', 'draining'), 100);
      table.applyRestored([createServer('s1')], 200);
      expect(listIds(200)).toEqual([]);
      expect(listIds(9_000)).toEqual([]);
    });

    // Guards against requests to a server that has left, whose address may be another one's.
    test('a removed server is not back, but a restarted one with its id is', () => {
      table.applyEntry('s1', undefined, 100);
      table.applyRestored([createServer('s1')], 200);
      expect(listIds(200)).toEqual([]);
      table.applyRestored([{ ...createServer('s1'), bornMs: 7 }], 300);
      expect(listIds(300)).toEqual(['s1']);
    });

    test('a removed server that writes its entry again is back', () => {
      table.applyEntry('s1', undefined, 100);
      table.applyRestored([createServer('s1')], 200);
      table.applyEntry('s1', createServer('s1'), 300);
      expect(listIds(300)).toEqual(['s1']);
    });

    // Guards against a service without servers until they have written their entries again.
    test('a server that the copy does not have yet is retained for two seconds', () => {
      table.applyRestored([], 1_000);
      expect(listIds(2_900)).toEqual(['s1']);
      expect(listIds(3_000)).toEqual([]);
    });
  });

  test('a retained entry that is renewed in time stays', () => {
    table.observeReadFailure();
    table.observeRead(8_000);
    table.applyEntry('s1', undefined, 8_000);
    table.applyEntry('s1', createServer('s1'), 8_500);
    expect(listIds(12_000)).toEqual(['s1']);
  });

  test('a draining server whose entry expired during an outage is not retained', () => {
    table.applyEntry('s1', createServer('s1', 'draining'), 100);
    table.observeReadFailure();
    table.observeRead(8_000);
    table.applyEntry('s1', undefined, 8_000);
    expect(listIds(8_100)).toEqual([]);
  });

  test('a snapshot replaces all entries', () => {
    table.observeRead(500);
    table.applySnapshot([createServer('s2')], 500);
    expect(listIds(500)).toEqual(['s2']);
  });

  // Guards against a stream whose beginning is taken for that of the only version listed now.
  describe('a service had only one version', () => {
    beforeEach(() => {
      table = Routing.createServerTable();
      table.applySnapshot([createServer('s1')], 100);
    });

    test('since the entries are followed', () => {
      expect(table.hadOnlyVersion('chat', 'v1', 100)).toBe(true);
      expect(table.hadOnlyVersion('chat', 'v1', 99)).toBe(false);
      expect(table.hadOnlyVersion('chat', 'v2', 100)).toBe(false);
    });

    test('unless another one is listed', () => {
      table.applyEntry('s2', { ...createServer('s2'), version: 'v2' }, 200);
      expect(table.hadOnlyVersion('chat', 'v1', 300)).toBe(false);
    });

    test('unless a server of another one has left or was replaced since', () => {
      table.applyEntry('s2', { ...createServer('s2'), version: 'v2' }, 200);
      table.applyRemoval('s2', 300);
      table.applyEntry('s3', { ...createServer('s3'), version: 'v3' }, 400);
      table.applyEntry('s3', createServer('s3'), 500);
      expect([300, 301, 500, 501].map((sinceMs) => table.hadOnlyVersion('chat', 'v1', sinceMs)))
        .toEqual([false, false, false, true]);
    });

    test('unless a server left that was never listed here', () => {
      table.applyRemoval('s9', 200);
      expect(table.hadOnlyVersion('chat', 'v1', 199)).toBe(false);
      expect(table.hadOnlyVersion('chat', 'v1', 200)).toBe(true);
    });

    test('unless the changes were lost', () => {
      table.applySnapshot([createServer('s1')], 200);
      expect(table.hadOnlyVersion('chat', 'v1', 199)).toBe(false);
      table.applyRestored([createServer('s1')], 300);
      expect(table.hadOnlyVersion('chat', 'v1', 299)).toBe(false);
      expect(table.hadOnlyVersion('chat', 'v1', 300)).toBe(true);
    });
  });
});
