/**
 * What backend servers say of themselves in their answers: that they leave, or that they want
 * nothing for some time. Both hold for one life of a server, whatever its entry says, and are kept
 * apart from the entries because an entry may lapse and be read again.
 */
import type * as Core from '@berylyoke/core';
import * as ServerTable from './ServerTable.js';

/** One life of a server. */
export type ServerLife = Pick<ServerTable.BackendServer, 'bornMs' | 'id'>;

/** What one answer says. */
export interface AnswerNotice {
  readonly isLeaving: boolean;
  /** Time for which the server wants no requests of this VM. */
  readonly pauseMs: Core.Millis | undefined;
}

/** Notices of all servers. */
export interface ServerNotices {
  readonly observeAnswer: (life: ServerLife, notice: AnswerNotice, nowMs: Core.Millis) => void;
  /** Checks whether a server may be sent a request. */
  readonly canTake: (life: ServerLife, nowMs: Core.Millis) => boolean;
  /**
   * Computes the time until the first of some servers takes requests; undefined where all leave.
   */
  readonly computeWait: (
    lives: readonly ServerLife[], nowMs: Core.Millis,
  ) => Core.Millis | undefined;
}

/** Longest pause that is honoured; a server that names more is tried once in this time. */
export const MAX_PAUSE_MS = 60_000;

/** Lives whose notices are kept: all servers of the largest fleet. */
const MAX_LIVES = 10_000;

const MS_PER_S = 1_000;
const SECONDS = /^\d+(\.\d+)?(e\d+)?$/i;

/** Parses the time that a server names in seconds; undefined where it is none. */
export function parsePause(text: string | undefined): Core.Millis | undefined {
  const trimmed = text?.trim() ?? '';
  return SECONDS.test(trimmed) ? Math.min(MAX_PAUSE_MS, Number(trimmed) * MS_PER_S) : undefined;
}

/** Creates an empty set of notices. */
export function createServerNotices(maxLives = MAX_LIVES): ServerNotices {
  /** Time from which each server takes requests again; infinite for one that leaves. */
  const takesFromMs = new Map<string, Core.Millis>();
  const getTakesFrom = (life: ServerLife): Core.Millis => (
    takesFromMs.get(ServerTable.formatLife(life)) ?? 0
  );
  return {
    canTake: (life, nowMs) => nowMs >= getTakesFrom(life),
    computeWait: (lives, nowMs) => {
      const firstMs = Math.min(...lives.map(getTakesFrom));
      return firstMs === Infinity ? undefined : Math.max(0, firstMs - nowMs);
    },
    observeAnswer: (life, { isLeaving, pauseMs }, nowMs) => {
      const fromMs = isLeaving ? Infinity : nowMs + (pauseMs ?? 0);
      if (fromMs <= nowMs || fromMs <= getTakesFrom(life)) return;
      const name = ServerTable.formatLife(life);
      takesFromMs.delete(name);
      takesFromMs.set(name, fromMs);
      const [oldest] = takesFromMs.keys();
      if (takesFromMs.size > maxLives && oldest !== undefined) takesFromMs.delete(oldest);
    },
  };
}
