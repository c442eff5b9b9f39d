import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Testkit from '@berylyoke/testkit';
import * as Effect from 'effect/Effect';
import * as Vitest from 'vitest';
import * as Duties from '../../index.js';

const {
  afterEach, describe, expect, test,
} = Vitest;

// Long enough to survive the delays of a loaded machine, except in tests of the end of a lease.
const TIMING = {
  ...Duties.buildLeaseTiming(6_000, 1_000, 500), maxClaimJitterMs: 0, maxPauseMs: 60_000,
};
const TARGET: Duties.OrderTarget = {
  order: {
    action: 'start', count: 1, dataCentre: 'dc1', kind: 'cheap', model: 'm1',
  },
  to: 'ordering',
};

let cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.reverse().map((close) => close()));
  cleanups = [];
});

function waitFor(condition: () => void): Promise<void> {
  return Vitest.vi.waitFor(condition, { interval: 5, timeout: 50_000 });
}

async function startPlatform() {
  const log = await Testkit.startFakeLog();
  const ordering = await Testkit.startFakeOrdering();
  cleanups.push(log.close, ordering.close);
  return { log, ordering };
}

function openDaemon(
  { log, ordering }: Awaited<ReturnType<typeof startPlatform>>,
  daemonId: string,
  timing = TIMING,
) {
  const client = Log.createLogClient(
    Log.createHttpLog(log.url),
    { daemonId, incarnation: '1-a' },
    Core.systemClock,
    { readWaitMs: 50 },
  );
  const lease = Duties.createLeaseService({
    clock: Core.systemClock, lease: 'ordering', log: client, timing,
  });
  const orders = Duties.createOrderService({
    engines: Duties.createHttpEngineOrders(),
    lease,
    log: client,
    orderDeadlineMs: timing.orderDeadlineMs,
    ordering: Duties.createHttpOrdering(ordering.url),
  });
  const close = (): void => {
    orders.close();
    lease.close();
    client.close();
  };
  cleanups.push(close);
  return { close, lease, orders };
}

function listKinds(log: Testkit.FakeLog): readonly string[] {
  return log.listEntries('duties').flatMap(({ records }) => records.map(({ kind }) => kind));
}

function waitForLease({ lease }: ReturnType<typeof openDaemon>): Promise<void> {
  return waitFor(() => expect(lease.getAuthority()).toBeDefined());
}

