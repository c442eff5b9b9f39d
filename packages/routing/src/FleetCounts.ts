/**
 * Usage counts of the whole fleet, as the lease holder reads them from the counts log, and the
 * demand that they show. The log may delete counts before they are read. What was deleted is not
 * known then, so a window without counts is not one without requests.
 */
import type * as Core from '@berylyoke/core';
import type * as Scheduling from '@berylyoke/scheduling';
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import * as CountsRecord from './CountsRecord.js';
import * as LogReading from './LogReading.js';
import type * as Ports from './Ports.js';
import type * as TrueTime from './TrueTime.js';
import * as UsageCounts from './UsageCounts.js';

/** Time after the end of a window within which daemons hand over their counts. */
export const HAND_OVER_PERIOD_MS = 1_500;

/** Interval between two reads of the counts log while counts of a window are still missing. */
export const COUNTS_READ_INTERVAL_MS = 1_000;

/** Number of past windows whose largest demand determines the orders. */
const DEMAND_WINDOWS = 4;

/**
 * Share of the demand for which missing servers are replaced. A replacement costs several times the
 * price of a reclaimable server, and the reserve of the others carries the rest: a deployment whose
 * base plan is just large enough would otherwise order replacements for each single loss.
 */
export const REPLACED_DEMAND_SHARE = 2 / 3;

/**
 * Time after the end of a window by which its counts should have been read: the time for the
 * hand-over, and the interval between two reads.
 */
const MAX_COUNTS_DELAY_MS = HAND_OVER_PERIOD_MS + 2 * COUNTS_READ_INTERVAL_MS;

const MS_PER_S = 1_000;

/** Settings and dependencies of the counts of a fleet. */
export interface FleetCountsContext {
  readonly countsLog: Pick<Ports.SharedLog, 'read'>;
  /** Counts the requests in progress at a service over all daemons; undefined if not known. */
  readonly countRequestsInProgress?: (service: string) => number | undefined;
  readonly logger: Core.Logger;
  readonly trueTime: TrueTime.TrueTime;
  readonly windowMs: Core.Millis;
}

/** Counts that all daemons handed over, and the demand by them. */
export interface FleetCounts {
  /** Counts that were read; they are kept when the log is read again. */
  readonly collection: UsageCounts.UsageCollection;
  /**
   * Reads the new counts; resolves with whether that succeeded. A failure is logged. After a gap it
   * reads on at once, but only once, because the lease has to be renewed meanwhile.
   */
  readonly read: () => Promise<boolean>;
  /** Makes the next read start at the oldest counts of the log. */
  readonly reset: () => void;
  /** Returns the true time at which the newest read was sent; `-Infinity` before the first. */
  readonly getReadTime: () => Core.Millis;
  /**
   * Checks whether no counts of a window can be missing because they were deleted unread.
   * `daemonCount` is the number of daemons of the fleet; undefined if it is not known.
   */
  readonly hasAllCounts: (window: number, daemonCount: number | undefined) => boolean;
  /** Computes the time since the end of a window, in milliseconds. */
  readonly computeWindowAge: (window: number) => Core.Millis;
  /** Finds the newest window for which all counts are known; undefined if none is recent. */
  readonly findDemandWindow: (daemonCount: number | undefined) => number | undefined;
  /** Checks whether the absence of counts, if there are none, shows that there is no demand. */
  readonly isDemandKnown: (daemonCount: number | undefined) => boolean;
  /**
   * Computes the demand for a service in prompt tokens per second: the largest one of the last
   * windows, so that a short pause of the load does not reduce the orders.
   */
  readonly computePeakDemand: (service: string) => number;
  /**
   * Returns the demand for which missing servers are replaced, by the newest window with counts;
   * undefined if the counts of the window after it should be known as well. Before the first counts
   * of a fleet, there is no demand.
   */
  readonly readMeasuredDemand: (
    service: string, daemonCount: number | undefined,
  ) => Scheduling.MeasuredDemand | undefined;
}

