/**
 * Availability that backend servers announce in their responses: that they are shutting down, or
 * that they accept no requests for some time (Retry-After). Both apply to one incarnation of a
 * server, whatever its entry in the store says. They are kept apart from the entries, because an
 * entry may expire and be read again.
 */
import * as Core from '@berylyoke/core';
import * as ServerTable from './ServerTable.js';

/** Availability announced in one response. */
export interface AvailabilityNotice {
  readonly isLeaving: boolean;
  /** Time for which the server accepts no requests of this VM. */
  readonly pauseMs: Core.Millis | undefined;
}

/** Announced availability of all servers. */
export interface ServerAvailability {
  readonly observeResponse: (
    incarnation: ServerTable.ServerIncarnation, notice: AvailabilityNotice, nowMs: Core.Millis,
  ) => void;
  /** Checks whether a server may be sent requests. */
  readonly canAcceptRequests: (
    incarnation: ServerTable.ServerIncarnation, nowMs: Core.Millis,
  ) => boolean;
  /** Computes the time until a server accepts requests; infinite if it is shutting down. */
  readonly computeWait: (
    incarnation: ServerTable.ServerIncarnation, nowMs: Core.Millis,
  ) => Core.Millis;
}

/** Longest Retry-After that is honoured; a server that gives a longer one is tried after this. */
export const MAX_RETRY_AFTER_MS = 60_000;

/** Limit of stored incarnations: all servers of the largest fleet. */
const MAX_ENTRIES = 10_000;

const MS_PER_S = 1_000;
const SECONDS = /^\d+(\.\d+)?(e\d+)?$/i;

/** Parses a Retry-After header in seconds, also with a fraction; undefined if it is no number. */
export function parseRetryAfter(text: string | undefined): Core.Millis | undefined {
  const trimmed = text?.trim() ?? '';
  return SECONDS.test(trimmed)
    ? Math.min(MAX_RETRY_AFTER_MS, Number(trimmed) * MS_PER_S)
    : undefined;
}

/** Creates a view in which every server is available. */
export function createServerAvailability(maxEntries = MAX_ENTRIES): ServerAvailability {
  /** Time from which each incarnation accepts requests again; infinite if it is shutting down. */
  const availableFromMs = new Map<string, Core.Millis>();
  const getAvailableFrom = (incarnation: ServerTable.ServerIncarnation): Core.Millis => (
    availableFromMs.get(ServerTable.formatIncarnation(incarnation)) ?? 0
  );
  return {
    canAcceptRequests: (incarnation, nowMs) => nowMs >= getAvailableFrom(incarnation),
    computeWait: (incarnation, nowMs) => Math.max(0, getAvailableFrom(incarnation) - nowMs),
    observeResponse: (incarnation, { isLeaving, pauseMs }, nowMs) => {
      const fromMs = isLeaving ? Infinity : nowMs + (pauseMs ?? 0);
      if (fromMs <= nowMs || fromMs <= getAvailableFrom(incarnation)) return;
      const name = ServerTable.formatIncarnation(incarnation);
      Core.setBounded(availableFromMs, name, fromMs, maxEntries);
    },
  };
}
