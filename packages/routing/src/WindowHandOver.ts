/**
 * Decides when this daemon hands over its usage counts: final counts when a window has ended, and
 * interim counts of the current window every second. A relay stores the interim counts if the
 * process is killed before the window ends.
 */
import * as Core from '@berylyoke/core';
import type * as CountsRecord from './CountsRecord.js';
import type * as TrueTime from './TrueTime.js';
import * as UsageCounts from './UsageCounts.js';

/**
 * Delay before a failed hand-over is repeated. After an outage of the store, the lease holder waits
 * for the counts that are repeated then before it seals their window.
 */
const RETRY_DELAY_MS = 1_000;

/** Interval of interim counts. A process that is killed loses the counts since the last ones. */
const INTERIM_INTERVAL_MS = 1_000;

/** Settings and dependencies of the hand-over. */
export interface WindowContext {
  readonly daemonId: string;
  readonly dataCentre: string;
  readonly region: string | undefined;
  /** `IP:PORT` at which this daemon answers other daemons; undefined if it does not listen. */
  readonly peerAddress: string | undefined;
  /** Processor cores that this daemon may use; may be a fraction. */
  readonly cores: number;
  readonly clock: Core.Clock;
  readonly trueTime: TrueTime.TrueTime;
  readonly windowMs: Core.Millis;
  readonly usageCounter: UsageCounts.UsageCounter;
  /** Stores final counts; resolves with whether that succeeded. */
  readonly handOver: (records: readonly CountsRecord.CountsRecord[]) => Promise<boolean>;
  /** Sends interim counts, which may still grow, to the relay. */
  readonly sendInterimCounts: (records: readonly CountsRecord.CountsRecord[]) => void;
}

/** Hand-over of the usage counts of one process. */
export interface WindowHandOver {
  /** Starts to hand over what is due, unless a hand-over is in progress. */
  readonly start: () => void;
  /** Hands over all remaining counts, including those of the current window. */
  readonly stop: () => Promise<void>;
}

/** Creates the hand-over of this process. */
export function createWindowHandOver(context: WindowContext): WindowHandOver {
  const { usageCounter, clock } = context;
  const incarnation = Core.createIncarnation(clock);
  let activeHandOver: Promise<void> | undefined;
  let nextHandOverMs = -Infinity;
  let nextInterimMs = -Infinity;
  /** Newest window that was handed over, even one without counts. */
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
    // An idle daemon hands over empty counts, from which the lease holder counts the daemons.
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
