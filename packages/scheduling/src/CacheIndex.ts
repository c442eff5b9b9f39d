/**
 * Index of the prompt prefixes that backend servers may have in their caches. Cache events of the
 * servers arrive late and some are lost, so an entry is only a hint: its weight halves with every
 * half-life of its age and with every gap in the server's event sequence since.
 */
import type * as Core from '@berylyoke/core';

/** A cache event of a server; `sequence` is the consecutive number of the event on that server. */
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

/** Index of cached prefixes by prefix hash and server. */
export interface CacheIndex {
  readonly recordEvent: (event: CacheEvent, nowMs: Core.Millis) => void;
  /** Records that a request with the prefix was sent to a server, ahead of the cache event. */
  readonly recordDispatch: (
    serverId: string, prefixHash: number, tokens: number, nowMs: Core.Millis,
  ) => void;
  readonly removeServer: (serverId: string) => void;
  /** Estimates how many tokens of a prefix a server has cached; 0 if nothing is known. */
  readonly estimateCachedTokens: (
    serverId: string, prefixHash: number, nowMs: Core.Millis,
  ) => number;
  /** Lists the servers that may have a prefix cached, the most recent hint last. */
  readonly listServersWithPrefix: (prefixHash: number) => readonly string[];
}

interface PrefixHint {
  readonly tokens: number;
  readonly atMs: Core.Millis;
  /** Epoch of the server's cache; a hint from an older epoch is void. */
  readonly epoch: number;
  readonly sequence: number;
  /** Gaps in the server's event sequence before the hint. */
  readonly gaps: number;
}

interface ServerCacheState {
  /** Changes when the cache is cleared or the server is removed and added again. */
  readonly epoch: number;
  /** Sequence number of the last `Cleared` event, or -1. */
  readonly clearedSequence: number;
  readonly sequence: number;
  readonly gaps: number;
}

/** Maximum number of indexed prefixes; at about 200 bytes each they take a few megabytes. */
const MAX_PREFIXES = 20_000;

/** Maximum number of servers indexed for one prefix. */
const MAX_SERVERS_PER_PREFIX = 4;

/** Age at which a hint counts half; under steady load, caches keep a prefix for minutes. */
const HINT_HALF_LIFE_MS = 120_000;

/** Creates an empty index that keeps at most `maxPrefixes` prefixes. */
export function createCacheIndex(maxPrefixes: number = MAX_PREFIXES): CacheIndex {
  const prefixes = new Map<number, Map<string, PrefixHint>>();
  const servers = new Map<string, ServerCacheState>();
  let lastEpoch = 0;

  const getServer = (serverId: string): ServerCacheState => {
    const existing = servers.get(serverId);
    if (existing !== undefined) return existing;
    lastEpoch += 1;
    const created = {
      clearedSequence: -1, epoch: lastEpoch, gaps: 0, sequence: -1,
    };
    servers.set(serverId, created);
    return created;
  };

  const setHint = (prefixHash: number, serverId: string, hint: PrefixHint): void => {
    const hintsByServer = prefixes.get(prefixHash) ?? new Map<string, PrefixHint>();
    // Deleting and reinserting keeps both maps in order of last use, least recent first.
    prefixes.delete(prefixHash);
    hintsByServer.delete(serverId);
    hintsByServer.set(serverId, hint);
    prefixes.set(prefixHash, hintsByServer);
    if (
      hintsByServer.size > MAX_SERVERS_PER_PREFIX
    ) hintsByServer.delete(hintsByServer.keys().next().value as string);
    if (prefixes.size > maxPrefixes) prefixes.delete(prefixes.keys().next().value as number);
  };

  return {
    estimateCachedTokens: (serverId, prefixHash, nowMs) => {
      const hint = prefixes.get(prefixHash)?.get(serverId);
      const server = servers.get(serverId);
      if (hint === undefined || server === undefined || hint.epoch !== server.epoch) return 0;
      const halvings = Math.max(0, nowMs - hint.atMs) / HINT_HALF_LIFE_MS + server.gaps - hint.gaps;
      return hint.tokens * 0.5 ** halvings;
    },
    listServersWithPrefix: (prefixHash) => [...prefixes.get(prefixHash)?.keys() ?? []],
    recordDispatch: (serverId, prefixHash, tokens, nowMs) => {
      const { epoch, gaps, sequence } = getServer(serverId);
      setHint(prefixHash, serverId, {
        atMs: nowMs, epoch, gaps, sequence, tokens,
      });
    },
    recordEvent: (event, nowMs) => {
      const { sequence, serverId } = event;
      const server = getServer(serverId);
      // An event from before the last `Cleared` event no longer applies to the cache.
      if (sequence <= server.clearedSequence) return;
      const isGap = server.sequence >= 0 && sequence > server.sequence + 1;
      const gaps = server.gaps + (isGap ? 1 : 0);
      const newestSequence = Math.max(server.sequence, sequence);
      if (event._tag === 'Cleared') {
        lastEpoch += 1;
        servers.set(serverId, {
          clearedSequence: sequence, epoch: lastEpoch, gaps, sequence: newestSequence,
        });
        return;
      }
      servers.set(serverId, { ...server, gaps, sequence: newestSequence });
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
