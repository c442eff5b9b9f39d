/**
 * Counts of started requests by usage window and client account, and of requested prompt tokens by
 * service. Each daemon counts its own requests and hands over cumulative counts, so that a repeated
 * hand-over is harmless.
 */
import type * as Core from '@berylyoke/core';
import type * as CountsRecord from './CountsRecord.js';
import type * as RelayPlan from './RelayPlan.js';

/** Requests by client account. */
export type AccountCounts = Readonly<Record<string, number>>;

/** Requested prompt tokens by service. */
export type ServiceTokens = Readonly<Record<string, number>>;

/** Counts of one process for one window. */
export type WindowCounts = Omit<CountsRecord.CountsRecord, 'writtenMs'>;

/** Counts of this process for one window. */
export type LocalCounts = Pick<WindowCounts, 'counts' | 'tokens' | 'window'>;

/** Counter of the requests of this process. */
export interface UsageCounter {
  /** Counts a request that started to run at a time, in milliseconds of true time. */
  readonly addStart: (account: string, atMs: Core.Millis) => void;
  /** Adds the prompt tokens of a request, whether or not it is served. */
  readonly addDemand: (service: string, tokens: number, atMs: Core.Millis) => void;
  /** Lists the windows whose counts changed since they were last handed over. */
  readonly listChanged: () => readonly LocalCounts[];
  /** Records that counts of a window were handed over as they were listed. */
  readonly recordHandOver: (localCounts: LocalCounts) => void;
  /** Forgets what was handed over, because the log that stored it returned from an older copy. */
  readonly resetHandOver: () => void;
}

/** Computes the number of the usage window that contains a moment of true time. */
export function computeWindow(atMs: Core.Millis, windowMs: Core.Millis): number {
  return Math.floor(atMs / windowMs);
}

/** Maximum number of windows that are kept; the reports of older ones are long overdue. */
const MAX_WINDOWS = 12;

interface OpenWindow {
  readonly counts: Map<string, number>;
  readonly tokens: Map<string, number>;
}

function sumValues(values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0);
}

/** Sums all counts. Counts only grow, so the sum distinguishes newer counts from older ones. */
function sumCounts({ counts, tokens }: Pick<WindowCounts, 'counts' | 'tokens'>): number {
  return sumValues([...Object.values(counts), ...Object.values(tokens)]);
}

/** Creates an empty counter for windows of the given length. */
export function createUsageCounter(windowMs: Core.Millis): UsageCounter {
  const windows = new Map<number, OpenWindow>();
  const handedOver = new Map<number, number>();
  const getWindow = (atMs: Core.Millis): OpenWindow => {
    const window = computeWindow(atMs, windowMs);
    const known = windows.get(window);
    if (known !== undefined) return known;
    const added = { counts: new Map<string, number>(), tokens: new Map<string, number>() };
    windows.set(window, added);
    if (windows.size > MAX_WINDOWS) {
      const oldest = Math.min(...windows.keys());
      windows.delete(oldest);
      handedOver.delete(oldest);
    }
    return added;
  };
  return {
    addDemand: (service, tokens, atMs) => {
      const window = getWindow(atMs);
      window.tokens.set(service, (window.tokens.get(service) ?? 0) + tokens);
    },
    addStart: (account, atMs) => {
      const { counts } = getWindow(atMs);
      counts.set(account, (counts.get(account) ?? 0) + 1);
    },
    listChanged: () => [...windows]
      .map(([window, { counts, tokens }]) => ({
        counts: Object.fromEntries(counts), tokens: Object.fromEntries(tokens), window,
      }))
      .filter((localCounts) => sumCounts(localCounts) > (handedOver.get(localCounts.window) ?? 0)),
    recordHandOver: (localCounts) => {
      handedOver.set(localCounts.window, sumCounts(localCounts));
    },
    resetHandOver: () => handedOver.clear(),
  };
}

