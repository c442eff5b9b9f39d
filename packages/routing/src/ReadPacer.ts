/**
 * Divides the event loop between the bytes of backend servers and all other work. A server can send
 * a read's worth of bytes that takes tens of milliseconds to process, and many servers can do so at
 * once, so the slices of such reads are processed within a time limit per turn of the event loop.
 */
import type * as Core from '@berylyoke/core';

/** Time for slices within one turn; several turns fit into the latency target of a request. */
const MAX_TURN_MS: Core.Millis = 4;

/** Queue of slices that wait to be processed. */
export interface ReadPacer {
  /** Runs `processSlice` in this or a later turn, after those that already wait. */
  readonly queueSlice: (processSlice: () => void) => void;
}

/** Creates an empty queue. */
export function createReadPacer(clock: Pick<Core.Clock, 'readMonotonic'>): ReadPacer {
  let waiting: (() => void)[] = [];
  let isScheduled = false;
  const runTurn = (): void => {
    const queued = waiting;
    waiting = [];
    const endMs = clock.readMonotonic() + MAX_TURN_MS;
    let count = 0;
    try {
      do {
        count += 1;
        (queued[count - 1] as () => void)();
      } while (count < queued.length && clock.readMonotonic() < endMs);
    } finally {
      // Slices that were queued meanwhile belong to connections that had their share of this turn.
      waiting = [...queued.slice(count), ...waiting];
      isScheduled = waiting.length > 0;
      if (isScheduled) setImmediate(runTurn);
    }
  };
  return {
    queueSlice: (processSlice) => {
      waiting.push(processSlice);
      if (isScheduled) return;
      isScheduled = true;
      setImmediate(runTurn);
    },
  };
}
