/** Filter `choose` of the request path: the backend server for the next attempt of a request. */
import * as Core from '@berylyoke/core';
import * as FailureShare from './FailureShare.js';
import type * as PathContext from './PathContext.js';
import * as ServerPool from './ServerPool.js';
import * as ServerPick from './ServerPick.js';

/** Expected time of a plain request before any was observed. */
const DEFAULT_PLAIN_MS = 20;

/** Bounds of the slowdown of one server against the median of its pool. */
const MIN_SLOWDOWN = 0.5;
const MAX_SLOWDOWN = 10;

/** A chosen server. */
export interface ChosenServer {
  readonly pooled: ServerPool.PooledServer;
  readonly costMs: Core.Millis;
  readonly unloadedMs: Core.Millis;
  readonly candidates: number;
}

function computeMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

/** Computes the number under which the cached shared parts of a prompt are remembered. */
export function hashSharedParts(prompt: ServerPick.Prompt): number | undefined {
  const key = ServerPick.getSharedKey(prompt);
  return key === undefined ? undefined : Core.hashText(key);
}

/** Chooses among the servers of a service that were not tried yet. */
export function chooseServer(
  context: PathContext.PathContext,
  service: string,
  prompt: ServerPick.Prompt | undefined,
  tried: ReadonlySet<string>,
): ChosenServer | undefined {
  const nowMs = context.clock.readMonotonic();
  const serving = context.servers.listServing(service, nowMs);
  context.health.observeMembers(service, serving.map(({ id }) => id));
  const pooled = serving.filter(({ id }) => !tried.has(id)).map(context.pool.get);
  const times = pooled.flatMap(({ meanTime }) => (meanTime === undefined ? [] : [meanTime]));
  const median = computeMedian(times);
  const sharedHash = prompt === undefined ? undefined : hashSharedParts(prompt);
  const candidates = pooled.map((each): ServerPick.Candidate => {
    const {
      failureShare, inFlight, meanTime, server, waitingTokens,
    } = each;
    return {
      cachedTokens: sharedHash === undefined
        ? 0
        : context.cache.estimateCachedTokens(server.id, sharedHash, nowMs),
      dataCentre: server.dataCentre,
      delayMs: ServerPool.getDelay(each, nowMs),
      failureShare: FailureShare.estimateFailure(failureShare, nowMs),
      id: server.id,
      inFlight,
      isSuspect: context.health.isSuspect(service, server.id),
      slowdown: meanTime === undefined || median === undefined || median <= 0
        ? 1
        : Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, meanTime / median)),
      waitingTokens,
    };
  });
  const pick = ServerPick.pickServer(candidates, prompt, median ?? DEFAULT_PLAIN_MS, {
    daemonCount: context.countDaemons(),
    dataCentre: context.dataCentre,
    random: context.random,
  });
  const chosen = pooled.find(({ server }) => server.id === pick?.id);
  if (pick === undefined || chosen === undefined) return undefined;
  const { costMs, unloadedMs } = pick;
  return {
    candidates: pick.candidates, costMs, pooled: chosen, unloadedMs,
  };
}
