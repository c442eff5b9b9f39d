/**
 * Hands over this daemon's counts of usage windows: final figures when a window has ended, and
 * copies of the current one, which a relay stores where the process is killed before its end.
 */
import * as Core from '@berylyoke/core';
import type * as CountsRecord from './CountsRecord.js';
import type * as TrueTime from './TrueTime.js';
import * as UsageCounts from './UsageCounts.js';

/** Pause after a hand-over that failed; the holder waits for it after an outage of the store. */
const RETRY_MS = 1_000;

/** How often a copy of the current window goes to a relay; a kill loses the counts since then. */
const COPY_MS = 1_000;

/** What the hand-over works with. */
export interface WindowContext {
  readonly daemonId: string;
  readonly dataCentre: string;
  readonly region: string | undefined;
  /** Where this daemon answers other daemons, if it does. */
  readonly peerAddress: string | undefined;
  /** Processor cores of this VM. */
  readonly cores: number;
  readonly clock: Core.Clock;
  readonly trueTime: TrueTime.TrueTime;
  readonly windowMs: Core.Millis;
  readonly book: UsageCounts.UsageBook;
  /** Stores final counts, and tells whether that succeeded. */
  readonly handOver: (records: readonly CountsRecord.CountsRecord[]) => Promise<boolean>;
  /** Gives a relay copies of counts that may still grow. */
  readonly copyCounts: (records: readonly CountsRecord.CountsRecord[]) => void;
}

/** Hand-over of one process. */
export interface WindowHandOver {
  /** Hands over what is due; does nothing while a hand-over is under way. */
  readonly start: () => void;
  /** Hands over everything, with the current window. */
  readonly stop: () => Promise<void>;
}

/** Creates the hand-over of this process. */
export function createWindowHandOver(context: WindowContext): WindowHandOver {
  const { book, clock } = context;
  const incarnation = Core.createIncarnation(clock);
  let handingOver: Promise<void> | undefined;
  let nextHandOverMs = -Infinity;
  let nextCopyMs = -Infinity;
  /** Newest window that was handed over, with or without counts. */
  let lastWindow = -Infinity;

  const createRecord = (
    { counts, tokens, window }: UsageCounts.OwnCounts,
  ): CountsRecord.CountsRecord => ({
    ...context.peerAddress === undefined ? {} : { address: context.peerAddress },
    cores: context.cores,
    counts,
    daemonId: context.daemonId,
    dataCentre: context.dataCentre,
    incarnation,
    ...context.region === undefined ? {} : { region: context.region },
    tokens,
    window,
    writtenMs: Math.round(context.trueTime.read()),
  });
  const computeCurrentWindow = (): number => (
    UsageCounts.computeWindow(context.trueTime.read(), context.windowMs)
  );
  const handOverEnded = async (isStopping: boolean): Promise<void> => {
    if (clock.readMonotonic() < nextHandOverMs && !isStopping) return;
    const current = computeCurrentWindow();
    const changed = book.listChanged().filter(({ window }) => window < current || isStopping);
    // A daemon without requests hands over a window without counts: the holder counts daemons.
    const isIdle = changed.length === 0 && lastWindow < current - 1;
    const due = isIdle ? [{ counts: {}, tokens: {}, window: current - 1 }] : changed;
    if (due.length === 0) return;
    if (await context.handOver(due.map(createRecord))) {
      lastWindow = current - 1;
      changed.forEach(book.setHandedOver);
      return;
    }
    nextHandOverMs = clock.readMonotonic() + RETRY_MS;
  };
  const copyCurrent = (): void => {
    const nowMs = clock.readMonotonic();
    if (nowMs < nextCopyMs) return;
    nextCopyMs = nowMs + COPY_MS;
    const current = computeCurrentWindow();
    const figures = book.listChanged().filter(({ window }) => window === current);
    if (figures.length > 0) context.copyCounts(figures.map(createRecord));
  };

  return {
    start: () => {
      handingOver ??= handOverEnded(false).finally(() => {
        handingOver = undefined;
      });
      copyCurrent();
    },
    stop: async () => {
      await handingOver;
      await handOverEnded(true);
    },
  };
}
