/**
 * Shares what daemons know of prompt parts that crash backend servers. Each daemon writes its
 * knowledge of a part under a key of its own, so that no write replaces that of another daemon, and
 * follows the reports of all. They outlive restarts of daemons, because the store keeps them.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import * as CrashSuspects from './CrashSuspects.js';
import type * as FeedCopy from './FeedCopy.js';
import type * as Ports from './Ports.js';

/** Delay after a failed write. */
const RETRY_DELAY_MS = 400;

/** Maximum number of parts whose reports wait to be written. */
const MAX_PENDING_PARTS = 500;

/** Time for which a report that clears a part is kept, so that every daemon reads it. */
const CLEARED_RETENTION_MS = 60_000;

const KEY_SEPARATOR = '/';

/** Longest part id that is reported; keys of the store have at most 255 bytes. */
const MAX_PART_ID_LENGTH = 64;

const ReportDocument = Schema.parseJson(Schema.Struct({
  clearedMs: Schema.Number,
  crashes: Schema.Array(Schema.Struct({ atMs: Schema.Number, server: Schema.String })),
}));

const decodeDocument = Schema.decodeUnknownOption(ReportDocument);

/** Decodes a report; undefined if it is malformed. */
export function decodeCrashReport(raw: Buffer): CrashSuspects.PartReport | undefined {
  const decoded = decodeDocument(raw.toString('utf8'));
  return decoded._tag === 'None' ? undefined : decoded.value;
}

/** Checks whether a report has had its effect: it names no crash and was cleared long ago. */
function isOver({ clearedMs, crashes }: CrashSuspects.PartReport, nowMs: Core.Millis): boolean {
  return crashes.length === 0 && nowMs - clearedMs > CLEARED_RETENTION_MS;
}

/** Settings and dependencies of the reports of a daemon. */
export interface CrashReportsContext {
  readonly daemonId: string;
  readonly logger: Core.Logger;
  /** Returns the estimate of the true time in Unix milliseconds. */
  readonly readTrueTime: () => Core.Millis;
  readonly write: Ports.WritableKeyedFeed['write'];
}

/** Crash reports as requests use them. */
export interface CrashReports {
  /** Records that a server ended under a request with these parts. */
  readonly observeCrash: (partIds: readonly string[], server: string) => void;
  /** Records that a request with these parts was answered. */
  readonly observeAnswer: (partIds: readonly string[]) => void;
  /** Records that a server answered a request that was sent `elapsedMs` ago. */
  readonly observeServerAnswer: (server: string, elapsedMs: Core.Millis) => void;
  /** Finds a part because of which a request must not be sent. */
  readonly findBlocked: (partIds: readonly string[]) => string | undefined;
  /** Checks whether a request has a part under which several servers ended. */
  readonly isSuspect: (partIds: readonly string[]) => boolean;
  readonly countBlocked: () => number;
  /** Applies reports that were read. */
  readonly applyChanges: (
    changes: readonly FeedCopy.DecodedChange<CrashSuspects.PartReport>[],
  ) => void;
  /** Writes the reports of this daemon again, after the store returned from an older copy. */
  readonly rewrite: () => void;
  readonly stop: () => void;
}

/** Starts without any report. */
export function startCrashReports(
  {
    daemonId, logger, readTrueTime, write,
  }: CrashReportsContext,
): CrashReports {
  const suspects = CrashSuspects.createCrashSuspects();
  const pending = new Set<string>();
  /** Parts that this daemon has a report of in the store. */
  const written = new Set<string>();
  let loggedBlocked: readonly string[] = [];
  let isWriting = false;
  let hasFailed = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  /** Logs which parts became blocked, and which no longer are. */
  const logChanges = (): void => {
    const nowMs = readTrueTime();
    const blocked = suspects.listBlocked(nowMs);
    blocked.filter((partId) => !loggedBlocked.includes(partId)).forEach((partId) => {
      logger.warn({
        promptPart: partId,
        servers: suspects.getReport(partId, nowMs).crashes.map(({ server }) => server),
      }, 'prompt part blocked');
    });
    loggedBlocked.filter((partId) => !blocked.includes(partId)).forEach((promptPart) => {
      logger.info({ promptPart }, 'prompt part no longer blocked');
    });
    loggedBlocked = blocked;
  };
  /** Encodes the report of a part; undefined removes one that has had its effect. */
  const encodeReport = (partId: string, nowMs: Core.Millis): Buffer | undefined => {
    const report = suspects.getReport(partId, nowMs);
    if (isOver(report, nowMs)) {
      written.delete(partId);
      return undefined;
    }
    written.add(partId);
    return Buffer.from(JSON.stringify(report));
  };
  const writePending = async (): Promise<void> => {
    const partIds = [...pending];
    if (isWriting || isStopped || partIds.length === 0) return;
    isWriting = true;
    pending.clear();
    const nowMs = readTrueTime();
    const result = await Effect.runPromise(Effect.either(write(partIds.map((partId) => ({
      key: `${partId}${KEY_SEPARATOR}${daemonId}`, raw: encodeReport(partId, nowMs),
    }))))).finally(() => {
      isWriting = false;
    });
    const hadFailed = hasFailed;
    hasFailed = result._tag === 'Left';
    if (result._tag === 'Left') {
      const { message } = result.left;
      if (!hadFailed) {
        logger.warn({ detail: message, parts: partIds.length }, 'crashes not reported');
      }
      partIds.forEach((partId) => pending.add(partId));
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      timer = setTimeout(startWriting, RETRY_DELAY_MS);
      return;
    }
    await writePending();
  };
  const startWriting = (): void => {
    writePending().catch((error: unknown) => {
      logger.error({ error: String(error) }, 'unexpected error in the report of crashes');
    });
  };
  const reportParts = (partIds: readonly string[]): void => {
    partIds
      .filter(({ length }) => length <= MAX_PART_ID_LENGTH && pending.size < MAX_PENDING_PARTS)
      .forEach((partId) => pending.add(partId));
    if (partIds.length === 0) return;
    logChanges();
    startWriting();
  };
  const removalTimer = setInterval(() => {
    const nowMs = readTrueTime();
    reportParts([...written].filter((partId) => (
      isOver(suspects.getReport(partId, nowMs), nowMs)
    )));
  }, CLEARED_RETENTION_MS);
  return {
    applyChanges: (changes) => {
      const nowMs = readTrueTime();
      changes.forEach(({ key, value }) => {
        const end = key.lastIndexOf(KEY_SEPARATOR);
        if (value === undefined || end < 0) return;
        const partId = key.slice(0, end);
        suspects.mergeReport(partId, value, nowMs);
        // The report may be from before a restart of this daemon.
        if (key.slice(end + 1) === daemonId) written.add(partId);
      });
      logChanges();
    },
    countBlocked: () => suspects.listBlocked(readTrueTime()).length,
    findBlocked: (partIds) => suspects.findBlocked(partIds, readTrueTime()),
    isSuspect: (partIds) => suspects.isSuspect(partIds, readTrueTime()),
    observeAnswer: (partIds) => reportParts(suspects.observeAnswer(partIds, readTrueTime())),
    observeCrash: (partIds, server) => {
      reportParts(suspects.observeCrash(partIds, server, readTrueTime()));
    },
    observeServerAnswer: (server, elapsedMs) => {
      suspects.observeServerAnswer(server, readTrueTime() - elapsedMs);
    },
    rewrite: () => reportParts([...written]),
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
      clearInterval(removalTimer);
    },
  };
}
