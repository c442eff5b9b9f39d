/**
 * Shares what daemons know of traits of requests that crash backend servers. Each daemon writes its
 * knowledge of a trait under a key of its own, so that no write replaces that of another daemon,
 * and follows the reports of all. They outlive restarts of daemons, because the store keeps them.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import * as CrashSuspects from './CrashSuspects.js';
import type * as FeedCopy from './FeedCopy.js';
import type * as Ports from './Ports.js';
import * as RequestTraits from './RequestTraits.js';

/** Delay after a failed write. */
const RETRY_DELAY_MS = 400;

/** Maximum number of traits whose reports wait to be written. */
const MAX_PENDING_TRAITS = 500;

/** Time for which a report that clears a trait is kept, so that every daemon reads it. */
const CLEARED_RETENTION_MS = 60_000;

const KEY_SEPARATOR = '/';

/** Longest trait that is reported; keys of the store have at most 255 bytes. */
const MAX_TRAIT_LENGTH = 64;

const ReportDocument = Schema.parseJson(Schema.Struct({
  clearedMs: Schema.Finite,
  crashes: Schema.Array(Schema.Struct({
    atMs: Schema.Finite,
    sentMs: Schema.optionalWith(Schema.Finite, { exact: true }),
    server: Schema.String,
  })),
}));

const decodeDocument = Schema.decodeUnknownOption(ReportDocument);

/** Decodes a report; undefined if it is malformed. */
export function decodeCrashReport(raw: Buffer): CrashSuspects.TraitReport | undefined {
  const decoded = decodeDocument(raw.toString('utf8'));
  return decoded._tag === 'None' ? undefined : decoded.value;
}

/** Checks whether a report has had its effect: it names no crash and was cleared long ago. */
function isOver({ clearedMs, crashes }: CrashSuspects.TraitReport, nowMs: Core.Millis): boolean {
  return crashes.length === 0 && nowMs - clearedMs > CLEARED_RETENTION_MS;
}

