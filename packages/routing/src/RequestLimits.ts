/**
 * Request limits that backend servers announce in their responses: the requests per second that a
 * server takes from all daemons together. A limit applies to one incarnation of a server, until a
 * response to a later request no longer states it.
 */
import type * as Core from '@berylyoke/core';
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
  /** Counts the servers with a limit. */
  readonly countLimited: () => number;
}

/** Largest limit that is distinguished; a server that announces more is limited to this. */
const MAX_REQUESTS_PER_S = 1_000_000;

/** Limit of stored incarnations: all servers of the largest fleet. */
const MAX_ENTRIES = 10_000;

const DECIMAL = /^\d+(\.\d+)?(e[+-]?\d+)?$/i;

/** Parses the header that announces a limit as a decimal number of requests per second. */
export function parseLimitNotice(text: string | undefined): LimitNotice {
  if (text === undefined) return { _tag: 'Unlimited' };
  const trimmed = text.trim();
  return DECIMAL.test(trimmed)
    ? { _tag: 'Limited', requestsPerS: Math.min(MAX_REQUESTS_PER_S, Number(trimmed)) }
    : { _tag: 'Malformed', text };
}

interface AnnouncedLimit {
  readonly requestsPerS: number;
  /** Time of the most recent response that stated a limit. */
  readonly announcedMs: Core.Millis;
}

/** Creates a view in which no server has a limit. */
export function createRequestLimits(maxEntries = MAX_ENTRIES): RequestLimits {
  const limits = new Map<string, AnnouncedLimit>();
  return {
    countLimited: () => limits.size,
    getLimit: (incarnation) => limits.get(ServerTable.formatIncarnation(incarnation))?.requestsPerS,
    observeResponse: (incarnation, notice, sentMs, nowMs) => {
      const name = ServerTable.formatIncarnation(incarnation);
      const known = limits.get(name);
      if (notice._tag === 'Malformed') return undefined;
      if (notice._tag === 'Unlimited') {
        // Responses overtake each other: one to an earlier request may have been generated earlier.
        if (known === undefined || sentMs <= known.announcedMs) return undefined;
        limits.delete(name);
        return { previousPerS: known.requestsPerS };
      }
      limits.delete(name);
      limits.set(name, { announcedMs: nowMs, requestsPerS: notice.requestsPerS });
      const [oldest] = limits.keys();
      if (limits.size > maxEntries && oldest !== undefined) limits.delete(oldest);
      return known?.requestsPerS === notice.requestsPerS
        ? undefined
        : { previousPerS: known?.requestsPerS };
    },
  };
}
