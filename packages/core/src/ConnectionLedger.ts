/**
 * Accounts for what the connections of one listener hold in memory, and decides which of them to
 * end when all together exceed a limit. Clients may send legal requests that together take more
 * memory than the machine has, so the limit is on the sum, and those that hold most for longest
 * without progress are ended first. Times are passed in; nothing here reads a clock or a socket.
 */
import type * as Clock from './Clock.js';

/** What a connection holds, by part. */
export const HELD_PARTS = ['head', 'body', 'queue', 'answer'] as const;

/** Part of what a connection holds: heads, bodies, waiting requests, unread answer bytes. */
export type HeldPart = typeof HELD_PARTS[number];

/** Limits of all connections together. */
export interface LedgerLimits {
  readonly maxBytes: number;
  readonly maxConnections: number;
}

/** What all connections hold together. */
export interface LedgerTotals {
  readonly bytes: number;
  readonly connections: number;
}

/** Ledger of the connections of one listener; `C` identifies a connection. */
export interface ConnectionLedger<C> {
  readonly open: (connection: C, nowMs: Clock.Millis) => void;
  /** Removes a connection and all that it holds. */
  readonly close: (connection: C) => void;
  /** Sets the bytes of one part, memory for bookkeeping included; ignores closed connections. */
  readonly setHeld: (connection: C, part: HeldPart, bytes: number) => void;
  /** Records that the client sent a byte of an incomplete request or read bytes of an answer. */
  readonly recordProgress: (connection: C, nowMs: Clock.Millis) => void;
  /**
   * Sets whether a request is in progress, and whether it waits for the client. Time during which
   * it waits for anything else does not count as time without progress.
   */
  readonly setState: (connection: C, state: ConnectionState, nowMs: Clock.Millis) => void;
  readonly setLimits: (limits: LedgerLimits) => void;
  readonly getTotals: () => LedgerTotals;
  /** Lists the connections to end because a limit is exceeded; empty if none is. */
  readonly listExcess: (nowMs: Clock.Millis) => readonly C[];
  /**
   * Lists the connections to end so that a new body has room: only those without progress. Without
   * any, and with `isFull` still true afterwards, the new body has to be refused.
   */
  readonly listStalled: (nowMs: Clock.Millis) => readonly C[];
  /** Whether so much is held that no new body may be begun. */
  readonly isFull: () => boolean;
  /** Lists the connections to end first if descriptors run out, at most `count` of them. */
  readonly listLongestIdle: (count: number, nowMs: Clock.Millis) => readonly C[];
}

/** State of a connection. */
export interface ConnectionState {
  readonly hasRequest: boolean;
  readonly isClientDue: boolean;
}

/** Share of the limit from which new bodies are refused. */
const FULL_SHARE = 7 / 8;

/** Share of the limit down to which connections are ended, so that not each new byte ends one. */
const RELEASE_SHARE = 3 / 4;

/** Time without progress after which a connection gives way to a new body. */
const STALLED_MS = 1_000;

/**
 * Time without progress after which a connection without a request is ended before others. A new
 * connection has no request either, until its first bytes are read.
 */
const IDLE_MS = 500;

/** Share of the connections that are ended at once when there are too many. */
const CONNECTION_RELEASE_SHARE = 1 / 64;

interface Entry<C> {
  readonly connection: C;
  readonly held: Record<HeldPart, number>;
  bytes: number;
  progressMs: Clock.Millis;
  hasRequest: boolean;
  isClientDue: boolean;
}

function computeIdle(entry: Entry<unknown>, nowMs: Clock.Millis): Clock.Millis {
  return entry.isClientDue ? Math.max(0, nowMs - entry.progressMs) : 0;
}

/** Ranks for the number of connections; a lower rank is ended first. */
function computeRank(entry: Entry<unknown>, idleMs: Clock.Millis): number {
  if (!entry.hasRequest && idleMs >= IDLE_MS) return 0;
  return entry.isClientDue ? 1 : 2;
}