/** Creates the counts of a fleet, without any counts yet. */
export function createFleetCounts({
  countRequestsInProgress, countsLog, logger, trueTime, windowMs,
}: FleetCountsContext): FleetCounts {
  const collection = UsageCounts.createUsageCollection(windowMs);
  let nextOffset = 0;
  let readMs = -Infinity;
  /** Whether counts were deleted unread since the newest successful read. */
  let hasGap = false;

  const applyRecords = (values: readonly unknown[]): void => {
    const records = values.flatMap((value) => {
      const decoded = CountsRecord.decodeCounts(value);
      return decoded._tag === 'Some' ? [decoded.value] : [];
    });
    if (hasGap) collection.observeGap(records[0]?.writtenMs ?? trueTime.read());
    hasGap = false;
    records.forEach(collection.apply);
  };
  const read = async (canReadAgain = true): Promise<boolean> => {
    const sentMs = trueTime.read();
    const result = await Effect.runPromise(
      Effect.either(LogReading.readToEnd(countsLog, nextOffset)),
    );
    if (Either.isLeft(result)) {
      const error = result.left;
      if (error._tag === 'HistoryLost') {
        hasGap = true;
        nextOffset = error.first;
        if (canReadAgain) return read(false);
      }
      const detail = error._tag === 'HistoryLost' ? 'deleted before they were read' : error.message;
      logger.warn({ detail }, 'usage counts not read');
      return false;
    }
    applyRecords(result.right.records.map(({ value }) => value));
    nextOffset = result.right.next;
    readMs = sentMs;
    return true;
  };
  const hasAllCounts = (window: number, daemonCount: number | undefined): boolean => (
    window >= (collection.getCompleteFrom() ?? -Infinity)
      || collection.countDaemons(window) >= (daemonCount ?? Infinity)
  );
  const computeWindowAge = (window: number): Core.Millis => (
    trueTime.read() - (window + 1) * windowMs
  );
  /** Lists the windows whose demand counts, newest first. */
  const listDemandWindows = (): readonly number[] => {
    const current = UsageCounts.computeWindow(trueTime.read(), windowMs);
    return Array.from({ length: DEMAND_WINDOWS }, (_, index) => current - 1 - index);
  };
  const computeTokensPerSecond = (window: number, service: string): number => (
    collection.sumTokens(window, service) / (windowMs / MS_PER_S)
  );
  const findDemandWindow = (daemonCount: number | undefined): number | undefined => (
    listDemandWindows().find((window) => (
      collection.countDaemons(window) > 0 && hasAllCounts(window, daemonCount)
    ))
  );
  /** Checks whether there are or were counts, so that their absence does not show no demand. */
  const hasHadCounts = (): boolean => (
    collection.hasCounts() || collection.getCompleteFrom() !== undefined
  );

  return {
    collection,
    computePeakDemand: (service) => Math.max(
      ...listDemandWindows().map((window) => computeTokensPerSecond(window, service)),
    ),
    computeWindowAge,
    findDemandWindow,
    getReadTime: () => readMs,
    hasAllCounts,
    isDemandKnown: (daemonCount) => (
      findDemandWindow(daemonCount) !== undefined || !hasHadCounts()
    ),
    read: () => read(),
    readMeasuredDemand: (service, daemonCount) => {
      if (readMs === -Infinity) return undefined;
      const requests = countRequestsInProgress?.(service);
      const window = findDemandWindow(daemonCount);
      if (window === undefined) {
        return hasHadCounts() ? undefined : { requests, tokensPerSecond: 0 };
      }
      if (computeWindowAge(window) > windowMs + MAX_COUNTS_DELAY_MS) return undefined;
      const tokensPerSecond = computeTokensPerSecond(window, service);
      return { requests, tokensPerSecond: tokensPerSecond * REPLACED_DEMAND_SHARE };
    },
    reset: () => {
      nextOffset = 0;
      readMs = -Infinity;
    },
  };
}
