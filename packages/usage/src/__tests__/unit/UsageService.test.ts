import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Testkit from '@berylyoke/testkit';
import * as Effect from 'effect/Effect';
import * as Vitest from 'vitest';
import * as UsageAmounts from '../../UsageAmounts.js';
import * as HttpUsageReports from '../../HttpUsageReports.js';
import type * as UsageReportPort from '../../UsageReportPort.js';
import * as UsageService from '../../UsageService.js';

const {
  afterEach, beforeEach, describe, expect, test, vi,
} = Vitest;

const HOUR_MS = 3_600_000;
const WINDOW_MS = 1_000;
const WAIT = { interval: 10, timeout: 30_000 };
const use: UsageAmounts.UsageAmounts = { inputTokens: 5, outputTokens: 7, requests: 1 };

describe('the usage service against the fakes', () => {
  let log: Testkit.FakeLog;
  let reports: Testkit.FakeUsageReports;
  let closes: (() => void)[];
  let wallMs: number;
  let holder: string | undefined;

  const startService = async (
    daemonId: string,
    flushIntervalMs = 50,
  ): Promise<UsageService.UsageService> => {
    const clock = { readMonotonic: () => performance.now(), readWall: () => wallMs };
    const writer = { daemonId, incarnation: Core.createIncarnation(clock) };
    const client = Log.createLogClient(Log.createHttpLog(log.url), writer, clock);
    const service = UsageService.createUsageService({
      clock,
      flushIntervalMs,
      getAuthority: () => (holder === daemonId ? { fence: 1, remainingMs: HOUR_MS } : undefined),
      graceMs: 0,
      limits: { allowedLateWindows: 10_000, windowMs: WINDOW_MS },
      log: client,
      readBackTimeoutMs: 5_000,
      reportIntervalMs: 20,
      reports: HttpUsageReports.createHttpUsageReports(reports.url, { answerTimeoutMs: 300 }),
    });
    closes.push(() => {
      service.close();
      client.close();
    });
    await vi.waitUntil(() => client.getStatus(Log.STREAMS.usage).caughtUp, WAIT);
    return service;
  };

  const sumReports = (): UsageAmounts.AccountUsage => {
    const windows = new Map(reports.listReports().map((report) => [report.window, report]));
    return [...windows.values()].reduce<UsageAmounts.AccountUsage>(
      (sum, { figures }) => UsageAmounts.sumFigures(sum, figures),
      {},
    );
  };
  const countRequests = (): number => sumReports().shop?.requests ?? 0;

  /** Waits while windows pass, since late counters are reported with a later window. */
  const waitForWindows = (check: () => boolean): Promise<boolean> => vi.waitUntil(() => {
    wallMs += WINDOW_MS / 4;
    return check();
  }, WAIT);

  beforeEach(async () => {
    [log, reports] = await Promise.all([
      Testkit.startFakeLog(), Testkit.startFakeUsageReports(),
    ]);
    closes = [];
    wallMs = Date.now() - HOUR_MS;
    holder = undefined;
  });

  afterEach(async () => {
    closes.forEach((close) => close());
    await Promise.all([log.close(), reports.close()]);
  });

  test('reports each count once over a change of reporter and lost answers', async () => {
    const services = await Promise.all(['d1', 'd2', 'd3'].map((id) => startService(id)));
    services.forEach((service) => service.record('shop', use));
    log.faults.set([{ count: 2, kind: 'lost-answer', operation: 'append' }]);
    reports.faults.set([
      { count: 1, kind: 'lost-answer', operation: 'report' },
      { count: 1, kind: 'silence', operation: 'report' },
      { count: 1, kind: 'refusal', operation: 'report' },
    ]);
    holder = 'd1';
    await waitForWindows(() => countRequests() === 3);
    holder = 'd2';
    services.forEach((service) => service.record('shop', use));
    await waitForWindows(() => countRequests() === 6);
    expect(sumReports()).toEqual({ shop: { inputTokens: 30, outputTokens: 42, requests: 6 } });
    expect(reports.listConflicts()).toEqual([]);
  });

  test('carries counters that come after the seal into a later window', async () => {
    const [reporter, late] = await Promise.all([
      startService('d1'), startService('d2', HOUR_MS),
    ]);
    late.record('shop', use);
    const counted = Math.floor(wallMs / WINDOW_MS) * WINDOW_MS;
    holder = 'd1';
    await waitForWindows(() => (reporter.getState().last?.window ?? 0) > counted);
    expect(countRequests()).toBe(0);
    await Effect.runPromise(late.flush());
    await waitForWindows(() => countRequests() > 0);
    const before = reports.listReports().length;
    await waitForWindows(() => reports.listReports().length > before + 1);
    expect(countRequests()).toBe(1);
  });

  test('counts what a crashed daemon had only told a peer, once', async () => {
    const [crashed, first, second] = await Promise.all([
      startService('d1'), startService('d2'), startService('d3'),
    ]);
    log.faults.set([{ count: 100_000, kind: 'refusal', operation: 'append' }]);
    crashed.record('shop', use);
    const source = { daemonId: 'd1', incarnation: '1-a' };
    const bytes = crashed.buildHeartbeat();
    const text = Buffer.from(bytes).toString('utf8')
      .replace(/"incarnation":"[^"]*"/g, '"incarnation":"1-a"');
    [first, second].forEach((peer) => peer.applyHeartbeat(source, Buffer.from(text)));
    closes.splice(0, 1).forEach((close) => close());
    [first, second].forEach((peer) => peer.applyLostPeer(source));
    log.faults.set([]);
    holder = 'd2';
    await waitForWindows(() => countRequests() > 0);
    const before = reports.listReports().length;
    await waitForWindows(() => reports.listReports().length > before + 1);
    expect(countRequests()).toBe(1);
  });

  test('writes nothing without the authority, or with too little of it left', async () => {
    const port = HttpUsageReports.createHttpUsageReports(reports.url, { answerTimeoutMs: 1_000 });
    const report = { figures: { shop: use }, reporter: 'd1', window: 0 };
    const authorities: readonly UsageReportPort.AuthoritySource[] = [
      () => undefined,
      () => ({ fence: 2, remainingMs: HOUR_MS }),
      () => ({ fence: 1, remainingMs: 999 }),
    ];
    const errors = await Promise.all(authorities.map((getAuthority) => (
      Effect.runPromise(Effect.flip(port.send(report, 1, getAuthority)))
    )));
    expect(errors.map(({ reason, sent }) => ({ reason, sent })))
      .toEqual(authorities.map(() => ({ reason: 'authority', sent: false })));
    expect(reports.listReports()).toEqual([]);
  });

  test('breaks the connection when the authority ends after the write', async () => {
    const port = HttpUsageReports.createHttpUsageReports(reports.url, { answerTimeoutMs: 30_000 });
    reports.faults.set([{ count: 1, kind: 'silence', operation: 'report' }]);
    let checks = 0;
    const error = await Effect.runPromise(Effect.flip(port.send(
      { figures: {}, reporter: 'd1', window: 0 },
      1,
      () => {
        checks += 1;
        return checks === 1 ? { fence: 1, remainingMs: HOUR_MS } : undefined;
      },
    )));
    expect(error).toMatchObject({ reason: 'authority', sent: true });
  });
});
