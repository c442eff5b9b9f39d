/**
 * Requests that began to run, by usage window and client account. A daemon counts its own and hands
 * its counts over as cumulative figures, so that a repeated hand-over changes nothing.
 */
import type * as Core from '@berylyoke/core';
import type * as CountsRecord from './CountsRecord.js';
import type * as RelayPlan from './RelayPlan.js';

/** Requests by client account. */
export type AccountCounts = Readonly<Record<string, number>>;

/** Prompt tokens that callers asked for, by service. */
export type ServiceTokens = Readonly<Record<string, number>>;

/** Counts of one process for one window. */
export type WindowCounts = Omit<CountsRecord.CountsRecord, 'writtenMs'>;

/** Counts of this process for one window. */
export type LocalCounts = Pick<WindowCounts, 'counts' | 'tokens' | 'window'>;

/** Counts of this process. */
export interface UsageCounter {
  readonly addStart: (account: string, atMs: Core.Millis) => void;
  /** Adds the prompt of a request, whether it is served or not. */
  readonly addDemand: (service: string, tokens: number, atMs: Core.Millis) => void;
  /** Lists the windows whose counts changed since they were last handed over. */
  readonly listChanged: () => readonly LocalCounts[];
  /** Notes that the counts of a window were handed over as listed. */
  readonly recordHandOver: (localCounts: LocalCounts) => void;
}

/** Computes the number of the window in which a moment of true time lies. */
export function computeWindow(atMs: Core.Millis, windowMs: Core.Millis): number {
  return Math.floor(atMs / windowMs);
}

/** Windows that a book keeps; a report is long overdue after that. */
const MAX_WINDOWS = 12;

interface OpenWindow {
  readonly counts: Map<string, number>;
  readonly tokens: Map<string, number>;
}

function sumValues(values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0);
}

/** Sums all figures; they only grow, so the sum tells an older copy from a newer one. */
function sumCounts({ counts, tokens }: Pick<WindowCounts, 'counts' | 'tokens'>): number {
  return sumValues([...Object.values(counts), ...Object.values(tokens)]);
}

/** Creates an empty book for windows of a length. */
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
  };
}

/** Collected counts of all daemons. */
export interface UsageCollection {
  readonly apply: (counts: WindowCounts) => void;
  /** Sums the counts of a window over all processes. */
  readonly sumWindow: (window: number) => AccountCounts;
  /**
   * Estimates the share of a window's requests whose daemons have not handed it over: those that
   * counted in one of the windows before it, by the newest counts of each.
   */
  readonly estimateMissingShare: (window: number) => number;
  /** Sums the prompt tokens of a service over all processes. */
  readonly sumTokens: (window: number, service: string) => number;
  /** Counts the daemons that handed over counts for a window. */
  readonly countDaemons: (window: number) => number;
  /** Lists the daemons that answer others and handed over counts for a window. */
  readonly listMembers: (window: number) => readonly RelayPlan.FleetMember[];
}

/** Windows before one that tell which daemons it should have counts of. */
const LOOKBACK_WINDOWS = 3;

/** Creates an empty collection. */
export function createUsageCollection(): UsageCollection {
  const windows = new Map<number, Map<string, WindowCounts>>();
  const listProcesses = (window: number): readonly WindowCounts[] => (
    [...windows.get(window)?.values() ?? []]
  );
  /** Sums the requests of a window by daemon, over all its starts. */
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
      // Counts only grow, so a copy that arrives late or twice is recognised by its sum.
      if (known === undefined || sumCounts(known) < sumCounts(counts)) {
        processes.set(name, counts);
      }
      windows.set(counts.window, processes);
      if (windows.size > MAX_WINDOWS) windows.delete(Math.min(...windows.keys()));
    },
    countDaemons: (window) => sumByDaemon(window).size,
    estimateMissingShare: (window) => {
      const handedOver = sumByDaemon(window);
      // The oldest window comes first, so that the newest counts of a daemon stay.
      const earlierCounts = Array.from({ length: LOOKBACK_WINDOWS }, (_, index) => (
        [...sumByDaemon(window - LOOKBACK_WINDOWS + index)]
      ));
      const expected = new Map(earlierCounts.flat());
      const missing = sumValues([...expected].flatMap(([daemonId, count]) => (
        handedOver.has(daemonId) ? [] : [count]
      )));
      return missing === 0 ? 0 : missing / (missing + sumValues([...handedOver.values()]));
    },
    listMembers: (window) => {
      const members = listProcesses(window).flatMap((process) => (
        process.address === undefined ? [] : [{ ...process, address: process.address }]
      ));
      // A daemon that was restarted in the window stands there with each of its starts.
      return [...new Map(members.map(({
        address, cores, daemonId, dataCentre, region,
      }) => [daemonId, {
        address, cores, daemonId, dataCentre, region,
      }])).values()];
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
