/**
 * Directory of backend servers. A server gets no new work as soon as one of three signals says that
 * it is leaving: the platform's list, a leaving notice, or failures of requests. The fold is pure;
 * `createServerDirectory` holds its state and polls the list.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import type * as Topology from './Topology.js';
import type * as VmList from './VmList.js';

/** What a server may be given: new work, no new work, or nothing until it is heard of again. */
export type ServerState = 'leaving' | 'live' | 'missing';

/** One backend server. */
export interface BackendServer {
  readonly id: string;
  /** Host and port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly role: 'engine' | 'service';
  readonly kind: 'cheap' | 'dear';
  readonly state: ServerState;
  readonly models: readonly string[];
  readonly service: string | undefined;
  /** Price of an hour, in cents. */
  readonly priceCents: number;
}

/** The directory at one moment; replaced as a whole. */
export interface DirectorySnapshot {
  /** Grows with each change. */
  readonly version: number;
  /** In order of id. */
  readonly servers: readonly BackendServer[];
  /** Entry VMs that the list calls live. */
  readonly entries: readonly Topology.Seed[];
  /** Monotonic time of the last list; undefined before the first. */
  readonly listedMs: Core.Millis | undefined;
}

/** Bounds of the directory. */
export interface DirectoryBounds {
  /** Failures in a row after which a server gets no new work. */
  readonly failureCount: number;
  /** Time after which a failed server is tried again, in milliseconds. */
  readonly retryMs: Core.Millis;
  /** Lists in a row that must leave a server out before it gets no new work. */
  readonly missingLists: number;
  /** Time after which a missing server is forgotten, in milliseconds. */
  readonly forgetMs: Core.Millis;
  /**
   * Time after the last sign of leaving for which a list that calls the server live is not
   * believed, in milliseconds: a list lags, so at first it is only an older one.
   */
  readonly reviveMs: Core.Millis;
}

/**
 * One list may lag behind another, so a server may be missing from the first answer after it was
 * listed; two answers in a row without it are taken as a signal.
 */
export const DEFAULT_BOUNDS: DirectoryBounds = {
  failureCount: 3, forgetMs: 60_000, missingLists: 2, retryMs: 5_000, reviveMs: 120_000,
};

interface KnownServer {
  readonly vm: VmList.Vm;
  readonly listedMs: Core.Millis;
  readonly missingLists: number;
  /** When a list or a notice last said that the server is leaving. */
  readonly leavingMs: Core.Millis | undefined;
  readonly failures: number;
  readonly failedMs: Core.Millis | undefined;
}

/** State of the directory. */
export interface DirectoryState {
  readonly known: ReadonlyMap<string, KnownServer>;
  readonly entries: readonly Topology.Seed[];
  readonly listedMs: Core.Millis | undefined;
}

interface Listed {
  readonly _tag: 'listed';
  readonly vms: readonly VmList.Vm[];
}

/** A backend server said that it will be reclaimed. */
interface Noticed {
  readonly _tag: 'noticed';
  readonly id: string;
}

/** A request to a server failed before an answer, or succeeded. */
interface Observed {
  readonly _tag: 'failed' | 'succeeded';
  readonly id: string;
}

export type DirectoryEvent = Listed | Noticed | Observed;

/** State before the first list. */
export const initialDirectoryState: DirectoryState = {
  entries: [], known: new Map(), listedMs: undefined,
};

type Reduce<Event extends DirectoryEvent> = (
  state: DirectoryState,
  event: Event,
  nowMs: Core.Millis,
  bounds: DirectoryBounds,
) => DirectoryState;

function updateServer(
  state: DirectoryState,
  id: string,
  change: (server: KnownServer) => KnownServer,
): DirectoryState {
  const server = state.known.get(id);
  if (server === undefined) return state;
  const changed = change(server);
  if (changed === server) return state;
  return { ...state, known: new Map(state.known).set(id, changed) };
}

const reduceListed: Reduce<Listed> = (state, { vms }, nowMs, { forgetMs }) => {
  const listed = vms.filter(({ role }) => role !== 'entry');
  // A list without any server says more about the list than about the servers.
  if (listed.length === 0 && state.known.size > 0) return state;
  const ids = new Set(listed.map(({ id }) => id));
  const kept = [...state.known]
    .filter(([id, server]) => !ids.has(id) && nowMs - server.listedMs <= forgetMs)
    .map(([id, server]) => [id, { ...server, missingLists: server.missingLists + 1 }] as const);
  const fresh = listed.map((vm) => {
    const server = state.known.get(vm.id);
    return [vm.id, {
      failedMs: server?.failedMs,
      failures: server?.failures ?? 0,
      leavingMs: vm.state === 'leaving' ? nowMs : server?.leavingMs,
      listedMs: nowMs,
      missingLists: 0,
      vm,
    }] as const;
  });
  return {
    entries: vms
      .filter((vm) => vm.role === 'entry' && vm.state === 'live')
      .map(({ address, dataCentre }) => ({ address, dataCentre })),
    known: new Map([...kept, ...fresh]),
    listedMs: nowMs,
  };
};

