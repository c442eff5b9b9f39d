/**
 * Counters of one incarnation of a daemon. Counters are cumulative per window, so an append that
 * is repeated, or made by a peer as well, changes nothing.
 */
import type * as Core from '@berylyoke/core';
import * as HashMap from 'effect/HashMap';
import * as HashSet from 'effect/HashSet';
import * as Option from 'effect/Option';
import * as Figures from './Figures.js';
import type * as UsageRecords from './UsageRecords.js';

/**
 * Counters of a window, in persistent maps: copying an object of all accounts made counting one
 * request cost 3.8 ms at 2,300 accounts.
 */
export interface BookWindow {
  readonly total: HashMap.HashMap<string, Figures.Figures>;
  /** What was read back from the log. */
  readonly written: HashMap.HashMap<string, Figures.Figures>;
  /** Accounts whose total exceeds what was read back. */
  readonly unwritten: HashSet.HashSet<string>;
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

const EMPTY_WINDOW: BookWindow = {
  total: HashMap.empty(), unwritten: HashSet.empty(), written: HashMap.empty(),
};

function getFigures(
  figures: HashMap.HashMap<string, Figures.Figures>,
  account: string,
): Figures.Figures {
  return Option.getOrElse(HashMap.get(figures, account), () => Figures.ZERO_FIGURES);
}

/** Adds use to a window. A wall clock that goes back counts into the newest window. */
export function recordUse(
  book: CounterBook,
  window: number,
  account: string,
  use: Figures.Figures,
): CounterBook {
  const newest = Math.max(window, book.newest);
  const counted = book.windows.get(newest) ?? EMPTY_WINDOW;
  if (Figures.isZeroFigures(use)) return { ...book, newest };
  const sum = Figures.addFigures(getFigures(counted.total, account), use);
  return {
    ...book,
    newest,
    windows: new Map(book.windows).set(newest, {
      ...counted,
      total: HashMap.set(counted.total, account, sum),
      unwritten: HashSet.add(counted.unwritten, account),
    }),
  };
}

/** Lists the counters that were not read back yet, one body for each window. */
export function listUnwritten(book: CounterBook): readonly UsageRecords.UsageCounters[] {
  return [...book.windows].flatMap(([window, { total, unwritten }]) => {
    if (HashSet.size(unwritten) === 0) return [];
    const accounts = Object.fromEntries(
      [...unwritten].map((account) => [account, getFigures(total, account)]),
    );
    return [{ accounts, source: book.source, window }];
  });
}

function applyWrittenAccount(
  { total, unwritten, written }: BookWindow,
  account: string,
  readBack: Figures.Figures,
): BookWindow {
  const joined = Figures.joinAccountFigures(getFigures(written, account), readBack);
  const rest = Figures.subtractFigures(getFigures(total, account), joined);
  return {
    total,
    unwritten: Figures.isZeroFigures(rest) ? HashSet.remove(unwritten, account) : unwritten,
    written: HashMap.set(written, account, joined),
  };
}

/** Notes that counters were read back; windows with nothing left to write are dropped. */
export function applyWritten(
  book: CounterBook,
  { accounts, window }: UsageRecords.UsageCounters,
): CounterBook {
  const counted = book.windows.get(window);
  if (counted === undefined) return book;
  const next = Object.entries(accounts).reduce((current, [account, figures]) => (
    applyWrittenAccount(current, account, figures)
  ), counted);
  const windows = new Map(book.windows).set(window, next);
  if (HashSet.size(next.unwritten) === 0 && window < book.newest) windows.delete(window);
  return { ...book, windows };
}
