/**
 * Records in the store of the software version at which a stream began. They are written before
 * the caller has the first event and read when a caller resumes a stream, so they outlive every
 * daemon. Records that come up while a write is in progress are written together by the next one.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as LogPosition from './LogPosition.js';
import type * as Ports from './Ports.js';
import * as StreamRecordTable from './StreamRecordTable.js';

/** Delay after a failed write. */
const RETRY_DELAY_MS = 200;

/** Maximum number of records in one write. */
const MAX_BATCH = 500;

/** Time for which the record of a stream that its caller has whole is kept. */
const COMPLETE_RETENTION_MS = 10_000;

/** Time for which the record of any other stream is kept; longer than its caller goes on trying. */
const RETENTION_MS = 120_000;

/** Time after which any daemon removes a record, because the daemon that wrote it is gone. */
const ABANDONED_MS = 600_000;

const REMOVAL_INTERVAL_MS = 60_000;

/** Time that a request waits for the records to be read. */
const READ_TIMEOUT_MS = 500;

/** Time in which daemons write their records again after the store returned from an older copy. */
const RESTORE_GRACE_MS = 4_000;

/** Beginning of a stream. */
export interface StreamBeginning extends StreamRecordTable.StreamName {
  /** Number of the request's attempt; the record of a later one replaces that of an earlier one. */
  readonly attempt: number;
  readonly version: string;
}

/** What the records say of a stream. */
export type FoundRecord = { readonly _tag: 'Absent' }
  | { readonly _tag: 'Recorded'; readonly version: string }
  | { readonly _tag: 'Unreadable' };

/** Dependencies of the records. */
export interface StreamRecordsContext {
  readonly clock: Core.Clock;
  readonly feed: Ports.WritableKeyedFeed;
  readonly logger: Core.Logger;
  /** Returns the estimate of the true time in Unix milliseconds. */
  readonly readTrueTime: () => Core.Millis;
}

/** Records of the beginnings of streams. */
export interface StreamRecords {
  /**
   * Records the beginning of a stream; calls `onStored` when the store has the record.
   *
   * @returns a function to call when the request ends, with whether its caller has the whole stream
   */
  readonly record: (
    beginning: StreamBeginning, onStored: () => void,
  ) => (isComplete: boolean) => void;
  /** Reads the store and finds the record of a stream; never rejects. */
  readonly find: (name: StreamRecordTable.StreamName) => Promise<FoundRecord>;
  /** Writes the records of this daemon again, after the store returned from an older copy. */
  readonly rewrite: () => void;
  readonly stop: () => void;
}

/** A record that this daemon wrote or is about to write. */
interface OwnRecord {
  readonly raw: Buffer;
  /** Monotonic time at which it is removed. */
  expiryMs: Core.Millis;
}

