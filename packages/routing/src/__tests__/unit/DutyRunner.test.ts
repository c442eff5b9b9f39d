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

/** Lists the seeds of random faults from `FIRST,COUNT`; `DUTY_SEEDS` replaces the usual ones. */
function listSeeds(usual: string): readonly number[] {
  const [first = 0, count = 0] = (process.env.DUTY_SEEDS ?? usual).split(',').map(Number);
  return Array.from({ length: count }, (_, index) => first + index);
}

/** Creates a linear congruential generator of numbers from 0 to below 1. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

/** Step of the time of day of a VM. */
const CLOCK_STEP_MS = 4_000;

/** Clock of a VM. While the VM is suspended, its monotonic clock stands still. */
interface SuspendableClock extends Core.Clock {
  readonly suspend: () => void;
  readonly resume: () => void;
}

function createSuspendableClock(): SuspendableClock {
  let suspendedAtMs: number | undefined;
  let suspendedMs = 0;
  return {
    readMonotonic: () => (suspendedAtMs ?? performance.now()) - suspendedMs,
    readWall: () => Date.now(),
    resume: () => {
      suspendedMs += performance.now() - (suspendedAtMs ?? performance.now());
      suspendedAtMs = undefined;
    },
    suspend: () => {
      suspendedAtMs ??= performance.now();
    },
  };
}

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
  platform = FakeDuties.createFakePlatform(() => performance.now()),
  getClock: (daemonId: string) => Core.Clock = () => Core.systemClock,
): Fleet {
  const { countsLog, dutyLog } = logs;
  const assignments = new Map<string, Routing.RelayAssignment>();
  const daemons = Array.from({ length: count }, (_, index) => {
    const daemonId = `vm-${index}`;
    const clock = getClock(daemonId);
    const usageCounter = Routing.createUsageCounter(WINDOW_MS);
    const runner = Routing.startDuties({
      usageCounter,
      calls: platform.connect(daemonId),
      clock,
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
      trueTime: Routing.createTrueTime(() => Routing.readClocks(clock)),
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

const getHolder = ({ runners }: Fleet): string => runners[0]?.getHolder() ?? 'none';

const getIndex = (daemonId: string): number => Number(daemonId.slice('vm-'.length));

const getHolderIndex = (fleet: Fleet): number => getIndex(getHolder(fleet));

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
  test.each([0, 900, 1_100])(
    'relays are assigned within three seconds after a large fleet starts, %i ms into a window',
    async (offsetMs) => {
      await vi.advanceTimersByTimeAsync(offsetMs);
      fleet = startFleet(40);
      await vi.advanceTimersByTimeAsync(3_000);
      const [assignment] = fleet.assignments.values();
      expect(assignment?.a).toHaveLength(3);
      expect(fleet.assignments.size).toBeGreaterThan(30);
    },
  );

  // Guards against first windows that are not reported because the store has returned before.
  test('a fleet that starts after a return of the store reports its first window', async () => {
    const countsLog = FakeDuties.createFakeLog(() => 'none');
    const dutyLog = FakeDuties.createFakeLog(() => 'none');
    [countsLog, dutyLog].forEach(({ restore }) => restore(0));
    await vi.advanceTimersByTimeAsync(2_000);
    fleet = startFleet(2, undefined, { countsLog, dutyLog });
    addRequests(fleet.usageCounters);
    await vi.advanceTimersByTimeAsync(REPORT_DUE_MS + 3_000);
    expect(listReports(fleet)).toMatchObject([{ counts: '{"shop":2}' }]);
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

  // Guards against a window that is sealed without the counts that follow in a later page.
  test('a window has the requests of all daemons if the counts are read in pages', async () => {
    const countsLog = FakeDuties.createFakeLog(() => 'none', 2);
    const dutyLog = FakeDuties.createFakeLog(() => 'none');
    fleet = startFleet(6, undefined, { countsLog, dutyLog });
    addRequests(fleet.usageCounters);
    await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
    expect(countsLog.records.length).toBeGreaterThan(6);
    expect(listReports(fleet).map(({ counts }) => counts)).toEqual(['{"shop":6}']);
  });

  // Guards against a daemon that takes the holder of an old page for the present one.
  test('a daemon that starts follows a duties log of several pages at once', async () => {
    const countsLog = FakeDuties.createFakeLog(() => 'none');
    const dutyLog = FakeDuties.createFakeLog(() => 'none', 2);
    fleet = startFleet(3, undefined, { countsLog, dutyLog });
    await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
    await fleet.runners[getHolderIndex(fleet)]?.resign();
    await vi.advanceTimersByTimeAsync(WINDOW_MS);
    const restarted = startFleet(1, () => 'none', fleet);
    await vi.advanceTimersByTimeAsync(500);
    restarted.runners.forEach((runner) => runner.stop());
    const newest = dutyLog.records.at(-1) as Routing.DutyRecord;
    expect(restarted.runners[0]?.getHolder()).toBe(newest.holder);
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
      const random = createRandom(seed);
      const faults: readonly FakeDuties.Fault[] = [
        'none', 'none', 'none', 'lost-answer', 'refusal', 'delay',
      ];
      fleet = startFleet(4, () => faults[Math.floor(random() * faults.length)] ?? 'none');
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

  describe('whose log deletes records before a daemon has read them', () => {
    /** Daemons that cannot reach the logs. */
    const partitioned = new Set<string>();
    beforeEach(() => partitioned.clear());

    const advanceTo = async (atMs: number): Promise<void> => {
      await vi.advanceTimersByTimeAsync(atMs - Date.now());
    };
    const deleteHistory = ({ countsLog, dutyLog }: Fleet): void => {
      countsLog.deleteHistory();
      dutyLog.deleteHistory();
    };
    /** Adds 99 requests to the holder and 1 to each other daemon. */
    const addUnevenRequests = (started: Fleet): void => {
      const holder = getHolderIndex(started);
      addRequests(started.usageCounters);
      Array.from({ length: 98 }).forEach(() => (
        addRequests(started.usageCounters.slice(holder, holder + 1))
      ));
    };

    /**
     * Starts two daemons and cuts the second one, which has few requests, off the logs; its VM may
     * be suspended meanwhile. The holder seals and reports a window without it, and then the logs
     * delete all records.
     */
    const startFleetWithGap = async ({ isSuspended = false } = {}): Promise<{
      readonly started: Fleet; readonly endMs: number; readonly window: number;
    }> => {
      const vmClock = createSuspendableClock();
      const started = startFleet(
        2,
        (daemonId) => (partitioned.has(daemonId) ? 'refusal' : 'none'),
        undefined,
        undefined,
        (daemonId) => (daemonId === 'vm-1' ? vmClock : Core.systemClock),
      );
      await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
      expect(getHolder(started)).not.toBe('vm-1');
      addUnevenRequests(started);
      const window = Math.floor(Date.now() / WINDOW_MS);
      const endMs = (window + 1) * WINDOW_MS;
      await advanceTo(endMs - 500);
      partitioned.add('vm-1');
      if (isSuspended) vmClock.suspend();
      await advanceTo(endMs + 3_000);
      expect(listReports(started)).toMatchObject([{ window }]);
      deleteHistory(started);
      vmClock.resume();
      return { endMs, started, window };
    };

    /** Ways in which the holder ends or loses the lease. */
    const HOLDER_ENDS = {
      'is cut off from the store for longer than its term': (started) => {
        partitioned.add(getHolder(started));
      },
      'is killed': (started) => started.kill(getHolderIndex(started)),
      'stops as planned': (started) => {
        const runner = started.runners[getHolderIndex(started)];
        return runner?.resign().then(runner.stop);
      },
    } as const satisfies Readonly<Record<string, (started: Fleet) => Promise<void> | void>>;

    // Guards against a daemon that takes a window for unsealed because its seal is in the gap, and
    // reports it again with the counts of a daemon that was cut off.
    test.each(Object.entries(HOLDER_ENDS))(
      'no window is reported with two sets of counts if the holder %s',
      async (_, endHolder) => {
        const { endMs, started } = await startFleetWithGap();
        fleet = started;
        await advanceTo(endMs + 4_000);
        partitioned.delete('vm-1');
        await advanceTo(endMs + 8_000);
        await endHolder(started);
        addRequests(started.usageCounters.slice(1));
        await advanceTo(endMs + 6 * WINDOW_MS);
        expect(listReports(started).map(({ holder }) => holder)).toContain('vm-1');
        checkInvariants(started);
      },
    );

    test.each([['once', 1], ['twice', 2]])(
      'no window is reported with two sets of counts if the holder ends in the gap (lost %s)',
      async (_, gaps) => {
        const { endMs, started } = await startFleetWithGap();
        fleet = started;
        started.kill(0);
        partitioned.delete('vm-1');
        await vi.advanceTimersByTimeAsync(1_700);
        // The counts that the other daemon handed over after the first gap are not lost.
        if (gaps === 2) started.dutyLog.deleteHistory();
        addRequests(started.usageCounters.slice(1));
        await advanceTo(endMs + 6 * WINDOW_MS);
        expect(listReports(started).map(({ holder }) => holder)).toContain('vm-1');
        checkInvariants(started);
      },
    );

    /** Lets the daemon that was cut off hand its counts over, and ends both after `delayMs`. */
    const endDaemons = async (started: Fleet, window: number, delayMs: number): Promise<void> => {
      partitioned.delete('vm-1');
      // The counts of the window that are handed over now would be all that a new seal has.
      await vi.advanceTimersByTimeAsync(delayMs);
      expect(started.countsLog.records.slice(-1)).toMatchObject([{ counts: { shop: 1 }, window }]);
      started.kill(0);
      started.kill(1);
    };

    test('a daemon that starts in the gap seals no window again', async () => {
      const { endMs, started, window } = await startFleetWithGap();
      fleet = started;
      await endDaemons(started, window, 1_700);
      const restarted = startFleet(2, () => 'none', started);
      await vi.advanceTimersByTimeAsync(WINDOW_MS);
      addRequests(restarted.usageCounters);
      await advanceTo(endMs + 7 * WINDOW_MS);
      restarted.runners.forEach((runner) => runner.stop());
      const windows = listReports(restarted).map((report) => report.window);
      expect(windows.length).toBeGreaterThan(0);
      expect(windows).not.toContain(window);
    });

    // Guards against a daemon that takes a sealed window for one that has not ended yet, because
    // its time of day is behind and it has read no record of another daemon.
    test('a daemon that starts in the gap with a late clock seals no window again', async () => {
      const { endMs, started, window } = await startFleetWithGap();
      fleet = started;
      await endDaemons(started, window, 1_300);
      const restarted = startFleet(2, () => 'none', started, started.platform, () => ({
        ...Core.systemClock, readWall: () => Date.now() - CLOCK_STEP_MS,
      }));
      await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
      addRequests(restarted.usageCounters);
      await advanceTo(endMs + 8 * WINDOW_MS);
      restarted.runners.forEach((runner) => runner.stop());
      expect(listReports(restarted).length).toBeGreaterThan(1);
      checkInvariants(restarted);
    });

    // Guards against a daemon that takes a sealed window for one that has not ended yet, because
    // its monotonic clock stood still while its VM was suspended.
    test('a daemon whose VM is suspended in the gap seals no window again', async () => {
      const { endMs, started } = await startFleetWithGap({ isSuspended: true });
      fleet = started;
      started.kill(0);
      partitioned.delete('vm-1');
      await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
      addRequests(started.usageCounters.slice(1));
      await advanceTo(endMs + 8 * WINDOW_MS);
      expect(listReports(started).map(({ holder }) => holder)).toContain('vm-1');
      checkInvariants(started);
    });

    // Guards against windows that nobody reports, although the holder states that it did not seal
    // them.
    test('a window that was open at the gap is reported by the next holder', async () => {
      const { endMs, started, window } = await startFleetWithGap();
      fleet = started;
      partitioned.delete('vm-1');
      addUnevenRequests(started);
      await advanceTo(endMs + WINDOW_MS - 200);
      partitioned.add('vm-1');
      await advanceTo(endMs + WINDOW_MS + 500);
      // The end of the next window is in a second gap, and its counts are complete after it.
      deleteHistory(started);
      partitioned.delete('vm-1');
      await advanceTo(endMs + WINDOW_MS + 1_400);
      started.kill(0);
      await advanceTo(endMs + 4 * WINDOW_MS);
      expect(listReports(started).map((report) => report.window)).toContain(window + 1);
      checkInvariants(started);
    });

    // Guards against a report of the counts that happen to be left, without those that were handed
    // over before the gap.
    test('counts that were deleted before the next holder read them are reported', async () => {
      fleet = startFleet(3);
      await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
      const window = Math.floor(Date.now() / WINDOW_MS);
      const endMs = (window + 1) * WINDOW_MS;
      addRequests(fleet.usageCounters);
      await advanceTo(endMs + 1_000);
      expect(fleet.countsLog.records.slice(-3)).toMatchObject(Array(3).fill({ window }));
      fleet.kill(getHolderIndex(fleet));
      deleteHistory(fleet);
      await advanceTo(endMs + REPORT_DUE_MS);
      // The requests of the daemon that was killed are lost with the log.
      expect(listReports(fleet)).toMatchObject([{ counts: '{"shop":2}', window }]);
    });

    // Guards against a claim while another daemon holds the lease, whose term is not known.
    test('a daemon that starts in the gap claims no lease within a term', async () => {
      fleet = startFleet(1, (daemonId) => (partitioned.has(daemonId) ? 'refusal' : 'none'));
      await vi.advanceTimersByTimeAsync(3 * WINDOW_MS);
      // The holder has just renewed and misses its next renewals.
      const { length } = fleet.dutyLog.records;
      await vi.waitFor(async () => {
        await vi.advanceTimersByTimeAsync(10);
        expect((fleet as Fleet).dutyLog.records.length).toBeGreaterThan(length);
      }, { interval: 0, timeout: 10_000 });
      partitioned.add('vm-0');
      fleet.dutyLog.deleteHistory();
      const records = fleet.dutyLog.records.length;
      const restarted = startFleet(2, () => 'none', fleet);
      await vi.advanceTimersByTimeAsync(LEASE_MS);
      expect(fleet.dutyLog.records).toHaveLength(records);
      await vi.advanceTimersByTimeAsync(2 * LEASE_MS);
      restarted.runners.forEach((runner) => runner.stop());
      expect(fleet.dutyLog.records.length).toBeGreaterThan(records);
    });

    // Guards against a daemon that finds the first record that is left deleted at each poll. It
    // shares the retry budget with too few daemons then, and cannot claim the lease.
    test('a daemon that starts while records expire follows the log', async () => {
      fleet = startFleet(3);
      const { countsLog, dutyLog } = fleet;
      await vi.advanceTimersByTimeAsync(3 * WINDOW_MS);
      const restarted = startFleet(2, () => 'none', fleet);
      const expireFor = async (rounds: number): Promise<void> => {
        if (rounds === 0) return;
        // Records are renewed less often than each second.
        dutyLog.deleteHistory(1);
        countsLog.deleteHistory(3);
        await vi.advanceTimersByTimeAsync(100);
        await expireFor(rounds - 1);
      };
      await expireFor(40);
      expect(restarted.runners.map((runner) => runner.countDaemons())).toEqual([3, 3]);
      expect(restarted.runners[1]?.getHolder()).toBe(fleet.runners[0]?.getHolder());
      restarted.runners.forEach((runner) => runner.stop());
    });

    // Guards against a seal that took effect unanswered and was deleted before its writer read it:
    // another daemon may have read it.
    test('a holder seals no window again whose seal was not answered before the gap', async () => {
      let isAnswerLost = false;
      fleet = startFleet(2, (daemonId, call) => {
        if (!isAnswerLost || daemonId !== 'vm-0') return 'none';
        if (call === 'append') return 'lost-answer';
        const newest = fleet?.dutyLog.records.at(-1) as Routing.DutyRecord;
        if (newest.kind !== 'seal') return 'none';
        // The writer reads the log because its seal was not answered.
        fleet?.dutyLog.deleteHistory();
        isAnswerLost = false;
        return 'none';
      });
      const started = fleet;
      await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
      expect(getHolder(started)).toBe('vm-0');
      addRequests(started.usageCounters);
      const window = Math.floor(Date.now() / WINDOW_MS);
      await advanceTo((window + 1) * WINDOW_MS + 1_400);
      isAnswerLost = true;
      await vi.advanceTimersByTimeAsync(WINDOW_MS);
      expect(isAnswerLost).toBe(false);
      const seals = (started.dutyLog.records as readonly Routing.DutyRecord[])
        .filter(({ seal }) => seal?.window === window);
      expect(seals).toHaveLength(1);
    });
  });

  // Guards against combinations of gaps, returns, cuts, lost answers and changes of the holder, and
  // of these with steps of the time of day and suspended VMs.
  test.each([
    ...listSeeds('190,6').map((seed) => ['other faults', seed, 0.08] as const),
    ...listSeeds('270,4').map((seed) => ['clock faults', seed, 0.2] as const),
  ])(
    'gaps beside %s never cause differing reports (seed %i)',
    async (kind, seed, eventShare) => {
      const random = createRandom(seed);
      const faults: readonly FakeDuties.Fault[] = [
        ...Array<FakeDuties.Fault>(9).fill('none'), 'lost-answer', 'refusal', 'delay',
      ];
      const cutUntilMs = new Map<string, number>();
      const chooseFault = (daemonId: string): FakeDuties.Fault => {
        if (performance.now() < (cutUntilMs.get(daemonId) ?? 0)) return 'refusal';
        return faults[Math.floor(random() * faults.length)] ?? 'none';
      };
      const size = 3;
      const vmClocks = Array.from({ length: size }, createSuspendableClock);
      const stepsMs = Array<number>(size).fill(0);
      const getClock = (daemonId: string): Core.Clock => {
        const index = getIndex(daemonId);
        return {
          readMonotonic: () => vmClocks[index]?.readMonotonic() ?? 0,
          readWall: () => Date.now() + (stepsMs[index] ?? 0),
        };
      };
      fleet = startFleet(size, chooseFault, undefined, undefined, getClock);
      const { countsLog, dutyLog } = fleet;
      const fleets = [fleet];
      const getLast = (): Fleet => fleets.at(-1) as Fleet;
      const events = [
        () => [countsLog, dutyLog].forEach(({ deleteHistory }) => deleteHistory()),
        () => dutyLog.deleteHistory(),
        () => dutyLog.restore(dutyLog.records.length - Math.floor(random() * 4)),
        () => cutUntilMs.set(`vm-${Math.floor(random() * size)}`, performance.now() + 5_500),
        () => {
          const holder = getLast().runners.map((runner) => runner.getHolder())
            .find((daemonId) => daemonId !== undefined);
          if (holder === undefined) return;
          const index = getIndex(holder);
          // A stop that is not awaited overlaps what follows it.
          if (random() < 0.5) getLast().runners[index]?.resign();
          getLast().kill(index);
        },
        () => {
          getLast().runners.forEach((runner) => runner.stop());
          fleets.push(startFleet(size, chooseFault, fleets[0], fleets[0]?.platform, getClock));
        },
        ...kind === 'other faults' ? [] : [
          () => {
            stepsMs[Math.floor(random() * size)] = (random() - 0.5) * CLOCK_STEP_MS;
          },
          () => {
            const index = Math.floor(random() * size);
            const lengthMs = 2_000 + random() * 4_000;
            cutUntilMs.set(`vm-${index}`, performance.now() + lengthMs);
            vmClocks[index]?.suspend();
            setTimeout(() => vmClocks[index]?.resume(), lengthMs);
          },
        ],
      ];
      const runRounds = async (rounds: number): Promise<void> => {
        if (rounds === 0) return;
        addRequests(getLast().usageCounters.slice(Math.floor(random() * size)));
        if (random() < eventShare) events[Math.floor(random() * events.length)]?.();
        await vi.advanceTimersByTimeAsync(500);
        await runRounds(rounds - 1);
      };
      await runRounds(200);
      fleets.forEach(({ runners }) => runners.forEach((runner) => runner.stop()));
      checkInvariants(fleet);
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

    // Guards against a claim while the holder, whose claim is gone, has not noticed the return.
    test('a daemon that starts after the return claims no lease within a term', async () => {
      let isHolderCut = false;
      fleet = startFleet(1, (daemonId) => (
        isHolderCut && daemonId === 'vm-0' ? 'refusal' : 'none'
      ));
      await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
      isHolderCut = true;
      fleet.dutyLog.restore(0);
      const restarted = startFleet(2, () => 'none', fleet);
      await vi.advanceTimersByTimeAsync(LEASE_MS);
      expect(fleet.dutyLog.records).toEqual([]);
      await vi.advanceTimersByTimeAsync(2 * LEASE_MS);
      restarted.runners.forEach((runner) => runner.stop());
      expect(fleet.dutyLog.records.length).toBeGreaterThan(0);
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
