/**
 * Batches the counts that daemons hand over to a relay, so that one append stores the counts of a
 * whole group of daemons. The batch also keeps the interim counts of the current window. It stores
 * them when the window has ended if their daemon was killed and sent no final counts.
 */
import type * as Core from '@berylyoke/core';
import type * as CountsRecord from './CountsRecord.js';

/**
 * Time that final counts wait for those of other daemons. Daemons check for ended windows three
 * times a second, so most of them hand over within this time.
 */
const BATCH_DELAY_MS = 400;

/** Age in windows beyond which the interim counts of a killed daemon are too late for a report. */
const MAX_INTERIM_AGE_WINDOWS = 5;

/** Maximum number of interim records; a relay serves 16 daemons, some of them just restarted. */
const MAX_INTERIM = 256;

/** Batch of the counts at one relay. */
export interface HandOverBatch {
  /** Adds interim counts, which may still grow; newer ones of a process replace older ones. */
  readonly addInterim: (records: readonly CountsRecord.CountsRecord[]) => void;
  /** Adds final counts; resolves when they are stored, with false if that failed. */
  readonly addFinal: (records: readonly CountsRecord.CountsRecord[]) => Promise<boolean>;
}

/** Dependencies of a batch. */
export interface BatchOptions {
  readonly append: (records: readonly CountsRecord.CountsRecord[]) => Promise<boolean>;
  readonly computeCurrentWindow: () => number;
}

function formatRecordKey({ daemonId, incarnation, window }: CountsRecord.CountsRecord): string {
  return `${daemonId}/${incarnation}/${window}`;
}

/** Creates an empty batch. */
export function createHandOverBatch(
  { append, computeCurrentWindow }: BatchOptions,
  batchDelayMs: Core.Millis = BATCH_DELAY_MS,
): HandOverBatch {
  const interimRecords = new Map<string, CountsRecord.CountsRecord>();
  let finalRecords: CountsRecord.CountsRecord[] = [];
  let activeFlush: Promise<boolean> | undefined;

  const addInterim: HandOverBatch['addInterim'] = (added) => added.forEach((record) => {
    interimRecords.set(formatRecordKey(record), record);
    const [oldest] = interimRecords.keys();
    if (interimRecords.size > MAX_INTERIM && oldest !== undefined) interimRecords.delete(oldest);
  });
  /** Takes the interim counts of ended windows whose daemons sent no final counts. */
  const takeOrphans = (): readonly CountsRecord.CountsRecord[] => {
    const current = computeCurrentWindow();
    const ended = [...interimRecords].filter(([, { window }]) => window < current);
    ended.forEach(([key]) => interimRecords.delete(key));
    return ended
      .map(([, record]) => record)
      .filter(({ window }) => window >= current - MAX_INTERIM_AGE_WINDOWS);
  };
  const flush = async (): Promise<boolean> => {
    await new Promise((resolve) => {
      setTimeout(resolve, batchDelayMs);
    });
    const flushedFinals = finalRecords;
    finalRecords = [];
    activeFlush = undefined;
    const orphans = takeOrphans();
    const isStored = await append([...flushedFinals, ...orphans]);
    if (!isStored) addInterim(orphans);
    return isStored;
  };

  return {
    addInterim,
    addFinal: (added) => {
      added.forEach((record) => interimRecords.delete(formatRecordKey(record)));
      finalRecords.push(...added);
      activeFlush ??= flush();
      return activeFlush;
    },
  };
}
