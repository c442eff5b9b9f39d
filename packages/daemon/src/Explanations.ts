/** Records the decisions on the newest requests and their reasons, for `berylyoke explain`. */
import type * as Core from '@berylyoke/core';

/** One decision on a request. */
export interface ExplanationStep {
  readonly atMs: Core.Millis;
  readonly filter: string;
  readonly decision: string;
  readonly detail?: Readonly<Record<string, boolean | number | string | readonly string[]>>;
}

/** All recorded decisions on one request, in order. */
export interface Explanation {
  readonly requestId: string;
  readonly steps: readonly ExplanationStep[];
}

/** Bounded store of explanations. */
export interface Explanations {
  readonly add: (requestId: string, step: ExplanationStep) => void;
  readonly find: (requestId: string) => Explanation | undefined;
}

/** Creates a store of the explanations of the newest `capacity` requests. */
export function createExplanations(capacity: number): Explanations {
  const stepsById = new Map<string, ExplanationStep[]>();
  return {
    add: (requestId, step) => {
      const steps = stepsById.get(requestId);
      if (steps !== undefined) {
        steps.push(step);
        return;
      }
      stepsById.set(requestId, [step]);
      if (stepsById.size > capacity) stepsById.delete(stepsById.keys().next().value as string);
    },
    find: (requestId) => {
      const steps = stepsById.get(requestId);
      return steps === undefined ? undefined : { requestId, steps };
    },
  };
}
