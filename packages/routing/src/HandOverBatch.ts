/**
 * Collects the counts that daemons hand over to a relay, so that one append stores those of a whole
 * group. Copies of the current window are kept as well; one is stored where its daemon, because it
 * was killed, sent no final figures.
 */
import type * as Core from '@berylyoke/core';
import type * as CountsRecord from './CountsRecord.js';

/**
 * Time for which final figures wait for those of other daemons: daemons look for ended windows
 * three times a second.
 */
const BATCH_DELAY_MS = 400;

/** Windows after which the copy of a killed daemon is too late for a report. */
const MAX_INTERIM_AGE_WINDOWS = 5;

/** Copies that are kept; a relay serves 16 daemons, some of which were restarted lately. */
const MAX_INTERIM = 256;

/** Batch of one relay. */
export interface HandOverBatch {
  /** Keeps copies of figures that may still grow. */
  readonly addInterim: (records: readonly CountsRecord.CountsRecord[]) => void;
  /** Resolves when the records are stored, with false where that failed. */
  readonly addFinal: (records: readonly CountsRecord.CountsRecord[]) => Promise<boolean>;
}

/** What a batch works with. */
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
