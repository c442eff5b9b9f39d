/**
 * Directory of backend servers. A server gets no new work after any of three signals: the VM list
 * of the platform reports it as leaving or omits it, the server announces that it will be
 * reclaimed, or requests to it fail repeatedly. The reducer is pure; `createServerDirectory` holds
 * the state and polls the list.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import type * as Topology from './Topology.js';
import type * as VmList from './VmList.js';

/**
 * State of a server. Only a `live` server gets new work; a `leaving` one will be reclaimed, and a
 * `missing` one is absent from the list or fails its requests.
 */
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
  /** Price per hour, in cents. */
  readonly priceCents: number;
}

/** Immutable snapshot of the directory. */
export interface DirectorySnapshot {
  /** Incremented with each change of the servers or entries. */
  readonly version: number;
  /** Sorted by id. */
  readonly servers: readonly BackendServer[];
  /** Entry VMs that the list reports as live. */
  readonly entries: readonly Topology.Seed[];
  /** Monotonic time at which the list was last read; undefined before the first list. */
  readonly listedMs: Core.Millis | undefined;
}

/** Thresholds and time-outs of the directory. */
export interface DirectoryBounds {
  /** Number of consecutive failures after which a server gets no new work. */
  readonly failureCount: number;
  /** Time after the last failure until a failed server is retried, in milliseconds. */
  readonly retryAfterMs: Core.Millis;
  /** Number of consecutive lists without a server after which it gets no new work. */
  readonly missingLists: number;
  /** Time since it was last listed after which a server is removed, in milliseconds. */
  readonly forgetAfterMs: Core.Millis;
  /**
   * Time after the last leaving signal during which lists that report the server as live are
   * considered stale, in milliseconds. The list lags, so such a list may predate the signal.
   */
  readonly staleListMs: Core.Millis;
}

/**
 * Successive lists may lag by different times, so a server can be absent from a list although the
 * previous one had it. Only two consecutive lists without the server count as a signal.
 */
export const DEFAULT_BOUNDS: DirectoryBounds = {
  failureCount: 3,
  forgetAfterMs: 60_000,
  missingLists: 2,
  retryAfterMs: 5_000,
  staleListMs: 120_000,
};

interface KnownServer {
  readonly vm: VmList.Vm;
  readonly listedMs: Core.Millis;
  readonly missingLists: number;
  /** Monotonic time of the last list or notice that reported the server as leaving. */
  readonly leavingMs: Core.Millis | undefined;
  /** Number of consecutive failed requests. */
  readonly failures: number;
  readonly failedMs: Core.Millis | undefined;
}

/** State of the directory. */
export interface DirectoryState {
  readonly knownServers: ReadonlyMap<string, KnownServer>;
  readonly entries: readonly Topology.Seed[];
  readonly listedMs: Core.Millis | undefined;
}

/** The VM list was read. */
interface ListEvent {
  readonly _tag: 'listed';
  readonly vms: readonly VmList.Vm[];
}

/** A backend server announced that it will be reclaimed. */
interface LeavingNoticeEvent {
  readonly _tag: 'noticed';
  readonly id: string;
}

/** A request to a server succeeded, or failed before its response. */
interface RequestOutcomeEvent {
  readonly _tag: 'failed' | 'succeeded';
  readonly id: string;
}

export type DirectoryEvent = ListEvent | LeavingNoticeEvent | RequestOutcomeEvent;

/** State before the first list. */
export const initialDirectoryState: DirectoryState = {
  entries: [], knownServers: new Map(), listedMs: undefined,
};

type Reducer<Event extends DirectoryEvent> = (
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
  const server = state.knownServers.get(id);
  if (server === undefined) return state;
  const changed = change(server);
  if (changed === server) return state;
  return { ...state, knownServers: new Map(state.knownServers).set(id, changed) };
}

