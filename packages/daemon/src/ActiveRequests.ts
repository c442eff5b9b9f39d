/**
 * Table of the requests whose responses have not ended. A drain waits until it is empty, and the
 * withdrawal of a key ends the requests of that key that may be ended.
 */
import type * as Core from '@berylyoke/core';

/** One request in progress. */
export interface ActiveRequest {
  readonly requestId: string;
  readonly keyId: string | undefined;
  readonly repeatable: boolean;
  /** True once the request has left the queue for a backend server. */
  readonly isRunning: () => boolean;
  /**
   * Ends the request: with a refusal if no response byte was sent, otherwise by closing the
   * connection.
   */
  readonly end: () => void;
}

/** Table of requests in progress. */
export interface ActiveRequests {
  readonly register: (request: ActiveRequest) => Core.Cleanup;
  readonly count: () => number;
  readonly list: () => readonly ActiveRequest[];
  /** Resolves when no request is in progress. */
  readonly waitUntilEmpty: () => Promise<void>;
}

/** Waits until no request is in progress, at most `timeoutMs` milliseconds. */
export async function waitUntilEmptyWithin(
  activeRequests: ActiveRequests,
  timeoutMs: Core.Millis,
): Promise<void> {
  const deadline = new Promise<void>((resolve) => {
    setTimeout(resolve, timeoutMs).unref();
  });
  await Promise.race([activeRequests.waitUntilEmpty(), deadline]);
}

/** Creates an empty table. */
export function createActiveRequests(): ActiveRequests {
  const requests = new Map<string, ActiveRequest>();
  let waiters: (() => void)[] = [];
  return {
    count: () => requests.size,
    list: () => [...requests.values()],
    register: (request) => {
      requests.set(request.requestId, request);
      return () => {
        requests.delete(request.requestId);
        if (requests.size > 0) return;
        const currentWaiters = waiters;
        waiters = [];
        currentWaiters.forEach((resolveWaiter) => resolveWaiter());
      };
    },
    waitUntilEmpty: () => (requests.size === 0
      ? Promise.resolve()
      : new Promise((resolve) => {
        waiters.push(resolve);
      })),
  };
}
