/** Slots of the fake engine: a bounded number of running requests and a bounded queue. */

interface Waiting {
  readonly priority: number;
  readonly start: () => void;
}

/** Outcome of asking for a slot. `release` also leaves the queue. */
export interface EngineSlot {
  readonly accepted: boolean;
  readonly release: () => void;
}

/** Slots and their queue. */
export interface EngineSlots {
  /** Runs `start` once a slot is free; a lower priority number goes first. */
  readonly claim: (priority: number, start: () => void) => EngineSlot;
  readonly getCounts: () => { readonly running: number; readonly queued: number };
}

/** Creates slots; `observe` is called after each change. */
export function createEngineSlots(
  slots: number,
  queueLimit: number,
  observe: () => void,
): EngineSlots {
  let running = 0;
  let queue: readonly Waiting[] = [];

  const startNext = (): void => {
    const [next] = [...queue].sort((a, b) => a.priority - b.priority);
    if (next === undefined || running >= slots) return;
    queue = queue.filter((waiting) => waiting !== next);
    running += 1;
    next.start();
  };

  return {
    claim: (priority, start) => {
      if (running >= slots && queue.length >= queueLimit) {
        return { accepted: false, release: () => undefined };
      }
      const waiting = { priority, start };
      let held = true;
      queue = [...queue, waiting];
      startNext();
      observe();
      return {
        accepted: true,
        release: () => {
          if (!held) return;
          held = false;
          if (queue.includes(waiting)) queue = queue.filter((other) => other !== waiting);
          else running -= 1;
          startNext();
          observe();
        },
      };
    },
    getCounts: () => ({ queued: queue.length, running }),
  };
}
