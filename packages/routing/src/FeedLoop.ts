/**
 * Follows a keyed feed: reads the newest values once, then the changes, and starts over where the
 * history was lost. A failed read is repeated after a pause; the values read before stay in force.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import type * as KeyProof from './KeyProof.js';
import type * as Ports from './Ports.js';

/** What a feed does for its owner. */
export interface FeedOptions<T> {
  readonly feed: Ports.KeyedFeed<T>;
  /** Time for which the store may hold a read that finds no change. */
  readonly waitMs: Core.Millis;
  /** Pause between two reads that succeeded. */
  readonly pauseMs: Core.Millis;
  /** Pause after a read that failed. */
  readonly retryMs: Core.Millis;
  readonly readClocks: () => KeyProof.ClockReading;
  /** Called with the time for which a read proves what it found, before it is applied. */
  readonly onContact: (provenAt: KeyProof.ClockReading) => void;
  readonly onSnapshot: (changes: readonly Ports.KeyedChange<T>[]) => void;
  readonly onChanges: (changes: readonly Ports.KeyedChange<T>[]) => void;
  readonly onFailure: (error: Ports.StoreUnavailable) => void;
}

/** A feed that is being followed. */
export interface FeedLoop {
  /** Reads again at once; resolves when a read that was sent from now on ends. */
  readonly refresh: () => Promise<void>;
  readonly stop: () => void;
}

/** Part of a hold that is not counted, for timers of different speed. */
const HOLD_MARGIN_MS = 100;

/**
 * Computes the time for which a read without a change proves that there was none. The store answers
 * a held read as soon as there is a change, so an empty answer after the whole hold proves it for
 * the end of the hold, which began after the read was sent.
 */
export function computeHeldProof(
  sentAt: KeyProof.ClockReading,
  answeredAt: KeyProof.ClockReading,
  waitMs: Core.Millis,
): KeyProof.ClockReading {
  const wasHeld = answeredAt.monotonicMs - sentAt.monotonicMs >= waitMs;
  const heldMs = wasHeld ? Math.max(0, waitMs - HOLD_MARGIN_MS) : 0;
  return { monotonicMs: sentAt.monotonicMs + heldMs, wallMs: sentAt.wallMs + heldMs };
}

/** Starts following a feed. */
export function startFeed<T>(options: FeedOptions<T>): FeedLoop {
  let next: number | undefined;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let abort = new AbortController();
  let waiters: (() => void)[] = [];

  const readOnce = async (waitMs: Core.Millis): Promise<Core.Millis> => {
    const sentAt = options.readClocks();
    const isNewest = next === undefined;
    const read = next === undefined
      ? options.feed.readNewest()
      : options.feed.readChanges(next, waitMs);
    const result = await Effect.runPromise(Effect.either(read), { signal: abort.signal });
    if (Either.isLeft(result)) {
      if (result.left._tag === 'HistoryLost') {
        next = undefined;
        return 0;
      }
      options.onFailure(result.left);
      return options.retryMs;
    }
    const isHeld = !isNewest && result.right.next === next;
    next = result.right.next;
    options.onContact(isHeld ? computeHeldProof(sentAt, options.readClocks(), waitMs) : sentAt);
    if (isNewest) options.onSnapshot(result.right.changes);
    else if (result.right.changes.length > 0) options.onChanges(result.right.changes);
    return options.pauseMs;
  };

  const run = async (waitMs: Core.Millis): Promise<void> => {
    const waiting = waiters;
    waiters = [];
    abort = new AbortController();
    const { signal } = abort;
    // An interrupted read ends here as well; the refresh that interrupted it runs the next one.
    const pauseMs = await readOnce(waitMs).catch(() => 0);
    waiting.forEach((resolve) => resolve());
    if (isStopped) return;
    const isInterrupted = signal.aborted;
    timer = setTimeout(
      () => {
        timer = undefined;
        run(isInterrupted ? 0 : options.waitMs);
      },
      isInterrupted ? 0 : pauseMs,
    );
  };
  run(0);

  return {
    refresh: () => new Promise((resolve) => {
      waiters.push(resolve);
      if (timer === undefined) abort.abort();
      else {
        clearTimeout(timer);
        timer = undefined;
        run(0);
      }
    }),
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
      abort.abort();
    },
  };
}
