/**
 * Request limits that backend servers announce in their responses: the requests per second that a
 * server takes from all daemons together. Each daemon uses an equal share of the limit. A limit
 * applies to one incarnation of a server, until a response to a later request no longer states it.
 */
import type * as Core from '@berylyoke/core';
import * as RatePermits from './RatePermits.js';
import * as ServerTable from './ServerTable.js';

/** What one response says about the request limit of its server. */
export type LimitNotice = { readonly _tag: 'Limited'; readonly requestsPerS: number }
  | { readonly _tag: 'Malformed'; readonly text: string }
  | { readonly _tag: 'Unlimited' };

/** Announced request limits of all servers. */
export interface RequestLimits {
  /**
   * Records what a response says. `sentMs` is the time at which its request was sent.
   *
   * @returns the limit before, if the limit changed; undefined if it did not
   */
  readonly observeResponse: (
    incarnation: ServerTable.ServerIncarnation,
    notice: LimitNotice,
    sentMs: Core.Millis,
    nowMs: Core.Millis,
  ) => { readonly previousPerS: number | undefined } | undefined;
  /** Returns the limit of a server in requests per second; undefined if it announced none. */
  readonly getLimit: (incarnation: ServerTable.ServerIncarnation) => number | undefined;
  /** Checks whether this daemon may send a server a request now. */
  readonly canSend: (incarnation: ServerTable.ServerIncarnation, nowMs: Core.Millis) => boolean;
  /** Records that a request is sent to a server. */
  readonly recordSend: (incarnation: ServerTable.ServerIncarnation, nowMs: Core.Millis) => void;
  /** Computes the time until a daemon may send a server a request; 0 if this one may. */
  readonly computeWait: (
    incarnation: ServerTable.ServerIncarnation, nowMs: Core.Millis,
  ) => Core.Millis;
  /** Counts the servers with a limit. */
  readonly countLimited: () => number;
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

interface LimitedServer {
  readonly requestsPerS: number;
  /** Time of the most recent response that stated a limit. */
  readonly announcedMs: Core.Millis;
  readonly permits: RatePermits.RatePermits;
}

function getFleetRate({ requestsPerS }: LimitedServer): number {
  return Math.max(MIN_REQUESTS_PER_S, requestsPerS);
}

/** Creates a view in which no server has a limit. */
export function createRequestLimits(
  { getShare, maxEntries = MAX_ENTRIES, random }: RequestLimitsOptions,
): RequestLimits {
  const limited = new Map<string, LimitedServer>();
  const getRate = (server: LimitedServer): number => getFleetRate(server) * getShare();
  /** Accrues the permits of a server; undefined if it has no limit. */
  const updatePermits = (
    incarnation: ServerTable.ServerIncarnation,
    nowMs: Core.Millis,
  ): LimitedServer | undefined => {
    const name = ServerTable.formatIncarnation(incarnation);
    const known = limited.get(name);
    if (known === undefined) return undefined;
    const permits = RatePermits.advanceRatePermits(known.permits, getRate(known), nowMs);
    const updated = { ...known, permits };
    limited.set(name, updated);
    return updated;
  };
  const computeWait: RequestLimits['computeWait'] = (incarnation, nowMs) => {
    const server = updatePermits(incarnation, nowMs);
    if (server === undefined) return 0;
    // A caller returns to any daemon, and one of them gets a permit within this interval.
    const fleetIntervalMs = MS_PER_S / getFleetRate(server);
    return Math.min(
      fleetIntervalMs,
      RatePermits.computePermitWait(server.permits, getRate(server)),
    );
  };
  return {
    canSend: (incarnation, nowMs) => computeWait(incarnation, nowMs) === 0,
    computeWait,
    countLimited: () => limited.size,
    getLimit: (incarnation) => (
      limited.get(ServerTable.formatIncarnation(incarnation))?.requestsPerS
    ),
    observeResponse: (incarnation, notice, sentMs, nowMs) => {
      if (notice._tag === 'Malformed') return undefined;
      const name = ServerTable.formatIncarnation(incarnation);
      const known = updatePermits(incarnation, nowMs);
      if (notice._tag === 'Unlimited') {
        // Responses overtake each other: one to an earlier request may have been generated earlier.
        if (known === undefined || sentMs <= known.announcedMs) return undefined;
        limited.delete(name);
        return { previousPerS: known.requestsPerS };
      }
      limited.delete(name);
      limited.set(name, {
        announcedMs: nowMs,
        permits: known?.permits ?? RatePermits.createRatePermits(nowMs, random),
        requestsPerS: notice.requestsPerS,
      });
      const [oldest] = limited.keys();
      if (limited.size > maxEntries && oldest !== undefined) limited.delete(oldest);
      return known?.requestsPerS === notice.requestsPerS
        ? undefined
        : { previousPerS: known?.requestsPerS };
    },
    recordSend: (incarnation, nowMs) => {
      const server = updatePermits(incarnation, nowMs);
      if (server === undefined) return;
      limited.set(ServerTable.formatIncarnation(incarnation), {
        ...server,
        permits: { ...server.permits, accrued: server.permits.accrued - 1 },
      });
    },
  };
}