/** Ranks by bytes times time without progress; 1 ms is added so that bytes decide in a burst. */
function computeWeight(entry: Entry<unknown>, nowMs: Clock.Millis): number {
  return entry.bytes * (computeIdle(entry, nowMs) + 1);
}

/** Creates a ledger without connections. */
export function createConnectionLedger<C>(initialLimits: LedgerLimits): ConnectionLedger<C> {
  const entries = new Map<C, Entry<C>>();
  let limits = initialLimits;
  let total = 0;
  /** Takes the heaviest entries until no more than `maxBytes` would be held. */
  const takeHeaviest = (
    candidates: readonly Entry<C>[],
    maxBytes: number,
    nowMs: Clock.Millis,
  ): readonly C[] => {
    const ranked = candidates
      .map((entry) => ({ entry, weight: computeWeight(entry, nowMs) }))
      .sort((left, right) => right.weight - left.weight);
    let remaining = total;
    return ranked.filter(({ entry }) => {
      if (remaining <= maxBytes) return false;
      remaining -= entry.bytes;
      return true;
    }).map(({ entry }) => entry.connection);
  };
  const listHolders = (): readonly Entry<C>[] => (
    [...entries.values()].filter(({ bytes }) => bytes > 0)
  );
  const listLongestIdle: ConnectionLedger<C>['listLongestIdle'] = (count, nowMs) => (
    [...entries.values()]
      .map((entry) => {
        const idleMs = computeIdle(entry, nowMs);
        return { entry, idleMs, rank: computeRank(entry, idleMs) };
      })
      .sort((left, right) => left.rank - right.rank || right.idleMs - left.idleMs)
      .slice(0, count)
      .map(({ entry }) => entry.connection)
  );
  return {
    close: (connection) => {
      const entry = entries.get(connection);
      if (entry === undefined) return;
      total -= entry.bytes;
      entries.delete(connection);
    },
    getTotals: () => ({ bytes: total, connections: entries.size }),
    isFull: () => total >= limits.maxBytes * FULL_SHARE,
    listExcess: (nowMs) => {
      const surplus = entries.size - limits.maxConnections;
      const idle = surplus <= 0 ? [] : listLongestIdle(
        surplus + Math.floor(limits.maxConnections * CONNECTION_RELEASE_SHARE),
        nowMs,
      );
      if (total <= limits.maxBytes) return idle;
      const heaviest = takeHeaviest(listHolders(), limits.maxBytes * RELEASE_SHARE, nowMs);
      return [...new Set([...idle, ...heaviest])];
    },
    listLongestIdle,
    listStalled: (nowMs) => (
      total < limits.maxBytes * FULL_SHARE ? [] : takeHeaviest(
        listHolders().filter((entry) => computeIdle(entry, nowMs) >= STALLED_MS),
        limits.maxBytes * RELEASE_SHARE,
        nowMs,
      )
    ),
    open: (connection, nowMs) => {
      entries.set(connection, {
        bytes: 0,
        connection,
        hasRequest: false,
        held: {
          answer: 0, body: 0, head: 0, queue: 0,
        },
        isClientDue: true,
        progressMs: nowMs,
      });
    },
    recordProgress: (connection, nowMs) => {
      const entry = entries.get(connection);
      if (entry !== undefined) entry.progressMs = nowMs;
    },
    setHeld: (connection, part, bytes) => {
      const entry = entries.get(connection);
      if (entry === undefined) return;
      const change = bytes - entry.held[part];
      entry.held[part] = bytes;
      entry.bytes += change;
      total += change;
    },
    setLimits: (next) => {
      limits = next;
    },
    setState: (connection, { hasRequest, isClientDue }, nowMs) => {
      const entry = entries.get(connection);
      if (entry === undefined) return;
      // The time of the client begins when the wait for it does.
      if (isClientDue && !entry.isClientDue) entry.progressMs = nowMs;
      entry.hasRequest = hasRequest;
      entry.isClientDue = isClientDue;
    },
  };
}
