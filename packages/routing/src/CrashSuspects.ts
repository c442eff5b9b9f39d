/**
 * Finds the traits of requests that crash backend servers, such as a part of a prompt. Any request
 * with such a trait crashes the server that begins to answer it, so the trait is told from the
 * servers that ended under requests that had barely been answered, by the reports of all daemons
 * together. Those requests have other traits as well, which sound requests share: an answer to a
 * request clears all of its traits, and a trait is not blamed for crashes that another trait
 * explains better. A server that answers later did not crash; only its connection ended. All times
 * are estimates of the true time in Unix milliseconds, because daemons exchange them.
 */
import * as Core from '@berylyoke/core';

/** End of a server under a request with a trait. */
export interface Crash {
  /** Name of the server's incarnation. */
  readonly server: string;
  readonly atMs: Core.Millis;
  /** Time at which the request was sent; undefined in reports of older daemons. */
  readonly sentMs?: Core.Millis;
}

/** What is known of one trait; reports of several daemons are merged. */
export interface TraitReport {
  readonly crashes: readonly Crash[];
  /** Time of the last answer to a request with the trait; crashes up to then do not count. */
  readonly clearedMs: Core.Millis;
}

/** Knowledge of traits that crash servers. */
export interface CrashSuspects {
  /**
   * Records that a server ended under a request with these traits.
   *
   * @returns the traits to report; not those that were answered a moment ago
   */
  readonly observeCrash: (
    traits: readonly string[], crash: Omit<Crash, 'atMs'>, nowMs: Core.Millis,
  ) => readonly string[];
  /**
   * Records that a request with these traits was answered.
   *
   * @returns the traits to report: those that were suspected
   */
  readonly observeAnswer: (traits: readonly string[], nowMs: Core.Millis) => readonly string[];
  /** Records that a server answered a request that was sent at `sentMs`. */
  readonly observeServerAnswer: (server: string, sentMs: Core.Millis) => void;
  /** Merges the report of another daemon. */
  readonly mergeReport: (trait: string, report: TraitReport, nowMs: Core.Millis) => void;
  /** Returns the merged report of a trait, without crashes that no longer count. */
  readonly getReport: (trait: string, nowMs: Core.Millis) => TraitReport;
  /** Finds a trait because of which a request must not be sent; undefined if there is none. */
  readonly findBlocked: (traits: readonly string[], nowMs: Core.Millis) => string | undefined;
  /** Checks whether a request has a trait under which several servers ended. */
  readonly isSuspect: (traits: readonly string[], nowMs: Core.Millis) => boolean;
  /** Lists the blocked traits. */
  readonly listBlocked: (nowMs: Core.Millis) => readonly string[];
}

/** Number of separate crashes under a trait before requests with it are blocked. */
const MIN_BLOCKING_CRASHES = 3;

/**
 * Number of crashes under a trait, apart in time, before requests with it are not retried. Those of
 * one request and its retries are not: two faulty servers must not cost a sound stream.
 */
const MIN_SUSPECT_CRASHES = 2;

/**
 * Time within which crashes count as one, unless the request of the later one was sent after the
 * earlier one. Servers that end together, such as those of a data centre that is lost, have another
 * cause than the requests that wait at each of them.
 */
const SEPARATE_CRASHES_MS = 300;

/**
 * Time after the newest crash for which a trait is blocked. The first crash after it blocks the
 * trait again, since the earlier crashes still count.
 */
export const BLOCK_MS = 600_000;

/** Time for which a crash counts. */
const MAX_CRASH_AGE_MS = 3_600_000;

/** Time after an answer in which a crash does not make a trait of its request a suspect. */
const ANSWER_VALID_MS = 3_000;

/** Maximum number of stored reports and servers. */
const MAX_ENTRIES = 2_000;

/** Maximum number of stored answers; enough for those of `ANSWER_VALID_MS` at a busy daemon. */
const MAX_ANSWERED_TRAITS = 20_000;

/** Maximum number of crashes of one trait that are kept and reported. */
const MAX_CRASHES = 16;

const EMPTY_REPORT: TraitReport = { clearedMs: 0, crashes: [] };

function mergeReports(a: TraitReport, b: TraitReport): TraitReport {
  const clearedMs = Math.max(a.clearedMs, b.clearedMs);
  const byServer = new Map<string, Crash>();
  [...a.crashes, ...b.crashes].forEach((crash) => {
    const { sentMs = -Infinity } = byServer.get(crash.server) ?? {};
    // The request that was sent last tells most about what it had in common with other crashes.
    if ((crash.sentMs ?? -Infinity) >= sentMs) byServer.set(crash.server, crash);
  });
  const crashes = [...byServer.values()].filter(({ atMs }) => atMs > clearedMs)
    .sort((one, other) => one.atMs - other.atMs).slice(-MAX_CRASHES);
  return { clearedMs, crashes };
}

/** Counts crashes that are separate from the one counted before; they are sorted by time. */
function countSeparate(
  crashes: readonly Crash[],
  isSeparate: (crash: Crash, lastMs: Core.Millis) => boolean,
): number {
  let count = 0;
  let lastMs = -Infinity;
  crashes.forEach((crash) => {
    if (!isSeparate(crash, lastMs)) return;
    count += 1;
    lastMs = crash.atMs;
  });
  return count;
}

