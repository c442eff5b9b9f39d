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

/** Time after the end of a window in which it has to be reported. */
const REPORT_DUE_MS = 10_000;

interface Fleet {
  readonly platform: FakeDuties.FakePlatform;
  readonly books: readonly Routing.UsageBook[];
  readonly holders: readonly Routing.DutyHolder[];
  /** Newest relays that each daemon heard of. */
  readonly rosters: ReadonlyMap<string, Routing.RelayRoster>;
  /** Stops the process of a daemon without a word. */
  readonly kill: (index: number) => void;
}

function startFleet(
  count: number,
  chooseFault: (daemonId: string, call: string) => FakeDuties.Fault = () => 'none',
): Fleet {
  const dutyLog = FakeDuties.createFakeLog(chooseFault);
  const countsLog = FakeDuties.createFakeLog(chooseFault);
  const platform = FakeDuties.createFakePlatform(() => performance.now());
  const rosters = new Map<string, Routing.RelayRoster>();
  const daemons = Array.from({ length: count }, (_, index) => {
    const daemonId = `vm-${index}`;
    const book = Routing.createUsageBook(WINDOW_MS);
    const holder = Routing.startDuties({
      book,
      calls: platform.connect(daemonId),
      clock: Core.systemClock,
      cores: 1,
      copyCounts: () => undefined,
      countsLog: countsLog.connect(daemonId),
      daemonId,
      dataCentre: 'a',
      dutyLog: dutyLog.connect(daemonId),
      handOver: async (records) => Either.isRight(await Effect.runPromise(
        Effect.either(countsLog.connect(daemonId).append(records)),
      )),
      leaseMs: LEASE_MS,
      listWantedOrders: () => [],
      logger: Core.createLogger('silent', {}),
      onRelays: (relays) => {
        rosters.set(daemonId, relays);
      },
      peerAddress: `10.0.0.${index}:7340`,
      region: undefined,
      regionCentres: ['a'],
      random: () => index / count,
      trueTime: Routing.createTrueTime(() => Routing.readClocks(Core.systemClock)),
      usageDueMs: REPORT_DUE_MS,
      usageErrorShare: 0.05,
      windowMs: WINDOW_MS,
    });
    return { book, holder };
  });
  return {
    books: daemons.map(({ book }) => book),
    holders: daemons.map(({ holder }) => holder),
    kill: (index) => {
      daemons[index]?.holder.stop();
    },
    platform,
    rosters,
  };
}

const listReports = ({ platform }: Fleet): readonly FakeDuties.SeenCall[] => (
  platform.seen.filter(({ window }) => window !== undefined)
);

/** One set of figures for each window, and holders that do not alternate within a lease. */
function checkPromises(fleet: Fleet): void {
  const figures = new Map<number, Set<string>>();
  listReports(fleet).forEach(({ counts, window }) => {
    figures.set(window as number, (figures.get(window as number) ?? new Set()).add(counts));
  });
  figures.forEach((counts) => expect(counts.size).toBe(1));
  const byFence = new Map<number, Set<string>>();
  fleet.platform.seen.forEach(({ fence, holder }) => {
    byFence.set(fence, (byFence.get(fence) ?? new Set()).add(holder));
  });
  byFence.forEach((holders) => expect(holders.size).toBe(1));
}

