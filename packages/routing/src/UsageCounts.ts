/**
 * Requests that began to run, by usage window and client account. A daemon counts its own and hands
 * its counts over as cumulative figures, so that a repeated hand-over changes nothing.
 */
import type * as Core from '@berylyoke/core';

/** Requests by client account. */
export type AccountCounts = Readonly<Record<string, number>>;

/** Counts of one process for one window. */
export interface WindowCounts {
  readonly daemonId: string;
  /** Distinguishes the starts of a daemon. */
  readonly incarnation: string;
  readonly window: number;
  readonly counts: AccountCounts;
}

/** Counts of this process. */
export interface UsageBook {
  readonly addStart: (account: string, atMs: Core.Millis) => void;
  /** Lists the windows whose counts changed since they were last handed over. */
  readonly listChanged: () => readonly Omit<WindowCounts, 'daemonId' | 'incarnation'>[];
  /** Notes that the counts of a window were handed over as listed. */
  readonly setHandedOver: (window: number, counts: AccountCounts) => void;
}

/** Windows that a book keeps; a report is long overdue after that. */
const MAX_WINDOWS = 12;

function sumCounts(counts: AccountCounts): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

/** Creates an empty book for windows of a length. */
export function createUsageBook(windowMs: Core.Millis): UsageBook {
  const windows = new Map<number, Map<string, number>>();
  const handedOver = new Map<number, number>();
  return {
    addStart: (account, atMs) => {
      const window = Math.floor(atMs / windowMs);
      const counts = windows.get(window) ?? new Map<string, number>();
      counts.set(account, (counts.get(account) ?? 0) + 1);
      windows.set(window, counts);
      if (windows.size > MAX_WINDOWS) {
        const oldest = Math.min(...windows.keys());
        windows.delete(oldest);
        handedOver.delete(oldest);
      }
    },
    listChanged: () => [...windows]
      .map(([window, counts]) => ({ counts: Object.fromEntries(counts), window }))
      .filter(({ counts, window }) => sumCounts(counts) > (handedOver.get(window) ?? 0)),
    setHandedOver: (window, counts) => {
      handedOver.set(window, sumCounts(counts));
    },
  };
}

/** Collected counts of all daemons. */
export interface UsageCollection {
  readonly apply: (counts: WindowCounts) => void;
  /** Sums the counts of a window over all processes. */
  readonly sumWindow: (window: number) => AccountCounts;
  /** Counts the daemons that handed over counts for a window. */
  readonly countDaemons: (window: number) => number;
}

/** Creates an empty collection. */
export function createUsageCollection(): UsageCollection {
  const windows = new Map<number, Map<string, WindowCounts>>();
  return {
    apply: (counts) => {
      const processes = windows.get(counts.window) ?? new Map<string, WindowCounts>();
      const name = `${counts.daemonId}/${counts.incarnation}`;
      const known = processes.get(name);
      // Counts only grow, so a copy that arrives late or twice is recognised by its sum.
      if (known === undefined || sumCounts(known.counts) < sumCounts(counts.counts)) {
        processes.set(name, counts);
      }
      windows.set(counts.window, processes);
      if (windows.size > MAX_WINDOWS) windows.delete(Math.min(...windows.keys()));
    },
    countDaemons: (window) => new Set(
      [...windows.get(window)?.values() ?? []].map(({ daemonId }) => daemonId),
    ).size,
    sumWindow: (window) => {
      const sum: Record<string, number> = {};
      windows.get(window)?.forEach(({ counts }) => {
        Object.entries(counts).forEach(([account, count]) => {
          sum[account] = (sum[account] ?? 0) + count;
        });
      });
      return sum;
    },
  };
}
