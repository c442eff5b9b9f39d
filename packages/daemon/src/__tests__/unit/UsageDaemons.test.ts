import * as Testkit from '@berylyoke/testkit';
import * as Usage from '@berylyoke/usage';
import * as Vitest from 'vitest';

const { describe, expect, test } = Vitest;

const REQUESTS = 7;

describe('usage of two daemons', () => {
  test('is in the log, with the last request, when a daemon has stopped gracefully', async () => {
    const system = await Testkit.startDemoSystem({ engineCount: 1, port: 0 });
    const { entries, key, orderPath } = system.description;
    await Promise.all(Array.from({ length: REQUESTS }, (_, index) => (
      Testkit.requestText(`${entries[index % 2]}${orderPath}`, {
        body: JSON.stringify({ orderId: `o${index}` }),
        headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
        method: 'POST',
      })
    )));
    const statuses = await Promise.all(system.daemons.map((daemon) => daemon.stop()));
    expect(statuses).toEqual([0, 0]);
    const state = system.log.listEntries('usage').reduce(
      Usage.reduceUsage,
      Usage.createUsageState({ lateWindows: 10, windowMs: 60_000 }),
    );
    const total = [...state.windows].flatMap(([, window]) => Object.values(window.total))
      .reduce((sum, { requests }) => sum + requests, 0);
    expect(total).toBe(REQUESTS);
    await system.stop();
  });
});
