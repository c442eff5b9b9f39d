/**
 * Counters of one incarnation of a daemon. Counters are cumulative per window, so an append that
 * is repeated, or made by a peer as well, changes nothing.
 */
import type * as Core from '@berylyoke/core';
import * as Figures from './Figures.js';
import type * as UsageRecords from './UsageRecords.js';

/** Counters of a window. */
export interface BookWindow {
  readonly total: Figures.AccountFigures;
  /** What was read back from the log. */
  readonly written: Figures.AccountFigures;
}

/** Counters of one incarnation. */
export interface CounterBook {
  readonly source: Core.Writer;
  /** Windows with unwritten counters, and the newest one. */
  readonly windows: ReadonlyMap<number, BookWindow>;
  /** Newest window that was counted into; -1 before the first one. */
  readonly newest: number;
}

/** Creates an empty book. */
export function createCounterBook(source: Core.Writer): CounterBook {
  return { newest: -1, source, windows: new Map() };
}

/** Gets the start of the window that holds a wall time, both in milliseconds. */
export function getWindow(wallMs: Core.Millis, windowMs: Core.Millis): number {
  return Math.floor(wallMs / windowMs) * windowMs;
}

const EMPTY_WINDOW: BookWindow = { total: {}, written: {} };

/** Adds use to a window. A wall clock that goes back counts into the newest window. */
export function recordUse(
  book: CounterBook,
  window: number,
  account: string,
  use: Figures.Figures,
): CounterBook {
  const newest = Math.max(window, book.newest);
  const counted = book.windows.get(newest) ?? EMPTY_WINDOW;
  const total = Figures.sumFigures(counted.total, { [account]: use });
  return { ...book, newest, windows: new Map(book.windows).set(newest, { ...counted, total }) };
}

/** Lists the counters that were not read back yet, one body for each window. */
export function listUnwritten(book: CounterBook): readonly UsageRecords.UsageCounters[] {
  return [...book.windows].flatMap(([window, { total, written }]) => {
    const changed = Figures.computeExcess(total, written);
    if (Figures.isEmptyFigures(changed)) return [];
    const accounts = Object.fromEntries(
      Object.keys(changed).map((account) => [account, total[account] ?? Figures.ZERO_FIGURES]),
    );
    return [{ accounts, source: book.source, window }];
  });
}

/** Notes that counters were read back; windows with nothing left to write are dropped. */
export function applyWritten(
  book: CounterBook,
  { accounts, window }: UsageRecords.UsageCounters,
): CounterBook {
  const counted = book.windows.get(window);
  if (counted === undefined) return book;
  const written = Figures.joinFigures(counted.written, accounts);
  const windows = new Map(book.windows).set(window, { ...counted, written });
  const isDone = Figures.isEmptyFigures(Figures.computeExcess(counted.total, written));
  if (isDone && window < book.newest) windows.delete(window);
  return { ...book, windows };
}
