import * as Testkit from '@berylyoke/testkit';
import * as Usage from '@berylyoke/usage';
import * as Vitest from 'vitest';

const {
  describe, expect, test, vi,
} = Vitest;

const REQUESTS = 7;

describe('usage of two daemons', () => {
  test('is reported once, also after the reporting daemon was killed', async () => {
    const system = await Testkit.startDemoSystem({
      engineCount: 1,
      port: 0,
      settings: { timing: { heartbeat_ms: 200, usage_window_ms: 1_000 } },
    });
    const { entries, key, orderPath } = system.description;
    const sendOrders = async (entry: number): Promise<void> => {
      await Promise.all(Array.from({ length: REQUESTS }, (_, index) => (
        Testkit.requestText(`${entries[entry]}${orderPath}`, {
          body: JSON.stringify({ orderId: `o${entry}${index}` }),
          headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
          method: 'POST',
        })
      )));
    };
    const countReported = (): number => [
      ...new Map(system.usageReports.listReports().map((each) => [each.window, each])).values(),
    ].flatMap(({ figures }) => Object.values(figures))
      .reduce((sum, { requests }) => sum + requests, 0);
    const wait = { interval: 50, timeout: 50_000 };
    await Promise.all([sendOrders(0), sendOrders(1)]);
    await vi.waitUntil(() => countReported() === 2 * REQUESTS, wait);
    const holder = system.usageReports.listReports().at(-1)?.reporter === 'entry-1' ? 0 : 1;
    system.daemons[holder]?.kill('SIGKILL');
    await sendOrders(1 - holder);
    await vi.waitUntil(() => countReported() === 3 * REQUESTS, wait);
    expect(system.usageReports.listConflicts()).toEqual([]);
    await system.stop();
  }, 120_000);

  test('is completely in the log, including the last request, after a graceful stop', async () => {
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
      Usage.createUsageState({ allowedLateWindows: 10, windowMs: 60_000 }),
    );
    const total = [...state.windows].flatMap(([window]) => (
      Object.values(Usage.computeUnaccounted(state, window))
    ))
      .reduce((sum, { requests }) => sum + requests, 0);
    expect(total).toBe(REQUESTS);
    await system.stop();
  });
});
