import * as Testkit from '@berylyoke/testkit';
import * as Vitest from 'vitest';

const {
  afterEach, beforeEach, describe, expect, test, vi,
} = Vitest;

const ORDERS = 100;
const ATTEMPTS = 4;
const MANY = 1_000_000;
const WAIT = { interval: 50, timeout: 50_000 };

describe('orders with an idempotency key over two daemons', () => {
  let system: Testkit.DemoSystem;

  beforeEach(async () => {
    system = await Testkit.startDemoSystem({ engineCount: 1, port: 0 });
  });
  afterEach(() => system.stop());

  /** Sends an order; undefined when the connection broke. */
  const sendOrder = (
    orderId: string,
    entry: number,
    quantity = 1,
  ): Promise<Testkit.TextAnswer | undefined> => {
    const { entries, key, orderPath } = system.description;
    return Testkit.requestText(`${entries[entry]}${orderPath}`, {
      body: JSON.stringify({ orderId, quantity }),
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        'idempotency-key': orderId,
      },
      method: 'POST',
    }).catch(() => undefined);
  };
  const orderIds = Array.from({ length: ORDERS }, (_, index) => `order-${index}`);
  const sendAll = (): Promise<(Testkit.TextAnswer | undefined)[]> => Promise.all(
    orderIds.flatMap((orderId, index) => Array.from({ length: ATTEMPTS }, (_, attempt) => (
      sendOrder(orderId, (index + attempt) % 2)
    ))),
  );
  const countExecutions = (): number[] => orderIds.map(system.plainService.countExecutions);
  const repeatUntilAnswered = (orderId: string, entry: number): Promise<Testkit.TextAnswer> => (
    vi.waitUntil<Testkit.TextAnswer | undefined>(async () => {
      const found = await sendOrder(orderId, entry);
      return found?.status === 200 ? found : undefined;
    }, WAIT)
  );

  test('runs each of 100 orders sent four times once, and repeats get its answer', async () => {
    const answers = await sendAll();
    expect(countExecutions().every((count) => count <= 1)).toBe(true);
    // A claim that a busy machine reads back too late is refused as not run.
    expect(answers.every((found) => found?.status === 200 || found?.status === 409
      || found?.headers['x-berylyoke-outcome'] === 'not-run')).toBe(true);
    const repeats = await Promise.all(orderIds.map((orderId, index) => (
      repeatUntilAnswered(orderId, index % 2)
    )));
    expect(repeats.map(({ text }) => JSON.parse(text).executions)).toEqual(orderIds.map(() => 1));
    expect(repeats.map(({ text }) => JSON.parse(text).orderId)).toEqual(orderIds);
    expect(countExecutions()).toEqual(orderIds.map(() => 1));
    expect((await sendOrder('order-0', 0, 2))?.status).toBe(422);
  });

  test('runs each order once while the log loses, repeats and delays answers', async () => {
    system.log.faults.set([
      { count: 8, kind: 'lost-answer', operation: 'append' },
      { count: 4, kind: 'duplicate', operation: 'append' },
      { count: 4, kind: 'refusal', operation: 'append' },
      {
        count: 4, delayMs: 500, kind: 'delay', operation: 'append',
      },
      { count: 8, kind: 'lost-answer', operation: 'read' },
    ]);
    const answers = await sendAll();
    expect(countExecutions().every((count) => count <= 1)).toBe(true);
    const repeats = await Promise.all(orderIds.map((orderId, index) => (
      repeatUntilAnswered(orderId, index % 2)
    )));
    expect(repeats.map(({ text }) => JSON.parse(text).executions)).toEqual(orderIds.map(() => 1));
    expect(countExecutions()).toEqual(orderIds.map(() => 1));
    const refused = answers.filter((found) => found?.headers['x-berylyoke-outcome'] === 'not-run');
    expect(refused.every((found) => found?.headers['retry-after'] !== undefined)).toBe(true);
  });

  test('runs no order twice when a daemon is killed in the middle', async () => {
    system.plainService.faults.set([{
      count: MANY, delayMs: 200, kind: 'delay', operation: 'call',
    }]);
    const sending = sendAll();
    await vi.waitUntil(() => system.plainService.listSeen().length > ORDERS / 10, WAIT);
    system.daemons[0]?.kill('SIGKILL');
    await sending;
    system.plainService.faults.set([]);
    const repeats = await Promise.all(orderIds.map((orderId) => sendOrder(orderId, 1)));
    expect(repeats.every((found) => found !== undefined
      && [200, 409, 502].includes(found.status))).toBe(true);
    expect(countExecutions().every((count) => count <= 1)).toBe(true);
    const answered = orderIds.filter((_, index) => repeats[index]?.status === 200);
    expect(answered.map(system.plainService.countExecutions)).toEqual(answered.map(() => 1));
    // The daemon that is left goes on: which orders it had won before depends on the moment.
    const later = Array.from({ length: 10 }, (_, index) => `later-${index}`);
    await Promise.all(later.map((orderId) => repeatUntilAnswered(orderId, 1)));
    expect(later.map(system.plainService.countExecutions)).toEqual(later.map(() => 1));
  });

  test('refuses orders as not run in a log outage, with the time to come back', async () => {
    await repeatUntilAnswered('before', 0);
    system.log.faults.set(['append', 'read'].map((operation) => ({
      count: MANY, kind: 'refusal' as const, operation,
    })));
    const refused = await sendOrder('during', 0);
    expect(refused?.status).toBe(503);
    expect(refused?.headers['x-berylyoke-outcome']).toBe('not-run');
    expect(refused?.headers['retry-after']).toBeDefined();
    expect((await sendOrder('before', 0))?.status).toBe(200);
    expect(system.plainService.countExecutions('during')).toBe(0);
    system.log.faults.set([]);
    await repeatUntilAnswered('during', 0);
    expect(system.plainService.countExecutions('during')).toBe(1);
  });
});
