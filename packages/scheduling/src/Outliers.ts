/**
 * Outlier detection: ejects backend servers that fail repeatedly or are much slower than the other
 * servers of their pool. At most a bounded share of the servers is ejected at any time. After its
 * ejection a server is on probation with few requests; if it fails again, the next ejection is
 * longer.
 */
import type * as Core from '@berylyoke/core';
import type * as Explanation from './Explanation.js';

/** Outlier detection state of one server. */
export interface OutlierServer {
  readonly status: 'ejected' | 'healthy' | 'probation';
  readonly consecutiveFailures: number;
  /** Successes since the start of the probation or the last failure. */
  readonly successes: number;
  /** Ejections since the last completed probation. */
  readonly ejections: number;
  /** End of the last ejection. */
  readonly untilMs: Core.Millis;
}

/** Outlier detection state of one pool; servers without an entry are healthy. */
export interface OutlierState {
  readonly servers: ReadonlyMap<string, OutlierServer>;
  readonly memberCount: number;
}

/** Thresholds and limits of ejection. */
export interface OutlierOptions {
  readonly maxEjectedShare: number;
  readonly failuresToEject: number;
  readonly successesToReturn: number;
  readonly baseEjectionMs: Core.Millis;
  readonly maxEjectionMs: Core.Millis;
  /** A server is slow if its slowdown exceeds this multiple of the pool's median. */
  readonly slowRatio: number;
  /** Slowdown up to which no server counts as slow, regardless of the median. */
  readonly minSlowdown: number;
}

/**
 * Events of outlier detection. `Members` replaces the set of servers of the pool. `slowdowns` are
 * the ratios of observed to expected times of recently used servers. `Tick` ends ejections.
 */
export type OutlierEvent = {
  readonly _tag: 'Failure';
  readonly serverId: string;
}
  | { readonly _tag: 'Members'; readonly serverIds: readonly string[] }
  | { readonly _tag: 'Observed'; readonly slowdowns: ReadonlyMap<string, number> }
  | { readonly _tag: 'Success'; readonly serverId: string }
  | { readonly _tag: 'Tick' };

/** A status change of a server, or an ejection that the bound on ejected servers prevented. */
export interface OutlierChange {
  readonly serverId: string;
  readonly reason: Explanation.OutlierReason;
}

/** Result of one event. */
export interface OutlierTransition {
  readonly state: OutlierState;
  readonly changes: readonly OutlierChange[];
}

/** Default options. */
export const defaultOutlierOptions: OutlierOptions = {
  baseEjectionMs: 5_000,
  failuresToEject: 3,
  maxEjectedShare: 0.34,
  maxEjectionMs: 60_000,
  minSlowdown: 1.5,
  slowRatio: 3,
  successesToReturn: 3,
};

/** State of a pool without servers. */
export const initialOutlierState: OutlierState = { memberCount: 0, servers: new Map() };

const HEALTHY: OutlierServer = {
  consecutiveFailures: 0, ejections: 0, status: 'healthy', successes: 0, untilMs: 0,
};

/** Minimum number of observed servers for a comparison with the median. */
const MIN_COMPARED_SERVERS = 3;

/** Counts the ejected servers. */
export function countEjected({ servers }: OutlierState): number {
  return [...servers.values()].filter(({ status }) => status === 'ejected').length;
}

/**
 * Computes how many servers may be ejected at the same time: at least one if there are two or more
 * servers, and never all of them.
 */
export function computeMaxEjected(
  memberCount: number,
  { maxEjectedShare }: OutlierOptions,
): number {
  const bound = Math.max(1, Math.floor(memberCount * maxEjectedShare));
  return Math.min(bound, Math.max(0, memberCount - 1));
}

/** Gets the status of a server. */
export function getOutlierStatus(state: OutlierState, serverId: string): OutlierServer['status'] {
  return state.servers.get(serverId)?.status ?? 'healthy';
}

function setServer(state: OutlierState, serverId: string, server: OutlierServer): OutlierState {
  return { ...state, servers: new Map(state.servers).set(serverId, server) };
}

function ejectServer(
  state: OutlierState,
  serverId: string,
  server: OutlierServer,
  reason: Explanation.OutlierReason,
  nowMs: Core.Millis,
  options: OutlierOptions,
): OutlierTransition {
  if (server.status === 'ejected') return { changes: [], state };
  const ejected = countEjected(state);
  const maxEjected = computeMaxEjected(state.memberCount, options);
  if (ejected >= maxEjected) {
    return {
      changes: [{ reason: { _tag: 'BoundReached', ejected, maxEjected }, serverId }],
      state: setServer(state, serverId, server),
    };
  }
  const ejectionMs = Math.min(
    options.baseEjectionMs * 2 ** server.ejections,
    options.maxEjectionMs,
  );
  return {
    changes: [{ reason, serverId }],
    state: setServer(state, serverId, {
      consecutiveFailures: 0,
      ejections: server.ejections + 1,
      status: 'ejected',
      successes: 0,
      untilMs: nowMs + ejectionMs,
    }),
  };
}