describe('duties of a fleet', () => {
  let fleet: Fleet | undefined;
  beforeEach(() => {
    vi.useFakeTimers({
      now: 1_000_000_000_000,
      toFake: ['Date', 'clearTimeout', 'performance', 'setTimeout'],
    });
  });
  afterEach(async () => {
    fleet?.holders.forEach((holder) => holder.stop());
    await vi.advanceTimersByTimeAsync(5_000);
    vi.useRealTimers();
  });

  const addRequests = (books: readonly Routing.UsageBook[]): void => {
    books.forEach((book) => book.addStart('shop', Date.now()));
  };

  // Until then every daemon of the fleet reads the store for itself.
  test('relays are named within three seconds of the start of a large fleet', async () => {
    fleet = startFleet(40);
    await vi.advanceTimersByTimeAsync(3_000);
    const [roster] = fleet.rosters.values();
    expect(roster?.a).toHaveLength(3);
    expect(fleet.rosters.size).toBeGreaterThan(30);
  });

  // Guards against windows that wait in turn until the next outage of the store begins.
  test('all windows that are due are reported in one step', async () => {
    const startMs = performance.now();
    let isCut = false;
    let outageMs = Infinity;
    fleet = startFleet(2, (daemonId) => {
      const isAway = performance.now() - startMs >= outageMs;
      return isAway || (isCut && daemonId === 'vm-1') ? 'refusal' : 'none';
    });
    const { books } = fleet;
    addRequests(books);
    await vi.advanceTimersByTimeAsync(7_000);
    isCut = true;
    addRequests(books);
    await vi.advanceTimersByTimeAsync(5_000);
    addRequests(books);
    await vi.advanceTimersByTimeAsync(4_000);
    expect(listReports(fleet)).toHaveLength(1);
    isCut = false;
    await vi.waitFor(async () => {
      await vi.advanceTimersByTimeAsync(10);
      expect(listReports(fleet as Fleet).length).toBeGreaterThan(1);
    }, { interval: 0, timeout: 10_000 });
    outageMs = performance.now() - startMs + 100;
    await vi.advanceTimersByTimeAsync(5_000);
    expect(listReports(fleet).map(({ counts }) => counts)).toEqual(Array(3).fill('{"shop":2}'));
  });

  test('one daemon reports each window once, with the requests of all', async () => {
    fleet = startFleet(4);
    addRequests(fleet.books);
    await vi.advanceTimersByTimeAsync(12_000);
    const reports = listReports(fleet);
    expect(reports.map(({ counts }) => counts)).toEqual(['{"shop":4}']);
    expect(new Set(reports.map(({ holder }) => holder)).size).toBe(1);
  });

  test('every daemon hears of the relays before any request came', async () => {
    fleet = startFleet(6);
    await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
    const relays = [...fleet.rosters.values()].map((roster) => roster.a?.length);
    expect(relays).toEqual([2, 2, 2, 2, 2, 2]);
  });

  test('the holder dies: another one takes over in time for the report', async () => {
    fleet = startFleet(4);
    await vi.advanceTimersByTimeAsync(6_000);
    const first = fleet.holders[0]?.getHolder();
    const index = Number(first?.slice('vm-'.length));
    fleet.kill(index);
    addRequests(fleet.books.filter((_, each) => each !== index));
    await vi.advanceTimersByTimeAsync(WINDOW_MS + 10_000);
    const reports = listReports(fleet);
    expect(reports.at(-1)?.counts).toBe('{"shop":3}');
    expect(reports.at(-1)?.holder).not.toBe(first);
    checkPromises(fleet);
  });

  test('the holder of a large fleet loses the store: the window is reported in time', async () => {
    let cutOff: string | undefined;
    fleet = startFleet(88, (daemonId) => (daemonId === cutOff ? 'refusal' : 'none'));
    await vi.advanceTimersByTimeAsync(4 * WINDOW_MS);
    addRequests(fleet.books);
    const window = Math.floor(Date.now() / WINDOW_MS);
    const endMs = (window + 1) * WINDOW_MS;
    await vi.advanceTimersByTimeAsync(endMs + 500 - Date.now());
    cutOff = fleet.holders[0]?.getHolder();
    await vi.advanceTimersByTimeAsync(endMs + REPORT_DUE_MS - Date.now());
    expect(listReports(fleet).filter((report) => report.window === window).length).toBe(1);
    checkPromises(fleet);
  });

  test('a daemon cut off from the store over the end of a window is waited for', async () => {
    let isCut = false;
    fleet = startFleet(6, (daemonId) => (isCut && daemonId === 'vm-5' ? 'refusal' : 'none'));
    addRequests(fleet.books);
    await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
    expect(fleet.holders[0]?.getHolder()).not.toBe('vm-5');
    isCut = true;
    addRequests(fleet.books);
    const window = Math.floor(Date.now() / WINDOW_MS);
    const endMs = (window + 1) * WINDOW_MS;
    await vi.advanceTimersByTimeAsync(endMs + 6_000 - Date.now());
    isCut = false;
    await vi.advanceTimersByTimeAsync(endMs + REPORT_DUE_MS - Date.now());
    const reports = listReports(fleet).filter((report) => report.window === window);
    expect(reports.map(({ counts }) => counts)).toEqual(['{"shop":6}']);
  });

  test('a daemon that does not come back delays no window beyond its time', async () => {
    let isCut = false;
    fleet = startFleet(6, (daemonId) => (isCut && daemonId === 'vm-5' ? 'refusal' : 'none'));
    addRequests(fleet.books);
    await vi.advanceTimersByTimeAsync(2 * WINDOW_MS);
    isCut = true;
    addRequests(fleet.books);
    const window = Math.floor(Date.now() / WINDOW_MS);
    await vi.advanceTimersByTimeAsync((window + 1) * WINDOW_MS + REPORT_DUE_MS - Date.now());
    const reports = listReports(fleet).filter((report) => report.window === window);
    expect(reports.map(({ counts }) => counts)).toEqual(['{"shop":5}']);
  });

  test('a planned stop gives the lease away without waiting for its end', async () => {
    fleet = startFleet(3);
    await vi.advanceTimersByTimeAsync(6_000);
    const first = fleet.holders[0]?.getHolder();
    await fleet.holders[Number(first?.slice('vm-'.length))]?.resign();
    await vi.advanceTimersByTimeAsync(3_000);
    expect(fleet.holders.every((holder) => holder.getHolder() !== first)).toBe(true);
  });

  test.each([1, 2, 3, 4, 5, 6, 7, 8])(
    'lost answers, refusals and late effects never give two figures (seed %i)',
    async (seed) => {
      let state = seed;
      const faults: readonly FakeDuties.Fault[] = [
        'none', 'none', 'none', 'lost-answer', 'refusal', 'delay',
      ];
      fleet = startFleet(4, () => {
        // A linear congruential generator: the faults of a seed are always the same.
        state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
        return faults[Math.floor((state / 2_147_483_648) * faults.length)] ?? 'none';
      });
      const { books } = fleet;
      const rounds = Array.from({ length: 30 }, () => async () => {
        addRequests(books);
        await vi.advanceTimersByTimeAsync(1_000);
      });
      await rounds.reduce((before, round) => before.then(round), Promise.resolve());
      checkPromises(fleet);
      expect(listReports(fleet).length).toBeGreaterThan(2);
    },
  );
});