const reduceObserved: Reduce<Observed> = (state, { _tag, id }, nowMs) => (
  updateServer(state, id, (server) => {
    if (_tag === 'failed') return { ...server, failedMs: nowMs, failures: server.failures + 1 };
    return server.failures === 0 ? server : { ...server, failedMs: undefined, failures: 0 };
  })
);

const REDUCERS: {
  readonly [Tag in DirectoryEvent['_tag']]: Reduce<Extract<DirectoryEvent, { _tag: Tag }>>;
} = {
  failed: reduceObserved,
  listed: reduceListed,
  noticed: (state, { id }, nowMs) => (
    updateServer(state, id, (server) => ({ ...server, leavingMs: nowMs }))
  ),
  succeeded: reduceObserved,
};

/** Steps the directory by one event. */
export function reduceDirectory(
  state: DirectoryState,
  event: DirectoryEvent,
  nowMs: Core.Millis,
  bounds: DirectoryBounds = DEFAULT_BOUNDS,
): DirectoryState {
  const reduce = REDUCERS[event._tag] as Reduce<DirectoryEvent>;
  return reduce(state, event, nowMs, bounds);
}

function getServerState(
  server: KnownServer,
  nowMs: Core.Millis,
  bounds: DirectoryBounds,
): ServerState {
  const { leavingMs } = server;
  if (leavingMs !== undefined && nowMs - leavingMs <= bounds.reviveMs) return 'leaving';
  if (server.missingLists >= bounds.missingLists) return 'missing';
  const failing = server.failures >= bounds.failureCount && server.failedMs !== undefined
    && nowMs - server.failedMs < bounds.retryMs;
  return failing ? 'missing' : 'live';
}

/** Lists the servers with their states at a moment, in order of id. */
export function listServers(
  { known }: DirectoryState,
  nowMs: Core.Millis,
  bounds: DirectoryBounds = DEFAULT_BOUNDS,
): readonly BackendServer[] {
  return [...known.values()]
    .flatMap<BackendServer>((server) => {
      const { vm: { role, service, ...vm } } = server;
      if (role === 'entry') return [];
      return [{
        ...vm, role, service, state: getServerState(server, nowMs, bounds),
      }];
    })
    .sort((a, b) => (a.id < b.id ? -1 : 1));
}

/** Directory of one process. */
export interface ServerDirectory {
  readonly getSnapshot: () => DirectorySnapshot;
  readonly applyEvent: (event: DirectoryEvent) => void;
  /** Calls the listener after each change until undone. */
  readonly registerListener: (listener: (snapshot: DirectorySnapshot) => void) => Core.Cleanup;
  /** Reads the list once; a failure keeps what is known and is handed to `onFailure`. */
  readonly poll: () => Effect.Effect<void>;
  /** Starts to poll every `intervalMs`; one poll at a time. */
  readonly start: (intervalMs: Core.Millis) => Core.Cleanup;
}

/** What a directory needs. */
export interface ServerDirectoryOptions {
  readonly port: VmList.VmListPort;
  readonly clock: Core.Clock;
  readonly bounds?: DirectoryBounds;
  readonly onFailure?: (error: VmList.VmListError) => void;
}

function isSame(a: DirectorySnapshot, b: DirectorySnapshot): boolean {
  return JSON.stringify([a.servers, a.entries])
    === JSON.stringify([b.servers, b.entries]);
}

/** Creates an empty directory. */
export function createServerDirectory({
  bounds = DEFAULT_BOUNDS, clock, onFailure, port,
}: ServerDirectoryOptions): ServerDirectory {
  const listeners = new Set<(snapshot: DirectorySnapshot) => void>();
  let state = initialDirectoryState;
  let snapshot: DirectorySnapshot = {
    entries: [], listedMs: undefined, servers: [], version: 0,
  };

  // A failed server is tried again by the passage of time, so each poll renews the snapshot.
  const updateSnapshot = (): void => {
    const { entries, listedMs } = state;
    const servers = listServers(state, clock.readMonotonic(), bounds);
    const next = {
      entries, listedMs, servers, version: snapshot.version + 1,
    };
    if (isSame(next, snapshot)) {
      snapshot = { ...snapshot, listedMs };
      return;
    }
    snapshot = next;
    listeners.forEach((listener) => listener(next));
  };

  const applyEvent = (event: DirectoryEvent): void => {
    const before = state;
    state = reduceDirectory(state, event, clock.readMonotonic(), bounds);
    if (state !== before) updateSnapshot();
  };

  const poll = (): Effect.Effect<void> => port.read().pipe(
    Effect.match({
      onFailure: (error) => {
        onFailure?.(error);
        updateSnapshot();
      },
      onSuccess: (vms) => applyEvent({ _tag: 'listed', vms }),
    }),
  );

  return {
    applyEvent,
    getSnapshot: () => snapshot,
    poll,
    registerListener: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    start: (intervalMs) => {
      let polling = false;
      const run = (): void => {
        if (polling) return;
        polling = true;
        Effect.runFork(poll().pipe(Effect.ensuring(Effect.sync(() => {
          polling = false;
        }))));
      };
      const timer = setInterval(run, intervalMs);
      run();
      return () => clearInterval(timer);
    },
  };
}