type Handler<E> = (
  state: OutlierState, event: E, nowMs: Core.Millis, options: OutlierOptions,
) => OutlierTransition;

type Handlers = {
  readonly [Tag in OutlierEvent['_tag']]: Handler<Extract<OutlierEvent, { readonly _tag: Tag }>>;
};

const HANDLERS: Handlers = {
  Failure: (state, { serverId }, nowMs, options) => {
    const server = state.servers.get(serverId) ?? HEALTHY;
    const failures = server.consecutiveFailures + 1;
    const failedServer = { ...server, consecutiveFailures: failures, successes: 0 };
    const mustEject = failures >= options.failuresToEject || server.status === 'probation';
    if (!mustEject) return { changes: [], state: setServer(state, serverId, failedServer) };
    const reason = { _tag: 'ConsecutiveFailures' as const, failures };
    return ejectServer(state, serverId, failedServer, reason, nowMs, options);
  },
  Members: (state, { serverIds }, nowMs, options) => {
    const members = new Set(serverIds);
    const remaining = [...state.servers].filter(([serverId]) => members.has(serverId));
    // If a smaller pool exceeds the bound, the servers whose ejection ends first are readmitted.
    const excessServerIds = remaining
      .filter(([, { status }]) => status === 'ejected')
      .sort(([, a], [, b]) => b.untilMs - a.untilMs)
      .slice(computeMaxEjected(members.size, options))
      .map(([serverId]) => serverId);
    const servers = new Map(remaining.map(([serverId, server]) => [
      serverId,
      excessServerIds.includes(serverId) ? { ...server, status: 'probation' as const } : server,
    ]));
    return {
      changes: excessServerIds.map((serverId) => ({
        reason: { _tag: 'ProbationStarted' as const, afterMs: 0 }, serverId,
      })),
      state: { memberCount: members.size, servers },
    };
  },
  Observed: (state, { slowdowns }, nowMs, options) => {
    if (slowdowns.size < MIN_COMPARED_SERVERS) return { changes: [], state };
    const sorted = [...slowdowns.values()].sort((a, b) => a - b);
    const median = sorted[Math.floor((sorted.length - 1) / 2)] as number;
    return [...slowdowns].reduce<OutlierTransition>((transition, [serverId, slowdown]) => {
      const maxSlowdown = Math.max(median * options.slowRatio, options.minSlowdown);
      if (slowdown <= maxSlowdown) return transition;
      const server = transition.state.servers.get(serverId) ?? HEALTHY;
      const reason = { _tag: 'Slow' as const, median, slowdown };
      const next = ejectServer(transition.state, serverId, server, reason, nowMs, options);
      return { changes: [...transition.changes, ...next.changes], state: next.state };
    }, { changes: [], state });
  },
  Success: (state, { serverId }, _, options) => {
    const server = state.servers.get(serverId);
    if (server === undefined || server.status === 'ejected') return { changes: [], state };
    if (server.status === 'healthy') {
      const hasNoFailures = server.consecutiveFailures === 0;
      const next = { ...server, consecutiveFailures: 0 };
      return { changes: [], state: hasNoFailures ? state : setServer(state, serverId, next) };
    }
    const successes = server.successes + 1;
    if (successes < options.successesToReturn) {
      const next = { ...server, consecutiveFailures: 0, successes };
      return { changes: [], state: setServer(state, serverId, next) };
    }
    return {
      changes: [{ reason: { _tag: 'ProbationOver', successes }, serverId }],
      state: setServer(state, serverId, HEALTHY),
    };
  },
  Tick: (state, _, nowMs) => {
    const expired = [...state.servers].filter(([, { status, untilMs }]) => (
      status === 'ejected' && untilMs <= nowMs
    ));
    if (expired.length === 0) return { changes: [], state };
    const servers = new Map(state.servers);
    expired.forEach(([serverId, server]) => servers.set(serverId, {
      ...server, status: 'probation', successes: 0,
    }));
    return {
      changes: expired.map(([serverId, { untilMs }]) => ({
        reason: { _tag: 'ProbationStarted', afterMs: nowMs - untilMs }, serverId,
      })),
      state: { ...state, servers },
    };
  },
};

/** Applies one event to the state. */
export function reduceOutliers(
  state: OutlierState,
  event: OutlierEvent,
  nowMs: Core.Millis,
  options: OutlierOptions = defaultOutlierOptions,
): OutlierTransition {
  const handler = HANDLERS[event._tag] as Handler<OutlierEvent>;
  return handler(state, event, nowMs, options);
}
