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
const BATCH_MS = 400;

/** Windows after which the copy of a killed daemon is too late for a report. */
const MAX_COPY_WINDOWS = 5;

/** Copies that are kept; a relay serves 16 daemons, some of which were restarted lately. */
const MAX_COPIES = 256;

/** Batch of one relay. */
export interface HandOverBatch {
  /** Keeps copies of figures that may still grow. */
  readonly addCopies: (records: readonly CountsRecord.CountsRecord[]) => void;
  /** Resolves when the records are stored, with false where that failed. */
  readonly addFinal: (records: readonly CountsRecord.CountsRecord[]) => Promise<boolean>;
}

/** What a batch works with. */
export interface BatchOptions {
  readonly append: (records: readonly CountsRecord.CountsRecord[]) => Promise<boolean>;
  readonly computeCurrentWindow: () => number;
}

function formatName({ daemonId, incarnation, window }: CountsRecord.CountsRecord): string {
  return `${daemonId}/${incarnation}/${window}`;
}

/** Creates an empty batch. */
export function createHandOverBatch(
  { append, computeCurrentWindow }: BatchOptions,
  batchMs: Core.Millis = BATCH_MS,
): HandOverBatch {
  const copies = new Map<string, CountsRecord.CountsRecord>();
  let records: CountsRecord.CountsRecord[] = [];
  let flushing: Promise<boolean> | undefined;

  const addCopies: HandOverBatch['addCopies'] = (added) => added.forEach((record) => {
    copies.set(formatName(record), record);
    const [oldest] = copies.keys();
    if (copies.size > MAX_COPIES && oldest !== undefined) copies.delete(oldest);
  });
  const takeOrphans = (): readonly CountsRecord.CountsRecord[] => {
    const current = computeCurrentWindow();
    const ended = [...copies].filter(([, { window }]) => window < current);
    ended.forEach(([name]) => copies.delete(name));
    return ended
      .map(([, record]) => record)
      .filter(({ window }) => window >= current - MAX_COPY_WINDOWS);
  };
  const flush = async (): Promise<boolean> => {
    await new Promise((resolve) => {
      setTimeout(resolve, batchMs);
    });
    const finals = records;
    records = [];
    flushing = undefined;
    const orphans = takeOrphans();
    const isStored = await append([...finals, ...orphans]);
    if (!isStored) addCopies(orphans);
    return isStored;
  };

  return {
    addCopies,
    addFinal: (added) => {
      added.forEach((record) => copies.delete(formatName(record)));
      records.push(...added);
      flushing ??= flush();
      return flushing;
    },
  };
}
