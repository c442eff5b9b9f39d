/**
 * Request slots of the fake engine. A bounded number of requests runs at a time; the others wait in
 * a bounded queue that is ordered by priority.
 */

interface QueuedRequest {
  readonly priority: number;
  readonly start: () => void;
}

/** Result of `acquire`. `release` frees the slot, or removes the request from the queue. */
export interface EngineSlot {
  readonly accepted: boolean;
  readonly release: () => void;
}

/** A pool of slots with its queue. */
export interface EngineSlots {
  /**
   * Calls `start` once a slot is free; lower priority numbers start first. The result has
   * `accepted: false` when all slots are in use and the queue is full.
   */
  readonly acquire: (priority: number, start: () => void) => EngineSlot;
  readonly getCounts: () => { readonly running: number; readonly queued: number };
}

/** Creates the slots; `onChange` is called after each change of the counts. */
export function createEngineSlots(
  slotCount: number,
  queueLimit: number,
  onChange: () => void,
): EngineSlots {
  let running = 0;
  let queue: readonly QueuedRequest[] = [];

  const startNext = (): void => {
    const [next] = [...queue].sort((a, b) => a.priority - b.priority);
    if (next === undefined || running >= slotCount) return;
    queue = queue.filter((request) => request !== next);
    running += 1;
    next.start();
  };

  return {
    acquire: (priority, start) => {
      if (running >= slotCount && queue.length >= queueLimit) {
        return { accepted: false, release: () => undefined };
      }
      const request = { priority, start };
      let isActive = true;
      queue = [...queue, request];
      startNext();
      onChange();
      return {
        accepted: true,
        release: () => {
          if (!isActive) return;
          isActive = false;
          if (queue.includes(request)) queue = queue.filter((other) => other !== request);
          else running -= 1;
          startNext();
          onChange();
        },
      };
    },
    getCounts: () => ({ queued: queue.length, running }),
  };
}
