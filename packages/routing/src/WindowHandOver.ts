/**
 * Hands over this daemon's counts of usage windows: final figures when a window has ended, and
 * copies of the current one, which a relay stores where the process is killed before its end.
 */
import * as Core from '@berylyoke/core';
import type * as CountsRecord from './CountsRecord.js';
import type * as TrueTime from './TrueTime.js';
import * as UsageCounts from './UsageCounts.js';

/** Pause after a hand-over that failed; the holder waits for it after an outage of the store. */
const RETRY_DELAY_MS = 1_000;

/** How often a copy of the current window goes to a relay; a kill loses the counts since then. */
const INTERIM_INTERVAL_MS = 1_000;

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
  readonly usageCounter: UsageCounts.UsageCounter;
  /** Stores final counts, and tells whether that succeeded. */
  readonly handOver: (records: readonly CountsRecord.CountsRecord[]) => Promise<boolean>;
  /** Gives a relay copies of counts that may still grow. */
  readonly sendInterimCounts: (records: readonly CountsRecord.CountsRecord[]) => void;
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
  const { usageCounter, clock } = context;
  const incarnation = Core.createIncarnation(clock);
  let activeHandOver: Promise<void> | undefined;
  let nextHandOverMs = -Infinity;
  let nextInterimMs = -Infinity;
  /** Newest window that was handed over, with or without counts. */
  let lastHandedOverWindow = -Infinity;

  const createRecord = (
    { counts, tokens, window }: UsageCounts.LocalCounts,
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
  const handOverDueWindows = async (isStopping: boolean): Promise<void> => {
    if (clock.readMonotonic() < nextHandOverMs && !isStopping) return;
    const current = computeCurrentWindow();
    const changed = usageCounter.listChanged()
      .filter(({ window }) => window < current || isStopping);
    // A daemon without requests hands over a window without counts: the holder counts daemons.
    const isIdle = changed.length === 0 && lastHandedOverWindow < current - 1;
    const due = isIdle ? [{ counts: {}, tokens: {}, window: current - 1 }] : changed;
    if (due.length === 0) return;
    if (await context.handOver(due.map(createRecord))) {
      lastHandedOverWindow = current - 1;
      changed.forEach(usageCounter.recordHandOver);
      return;
    }
    nextHandOverMs = clock.readMonotonic() + RETRY_DELAY_MS;
  };
  const sendInterim = (): void => {
    const nowMs = clock.readMonotonic();
    if (nowMs < nextInterimMs) return;
    nextInterimMs = nowMs + INTERIM_INTERVAL_MS;
    const current = computeCurrentWindow();
    const changed = usageCounter.listChanged().filter(({ window }) => window === current);
    if (changed.length > 0) context.sendInterimCounts(changed.map(createRecord));
  };

  return {
    start: () => {
      activeHandOver ??= handOverDueWindows(false).finally(() => {
        activeHandOver = undefined;
      });
      sendInterim();
    },
    stop: async () => {
      await activeHandOver;
      await handOverDueWindows(true);
    },
  };
}