/** Describes a trait in a log line about it, by its kind. */
const TRAIT_LOGS = {
  fingerprint: {
    blocked: 'request blocked',
    describe: (fingerprint: string) => ({ fingerprint }),
    unblocked: 'request no longer blocked',
  },
  promptPart: {
    blocked: 'prompt part blocked',
    describe: (promptPart: string) => ({ promptPart }),
    unblocked: 'prompt part no longer blocked',
  },
} as const satisfies Record<RequestTraits.TraitKind, unknown>;

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
  /** Records that a server ended under a request with these traits, sent `elapsedMs` ago. */
  readonly observeCrash: (
    traits: readonly string[], server: string, elapsedMs: Core.Millis,
  ) => void;
  /** Records that a request with these traits was answered. */
  readonly observeAnswer: (traits: readonly string[]) => void;
  /** Records that a server answered a request that was sent `elapsedMs` ago. */
  readonly observeServerAnswer: (server: string, elapsedMs: Core.Millis) => void;
  /** Finds a trait because of which a request must not be sent. */
  readonly findBlocked: (traits: readonly string[]) => string | undefined;
  /** Checks whether a request has a trait under which several servers ended. */
  readonly isSuspect: (traits: readonly string[]) => boolean;
  /** Counts the blocked traits of a kind. */
  readonly countBlocked: (kind: RequestTraits.TraitKind) => number;
  /** Applies reports that were read. */
  readonly applyChanges: (
    changes: readonly FeedCopy.DecodedChange<CrashSuspects.TraitReport>[],
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
  /** Traits that this daemon has a report of in the store. */
  const written = new Set<string>();
  let loggedBlocked: readonly string[] = [];
  let isWriting = false;
  let hasFailed = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  /** Logs which traits became blocked, and which no longer are. */
  const logChanges = (): void => {
    const nowMs = readTrueTime();
    const blocked = suspects.listBlocked(nowMs);
    blocked.filter((trait) => !loggedBlocked.includes(trait)).forEach((trait) => {
      const { id, kind } = RequestTraits.parseTrait(trait);
      logger.warn({
        ...TRAIT_LOGS[kind].describe(id),
        servers: suspects.getReport(trait, nowMs).crashes.map(({ server }) => server),
      }, TRAIT_LOGS[kind].blocked);
    });
    loggedBlocked.filter((trait) => !blocked.includes(trait)).forEach((trait) => {
      const { id, kind } = RequestTraits.parseTrait(trait);
      logger.info(TRAIT_LOGS[kind].describe(id), TRAIT_LOGS[kind].unblocked);
    });
    loggedBlocked = blocked;
  };
  /** Encodes the report of a trait; undefined removes one that has had its effect. */
  const encodeReport = (trait: string, nowMs: Core.Millis): Buffer | undefined => {
    const report = suspects.getReport(trait, nowMs);
    if (isOver(report, nowMs)) {
      written.delete(trait);
      return undefined;
    }
    written.add(trait);
    return Buffer.from(JSON.stringify(report));
  };
  const writePending = async (): Promise<void> => {
    const traits = [...pending];
    if (isWriting || isStopped || traits.length === 0) return;
    isWriting = true;
    pending.clear();
    const nowMs = readTrueTime();
    const result = await Effect.runPromise(Effect.either(write(traits.map((trait) => ({
      key: `${trait}${KEY_SEPARATOR}${daemonId}`, raw: encodeReport(trait, nowMs),
    }))))).finally(() => {
      isWriting = false;
    });
    const hadFailed = hasFailed;
    hasFailed = result._tag === 'Left';
    if (result._tag === 'Left') {
      const { message } = result.left;
      if (!hadFailed) {
        logger.warn({ detail: message, parts: traits.length }, 'crashes not reported');
      }
      traits.forEach((trait) => pending.add(trait));
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
  const reportTraits = (traits: readonly string[]): void => {
    traits
      .filter(({ length }) => length <= MAX_TRAIT_LENGTH && pending.size < MAX_PENDING_TRAITS)
      .forEach((trait) => pending.add(trait));
    if (traits.length === 0) return;
    logChanges();
    startWriting();
  };
  const removalTimer = setInterval(() => {
    const nowMs = readTrueTime();
    reportTraits([...written].filter((trait) => (
      isOver(suspects.getReport(trait, nowMs), nowMs)
    )));
  }, CLEARED_RETENTION_MS);
  return {
    applyChanges: (changes) => {
      const nowMs = readTrueTime();
      changes.forEach(({ key, value }) => {
        const end = key.lastIndexOf(KEY_SEPARATOR);
        if (value === undefined || end < 0) return;
        const trait = key.slice(0, end);
        suspects.mergeReport(trait, value, nowMs);
        // The report may be from before a restart of this daemon.
        if (key.slice(end + 1) === daemonId) written.add(trait);
      });
      logChanges();
    },
    countBlocked: (kind) => suspects.listBlocked(readTrueTime())
      .filter((trait) => RequestTraits.parseTrait(trait).kind === kind).length,
    findBlocked: (traits) => suspects.findBlocked(traits, readTrueTime()),
    isSuspect: (traits) => suspects.isSuspect(traits, readTrueTime()),
    observeAnswer: (traits) => reportTraits(suspects.observeAnswer(traits, readTrueTime())),
    observeCrash: (traits, server, elapsedMs) => {
      const nowMs = readTrueTime();
      reportTraits(suspects.observeCrash(traits, { sentMs: nowMs - elapsedMs, server }, nowMs));
    },
    observeServerAnswer: (server, elapsedMs) => {
      suspects.observeServerAnswer(server, readTrueTime() - elapsedMs);
    },
    rewrite: () => reportTraits([...written]),
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
      clearInterval(removalTimer);
    },
  };
}