/** Starts without any record. */
export function startStreamRecords(
  {
    clock, feed, logger, readTrueTime,
  }: StreamRecordsContext,
): StreamRecords {
  const table = StreamRecordTable.createStreamRecordTable();
  const own = new Map<string, OwnRecord>();
  /** Callbacks of the records that wait to be written, by key. */
  const pending = new Map<string, () => void>();
  let isWriting = false;
  let hasFailed = false;
  let isStopped = false;
  let retryTimer: NodeJS.Timeout | undefined;
  let next: number | undefined;
  let restoredMs = -Infinity;
  let activeRead: Promise<boolean> | undefined;
  let queuedRead: Promise<boolean> | undefined;

  const listExpired = (): readonly string[] => {
    const nowMs = clock.readMonotonic();
    return [...own].filter(([, { expiryMs }]) => nowMs >= expiryMs).map(([key]) => key);
  };
  const writeBatch = async (keys: readonly string[]): Promise<boolean> => {
    const expired = listExpired();
    const result = await Effect.runPromise(Effect.either(feed.write([
      ...keys.map((key) => ({ key, raw: own.get(key)?.raw })),
      ...expired.map((key) => ({ key, raw: undefined })),
    ])));
    if (result._tag === 'Right') {
      hasFailed = false;
      expired.forEach((key) => own.delete(key));
      return true;
    }
    if (!hasFailed) {
      logger.warn(
        { detail: result.left.message, records: keys.length },
        'beginnings of streams not recorded',
      );
    }
    hasFailed = true;
    return false;
  };
  const writePending = async (): Promise<void> => {
    const batch = [...pending].slice(0, MAX_BATCH);
    if (isWriting || isStopped || batch.length === 0) return;
    isWriting = true;
    batch.forEach(([key]) => pending.delete(key));
    const isWritten = await writeBatch(batch.map(([key]) => key)).finally(() => {
      isWriting = false;
    });
    if (!isWritten) {
      batch.filter(([key]) => own.has(key)).forEach(([key, onStored]) => (
        pending.set(key, onStored)
      ));
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      retryTimer = setTimeout(startWriting, RETRY_DELAY_MS);
      return;
    }
    batch.forEach(([, onStored]) => onStored());
    await writePending();
  };
  const startWriting = (): void => {
    writePending().catch((error: unknown) => {
      logger.error({ error: String(error) }, 'unexpected error in the records of streams');
    });
  };
  const removalTimer = setInterval(() => {
    table.listOlder(readTrueTime() - ABANDONED_MS).forEach((key) => {
      if (!own.has(key)) own.set(key, { expiryMs: -Infinity, raw: Buffer.alloc(0) });
    });
    if (listExpired().length > 0 && !isWriting) {
      writeBatch([]).catch((error: unknown) => {
        logger.error({ error: String(error) }, 'unexpected error in the records of streams');
      });
    }
  }, REMOVAL_INTERVAL_MS);

  const applyPage = (page: Ports.FeedPage, isSnapshot: boolean): void => {
    const generation = LogPosition.getGeneration(page.next);
    if (next !== undefined && generation > LogPosition.getGeneration(next)) {
      restoredMs = clock.readMonotonic();
    }
    if (isSnapshot) table.clear();
    table.apply(page.changes);
    next = page.next;
  };
  /** Reads up to the end of the feed; resolves with whether that succeeded. */
  const readToEnd = async (from: number | undefined): Promise<boolean> => {
    const result = await Effect.runPromise(Effect.either(
      from === undefined ? feed.readNewest() : feed.readChanges(from, 0),
    ));
    if (result._tag === 'Left') {
      return result.left._tag === 'HistoryLost' ? readToEnd(undefined) : false;
    }
    const { hasMore = false, next: end } = result.right;
    applyPage(result.right, from === undefined);
    if (!hasMore) return true;
    const hasProgress = from === undefined || end > from;
    return hasProgress ? readToEnd(end) : false;
  };
  const startRead = (): Promise<boolean> => {
    activeRead = readToEnd(next).finally(() => {
      activeRead = undefined;
    });
    return activeRead;
  };
  /** Reads what was written before this call; requests that wait share one read. */
  const readOnce = (): Promise<boolean> => {
    if (activeRead === undefined) return startRead();
    queuedRead ??= activeRead.catch(() => false).then(() => {
      queuedRead = undefined;
      return startRead();
    });
    return queuedRead;
  };

  return {
    find: async (name) => {
      const timeout = new Promise<false>((resolve) => {
        setTimeout(() => resolve(false), READ_TIMEOUT_MS);
      });
      const isRead = await Promise.race([readOnce().catch(() => false), timeout]);
      const record = table.getNewest(name);
      if (record !== undefined) return { _tag: 'Recorded', version: record.version };
      const isSure = isRead && clock.readMonotonic() - restoredMs >= RESTORE_GRACE_MS;
      return { _tag: isSure ? 'Absent' : 'Unreadable' };
    },
    record: (beginning, onStored) => {
      const { attempt, version } = beginning;
      const key = StreamRecordTable.formatRecordKey(beginning, attempt);
      const raw = StreamRecordTable.encodeStreamRecord({ atMs: readTrueTime(), version });
      const record: OwnRecord = { expiryMs: Infinity, raw };
      own.set(key, record);
      pending.set(key, onStored);
      startWriting();
      return (isComplete) => {
        if (pending.delete(key)) own.delete(key);
        record.expiryMs = clock.readMonotonic()
          + (isComplete ? COMPLETE_RETENTION_MS : RETENTION_MS);
      };
    },
    rewrite: () => {
      own.forEach((_, key) => {
        if (!pending.has(key)) pending.set(key, () => undefined);
      });
      startWriting();
    },
    stop: () => {
      isStopped = true;
      clearTimeout(retryTimer);
      clearInterval(removalTimer);
    },
  };
}
