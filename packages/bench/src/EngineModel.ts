/**
 * Model of one backend server: continuous batching with slots and a prefix cache of limited size,
 * or calls of a plain service. It advances in steps; each step tells what came out of it.
 */
import type * as CaseFile from './CaseFile.js';

/** A request as the engine runs it. */
export interface EngineJob {
  readonly requestId: string;
  /** Lower goes first; equal ones in order of arrival. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly prefix: { readonly hash: number; readonly tokens: number } | undefined;
  readonly answerTokens: number;
  /** Set for calls of plain services. */
  readonly callMs: number | undefined;
}

/** What came out of a step. */
export interface StepResult {
  readonly tokens: readonly { readonly requestId: string; readonly isLast: boolean }[];
}

/** A change of the prefix cache. */
export interface CacheChange {
  readonly isStored: boolean;
  readonly hash: number;
  readonly tokens: number;
}

interface RunningJob extends EngineJob {
  promptLeft: number;
  answerLeft: number;
  endMs: number;
}

/** Model of one server. */
export interface EngineModel {
  readonly addJob: (job: EngineJob, nowMs: number) => void;
  readonly cancelJob: (requestId: string) => void;
  /** Ends every job, as a crash does, and returns their ids. */
  readonly clear: () => readonly string[];
  /** Starts the next step and returns its length, or undefined when there is nothing to do. */
  readonly startStep: (nowMs: number, slowFactor: number) => number | undefined;
  readonly endStep: (nowMs: number) => StepResult;
  readonly countJobs: () => number;
  /** Returns the changes of the cache since the last call. */
  readonly takeCacheChanges: () => readonly CacheChange[];
}

/** Longest step of a plain service, so that a call that arrives does not wait for another. */
const CALL_STEP_MS = 2;

/** Creates an idle server. */
export function createEngineModel(timing: CaseFile.EngineTiming, slots: number): EngineModel {
  const cache = new Map<number, number>();
  let cachedTokens = 0;
  let changes: CacheChange[] = [];
  let waiting: EngineJob[] = [];
  let running: RunningJob[] = [];
  let stepJobs: readonly RunningJob[] = [];

  const storePrefix = (hash: number, tokens: number): void => {
    cachedTokens += tokens - (cache.get(hash) ?? 0);
    cache.delete(hash);
    cache.set(hash, tokens);
    changes.push({ hash, isStored: true, tokens });
    while (cachedTokens > timing.cacheTokens) {
      const [oldest, size] = cache.entries().next().value as [number, number];
      cache.delete(oldest);
      cachedTokens -= size;
      changes.push({ hash: oldest, isStored: false, tokens: size });
    }
  };

  const startWaiting = (nowMs: number, slowFactor: number): void => {
    waiting.sort((a, b) => a.priority - b.priority);
    const started = waiting.splice(0, Math.max(0, slots - running.length));
    running.push(...started.map((job) => {
      const cached = job.prefix === undefined ? 0 : cache.get(job.prefix.hash) ?? 0;
      return {
        ...job,
        answerLeft: job.answerTokens,
        endMs: nowMs + (job.callMs ?? 0) * slowFactor,
        promptLeft: Math.max(1, job.promptTokens - Math.min(cached, job.prefix?.tokens ?? 0)),
      };
    }));
  };

  const startCalls = (nowMs: number): number => {
    const nextMs = Math.min(...running.map(({ endMs }) => endMs)) - nowMs;
    return Math.min(CALL_STEP_MS, Math.max(0.1, nextMs));
  };

  return {
    addJob: (job) => {
      waiting.push(job);
    },
    cancelJob: (requestId) => {
      waiting = waiting.filter((job) => job.requestId !== requestId);
      running = running.filter((job) => job.requestId !== requestId);
    },
    clear: () => {
      const ids = [...running, ...waiting].map(({ requestId }) => requestId);
      running = [];
      waiting = [];
      cache.clear();
      cachedTokens = 0;
      return ids;
    },
    countJobs: () => running.length + waiting.length,
    endStep: (nowMs) => {
      const current = new Set(running);
      const tokens = stepJobs.flatMap((job) => {
        if (!current.has(job)) return [];
        const { callMs, requestId } = job;
        if (callMs !== undefined) {
          return job.endMs <= nowMs + 1e-6 ? [{ isLast: true, requestId }] : [];
        }
        if (job.promptLeft > 0) return [];
        const live = job;
        if (live.answerLeft === live.answerTokens && live.prefix !== undefined) {
          storePrefix(live.prefix.hash, live.prefix.tokens);
        }
        live.answerLeft -= 1;
        return [{ isLast: live.answerLeft <= 0, requestId }];
      });
      const ended = new Set(tokens.filter(({ isLast }) => isLast).map((token) => token.requestId));
      running = running.filter(({ requestId }) => !ended.has(requestId));
      stepJobs = [];
      return { tokens };
    },
    startStep: (nowMs, slowFactor) => {
      startWaiting(nowMs, slowFactor);
      if (running.length === 0) return undefined;
      stepJobs = [...running];
      if (running[0]?.callMs !== undefined) return startCalls(nowMs);
      let budget = timing.chunkTokens;
      running.forEach((job) => {
        const read = Math.min(budget, job.promptLeft);
        const live = job;
        live.promptLeft -= read;
        budget -= read;
      });
      const promptMs = (timing.chunkTokens - budget) * timing.promptTokenMs;
      return (timing.baseMs + running.length * timing.sequenceMs + promptMs) * slowFactor;
    },
    takeCacheChanges: () => {
      const taken = changes;
      changes = [];
      return taken;
    },
  };
}