const reduceList: Reducer<ListEvent> = (state, { vms }, nowMs, { forgetAfterMs }) => {
  const listed = vms.filter(({ role }) => role !== 'entry');
  // A list without any server is more likely a fault of the list than the loss of all servers.
  if (listed.length === 0 && state.knownServers.size > 0) return state;
  const ids = new Set(listed.map(({ id }) => id));
  const unlisted = [...state.knownServers]
    .filter(([id, server]) => !ids.has(id) && nowMs - server.listedMs <= forgetAfterMs)
    .map(([id, server]) => [id, { ...server, missingLists: server.missingLists + 1 }] as const);
  const updated = listed.map((vm) => {
    const server = state.knownServers.get(vm.id);
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
    knownServers: new Map([...unlisted, ...updated]),
    listedMs: nowMs,
  };
};

const reduceRequestOutcome: Reducer<RequestOutcomeEvent> = (state, { _tag, id }, nowMs) => (
  updateServer(state, id, (server) => {
    if (_tag === 'failed') return { ...server, failedMs: nowMs, failures: server.failures + 1 };
    return server.failures === 0 ? server : { ...server, failedMs: undefined, failures: 0 };
  })
);

const REDUCERS: {
  readonly [Tag in DirectoryEvent['_tag']]: Reducer<Extract<DirectoryEvent, { _tag: Tag }>>;
} = {
  failed: reduceRequestOutcome,
  listed: reduceList,
  noticed: (state, { id }, nowMs) => (
    updateServer(state, id, (server) => ({ ...server, leavingMs: nowMs }))
  ),
  succeeded: reduceRequestOutcome,
};

/** Applies an event to the state. */
export function reduceDirectory(
  state: DirectoryState,
  event: DirectoryEvent,
  nowMs: Core.Millis,
  bounds: DirectoryBounds = DEFAULT_BOUNDS,
): DirectoryState {
  const reduce = REDUCERS[event._tag] as Reducer<DirectoryEvent>;
  return reduce(state, event, nowMs, bounds);
}

function getServerState(
  server: KnownServer,
  nowMs: Core.Millis,
  bounds: DirectoryBounds,
): ServerState {
  const { leavingMs } = server;
  if (leavingMs !== undefined && nowMs - leavingMs <= bounds.staleListMs) return 'leaving';
  if (server.missingLists >= bounds.missingLists) return 'missing';
  const isFailing = server.failures >= bounds.failureCount && server.failedMs !== undefined
    && nowMs - server.failedMs < bounds.retryAfterMs;
  return isFailing ? 'missing' : 'live';
}

/** Lists the servers with their states at the time `nowMs`, sorted by id. */
export function listServers(
  { knownServers }: DirectoryState,
  nowMs: Core.Millis,
  bounds: DirectoryBounds = DEFAULT_BOUNDS,
): readonly BackendServer[] {
  return [...knownServers.values()]
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
  /** Calls the listener after each change until the returned function is called. */
  readonly registerListener: (listener: (snapshot: DirectorySnapshot) => void) => Core.Cleanup;
  /** Reads the list once. On failure the known servers are kept and `onFailure` is called. */
  readonly poll: () => Effect.Effect<void>;
  /** Starts polling every `intervalMs`; a poll is skipped while the previous one is running. */
  readonly start: (intervalMs: Core.Millis) => Core.Cleanup;
}

/** Options of `createServerDirectory`. */
export interface ServerDirectoryOptions {
  readonly port: VmList.VmListPort;
  readonly clock: Core.Clock;
  readonly bounds?: DirectoryBounds;
  readonly onFailure?: (error: VmList.VmListError) => void;
}

function hasSameContent(a: DirectorySnapshot, b: DirectorySnapshot): boolean {
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

  // A failed server becomes live again when `retryAfterMs` has passed, without any event. Each poll
  // therefore rebuilds the snapshot.
  const updateSnapshot = (): void => {
    const { entries, listedMs } = state;
    const servers = listServers(state, clock.readMonotonic(), bounds);
    const next = {
      entries, listedMs, servers, version: snapshot.version + 1,
    };
    if (hasSameContent(next, snapshot)) {
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
