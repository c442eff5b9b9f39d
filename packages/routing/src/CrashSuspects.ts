/**
 * Finds the parts of prompts that crash backend servers. Any request with such a part crashes the
 * server that begins to answer it, so the part is told from the servers that ended under requests
 * that had barely been answered, by the reports of all daemons together. Those requests have other
 * parts as well, which sound requests share: an answer to a request clears all of its parts, and a
 * part is not blamed for crashes that another part explains better. A server that answers later did
 * not crash; only its connection ended. All times are estimates of the true time in Unix
 * milliseconds, because daemons exchange them.
 */
import * as Core from '@berylyoke/core';

/** End of a server under a request with a part. */
export interface Crash {
  /** Name of the server's incarnation. */
  readonly server: string;
  readonly atMs: Core.Millis;
}

/** What is known of one part; reports of several daemons are merged. */
export interface PartReport {
  readonly crashes: readonly Crash[];
  /** Time of the last answer to a request with the part; crashes up to then do not count. */
  readonly clearedMs: Core.Millis;
}

/** Knowledge of parts that crash servers. */
export interface CrashSuspects {
  /**
   * Records that a server ended under a request with these parts.
   *
   * @returns the parts to report; not those that were answered a moment ago
   */
  readonly observeCrash: (
    partIds: readonly string[], server: string, nowMs: Core.Millis,
  ) => readonly string[];
  /**
   * Records that a request with these parts was answered.
   *
   * @returns the parts to report: those that were suspected
   */
  readonly observeAnswer: (partIds: readonly string[], nowMs: Core.Millis) => readonly string[];
  /** Records that a server answered a request that was sent at `sentMs`. */
  readonly observeServerAnswer: (server: string, sentMs: Core.Millis) => void;
  /** Merges the report of another daemon. */
  readonly mergeReport: (partId: string, report: PartReport, nowMs: Core.Millis) => void;
  /** Returns the merged report of a part, without crashes that no longer count. */
  readonly getReport: (partId: string, nowMs: Core.Millis) => PartReport;
  /** Finds a part because of which a request must not be sent; undefined if there is none. */
  readonly findBlocked: (partIds: readonly string[], nowMs: Core.Millis) => string | undefined;
  /** Checks whether a request has a part under which several servers ended. */
  readonly isSuspect: (partIds: readonly string[], nowMs: Core.Millis) => boolean;
  /** Lists the blocked parts. */
  readonly listBlocked: (nowMs: Core.Millis) => readonly string[];
}

/** Number of separate crashes under a part before requests with it are blocked. */
const MIN_BLOCKING_CRASHES = 3;

/** Number of separate crashes under a part before requests with it are not retried. */
const MIN_SUSPECT_CRASHES = 2;

/**
 * Time within which crashes count as one. Servers that end together, such as those of a data centre
 * that is lost, have another cause than the requests that wait at each of them.
 */
const SEPARATE_CRASHES_MS = 300;

/**
 * Time after the newest crash for which a part is blocked. The first crash after it blocks the part
 * again, since the earlier crashes still count.
 */
export const BLOCK_MS = 600_000;

/** Time for which a crash counts. */
const MAX_CRASH_AGE_MS = 3_600_000;

/** Time after an answer in which a crash does not make a part of its request a suspect. */
const ANSWER_VALID_MS = 3_000;

/** Maximum number of stored parts and servers; more are in use only in an attack. */
const MAX_ENTRIES = 2_000;

/** Maximum number of crashes of one part that are kept and reported. */
const MAX_CRASHES = 16;

const EMPTY_REPORT: PartReport = { clearedMs: 0, crashes: [] };

function mergeReports(a: PartReport, b: PartReport): PartReport {
  const clearedMs = Math.max(a.clearedMs, b.clearedMs);
  const byServer = new Map([...a.crashes, ...b.crashes].map((crash) => [crash.server, crash]));
  const crashes = [...byServer.values()].filter(({ atMs }) => atMs > clearedMs)
    .sort((one, other) => one.atMs - other.atMs).slice(-MAX_CRASHES);
  return { clearedMs, crashes };
}

/** Counts crashes that are not at the same time as another one; they are sorted by time. */
function countSeparate(crashes: readonly Crash[]): number {
  let count = 0;
  let lastMs = -Infinity;
  crashes.forEach(({ atMs }) => {
    if (atMs - lastMs < SEPARATE_CRASHES_MS) return;
    count += 1;
    lastMs = atMs;
  });
  return count;
}