/** Counts that all daemons handed over. */
export interface UsageCollection {
  /** Adds counts of one process; newer ones replace older ones. */
  readonly apply: (counts: WindowCounts) => void;
  /**
   * Records that counts were deleted before they were read, and when the oldest ones that are left
   * were written, in milliseconds of true time.
   */
  readonly observeGap: (oldestMs: Core.Millis) => void;
  /** Returns the first window that began after the last gap; undefined without a gap. */
  readonly getCompleteFrom: () => number | undefined;
  /** Sums the requests of a window over all processes, by client account. */
  readonly sumWindow: (window: number) => AccountCounts;
  /**
   * Estimates the share of a window's requests that have not been handed over. Daemons that handed
   * over one of the preceding windows are expected to hand over this one too, and each is assumed
   * to have as many requests as in the newest of these windows.
   */
  readonly estimateMissingShare: (window: number) => number;
  /** Sums the requested prompt tokens of a service in a window over all processes. */
  readonly sumTokens: (window: number, service: string) => number;
  /** Checks whether any counts were handed over. */
  readonly hasCounts: () => boolean;
  /** Counts the daemons that handed over counts for a window. */
  readonly countDaemons: (window: number) => number;
  /** Lists the daemons that handed over counts for a window and listen for other daemons. */
  readonly listMembers: (window: number) => readonly RelayPlan.FleetMember[];
}

/** Number of preceding windows whose daemons are expected to hand over counts for a window. */
const LOOKBACK_WINDOWS = 3;

/** Creates an empty collection of counts of windows of the given length. */
export function createUsageCollection(windowMs: Core.Millis): UsageCollection {
  const windows = new Map<number, Map<string, WindowCounts>>();
  let completeFrom: number | undefined;
  const listProcesses = (window: number): readonly WindowCounts[] => (
    [...windows.get(window)?.values() ?? []]
  );
  /** Sums the requests of a window by daemon; a restarted daemon has several processes. */
  const sumByDaemon = (window: number): ReadonlyMap<string, number> => (
    listProcesses(window).reduce((sums, { counts, daemonId }) => sums.set(
      daemonId,
      (sums.get(daemonId) ?? 0) + sumValues(Object.values(counts)),
    ), new Map<string, number>())
  );
  return {
    apply: (counts) => {
      const processes = windows.get(counts.window) ?? new Map<string, WindowCounts>();
      const name = `${counts.daemonId}/${counts.incarnation}`;
      const known = processes.get(name);
      // Counts only grow, so counts that arrive late or twice are recognised by their sum.
      if (known === undefined || sumCounts(known) < sumCounts(counts)) {
        processes.set(name, counts);
      }
      windows.set(counts.window, processes);
      if (windows.size > MAX_WINDOWS) windows.delete(Math.min(...windows.keys()));
    },
    countDaemons: (window) => sumByDaemon(window).size,
    estimateMissingShare: (window) => {
      const handedOver = sumByDaemon(window);
      // The oldest window comes first, so that newer counts of a daemon overwrite older ones.
      const earlierCounts = Array.from({ length: LOOKBACK_WINDOWS }, (_, index) => (
        [...sumByDaemon(window - LOOKBACK_WINDOWS + index)]
      ));
      const expected = new Map(earlierCounts.flat());
      const missing = sumValues([...expected].flatMap(([daemonId, count]) => (
        handedOver.has(daemonId) ? [] : [count]
      )));
      return missing === 0 ? 0 : missing / (missing + sumValues([...handedOver.values()]));
    },
    getCompleteFrom: () => completeFrom,
    hasCounts: () => windows.size > 0,
    listMembers: (window) => {
      const members = listProcesses(window).flatMap((process) => (
        process.address === undefined ? [] : [{ ...process, address: process.address }]
      ));
      // A daemon that restarted within the window has one entry per process; the last one is kept.
      return [...new Map(members.map(({
        address, cores, daemonId, dataCentre, region,
      }) => [daemonId, {
        address, cores, daemonId, dataCentre, region,
      }])).values()];
    },
    observeGap: (oldestMs) => {
      completeFrom = Math.max(completeFrom ?? -Infinity, Math.ceil(oldestMs / windowMs));
    },
    sumTokens: (window, service) => sumValues(
      listProcesses(window).map(({ tokens }) => tokens[service] ?? 0),
    ),
    sumWindow: (window) => {
      const sum: Record<string, number> = {};
      listProcesses(window).forEach(({ counts }) => {
        Object.entries(counts).forEach(([account, count]) => {
          sum[account] = (sum[account] ?? 0) + count;
        });
      });
      return sum;
    },
  };
}
