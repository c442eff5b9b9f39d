/**
 * What is known of the prompt prefixes in the servers' caches. Servers publish cache events late
 * and with gaps, so an entry is a hint that loses weight with age, and one from before a gap counts
 * half.
 */
import type * as Core from '@berylyoke/core';

/** An event of a server's cache; `sequence` counts the server's events without gaps. */
export type CacheEvent = {
  readonly _tag: 'Cleared';
  readonly serverId: string;
  readonly sequence: number;
}
  | {
    readonly _tag: 'Removed';
    readonly serverId: string;
    readonly sequence: number;
    readonly prefixHash: number;
  }
  | {
    readonly _tag: 'Stored';
    readonly serverId: string;
    readonly sequence: number;
    readonly prefixHash: number;
    readonly tokens: number;
  };

/** Hints about prefixes in caches. */
export interface CacheIndex {
  readonly recordEvent: (event: CacheEvent, nowMs: Core.Millis) => void;
  /** Notes that a request with the prefix goes to a server, before any event tells so. */
  readonly recordDispatch: (
    serverId: string, prefixHash: number, tokens: number, nowMs: Core.Millis,
  ) => void;
  readonly removeServer: (serverId: string) => void;
  /** Estimates the tokens of a prefix that a server has cached. */
  readonly estimateCachedTokens: (
    serverId: string, prefixHash: number, nowMs: Core.Millis,
  ) => number;
  /** Lists the servers that may hold a prefix, the newest hint last. */
  readonly listHolders: (prefixHash: number) => readonly string[];
}

interface Hint {
  readonly tokens: number;
  readonly atMs: Core.Millis;
  readonly epoch: number;
  readonly sequence: number;
  readonly gaps: number;
}

interface ServerCache {
  readonly epoch: number;
  readonly clearedAt: number;
  readonly sequence: number;
  readonly gaps: number;
}

/** Prefixes that are remembered; at about 200 bytes each they take a few megabytes. */
const MAX_PREFIXES = 20_000;

/** Servers remembered for one prefix. */
const MAX_HOLDERS = 4;

/** Age at which a hint counts half: caches hold a prefix for minutes under steady load. */
const HALF_LIFE_MS = 120_000;

/** Creates an index without hints. */
export function createCacheIndex(maxPrefixes: number = MAX_PREFIXES): CacheIndex {
  const prefixes = new Map<number, Map<string, Hint>>();
  const servers = new Map<string, ServerCache>();
  let epochs = 0;

  const getServer = (serverId: string): ServerCache => {
    const known = servers.get(serverId);
    if (known !== undefined) return known;
    epochs += 1;
    const added = {
      clearedAt: -1, epoch: epochs, gaps: 0, sequence: -1,
    };
    servers.set(serverId, added);
    return added;
  };

  const setHint = (prefixHash: number, serverId: string, hint: Hint): void => {
    const holders = prefixes.get(prefixHash) ?? new Map<string, Hint>();
    // Removing and adding again keeps both maps in order of use, the oldest first.
    prefixes.delete(prefixHash);
    holders.delete(serverId);
    holders.set(serverId, hint);
    prefixes.set(prefixHash, holders);
    if (holders.size > MAX_HOLDERS) holders.delete(holders.keys().next().value as string);
    if (prefixes.size > maxPrefixes) prefixes.delete(prefixes.keys().next().value as number);
  };

  return {
    estimateCachedTokens: (serverId, prefixHash, nowMs) => {
      const hint = prefixes.get(prefixHash)?.get(serverId);
      const server = servers.get(serverId);
      if (hint === undefined || server === undefined || hint.epoch !== server.epoch) return 0;
      const halvings = Math.max(0, nowMs - hint.atMs) / HALF_LIFE_MS + server.gaps - hint.gaps;
      return hint.tokens * 0.5 ** halvings;
    },
    listHolders: (prefixHash) => [...prefixes.get(prefixHash)?.keys() ?? []],
    recordDispatch: (serverId, prefixHash, tokens, nowMs) => {
      const { epoch, gaps, sequence } = getServer(serverId);
      setHint(prefixHash, serverId, {
        atMs: nowMs, epoch, gaps, sequence, tokens,
      });
    },
    recordEvent: (event, nowMs) => {
      const { sequence, serverId } = event;
      const server = getServer(serverId);
      // Events from before a clearing say nothing about the cache as it is now.
      if (sequence <= server.clearedAt) return;
      const isGap = server.sequence >= 0 && sequence > server.sequence + 1;
      const gaps = server.gaps + (isGap ? 1 : 0);
      const newest = Math.max(server.sequence, sequence);
      if (event._tag === 'Cleared') {
        epochs += 1;
        servers.set(serverId, {
          clearedAt: sequence, epoch: epochs, gaps, sequence: newest,
        });
        return;
      }
      servers.set(serverId, { ...server, gaps, sequence: newest });
      const hint = prefixes.get(event.prefixHash)?.get(serverId);
      if (hint !== undefined && hint.epoch === server.epoch && hint.sequence > sequence) return;
      if (event._tag === 'Removed') prefixes.get(event.prefixHash)?.delete(serverId);
      else {
        setHint(event.prefixHash, serverId, {
          atMs: nowMs, epoch: server.epoch, gaps, sequence, tokens: event.tokens,
        });
      }
    },
    removeServer: (serverId) => {
      servers.delete(serverId);
    },
  };
}