describe('orders', () => {
  test('are sent after their intent is in the log and closed by an outcome', async () => {
    const platform = await startPlatform();
    const daemon = openDaemon(platform, 'd1');
    await waitForLease(daemon);
    const orderId = await Effect.runPromise(daemon.orders.sendOrder(TARGET));
    expect(platform.ordering.listAcceptedOrders()).toMatchObject([
      { fence: daemon.lease.getAuthority()?.fence, orderId, sender: 'd1/1-a' },
    ]);
    await waitFor(() => expect(daemon.orders.listOpenOrders()).toEqual([]));
    expect(listKinds(platform.log).filter((kind) => kind.startsWith('order')))
      .toEqual(['order.intent', 'order.outcome']);
  });

  test('are not sent by a process that does not hold the lease', async () => {
    const platform = await startPlatform();
    const holder = openDaemon(platform, 'd1');
    await waitForLease(holder);
    const other = openDaemon(platform, 'd2');
    expect(await Effect.runPromise(Effect.flip(other.orders.sendOrder(TARGET))))
      .toMatchObject({ _tag: 'OrderError', reason: 'not-holder' });
    expect(platform.ordering.listAcceptedOrders()).toEqual([]);
  });

  test('take effect once when the answer is lost', async () => {
    const platform = await startPlatform();
    const daemon = openDaemon(platform, 'd1');
    await waitForLease(daemon);
    platform.ordering.faults.set([{
      count: 1, delayMs: 0, kind: 'lost-answer', operation: 'order',
    }]);
    const orderId = await Effect.runPromise(daemon.orders.sendOrder(TARGET));
    expect(platform.ordering.listAcceptedOrders().map((order) => order.orderId)).toEqual([orderId]);
    expect(platform.ordering.countRequests('order')).toBe(1);
    expect(platform.ordering.countRequests('state')).toBe(1);
  });

  test('are sent again under the same id when the receiver does not have them', async () => {
    const platform = await startPlatform();
    const daemon = openDaemon(platform, 'd1');
    await waitForLease(daemon);
    platform.ordering.faults.set([{
      count: 1, delayMs: 0, kind: 'silence', operation: 'order',
    }]);
    const orderId = await Effect.runPromise(daemon.orders.sendOrder(TARGET));
    expect(platform.ordering.listAcceptedOrders().map((order) => order.orderId)).toEqual([orderId]);
    expect(platform.ordering.countRequests('order')).toBe(2);
  });

  test('left open by an earlier holder are resolved from the actual state first', async () => {
    const platform = await startPlatform();
    const first = openDaemon(platform, 'd1');
    await waitForLease(first);
    platform.ordering.faults.set([
      {
        count: 1, delayMs: 0, kind: 'lost-answer', operation: 'order',
      },
      {
        count: 1_000, delayMs: 0, kind: 'refusal', operation: 'state',
      },
    ]);
    const failure = Effect.flip(first.orders.sendOrder(TARGET));
    expect(await Effect.runPromise(failure)).toMatchObject({ reason: 'unknown' });
    first.close();
    const second = openDaemon(platform, 'd2');
    await waitForLease(second);
    expect(await Effect.runPromise(Effect.flip(second.orders.sendOrder(TARGET))))
      .toMatchObject({ reason: 'recovering' });
    platform.ordering.faults.set([]);
    await waitFor(() => expect(second.orders.listOpenOrders()).toEqual([]));
    await Effect.runPromise(second.orders.sendOrder(TARGET));
    expect(platform.ordering.listAcceptedOrders()).toHaveLength(2);
    const statuses = platform.log.listEntries('duties').flatMap(({ records }) => records)
      .filter(({ kind }) => kind === 'order.outcome')
      .map(({ body }) => (body as Duties.OrderOutcome).status);
    expect(statuses).toEqual(['accepted', 'accepted']);
  });
});

describe('an order to an engine', () => {
  test('that is left open blocks only orders to that engine', async () => {
    const platform = await startPlatform();
    const engine = await Testkit.startFakeOrdering();
    cleanups.push(engine.close);
    const daemon = openDaemon(platform, 'd1');
    await waitForLease(daemon);
    const target: Duties.OrderTarget = {
      engineUrl: engine.url, order: { action: 'load-model', value: 'm1' }, to: 'engine',
    };
    engine.faults.set([
      {
        count: 1, delayMs: 0, kind: 'lost-answer', operation: 'order',
      },
      {
        count: 1_000, delayMs: 0, kind: 'refusal', operation: 'state',
      },
    ]);
    expect(await Effect.runPromise(Effect.flip(daemon.orders.sendOrder(target))))
      .toMatchObject({ reason: 'unknown' });
    expect(await Effect.runPromise(Effect.flip(daemon.orders.sendOrder(target))))
      .toMatchObject({ reason: 'recovering' });
    await Effect.runPromise(daemon.orders.sendOrder(TARGET));
    engine.faults.set([]);
    await waitFor(() => expect(daemon.orders.listOpenOrders()).toEqual([]));
    await Effect.runPromise(daemon.orders.sendOrder(target));
    expect(engine.listAcceptedOrders()).toHaveLength(2);
  });
});

describe('a lease', () => {
  test('ends during an outage of the log and is acquired again after it', async () => {
    const platform = await startPlatform();
    const daemon = openDaemon(platform, 'd1', Duties.buildLeaseTiming(600, 50, 400));
    await waitForLease(daemon);
    platform.log.faults.set(['append', 'read'].map((operation) => ({
      count: 1_000_000, delayMs: 0, kind: 'refusal' as const, operation,
    })));
    await waitFor(() => expect(daemon.lease.getAuthority()).toBeUndefined());
    expect(await Effect.runPromise(Effect.flip(daemon.orders.sendOrder(TARGET))))
      .toMatchObject({ reason: 'not-holder' });
    platform.log.faults.set([]);
    await waitForLease(daemon);
  });
});
