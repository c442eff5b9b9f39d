import * as Testkit from '@berylyoke/testkit';
import * as Vitest from 'vitest';

const {
  afterEach, beforeEach, describe, expect, test, vi,
} = Vitest;

const ORDER_COUNT = 100;
const ATTEMPT_COUNT = 4;
const UNLIMITED_FAULT_COUNT = 1_000_000;
const WAIT_OPTIONS = { interval: 50, timeout: 50_000 };

describe('orders with an idempotency key, sent to two daemons', () => {
  let system: Testkit.DemoSystem;

  beforeEach(async () => {
    system = await Testkit.startDemoSystem({
      engineCount: 1, lists: Testkit.DEMO_LISTS_WITH_LONG_TARGETS, port: 0,
    });
  });
  afterEach(() => system.stop());

  /** Sends an order; undefined if the connection broke. */
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
  const orderIds = Array.from({ length: ORDER_COUNT }, (_, index) => `order-${index}`);
  const sendAll = (): Promise<(Testkit.TextAnswer | undefined)[]> => Promise.all(
    orderIds.flatMap((orderId, index) => Array.from({ length: ATTEMPT_COUNT }, (_, attempt) => (
      sendOrder(orderId, (index + attempt) % 2)
    ))),
  );
  const countExecutions = (): number[] => orderIds.map(system.plainService.countExecutions);
  const repeatUntilAnswered = (orderId: string, entry: number): Promise<Testkit.TextAnswer> => (
    vi.waitUntil<Testkit.TextAnswer | undefined>(async () => {
      const answer = await sendOrder(orderId, entry);
      return answer?.status === 200 ? answer : undefined;
    }, WAIT_OPTIONS)
  );

  test('each of 100 orders sent four times runs once, and repeats get its response', async () => {
    const answers = await sendAll();
    expect(countExecutions().every((count) => count <= 1)).toBe(true);
    // On a busy machine a claim may be read back too late; its call is then refused as not run.
    expect(answers.every((answer) => answer?.status === 200 || answer?.status === 409
      || answer?.headers['x-berylyoke-outcome'] === 'not-run')).toBe(true);
    const repeats = await Promise.all(orderIds.map((orderId, index) => (
      repeatUntilAnswered(orderId, index % 2)
    )));
    expect(repeats.map(({ text }) => JSON.parse(text).executions)).toEqual(orderIds.map(() => 1));
    expect(repeats.map(({ text }) => JSON.parse(text).orderId)).toEqual(orderIds);
    expect(countExecutions()).toEqual(orderIds.map(() => 1));
    expect((await sendOrder('order-0', 0, 2))?.status).toBe(422);
  });

  test('each order runs once while the log loses, duplicates and delays responses', async () => {
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
    const refused = answers
      .filter((answer) => answer?.headers['x-berylyoke-outcome'] === 'not-run');
    expect(refused.every((answer) => answer?.headers['retry-after'] !== undefined)).toBe(true);
  });

  test('no order runs twice when a daemon is killed while orders are in progress', async () => {
    system.plainService.faults.set([{
      count: UNLIMITED_FAULT_COUNT, delayMs: 200, kind: 'delay', operation: 'call',
    }]);
    const pendingAnswers = sendAll();
    await vi.waitUntil(
      () => system.plainService.listReceivedRequests().length > ORDER_COUNT / 10,
      WAIT_OPTIONS,
    );
    system.daemons[0]?.kill('SIGKILL');
    await pendingAnswers;
    system.plainService.faults.set([]);
    const repeats = await Promise.all(orderIds.map((orderId) => sendOrder(orderId, 1)));
    expect(repeats.every((answer) => answer !== undefined
      && [200, 409, 502].includes(answer.status))).toBe(true);
    expect(countExecutions().every((count) => count <= 1)).toBe(true);
    const answeredIds = orderIds.filter((_, index) => repeats[index]?.status === 200);
    expect(answeredIds.map(system.plainService.countExecutions)).toEqual(answeredIds.map(() => 1));
    // The remaining daemon still runs new orders. Which of the earlier orders it had claimed
    // depends on the time of the kill.
    const laterIds = Array.from({ length: 10 }, (_, index) => `later-${index}`);
    await Promise.all(laterIds.map((orderId) => repeatUntilAnswered(orderId, 1)));
    expect(laterIds.map(system.plainService.countExecutions)).toEqual(laterIds.map(() => 1));
  });

  test('orders are refused as not run during a log outage, with Retry-After', async () => {
    await repeatUntilAnswered('before', 0);
    system.log.faults.set(['append', 'read'].map((operation) => ({
      count: UNLIMITED_FAULT_COUNT, kind: 'refusal' as const, operation,
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
