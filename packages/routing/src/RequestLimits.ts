/**
 * Request limits that backend servers announce in their responses: the requests per second that a
 * server takes from all daemons together. Each daemon uses an equal share of the limit. A limit
 * applies to one incarnation of a server, until a successful response to a later request does not
 * state it. Daemons report the limits that they know to each other, because a daemon of a large
 * fleet gets a response of a limited server only once in minutes. The newest observation wins.
 */
import * as Core from '@berylyoke/core';
import * as RatePermits from './RatePermits.js';
import * as ServerTable from './ServerTable.js';

/** What one response says about the request limit of its server. */
export type LimitNotice = { readonly _tag: 'Limited'; readonly requestsPerS: number }
  | { readonly _tag: 'Malformed'; readonly text: string }
  | { readonly _tag: 'Unlimited' };

/** The newest observation of a server's limit by any daemon, as daemons report it to each other. */
export interface LimitReport {
  /** Name of the incarnation. */
  readonly server: string;
  /** Limit in requests per second; undefined if the server no longer states one. */
  readonly requestsPerS?: number | undefined;
  /** Age of the observation in milliseconds. */
  readonly ageMs: Core.Millis;
}

/** Change of the limit of one server; an undefined limit is none. */
export interface LimitChange {
  /** Name of the incarnation. */
  readonly server: string;
  readonly previousPerS: number | undefined;
  readonly requestsPerS: number | undefined;
}

/** Announced request limits of all servers. */
export interface RequestLimits {
  /**
   * Records what a response says. `sentMs` is the time at which its request was sent.
   *
   * @returns the change; undefined if the limit is the same as before
   */
  readonly observeResponse: (
    incarnation: ServerTable.ServerIncarnation,
    notice: LimitNotice,
    sentMs: Core.Millis,
    nowMs: Core.Millis,
  ) => LimitChange | undefined;
  /** Returns the limit of a server in requests per second; undefined if it has none. */
  readonly getLimit: (
    incarnation: ServerTable.ServerIncarnation, nowMs: Core.Millis,
  ) => number | undefined;
  /** Checks whether this daemon may send a server a request now. */
  readonly canSend: (incarnation: ServerTable.ServerIncarnation, nowMs: Core.Millis) => boolean;
  /** Records that a request is sent to a server. */
  readonly recordSend: (incarnation: ServerTable.ServerIncarnation, nowMs: Core.Millis) => void;
  /** Computes the time until a daemon may send a server a request; 0 if this one may. */
  readonly computeWait: (
    incarnation: ServerTable.ServerIncarnation, nowMs: Core.Millis,
  ) => Core.Millis;
  /** Lists the limits, and the recent ends of limits, that this daemon knows. */
  readonly listReports: (nowMs: Core.Millis) => readonly LimitReport[];
  /**
   * Applies the reports of another daemon that are newer than what this one knows.
   *
   * @returns the limits that changed
   */
  readonly applyReports: (
    reports: readonly LimitReport[], nowMs: Core.Millis,
  ) => readonly LimitChange[];
}

/** Dependencies of the request limits. */
export interface RequestLimitsOptions {
  /** Returns the share of a limit for all daemons that this daemon may use. */
  readonly getShare: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly maxEntries?: number;
}

/** Largest limit that is distinguished; a server that announces more is limited to this. */
const MAX_REQUESTS_PER_S = 1_000_000;

/**
 * Lowest rate at which all daemons together send requests to a limited server. A server that
 * announces less would get too few requests to announce the end of its limit.
 */
const MIN_REQUESTS_PER_S = 0.2;

/**
 * Age at which a limit that only other daemons saw has no effect any more. It bounds the effect of
 * false reports; the responses of a limited server renew the true ones.
 */
export const MAX_LIMIT_REPORT_AGE_MS = 6_000;

/** Age up to which the end of a limit is reported; a daemon that changes its relay gets it too. */
const MAX_END_REPORT_AGE_MS = 30_000;

/**
 * Time by which a reported end of a limit is treated as older than stated: a process on a small VM
 * may wait that long before it reads the report, and a limit announced meanwhile must stay.
 */
const TRANSIT_MS = 100;

/** Maximum number of servers in one message; enough for a large deployment. */
const MAX_REPORTS = 512;

/** Limit of stored incarnations: all servers of the largest fleet. */
const MAX_ENTRIES = 10_000;

const MS_PER_S = 1_000;
const DECIMAL = /^\d+(\.\d+)?(e[+-]?\d+)?$/i;

/** Parses the header that announces a limit as a decimal number of requests per second. */
export function parseLimitNotice(text: string | undefined): LimitNotice {
  if (text === undefined) return { _tag: 'Unlimited' };
  const trimmed = text.trim();
  return DECIMAL.test(trimmed)
    ? { _tag: 'Limited', requestsPerS: Math.min(MAX_REQUESTS_PER_S, Number(trimmed)) }
    : { _tag: 'Malformed', text };
}

/** What this daemon knows about the limit of one incarnation. */
interface LimitEntry {
  /** Limit; undefined if the server no longer states one. */
  readonly requestsPerS: number | undefined;
  /**
   * Time of the newest observation: when a response that states the limit arrived, or when the
   * request of a response without one was sent.
   */
  readonly observedMs: Core.Millis;
  /** Whether a response to this daemon stated the limit. */
  readonly isAnnounced: boolean;
  readonly permits: RatePermits.RatePermits;
}

/** A server with a limit, and the rates at which all daemons and this one may send to it. */
interface LimitedServer {
  readonly entry: LimitEntry;
  readonly fleetRatePerS: number;
  readonly ratePerS: number;
}

