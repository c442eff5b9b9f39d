import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import {
  afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import * as FakeDuties from '../support/FakeDuties.js';
import * as Routing from '../../index.js';

const LEASE_MS = 3_000;
const WINDOW_MS = 5_000;

/** Time after the end of a window by which it must be reported. */
const REPORT_DUE_MS = 10_000;

interface Fleet {
  readonly platform: FakeDuties.FakePlatform;
  readonly dutyLog: FakeDuties.FakeLog;
  readonly countsLog: FakeDuties.FakeLog;
  readonly usageCounters: readonly Routing.UsageCounter[];
  readonly runners: readonly Routing.DutyRunner[];
  /** Newest assignment of relays that each daemon received. */
  readonly assignments: ReadonlyMap<string, Routing.RelayAssignment>;
  /** Stops a daemon without releasing its lease. */
  readonly kill: (index: number) => void;
}

function startFleet(
  count: number,
  chooseFault: (daemonId: string, call: string) => FakeDuties.Fault = () => 'none',
  logs: Pick<Fleet, 'countsLog' | 'dutyLog'> = {
    countsLog: FakeDuties.createFakeLog(chooseFault),
    dutyLog: FakeDuties.createFakeLog(chooseFault),
  },
): Fleet {
  const { countsLog, dutyLog } = logs;
  const platform = FakeDuties.createFakePlatform(() => performance.now());
  const assignments = new Map<string, Routing.RelayAssignment>();
  const daemons = Array.from({ length: count }, (_, index) => {
    const daemonId = `vm-${index}`;
    const usageCounter = Routing.createUsageCounter(WINDOW_MS);
    const runner = Routing.startDuties({
      usageCounter,
      calls: platform.connect(daemonId),
      clock: Core.systemClock,
      cores: 1,
      sendInterimCounts: () => undefined,
      countsLog: countsLog.connect(daemonId),
      daemonId,
      dataCentre: 'a',
      dutyLog: dutyLog.connect(daemonId),
      handOver: async (records) => Either.isRight(await Effect.runPromise(
        Effect.either(countsLog.connect(daemonId).append(records)),
      )),
      leaseMs: LEASE_MS,
      listServers: () => [],
      listServices: () => [],
      logger: Core.createLogger('silent', {}),
      onOrderAnswered: () => undefined,
      onRelaysChanged: (relays) => {
        assignments.set(daemonId, relays);
      },
      peerAddress: `10.0.0.${index}:7340`,
      region: undefined,
      regionDataCentres: ['a'],
      random: () => index / count,
      trueTime: Routing.createTrueTime(() => Routing.readClocks(Core.systemClock)),
      usageDueMs: REPORT_DUE_MS,
      usageErrorShare: 0.05,
      windowMs: WINDOW_MS,
    });
    return { usageCounter, runner };
  });
  return {
    usageCounters: daemons.map(({ usageCounter }) => usageCounter),
    runners: daemons.map(({ runner }) => runner),
    kill: (index) => {
      daemons[index]?.runner.stop();
    },
    platform,
    assignments,
    countsLog,
    dutyLog,
  };
}

const listReports = ({ platform }: Fleet): readonly FakeDuties.ReceivedCall[] => (
  platform.seen.filter(({ window }) => window !== undefined)
);

/** Checks that each window has one set of counts and each fencing token one holder. */
function checkInvariants(fleet: Fleet): void {
  const countsByWindow = new Map<number, Set<string>>();
  listReports(fleet).forEach(({ counts, window }) => {
    countsByWindow.set(
      window as number,
      (countsByWindow.get(window as number) ?? new Set()).add(counts),
    );
  });
  countsByWindow.forEach((counts) => expect(counts.size).toBe(1));
  const holdersByFence = new Map<number, Set<string>>();
  fleet.platform.seen.forEach(({ fence, holder }) => {
    holdersByFence.set(fence, (holdersByFence.get(fence) ?? new Set()).add(holder));
  });
  holdersByFence.forEach((holders) => expect(holders.size).toBe(1));
}

describe('duty runners of a fleet', () => {
  let fleet: Fleet | undefined;
  beforeEach(() => {
    vi.useFakeTimers({
      now: 1_000_000_000_000,
      toFake: ['Date', 'clearTimeout', 'performance', 'setTimeout'],
    });
  });
  afterEach(async () => {
    fleet?.runners.forEach((runner) => runner.stop());
    await vi.advanceTimersByTimeAsync(5_000);
    vi.useRealTimers();
  });

  const addRequests = (usageCounters: readonly Routing.UsageCounter[]): void => {
    usageCounters.forEach((usageCounter) => usageCounter.addStart('shop', Date.now()));
  };

  // Until relays are assigned, every daemon of the fleet reads the store itself.
  test('relays are assigned within three seconds after a large fleet starts', async () => {
    fleet = startFleet(40);
    await vi.advanceTimersByTimeAsync(3_000);
    const [assignment] = fleet.assignments.values();
    expect(assignment?.a).toHaveLength(3);
    expect(fleet.assignments.size).toBeGreaterThan(30);
  });

  // Guards against sealing one window per step: an outage of the store may begin before the last.
  test('all due windows are sealed and reported in one step', async () => {
    const startMs = performance.now();
    let isPartitioned = false;
    let outageMs = Infinity;
    fleet = startFleet(2, (daemonId) => {
      const isStoreDown = performance.now() - startMs >= outageMs;
      return isStoreDown || (isPartitioned && daemonId === 'vm-1') ? 'refusal' : 'none';
    });
    const { usageCounters } = fleet;
    addRequests(usageCounters);
    await vi.advanceTimersByTimeAsync(7_000);
    isPartitioned = true;
    addRequests(usageCounters);
    await vi.advanceTimersByTimeAsync(5_000);
    addRequests(usageCounters);
    await vi.advanceTimersByTimeAsync(4_000);
    expect(listReports(fleet)).toHaveLength(1);
    isPartitioned = false;
    await vi.waitFor(async () => {
      await vi.advanceTimersByTimeAsync(10);
      expect(listReports(fleet as Fleet).length).toBeGreaterThan(1);
    }, { interval: 0, timeout: 10_000 });
    outageMs = performance.now() - startMs + 100;
    await vi.advanceTimersByTimeAsync(5_000);
    expect(listReports(fleet).map(({ counts }) => counts)).toEqual(Array(3).fill('{"shop":2}'));
  });

  test('each window is reported once, with the requests of all daemons', async () => {
    fleet = startFleet(4);
    addRequests(fleet.usageCounters);
    await vi.advanceTimersByTimeAsync(12_000);
    const reports = listReports(fleet);
    expect(reports.map(({ counts }) => counts)).toEqual(['{"shop":4}']);
    expect(new Set(reports.map(({ holder }) => holder)).size).toBe(1);
  });

  test('every daemon receives the relays even if there were no requests', async () => {
    fleet = startFleet(6);
    await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
    const relays = [...fleet.assignments.values()].map((assignment) => assignment.a?.length);
    expect(relays).toEqual([2, 2, 2, 2, 2, 2]);
  });

  test('another daemon takes over in time for the report if the holder is killed', async () => {
    fleet = startFleet(4);
    await vi.advanceTimersByTimeAsync(6_000);
    const first = fleet.runners[0]?.getHolder();
    const index = Number(first?.slice('vm-'.length));
    fleet.kill(index);
    addRequests(fleet.usageCounters.filter((_, each) => each !== index));
    await vi.advanceTimersByTimeAsync(WINDOW_MS + 10_000);
    const reports = listReports(fleet);
    expect(reports.at(-1)?.counts).toBe('{"shop":3}');
    expect(reports.at(-1)?.holder).not.toBe(first);
    checkInvariants(fleet);
  });

  test('a window is reported in time if the holder of a large fleet loses the store', async () => {
    let partitionedDaemon: string | undefined;
    fleet = startFleet(88, (daemonId) => (daemonId === partitionedDaemon ? 'refusal' : 'none'));
    await vi.advanceTimersByTimeAsync(4 * WINDOW_MS);
    addRequests(fleet.usageCounters);
    const window = Math.floor(Date.now() / WINDOW_MS);
    const endMs = (window + 1) * WINDOW_MS;
    await vi.advanceTimersByTimeAsync(endMs + 500 - Date.now());
    partitionedDaemon = fleet.runners[0]?.getHolder();
    await vi.advanceTimersByTimeAsync(endMs + REPORT_DUE_MS - Date.now());
    expect(listReports(fleet).filter((report) => report.window === window).length).toBe(1);
    checkInvariants(fleet);
  });

  test('a window waits for counts of a daemon that could not reach the store', async () => {
    let isPartitioned = false;
    fleet = startFleet(6, (daemonId) => (
      isPartitioned && daemonId === 'vm-5' ? 'refusal' : 'none'
    ));
    addRequests(fleet.usageCounters);
    await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
    expect(fleet.runners[0]?.getHolder()).not.toBe('vm-5');
    isPartitioned = true;
    addRequests(fleet.usageCounters);
    const window = Math.floor(Date.now() / WINDOW_MS);
    const endMs = (window + 1) * WINDOW_MS;
    await vi.advanceTimersByTimeAsync(endMs + 6_000 - Date.now());
    isPartitioned = false;
    await vi.advanceTimersByTimeAsync(endMs + REPORT_DUE_MS - Date.now());
    const reports = listReports(fleet).filter((report) => report.window === window);
    expect(reports.map(({ counts }) => counts)).toEqual(['{"shop":6}']);
  });

  test('a window is reported in time without the counts of a lost daemon', async () => {
    let isPartitioned = false;
    fleet = startFleet(6, (daemonId) => (
      isPartitioned && daemonId === 'vm-5' ? 'refusal' : 'none'
    ));
    addRequests(fleet.usageCounters);
    await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
    isPartitioned = true;
    addRequests(fleet.usageCounters);
    const window = Math.floor(Date.now() / WINDOW_MS);
    await vi.advanceTimersByTimeAsync((window + 1) * WINDOW_MS + REPORT_DUE_MS - Date.now());
    const reports = listReports(fleet).filter((report) => report.window === window);
    expect(reports.map(({ counts }) => counts)).toEqual(['{"shop":5}']);
  });

  test('a daemon that resigns releases the lease before its term ends', async () => {
    fleet = startFleet(3);
    await vi.advanceTimersByTimeAsync(6_000);
    const first = fleet.runners[0]?.getHolder();
    await fleet.runners[Number(first?.slice('vm-'.length))]?.resign();
    await vi.advanceTimersByTimeAsync(3_000);
    expect(fleet.runners.every((runner) => runner.getHolder() !== first)).toBe(true);
  });

  test.each([1, 2, 3, 4, 5, 6, 7, 8])(
    'lost answers, refused calls and delayed appends never cause differing reports (seed %i)',
    async (seed) => {
      let state = seed;
      const faults: readonly FakeDuties.Fault[] = [
        'none', 'none', 'none', 'lost-answer', 'refusal', 'delay',
      ];
      fleet = startFleet(4, () => {
        // A linear congruential generator, so that a seed always gives the same faults.
        state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
        return faults[Math.floor((state / 2_147_483_648) * faults.length)] ?? 'none';
      });
      const { usageCounters } = fleet;
      const rounds = Array.from({ length: 30 }, () => async () => {
        addRequests(usageCounters);
        await vi.advanceTimersByTimeAsync(1_000);
      });
      await rounds.reduce((previousRound, round) => previousRound.then(round), Promise.resolve());
      checkInvariants(fleet);
      expect(listReports(fleet).length).toBeGreaterThan(2);
    },
  );

  describe('whose log returns from an older copy', () => {
    let isDown = false;
    beforeEach(() => {
      isDown = false;
    });

    const startFleetWithOutages = (count: number): Fleet => (
      startFleet(count, () => (isDown ? 'refusal' : 'none'))
    );
    const getHolderIndex = ({ runners }: Fleet): number => (
      Number(runners[0]?.getHolder()?.slice('vm-'.length))
    );
    /** Makes the logs unavailable, and lets them return as they were at some lengths. */
    const restoreLogs = async (
      { countsLog, dutyLog }: Fleet,
      lengths: { readonly counts: number; readonly duties: number },
      outageMs: number,
    ): Promise<void> => {
      isDown = true;
      await vi.advanceTimersByTimeAsync(outageMs);
      dutyLog.restore(lengths.duties);
      countsLog.restore(lengths.counts);
      isDown = false;
    };
    const getLengths = ({ countsLog, dutyLog }: Fleet) => (
      { counts: countsLog.records.length, duties: dutyLog.records.length }
    );
    const listFences = ({ platform }: Fleet): readonly number[] => (
      platform.seen.map(({ fence }) => fence)
    );

    // Guards against a claim whose offset, and so its fencing token, an earlier claim had.
    test('no two holders have the same fencing token, and tokens never decrease', async () => {
      fleet = startFleetWithOutages(4);
      addRequests(fleet.usageCounters);
      const lengths = { counts: 0, duties: 0 };
      await vi.advanceTimersByTimeAsync(7_500);
      const first = getHolderIndex(fleet);
      fleet.kill(first);
      await restoreLogs(fleet, lengths, 6_000);
      const survivors = fleet.usageCounters.filter((_, index) => index !== first);
      await vi.advanceTimersByTimeAsync(6_000);
      addRequests(survivors);
      await vi.advanceTimersByTimeAsync(WINDOW_MS + REPORT_DUE_MS);
      const fences = listFences(fleet);
      expect(fences.length).toBeGreaterThan(1);
      expect(fences).toEqual([...fences].sort((a, b) => a - b));
      expect(new Set(listReports(fleet).map(({ holder }) => holder)).size).toBe(2);
      checkInvariants(fleet);
    });

    // Guards against a window that the next holder seals again, with the counts that are left.
    test('no window is reported with two sets of counts', async () => {
      fleet = startFleetWithOutages(4);
      addRequests(fleet.usageCounters);
      const window = Math.floor(Date.now() / WINDOW_MS);
      const duties = fleet.dutyLog.records.length;
      await vi.advanceTimersByTimeAsync((window + 1) * WINDOW_MS + 1_950 - Date.now());
      expect(listReports(fleet)).toMatchObject([{ counts: '{"shop":4}', window }]);
      fleet.kill(getHolderIndex(fleet));
      // Two of the four counts of the window are left.
      const counts = fleet.countsLog.records.length - 2;
      await restoreLogs(fleet, { counts, duties }, 500);
      addRequests(fleet.usageCounters);
      await vi.advanceTimersByTimeAsync(4 * WINDOW_MS);
      expect(listReports(fleet).length).toBeGreaterThan(1);
      checkInvariants(fleet);
    });

    // Guards against a daemon that starts after the return, knows no seal and seals it once more.
    test('no later holder seals a window that was sealed before the return', async () => {
      fleet = startFleetWithOutages(4);
      addRequests(fleet.usageCounters);
      const window = Math.floor(Date.now() / WINDOW_MS);
      await vi.advanceTimersByTimeAsync((window + 1) * WINDOW_MS + 1_950 - Date.now());
      expect(listReports(fleet)).toHaveLength(1);
      await restoreLogs(fleet, { counts: 0, duties: 0 }, 500);
      await vi.advanceTimersByTimeAsync(1_500);
      const records = fleet.dutyLog.records as readonly Routing.DutyRecord[];
      const state = records.reduce(
        (previous, record, offset) => Routing.applyDutyRecord(
          previous,
          Routing.createPosition(1, offset),
          record,
          Routing.readClocks(Core.systemClock),
        ),
        Routing.INITIAL_DUTY_STATE,
      );
      expect(state.seals.has(window)).toBe(false);
      expect(state.sealFrom).toBe(window + 1);
    });

    test('a daemon that starts after the return seals no window of before', async () => {
      fleet = startFleetWithOutages(2);
      addRequests(fleet.usageCounters);
      const window = Math.floor(Date.now() / WINDOW_MS);
      await vi.advanceTimersByTimeAsync((window + 1) * WINDOW_MS + 1_950 - Date.now());
      expect(listReports(fleet)).toHaveLength(1);
      fleet.kill(0);
      fleet.kill(1);
      const counts = fleet.countsLog.records.length - 1;
      await restoreLogs(fleet, { counts, duties: 1 }, 500);
      const restarted = startFleet(2, () => 'none', fleet);
      await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
      addRequests(restarted.usageCounters);
      await vi.advanceTimersByTimeAsync(WINDOW_MS + REPORT_DUE_MS);
      restarted.runners.forEach((runner) => runner.stop());
      const windows = listReports(restarted).map((report) => report.window);
      expect(windows.length).toBeGreaterThan(0);
      expect(Math.min(...windows as number[])).toBeGreaterThan(window);
    });

    // Guards against a fleet without a holder for a term after each return of the store.
    test('the holder goes on after a short outage, with a new fencing token', async () => {
      fleet = startFleetWithOutages(4);
      await vi.advanceTimersByTimeAsync(6_000);
      const lengths = getLengths(fleet);
      const first = fleet.runners[0]?.getHolder();
      addRequests(fleet.usageCounters);
      await vi.advanceTimersByTimeAsync(2_500);
      await restoreLogs(fleet, lengths, 1_000);
      await vi.advanceTimersByTimeAsync(1_000);
      const claims = fleet.dutyLog.records.slice(lengths.duties)
        .filter((record) => (record as Routing.DutyRecord).kind === 'claim');
      expect(claims).toMatchObject([{ holder: first }]);
      await vi.advanceTimersByTimeAsync(3_000);
      expect(fleet.runners.map((runner) => runner.getHolder())).toEqual(Array(4).fill(first));
    });
  });
});
