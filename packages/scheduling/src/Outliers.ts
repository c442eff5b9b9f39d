/**
 * Ejection of backend servers that fail or are much slower than the others of their pool. At most a
 * bounded share is out at any time; a server returns on probation, with few requests, and is
 * ejected for longer when it fails again.
 */
import type * as Core from '@berylyoke/core';
import type * as Explanation from './Explanation.js';

/** What is known of one server. */
export interface OutlierServer {
  readonly status: 'ejected' | 'healthy' | 'probation';
  readonly consecutiveFailures: number;
  /** Successes since the probation began. */
  readonly successes: number;
  /** Ejections without a completed probation between them. */
  readonly ejections: number;
  readonly untilMs: Core.Millis;
}

/** Servers of one pool; those without an entry are healthy. */
export interface OutlierState {
  readonly servers: ReadonlyMap<string, OutlierServer>;
  readonly memberCount: number;
}

/** Bounds of ejection. */
export interface OutlierOptions {
  readonly maxEjectedShare: number;
  readonly failuresToEject: number;
  readonly successesToReturn: number;
  readonly baseEjectionMs: Core.Millis;
  readonly maxEjectionMs: Core.Millis;
  /** Ratio to the median of the pool above which a server counts as slow. */
  readonly slowRatio: number;
  /** Slowdown up to which no server counts as slow, however fast the others are. */
  readonly minSlowdown: number;
}

/**
 * What happened. `Members` replaces the set of servers; `slowdowns` are ratios of observed to
 * expected times of servers that were used lately.
 */
export type OutlierEvent = {
  readonly _tag: 'Failure';
  readonly serverId: string;
}
  | { readonly _tag: 'Members'; readonly serverIds: readonly string[] }
  | { readonly _tag: 'Observed'; readonly slowdowns: ReadonlyMap<string, number> }
  | { readonly _tag: 'Success'; readonly serverId: string }
  | { readonly _tag: 'Tick' };

/** A change of one server, or an ejection that the bound prevented. */
export interface OutlierChange {
  readonly serverId: string;
  readonly reason: Explanation.OutlierReason;
}

/** Result of one step. */
export interface OutlierStep {
  readonly state: OutlierState;
  readonly changes: readonly OutlierChange[];
}

/** Bounds used when nothing else is set. */
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

/** Servers needed before one may be called slow by comparison. */
const MIN_COMPARED = 3;

/** Counts the ejected servers. */
export function countEjected({ servers }: OutlierState): number {
  return [...servers.values()].filter(({ status }) => status === 'ejected').length;
}

/** Computes how many servers may be out together: at least one of two, never the last one. */
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
): OutlierStep {
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
) => OutlierStep;

type Handlers = {
  readonly [Tag in OutlierEvent['_tag']]: Handler<Extract<OutlierEvent, { readonly _tag: Tag }>>;
};

const HANDLERS: Handlers = {
  Failure: (state, { serverId }, nowMs, options) => {
    const server = state.servers.get(serverId) ?? HEALTHY;
    const failures = server.consecutiveFailures + 1;
    const failed = { ...server, consecutiveFailures: failures, successes: 0 };
    const isOut = failures >= options.failuresToEject || server.status === 'probation';
    if (!isOut) return { changes: [], state: setServer(state, serverId, failed) };
    const reason = { _tag: 'ConsecutiveFailures' as const, failures };
    return ejectServer(state, serverId, failed, reason, nowMs, options);
  },
  Members: (state, { serverIds }, nowMs, options) => {
    const members = new Set(serverIds);
    const kept = [...state.servers].filter(([serverId]) => members.has(serverId));
    // When the pool shrinks, those whose ejection ends first return so that the bound holds.
    const excess = kept
      .filter(([, { status }]) => status === 'ejected')
      .sort(([, a], [, b]) => b.untilMs - a.untilMs)
      .slice(computeMaxEjected(members.size, options))
      .map(([serverId]) => serverId);
    const servers = new Map(kept.map(([serverId, server]) => [
      serverId,
      excess.includes(serverId) ? { ...server, status: 'probation' as const } : server,
    ]));
    return {
      changes: excess.map((serverId) => ({
        reason: { _tag: 'ProbationStarted' as const, afterMs: 0 }, serverId,
      })),
      state: { memberCount: members.size, servers },
    };
  },
  Observed: (state, { slowdowns }, nowMs, options) => {
    if (slowdowns.size < MIN_COMPARED) return { changes: [], state };
    const sorted = [...slowdowns.values()].sort((a, b) => a - b);
    const median = sorted[Math.floor((sorted.length - 1) / 2)] as number;
    return [...slowdowns].reduce<OutlierStep>((step, [serverId, slowdown]) => {
      const bound = Math.max(median * options.slowRatio, options.minSlowdown);
      if (slowdown <= bound) return step;
      const server = step.state.servers.get(serverId) ?? HEALTHY;
      const reason = { _tag: 'Slow' as const, median, slowdown };
      const next = ejectServer(step.state, serverId, server, reason, nowMs, options);
      return { changes: [...step.changes, ...next.changes], state: next.state };
    }, { changes: [], state });
  },
  Success: (state, { serverId }, _, options) => {
    const server = state.servers.get(serverId);
    if (server === undefined || server.status === 'ejected') return { changes: [], state };
    if (server.status === 'healthy') {
      const isClean = server.consecutiveFailures === 0;
      const next = { ...server, consecutiveFailures: 0 };
      return { changes: [], state: isClean ? state : setServer(state, serverId, next) };
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
    const due = [...state.servers].filter(([, { status, untilMs }]) => (
      status === 'ejected' && untilMs <= nowMs
    ));
    if (due.length === 0) return { changes: [], state };
    const servers = new Map(state.servers);
    due.forEach(([serverId, server]) => servers.set(serverId, {
      ...server, status: 'probation', successes: 0,
    }));
    return {
      changes: due.map(([serverId, { untilMs }]) => ({
        reason: { _tag: 'ProbationStarted', afterMs: nowMs - untilMs }, serverId,
      })),
      state: { ...state, servers },
    };
  },
};

/** Steps the state by one event. */
export function reduceOutliers(
  state: OutlierState,
  event: OutlierEvent,
  nowMs: Core.Millis,
  options: OutlierOptions = defaultOutlierOptions,
): OutlierStep {
  const handler = HANDLERS[event._tag] as Handler<OutlierEvent>;
  return handler(state, event, nowMs, options);
}
