/**
 * Table of backend servers, built from their entries in the store. An entry that expired during an
 * outage of the store may belong to a running server that could not renew it. Such an entry is
 * retained until a running server would have renewed it after the outage.
 */
import * as Core from '@berylyoke/core';

/** Entry of one backend server. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Version of the server's software. */
  readonly version: string;
  /** Requests that the server can process concurrently; 0 if unknown. */
  readonly slots: number;
  readonly state: 'draining' | 'ready';
  /** Start time of the server in Unix milliseconds; each start is another incarnation. */
  readonly bornMs: number;
  /** Whether the platform may reclaim the server at short notice. */
  readonly isReclaimable: boolean;
  /** Time for which the server is cold from its entry on; undefined if it is warm. */
  readonly coldMs?: Core.Millis | undefined;
}

/** Identity of one incarnation of a server; a restart makes a new one. */
export type ServerIncarnation = Pick<BackendServer, 'bornMs' | 'id'>;

/** Formats the name of one incarnation of a server; its id is reused after a restart. */
export function formatIncarnation({ bornMs, id }: ServerIncarnation): string {
  return `${id}@${bornMs}`;
}

/** Time after an outage of the store within which everyone has written again what it lost. */
export const RENEWAL_GRACE_MS = 2_000;

/**
 * Time between successful reads, with a failed one between them, from which entries may have
 * expired because of an outage.
 */
const OUTAGE_MS = 1_500;

/** Number of removed incarnations that are remembered, in case an older copy lists them again. */
const MAX_REMOVED = 1_000;

/** Table of the backend servers that one daemon knows. */
export interface ServerTable {
  /** Applies a change of an entry; `undefined` removes it. */
  readonly applyEntry: (id: string, server: BackendServer | undefined, nowMs: Core.Millis) => void;
  /** Applies the removal of an entry, which may be of a server that was never listed here. */
  readonly applyRemoval: (id: string, nowMs: Core.Millis) => void;
  /** Replaces all entries by those of a complete read. */
  readonly applySnapshot: (servers: readonly BackendServer[], nowMs: Core.Millis) => void;
  /**
   * Applies the entries of a store that returned from an older copy. Newer knowledge of the same
   * incarnations is kept; servers write their entries again.
   */
  readonly applyRestored: (servers: readonly BackendServer[], nowMs: Core.Millis) => void;
  /** Records a successful read of the entries; to be called before its records are applied. */
  readonly observeRead: (nowMs: Core.Millis) => void;
  /** Records a failed read of the entries. */
  readonly observeReadFailure: () => void;
  /** Replaces the set of data centres whose servers get no requests. */
  readonly setEvacuated: (dataCentres: ReadonlySet<string>) => void;
  /** Lists the servers of a service that accept new requests. */
  readonly listServing: (service: string, nowMs: Core.Millis) => readonly BackendServer[];
  /** Checks whether a server is cold. */
  readonly isCold: (id: string, nowMs: Core.Millis) => boolean;
  /** Lists every server with an entry. */
  readonly listAll: () => readonly BackendServer[];
  /** Counts the servers of a service with an entry, by software version. */
  readonly countVersions: (service: string) => ReadonlyMap<string, number>;
  /**
   * Checks whether no other version of a service has had an entry since a time. False if the
   * changes of the entries have not been followed for so long: what came and went is not known.
   */
  readonly hadOnlyVersion: (service: string, version: string, sinceMs: Core.Millis) => boolean;
}