function isApart({ atMs }: Crash, lastMs: Core.Millis): boolean {
  return atMs - lastMs >= SEPARATE_CRASHES_MS;
}

/** Checks whether a crash has another cause than whatever ended a server at `lastMs`. */
function isIndependent(crash: Crash, lastMs: Core.Millis): boolean {
  return isApart(crash, lastMs) || (crash.sentMs ?? -Infinity) >= lastMs;
}

function countUnshared(crashes: readonly Crash[], others: readonly Crash[]): number {
  const servers = new Set(others.map(({ server }) => server));
  return crashes.filter(({ server }) => !servers.has(server)).length;
}

/**
 * Chooses the report to drop when there are too many: the oldest one of a single crash, since each
 * server that ends breaks many requests that have nothing to do with it.
 */
function chooseDispensable(reports: ReadonlyMap<string, TraitReport>): string {
  const traits = [...reports.keys()];
  const single = traits.find((trait) => (
    (reports.get(trait)?.crashes.length ?? 0) < MIN_SUSPECT_CRASHES
  ));
  return single ?? traits[0] as string;
}

/** Creates a view in which no trait is suspected. */
export function createCrashSuspects(): CrashSuspects {
  const reports = new Map<string, TraitReport>();
  const answeredMs = new Map<string, Core.Millis>();

  /** Time at which this daemon learned of the end of each server. */
  const endKnownMs = new Map<string, Core.Millis>();
  /** Servers that answered after their reported end. */
  const aliveServers = new Map<string, true>();

  const getReport = (trait: string, nowMs: Core.Millis): TraitReport => {
    const { clearedMs, crashes } = reports.get(trait) ?? EMPTY_REPORT;
    return {
      clearedMs,
      crashes: crashes.filter(({ atMs, server }) => (
        nowMs - atMs < MAX_CRASH_AGE_MS && !aliveServers.has(server)
      )),
    };
  };
  const listCrashes = (trait: string, nowMs: Core.Millis): readonly Crash[] => (
    getReport(trait, nowMs).crashes
  );
  const hasBlockingCrashes = (crashes: readonly Crash[], nowMs: Core.Millis): boolean => (
    countSeparate(crashes, isIndependent) >= MIN_BLOCKING_CRASHES
    && crashes.some(({ atMs }) => nowMs - atMs < BLOCK_MS)
  );
  const listBlocked = (nowMs: Core.Millis): readonly string[] => [...reports.keys()]
    .filter((trait) => hasBlockingCrashes(listCrashes(trait, nowMs), nowMs));
  const mergeReport: CrashSuspects['mergeReport'] = (trait, report, nowMs) => {
    report.crashes.filter(({ server }) => !endKnownMs.has(server)).forEach(({ server }) => {
      Core.setBounded(endKnownMs, server, nowMs, MAX_ENTRIES);
    });
    const merged = mergeReports(reports.get(trait) ?? EMPTY_REPORT, report);
    reports.delete(trait);
    if (reports.size >= MAX_ENTRIES) reports.delete(chooseDispensable(reports));
    reports.set(trait, merged);
  };
  /**
   * Checks whether a trait is to blame for a request with `traits`. It is not if another trait has
   * more crashes and they include its own. Of traits with the same crashes, any may be to blame, so
   * only a request with all of them is blocked; another one shows which of them is sound.
   */
  const isBlocking = (
    trait: string,
    traits: readonly string[],
    nowMs: Core.Millis,
  ): boolean => {
    const crashes = listCrashes(trait, nowMs);
    if (!hasBlockingCrashes(crashes, nowMs)) return false;
    return listBlocked(nowMs).every((other) => {
      const others = listCrashes(other, nowMs);
      const hasOwnCrashes = countUnshared(crashes, others) >= MIN_BLOCKING_CRASHES;
      return hasOwnCrashes || others.length < crashes.length
        || (others.length === crashes.length && traits.includes(other));
    });
  };

  return {
    findBlocked: (traits, nowMs) => (
      reports.size === 0
        ? undefined
        : traits.find((trait) => isBlocking(trait, traits, nowMs))
    ),
    getReport,
    isSuspect: (traits, nowMs) => traits.some((trait) => (
      countSeparate(listCrashes(trait, nowMs), isApart) >= MIN_SUSPECT_CRASHES
    )),
    listBlocked,
    mergeReport,
    observeAnswer: (traits, nowMs) => traits.filter((trait) => {
      Core.setBounded(answeredMs, trait, nowMs, MAX_ANSWERED_TRAITS);
      const crashes = listCrashes(trait, nowMs);
      if (crashes.length === 0) return false;
      // A crash may bear the time of another daemon, whose estimate is ahead.
      const clearedMs = Math.max(nowMs, ...crashes.map(({ atMs }) => atMs));
      mergeReport(trait, { clearedMs, crashes: [] }, nowMs);
      return true;
    }),
    observeServerAnswer: (server, sentMs) => {
      if (sentMs <= (endKnownMs.get(server) ?? Infinity)) return;
      Core.setBounded(aliveServers, server, true, MAX_ENTRIES);
    },
    observeCrash: (traits, crash, nowMs) => traits.filter((trait) => {
      if (nowMs - (answeredMs.get(trait) ?? -Infinity) < ANSWER_VALID_MS) return false;
      mergeReport(trait, { clearedMs: 0, crashes: [{ ...crash, atMs: nowMs }] }, nowMs);
      return true;
    }),
  };
}