function getMaxAge(requestsPerS: number | undefined): Core.Millis {
  return requestsPerS === undefined ? MAX_END_REPORT_AGE_MS : MAX_LIMIT_REPORT_AGE_MS;
}

function isPlausible({ ageMs, requestsPerS }: LimitReport): boolean {
  const limit = requestsPerS ?? 0;
  return ageMs >= 0 && ageMs <= getMaxAge(requestsPerS)
    && limit >= 0 && limit <= MAX_REQUESTS_PER_S;
}

/** Checks whether an entry has an effect. A limit announced to this daemon does not expire. */
function isCurrent(
  { isAnnounced, observedMs, requestsPerS }: LimitEntry,
  nowMs: Core.Millis,
): boolean {
  return isAnnounced || nowMs - observedMs <= getMaxAge(requestsPerS);
}

/** Creates a view in which no server has a limit. */
export function createRequestLimits(
  { getShare, maxEntries = MAX_ENTRIES, random }: RequestLimitsOptions,
): RequestLimits {
  const entries = new Map<string, LimitEntry>();
  const getEntry = (name: string, nowMs: Core.Millis): LimitEntry | undefined => {
    const entry = entries.get(name);
    return entry !== undefined && isCurrent(entry, nowMs) ? entry : undefined;
  };
  /** Accrues the permits of a server up to now; undefined if it has no limit. */
  const updatePermits = (name: string, nowMs: Core.Millis): LimitedServer | undefined => {
    const known = getEntry(name, nowMs);
    if (known?.requestsPerS === undefined) return undefined;
    const fleetRatePerS = Math.max(MIN_REQUESTS_PER_S, known.requestsPerS);
    const ratePerS = fleetRatePerS * getShare();
    const permits = RatePermits.advanceRatePermits(known.permits, ratePerS, nowMs);
    const entry = { ...known, permits };
    entries.set(name, entry);
    return { entry, fleetRatePerS, ratePerS };
  };
  /** Replaces an entry by a newer observation; returns the change of the limit. */
  const replaceEntry = (
    name: string,
    observed: Omit<LimitEntry, 'permits'>,
    nowMs: Core.Millis,
  ): LimitChange | undefined => {
    const limited = updatePermits(name, nowMs);
    const previousPerS = limited?.entry.requestsPerS;
    const permits = limited?.entry.permits ?? RatePermits.createRatePermits(nowMs, random);
    Core.setBounded(entries, name, { ...observed, permits }, maxEntries);
    const { requestsPerS } = observed;
    return requestsPerS === previousPerS
      ? undefined
      : { previousPerS, requestsPerS, server: name };
  };
  const applyReport = (
    { ageMs, requestsPerS, server }: LimitReport,
    nowMs: Core.Millis,
  ): LimitChange | undefined => {
    const known = getEntry(server, nowMs);
    const isEnd = requestsPerS === undefined;
    const observedMs = nowMs - ageMs - (isEnd ? TRANSIT_MS : 0);
    if (known === undefined ? isEnd : observedMs <= known.observedMs) return undefined;
    const isAnnounced = !isEnd && known?.isAnnounced === true;
    return replaceEntry(server, { isAnnounced, observedMs, requestsPerS }, nowMs);
  };
  const computeWait: RequestLimits['computeWait'] = (incarnation, nowMs) => {
    if (entries.size === 0) return 0;
    const limited = updatePermits(ServerTable.formatIncarnation(incarnation), nowMs);
    if (limited === undefined) return 0;
    const { entry, fleetRatePerS, ratePerS } = limited;
    // A caller returns to any daemon, and one of them gets a permit within this interval.
    const fleetIntervalMs = MS_PER_S / fleetRatePerS;
    return Math.min(fleetIntervalMs, RatePermits.computePermitWait(entry.permits, ratePerS));
  };
  return {
    applyReports: (reports, nowMs) => reports.filter(isPlausible).slice(0, MAX_REPORTS)
      .flatMap((report) => applyReport(report, nowMs) ?? []),
    canSend: (incarnation, nowMs) => computeWait(incarnation, nowMs) === 0,
    computeWait,
    getLimit: (incarnation, nowMs) => (
      getEntry(ServerTable.formatIncarnation(incarnation), nowMs)?.requestsPerS
    ),
    listReports: (nowMs) => {
      [...entries].filter(([, entry]) => !isCurrent(entry, nowMs))
        .forEach(([name]) => entries.delete(name));
      return [...entries].slice(-MAX_REPORTS)
        .map(([server, { observedMs, requestsPerS }]) => ({
          ageMs: Math.max(0, nowMs - observedMs), requestsPerS, server,
        }))
        .filter(isPlausible);
    },
    observeResponse: (incarnation, notice, sentMs, nowMs) => {
      const name = ServerTable.formatIncarnation(incarnation);
      if (notice._tag === 'Limited') {
        const { requestsPerS } = notice;
        return replaceEntry(name, { isAnnounced: true, observedMs: nowMs, requestsPerS }, nowMs);
      }
      const known = getEntry(name, nowMs);
      if (notice._tag === 'Malformed' || known?.requestsPerS === undefined) return undefined;
      // Responses overtake each other: one to an earlier request may have been generated earlier.
      if (sentMs <= known.observedMs) return undefined;
      const end = { isAnnounced: false, observedMs: sentMs, requestsPerS: undefined };
      return replaceEntry(name, end, nowMs);
    },
    recordSend: (incarnation, nowMs) => {
      const name = ServerTable.formatIncarnation(incarnation);
      const limited = updatePermits(name, nowMs);
      if (limited === undefined) return;
      const { entry } = limited;
      entries.set(name, { ...entry, permits: RatePermits.claimPermit(entry.permits) });
    },
  };
}