/** Creates an empty table. */
export function createServerTable(): ServerTable {
  const servers = new Map<string, BackendServer>();
  /** Time at which each retained entry is removed. */
  const expiryMs = new Map<string, Core.Millis>();
  const coldUntilMs = new Map<string, Core.Millis>();
  const removedIncarnations = new Map<string, true>();
  let lastReadMs: Core.Millis | undefined;
  let recoveredMs: Core.Millis | undefined;
  let hasFailed = false;
  let evacuated: ReadonlySet<string> = new Set();
  /** Time at which an entry of a version was last removed or replaced, by service and version. */
  const departedMs = new Map<string, Map<string, Core.Millis>>();
  /** Time from which every change of the entries was seen. */
  let followedSinceMs = Infinity;

  const recordDeparture = ({ service, version }: BackendServer, nowMs: Core.Millis): void => {
    const versions = departedMs.get(service) ?? new Map<string, Core.Millis>();
    departedMs.set(service, versions.set(version, nowMs));
  };
  const deleteServer = (id: string, nowMs: Core.Millis): void => {
    const server = servers.get(id);
    if (server !== undefined) {
      recordDeparture(server, nowMs);
      Core.setBounded(removedIncarnations, formatIncarnation(server), true, MAX_REMOVED);
    }
    servers.delete(id);
    coldUntilMs.delete(id);
  };
  const removeEntry = (id: string, nowMs: Core.Millis): void => {
    const isAfterOutage = recoveredMs !== undefined && nowMs - recoveredMs < RENEWAL_GRACE_MS;
    const wasServing = servers.get(id)?.state === 'ready';
    if (isAfterOutage && wasServing) expiryMs.set(id, (recoveredMs as number) + RENEWAL_GRACE_MS);
    else deleteServer(id, nowMs);
  };
  const setEntry = (server: BackendServer, nowMs: Core.Millis): void => {
    const previous = servers.get(server.id);
    if (previous !== undefined) recordDeparture(previous, nowMs);
    expiryMs.delete(server.id);
    servers.set(server.id, server);
    if (server.coldMs === undefined) coldUntilMs.delete(server.id);
    else coldUntilMs.set(server.id, nowMs + server.coldMs);
  };
  const removeMissing = (list: readonly BackendServer[], nowMs: Core.Millis): void => {
    const present = new Set(list.map(({ id }) => id));
    [...servers.keys()].filter((id) => !present.has(id)).forEach((id) => removeEntry(id, nowMs));
  };
  /** Checks whether an entry of an older copy tells of an incarnation that is not known yet. */
  const isNews = (server: BackendServer): boolean => {
    const known = servers.get(server.id);
    if (known !== undefined) return server.bornMs > known.bornMs;
    return !removedIncarnations.has(formatIncarnation(server));
  };
  const removeExpired = (nowMs: Core.Millis): void => expiryMs.forEach((untilMs, id) => {
    if (nowMs < untilMs) return;
    expiryMs.delete(id);
    deleteServer(id, nowMs);
  });

  return {
    applyEntry: (id, server, nowMs) => {
      if (server === undefined) removeEntry(id, nowMs);
      else setEntry(server, nowMs);
    },
    applyRemoval: (id, nowMs) => {
      if (!servers.has(id)) followedSinceMs = nowMs;
      removeEntry(id, nowMs);
    },
    applyRestored: (list, nowMs) => {
      followedSinceMs = nowMs;
      recoveredMs = nowMs;
      removeMissing(list, nowMs);
      list.filter(isNews).forEach((server) => setEntry(server, nowMs));
    },
    applySnapshot: (list, nowMs) => {
      followedSinceMs = nowMs;
      removeMissing(list, nowMs);
      list.forEach((server) => setEntry(server, nowMs));
    },
    countVersions: (service) => {
      const counts = new Map<string, number>();
      [...servers.values()].filter((server) => server.service === service)
        .forEach(({ version }) => counts.set(version, (counts.get(version) ?? 0) + 1));
      return counts;
    },
    hadOnlyVersion: (service, version, sinceMs) => {
      const listed = [...servers.values()].filter((server) => server.service === service);
      const departed = [...departedMs.get(service) ?? []].filter(([, atMs]) => atMs >= sinceMs);
      return followedSinceMs <= sinceMs
        && listed.every((server) => server.version === version)
        && departed.every(([departedVersion]) => departedVersion === version);
    },
    isCold: (id, nowMs) => nowMs < (coldUntilMs.get(id) ?? -Infinity),
    listAll: () => [...servers.values()],
    listServing: (service, nowMs) => {
      removeExpired(nowMs);
      return [...servers.values()].filter((server) => (
        server.service === service && server.state === 'ready'
        && !evacuated.has(server.dataCentre)
      ));
    },
    setEvacuated: (dataCentres) => {
      evacuated = dataCentres;
    },
    observeRead: (nowMs) => {
      const hadLongGap = lastReadMs !== undefined && nowMs - lastReadMs > OUTAGE_MS;
      if (hasFailed && hadLongGap) recoveredMs = nowMs;
      hasFailed = false;
      lastReadMs = nowMs;
    },
    observeReadFailure: () => {
      hasFailed = true;
    },
  };
}
