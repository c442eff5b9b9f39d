/**
 * What backend servers say of themselves in their answers: that they leave, or that they want
 * nothing for some time. Both hold for one life of a server, whatever its entry says, and are kept
 * apart from the entries because an entry may lapse and be read again.
 */
import type * as Core from '@berylyoke/core';
import * as ServerTable from './ServerTable.js';

/** One life of a server. */
export type ServerIncarnation = Pick<ServerTable.BackendServer, 'bornMs' | 'id'>;

/** What one answer says. */
export interface AvailabilityNotice {
  readonly isLeaving: boolean;
  /** Time for which the server wants no requests of this VM. */
  readonly pauseMs: Core.Millis | undefined;
}

/** Notices of all servers. */
export interface ServerAvailability {
  readonly observeResponse: (
    incarnation: ServerIncarnation, notice: AvailabilityNotice, nowMs: Core.Millis,
  ) => void;
  /** Checks whether a server may be sent a request. */
  readonly canAcceptRequests: (incarnation: ServerIncarnation, nowMs: Core.Millis) => boolean;
  /**
   * Computes the time until the first of some servers takes requests; undefined where all leave.
   */
  readonly computeWait: (
    incarnations: readonly ServerIncarnation[], nowMs: Core.Millis,
  ) => Core.Millis | undefined;
}

/** Longest pause that is honoured; a server that names more is tried once in this time. */
export const MAX_RETRY_AFTER_MS = 60_000;

/** Lives whose notices are kept: all servers of the largest fleet. */
const MAX_ENTRIES = 10_000;

const MS_PER_S = 1_000;
const SECONDS = /^\d+(\.\d+)?(e\d+)?$/i;

/** Parses the time that a server names in seconds; undefined where it is none. */
export function parseRetryAfter(text: string | undefined): Core.Millis | undefined {
  const trimmed = text?.trim() ?? '';
  return SECONDS.test(trimmed)
    ? Math.min(MAX_RETRY_AFTER_MS, Number(trimmed) * MS_PER_S)
    : undefined;
}

/** Creates an empty set of notices. */
export function createServerAvailability(maxEntries = MAX_ENTRIES): ServerAvailability {
  /** Time from which each server takes requests again; infinite for one that leaves. */
  const availableFromMs = new Map<string, Core.Millis>();
  const getAvailableFrom = (incarnation: ServerIncarnation): Core.Millis => (
    availableFromMs.get(ServerTable.formatIncarnation(incarnation)) ?? 0
  );
  return {
    canAcceptRequests: (incarnation, nowMs) => nowMs >= getAvailableFrom(incarnation),
    computeWait: (incarnations, nowMs) => {
      const firstMs = Math.min(...incarnations.map(getAvailableFrom));
      return firstMs === Infinity ? undefined : Math.max(0, firstMs - nowMs);
    },
    observeResponse: (incarnation, { isLeaving, pauseMs }, nowMs) => {
      const fromMs = isLeaving ? Infinity : nowMs + (pauseMs ?? 0);
      if (fromMs <= nowMs || fromMs <= getAvailableFrom(incarnation)) return;
      const name = ServerTable.formatIncarnation(incarnation);
      availableFromMs.delete(name);
      availableFromMs.set(name, fromMs);
      const [oldest] = availableFromMs.keys();
      if (availableFromMs.size > maxEntries && oldest !== undefined) availableFromMs.delete(oldest);
    },
  };
}
