/**
 * Backend servers as their entries in the store describe them. An entry that was removed while the
 * store was away may belong to a server that lives and could not renew it; it is kept until the
 * store has been back for long enough that a living server would have renewed it.
 */
import type * as Core from '@berylyoke/core';

/** Entry of one backend server. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Version of the server's software. */
  readonly version: string;
  /** Requests that it serves at once; 0 where it does not say. */
  readonly slots: number;
  readonly state: 'draining' | 'ready';
  /** Start of the server, in Unix milliseconds; another start is another server. */
  readonly bornMs: number;
  /** Whether the platform may take the server away at short notice. */
  readonly isReclaimable: boolean;
}

/** Formats the name of one life of a server: its id alone names another one after a restart. */
export function formatIncarnation({ bornMs, id }: Pick<BackendServer, 'bornMs' | 'id'>): string {
  return `${id}@${bornMs}`;
}

/** Time after the store's return in which living servers have renewed their entries. */
const RENEWAL_GRACE_MS = 2_000;

/** Time without a read, one of which failed, after which entries may have lapsed because of it. */
const OUTAGE_MS = 1_500;

/** Table of one daemon. */
export interface ServerTable {
  /** Applies a changed entry; undefined removes it. */
  readonly applyEntry: (id: string, server: BackendServer | undefined, nowMs: Core.Millis) => void;
  /** Replaces all entries by those of a complete read. */
  readonly applySnapshot: (servers: readonly BackendServer[], nowMs: Core.Millis) => void;
  /** Notes a successful read of the entries, before its records are applied. */
  readonly observeRead: (nowMs: Core.Millis) => void;
  /** Notes a read of the entries that failed. */
  readonly observeReadFailure: () => void;
  /** Lists the servers of a service that take new requests. */
  readonly listServing: (service: string, nowMs: Core.Millis) => readonly BackendServer[];
  /** Lists every server with an entry. */
  readonly listAll: () => readonly BackendServer[];
}

/** Creates a table without servers. */
export function createServerTable(): ServerTable {
  const servers = new Map<string, BackendServer>();
  const expiryMs = new Map<string, Core.Millis>();
  let lastReadMs: Core.Millis | undefined;
  let recoveredMs: Core.Millis | undefined;
  let hasFailed = false;

  const removeEntry = (id: string, nowMs: Core.Millis): void => {
    const isAfterOutage = recoveredMs !== undefined && nowMs - recoveredMs < RENEWAL_GRACE_MS;
    const wasServing = servers.get(id)?.state === 'ready';
    if (isAfterOutage && wasServing) expiryMs.set(id, (recoveredMs as number) + RENEWAL_GRACE_MS);
    else servers.delete(id);
  };
  const setEntry = (server: BackendServer): void => {
    expiryMs.delete(server.id);
    servers.set(server.id, server);
  };
  const removeExpired = (nowMs: Core.Millis): void => expiryMs.forEach((untilMs, id) => {
    if (nowMs < untilMs) return;
    expiryMs.delete(id);
    servers.delete(id);
  });

  return {
    applyEntry: (id, server, nowMs) => {
      if (server === undefined) removeEntry(id, nowMs);
      else setEntry(server);
    },
    applySnapshot: (list, nowMs) => {
      const present = new Set(list.map(({ id }) => id));
      [...servers.keys()].filter((id) => !present.has(id)).forEach((id) => removeEntry(id, nowMs));
      list.forEach(setEntry);
    },
    listAll: () => [...servers.values()],
    listServing: (service, nowMs) => {
      removeExpired(nowMs);
      return [...servers.values()].filter((server) => (
        server.service === service && server.state === 'ready'
      ));
    },
    observeRead: (nowMs) => {
      const wasUnread = lastReadMs !== undefined && nowMs - lastReadMs > OUTAGE_MS;
      if (hasFailed && wasUnread) recoveredMs = nowMs;
      hasFailed = false;
      lastReadMs = nowMs;
    },
    observeReadFailure: () => {
      hasFailed = true;
    },
  };
}