function countUnshared(crashes: readonly Crash[], others: readonly Crash[]): number {
  const servers = new Set(others.map(({ server }) => server));
  return crashes.filter(({ server }) => !servers.has(server)).length;
}

/** Creates a view in which no part is suspected. */
export function createCrashSuspects(): CrashSuspects {
  const reports = new Map<string, PartReport>();
  const answeredMs = new Map<string, Core.Millis>();

  /** Time at which this daemon learned of the end of each server. */
  const endKnownMs = new Map<string, Core.Millis>();
  /** Servers that answered after their reported end. */
  const aliveServers = new Map<string, true>();

  const getReport = (partId: string, nowMs: Core.Millis): PartReport => {
    const { clearedMs, crashes } = reports.get(partId) ?? EMPTY_REPORT;
    return {
      clearedMs,
      crashes: crashes.filter(({ atMs, server }) => (
        nowMs - atMs < MAX_CRASH_AGE_MS && !aliveServers.has(server)
      )),
    };
  };
  const listCrashes = (partId: string, nowMs: Core.Millis): readonly Crash[] => (
    getReport(partId, nowMs).crashes
  );
  const hasBlockingCrashes = (crashes: readonly Crash[], nowMs: Core.Millis): boolean => (
    countSeparate(crashes) >= MIN_BLOCKING_CRASHES
    && crashes.some(({ atMs }) => nowMs - atMs < BLOCK_MS)
  );
  const listBlocked = (nowMs: Core.Millis): readonly string[] => [...reports.keys()]
    .filter((partId) => hasBlockingCrashes(listCrashes(partId, nowMs), nowMs));
  const mergeReport: CrashSuspects['mergeReport'] = (partId, report, nowMs) => {
    report.crashes.filter(({ server }) => !endKnownMs.has(server)).forEach(({ server }) => {
      Core.setBounded(endKnownMs, server, nowMs, MAX_ENTRIES);
    });
    const merged = mergeReports(reports.get(partId) ?? EMPTY_REPORT, report);
    Core.setBounded(reports, partId, merged, MAX_ENTRIES);
  };
  /**
   * Checks whether a part is to blame for a request with `partIds`. It is not if another part has
   * more crashes and they include its own. Of parts with the same crashes, any may be to blame, so
   * only a request with all of them is blocked; another one shows which of them is sound.
   */
  const isBlocking = (
    partId: string,
    partIds: readonly string[],
    nowMs: Core.Millis,
  ): boolean => {
    const crashes = listCrashes(partId, nowMs);
    if (!hasBlockingCrashes(crashes, nowMs)) return false;
    return listBlocked(nowMs).every((otherId) => {
      const others = listCrashes(otherId, nowMs);
      const isIndependent = countUnshared(crashes, others) >= MIN_BLOCKING_CRASHES;
      return isIndependent || others.length < crashes.length
        || (others.length === crashes.length && partIds.includes(otherId));
    });
  };

  return {
    findBlocked: (partIds, nowMs) => (
      reports.size === 0
        ? undefined
        : partIds.find((partId) => isBlocking(partId, partIds, nowMs))
    ),
    getReport,
    isSuspect: (partIds, nowMs) => partIds.some((partId) => (
      countSeparate(listCrashes(partId, nowMs)) >= MIN_SUSPECT_CRASHES
    )),
    listBlocked,
    mergeReport,
    observeAnswer: (partIds, nowMs) => partIds.filter((partId) => {
      Core.setBounded(answeredMs, partId, nowMs, MAX_ENTRIES);
      const crashes = listCrashes(partId, nowMs);
      if (crashes.length === 0) return false;
      // A crash may bear the time of another daemon, whose estimate is ahead.
      const clearedMs = Math.max(nowMs, ...crashes.map(({ atMs }) => atMs));
      mergeReport(partId, { clearedMs, crashes: [] }, nowMs);
      return true;
    }),
    observeServerAnswer: (server, sentMs) => {
      if (sentMs <= (endKnownMs.get(server) ?? Infinity)) return;
      Core.setBounded(aliveServers, server, true, MAX_ENTRIES);
    },
    observeCrash: (partIds, server, nowMs) => partIds.filter((partId) => {
      if (nowMs - (answeredMs.get(partId) ?? -Infinity) < ANSWER_VALID_MS) return false;
      mergeReport(partId, { clearedMs: 0, crashes: [{ atMs: nowMs, server }] }, nowMs);
      return true;
    }),
  };
}
