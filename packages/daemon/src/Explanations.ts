/** What was decided for the newest requests and why, for `berylyoke explain`. */
import type * as Core from '@berylyoke/core';

/** One step of a request through the path. */
export interface ExplanationStep {
  readonly atMs: Core.Millis;
  readonly filter: string;
  readonly decision: string;
  readonly detail?: Readonly<Record<string, boolean | number | string | readonly string[]>>;
}

/** All steps of one request. */
export interface Explanation {
  readonly requestId: string;
  readonly steps: readonly ExplanationStep[];
}

/** Bounded store of explanations. */
export interface Explanations {
  readonly add: (requestId: string, step: ExplanationStep) => void;
  readonly find: (requestId: string) => Explanation | undefined;
}

/** Creates a store that keeps the newest `capacity` requests. */
export function createExplanations(capacity: number): Explanations {
  const kept = new Map<string, ExplanationStep[]>();
  return {
    add: (requestId, step) => {
      const steps = kept.get(requestId);
      if (steps !== undefined) {
        steps.push(step);
        return;
      }
      kept.set(requestId, [step]);
      if (kept.size > capacity) kept.delete(kept.keys().next().value as string);
    },
    find: (requestId) => {
      const steps = kept.get(requestId);
      return steps === undefined ? undefined : { requestId, steps };
    },
  };
}
