/**
 * Follows a keyed feed: reads the newest values once and then the changes, and starts over if the
 * store has deleted changes that were not read yet. Changes are read from a relay if there is a
 * usable one, else from the store. A failed read is repeated after a delay; until then the values
 * that were read before remain in effect.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import * as ClockReading from './ClockReading.js';
import type * as FeedCopy from './FeedCopy.js';
import * as LogPosition from './LogPosition.js';
import type * as Ports from './Ports.js';

/** Access to the copy of the feed at a relay. */
export interface UpstreamRelay {
  /** Reads a relay's copy; returns undefined if no relay is usable, and the store is read then. */
  readonly read: (from: number) => Effect.Effect<FeedCopy.CopyPage | undefined>;
  /** Returns the pause between two reads of a relay, in milliseconds. */
  readonly getPauseMs: () => Core.Millis;
}

/** Options of a feed loop. */
export interface FeedOptions<T> {
  readonly feed: Ports.KeyedFeed;
  readonly decode: (key: string, raw: Buffer) => T | undefined;
  /** Receives what is read, so that other daemons can read it. */
  readonly copy: FeedCopy.FeedCopy<T>;
  readonly relay?: UpstreamRelay;
  /** Timeout of a long poll: the time that the store waits for a change before it answers. */
  readonly waitMs: Core.Millis;
  /**
   * Returns the pause after a successful read of the store, in milliseconds, by whether the read
   * brought changes.
   */
  readonly getPauseMs: (hasChanges: boolean) => Core.Millis;
  /** Delay after a failed read of the store. */
  readonly retryMs: Core.Millis;
  readonly readClocks: () => ClockReading.ClockReading;
  /**
   * Called after each successful read, before its changes are passed on. `verifiedAt` is the time
   * at which the values are known to have been current, and `contactMs` the monotonic time of the
   * last contact with the store.
   */
  readonly onContact: (verifiedAt: ClockReading.ClockReading, contactMs: Core.Millis) => void;
  /** Called after each successful read, when its changes were passed on. */
  readonly onApplied?: (verifiedAt: ClockReading.ClockReading) => void;
  /** `isRestored` if the snapshot is the first one after a return from an older copy. */
  readonly onSnapshot: (
    changes: readonly FeedCopy.DecodedChange<T>[], isRestored: boolean,
  ) => void;
  readonly onChanges: (changes: readonly FeedCopy.DecodedChange<T>[]) => void;
  readonly onFailure: (error: Ports.StoreUnavailable) => void;
  /**
   * Called when the feed returned from an older copy, before the snapshot that follows is passed
   * on. The positions are those of the next change before and after the return.
   */
  readonly onRestored?: (previousNext: number, next: number) => void;
  /** Called when a relay reports a failed read that is newer than the last verified time. */
  readonly onRelayFailure?: () => void;
}

/** Loop that follows a feed. */
export interface FeedLoop {
  /**
   * Reads the store immediately and resolves when that read ends. Joins a refresh that is already
   * in progress: if every caller interrupted the previous read, a slow store could never answer.
   * Does nothing if the last refresh ended less than `retryMs` ago.
   */
  readonly refresh: () => Promise<void>;
  /** Returns the position up to which the feed was read; undefined before the first read. */
  readonly getPosition: () => number | undefined;
  readonly stop: () => void;
}

/** Part of a long poll that is not counted, because clocks run at different speeds. */
const LONG_POLL_MARGIN_MS = 100;

/**
 * Computes the time at which values are known to have been current by a read that found no change.
 * The store answers a long poll as soon as there is a change, so an empty answer after the whole
 * timeout shows that there was no change until its end. The store began to wait after the read was
 * sent, so the end is at least the timeout later than that. An earlier empty answer verifies the
 * values only for the time at which the read was sent.
 */
export function computeLongPollVerifiedAt(
  sentAt: ClockReading.ClockReading,
  answeredAt: ClockReading.ClockReading,
  waitMs: Core.Millis,
): ClockReading.ClockReading {
  const isComplete = answeredAt.monotonicMs - sentAt.monotonicMs >= waitMs;
  const confirmedMs = isComplete ? Math.max(0, waitMs - LONG_POLL_MARGIN_MS) : 0;
  return ClockReading.shiftReading(sentAt, confirmedMs);
}

/** Starts to follow a feed. */
export function startFeedLoop<T>(options: FeedOptions<T>): FeedLoop {
  let nextOffset: number | undefined;
  /** Position after the newest page that was passed on. */
  let lastNext: number | undefined;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let abortController = new AbortController();
  let refreshWaiters: (() => void)[] = [];
  let lastVerifiedMs = -Infinity;
  let isReadingFromRelay = false;
  let activeRefresh: Promise<void> | undefined;
  let lastRefreshMs = -Infinity;

  const applyPage = (
    page: Ports.FeedPage,
    isSnapshot: boolean,
    verifiedAt: ClockReading.ClockReading,
    contactMs: Core.Millis,
  ): void => {
    nextOffset = page.next;
    lastVerifiedMs = verifiedAt.monotonicMs;
    const changes = page.changes.map((change) => ({
      ...change,
      value: change.raw === undefined ? undefined : options.decode(change.key, change.raw),
    }));
    options.copy.apply({
      changes, isSnapshot, next: page.next, verifiedAt,
    });
    const isRestored = lastNext !== undefined
      && LogPosition.getGeneration(page.next) > LogPosition.getGeneration(lastNext);
    if (isRestored) options.onRestored?.(lastNext as number, page.next);
    lastNext = page.next;
    options.onContact(verifiedAt, contactMs);
    if (isSnapshot) options.onSnapshot(changes, isRestored);
    else if (changes.length > 0) options.onChanges(changes);
    options.onApplied?.(verifiedAt);
  };

  /** Reads the copy at a relay; resolves with false if there is no usable relay. */
  const readRelay = async (relay: UpstreamRelay, from: number): Promise<boolean> => {
    const sentAt = options.readClocks();
    const copyPage = await Effect.runPromise(relay.read(from), { signal: abortController.signal });
    if (copyPage === undefined) return false;
    const failedMs = sentAt.monotonicMs - (copyPage.failureAgeMs ?? Infinity);
    if (failedMs > lastVerifiedMs) {
      // The readers of this daemon's copy must learn of the failure as well.
      options.copy.observeFailure(ClockReading.shiftReading(sentAt, failedMs - sentAt.monotonicMs));
      options.onRelayFailure?.();
    }
    // The relay stated the age after the call was sent, so the copy is at most this old.
    const verifiedAt = ClockReading.shiftReading(sentAt, -copyPage.ageMs);
    applyPage(copyPage.page, copyPage.isSnapshot, verifiedAt, verifiedAt.monotonicMs);
    return true;
  };

  const readStore = async (waitMs: Core.Millis): Promise<Core.Millis> => {
    const sentAt = options.readClocks();
    const from = nextOffset;
    const read = from === undefined
      ? options.feed.readNewest()
      : options.feed.readChanges(from, waitMs);
    const result = await Effect.runPromise(Effect.either(read), { signal: abortController.signal });
    if (Either.isLeft(result)) {
      if (result.left._tag === 'HistoryLost') {
        nextOffset = undefined;
        return 0;
      }
      options.copy.observeFailure(options.readClocks());
      options.onFailure(result.left);
      return options.retryMs;
    }
    const isSnapshot = from === undefined;
    const isUnchanged = !isSnapshot && result.right.next === from;
    const answeredAt = options.readClocks();
    const verifiedAt = isUnchanged ? computeLongPollVerifiedAt(sentAt, answeredAt, waitMs) : sentAt;
    applyPage(result.right, isSnapshot, verifiedAt, answeredAt.monotonicMs);
    return options.getPauseMs(!isUnchanged);
  };

  const readOnce = async (waitMs: Core.Millis, isRefresh: boolean): Promise<Core.Millis> => {
    const { relay } = options;
    if (relay === undefined || isRefresh || nextOffset === undefined) return readStore(waitMs);
    const wasReadingFromRelay = isReadingFromRelay;
    isReadingFromRelay = await readRelay(relay, nextOffset);
    if (isReadingFromRelay) return relay.getPauseMs();
    // A relay's copy may be older than the store, so the first read of the store is no long poll.
    return readStore(wasReadingFromRelay ? 0 : waitMs);
  };

  const run = async (waitMs: Core.Millis, isRefresh: boolean): Promise<void> => {
    const servedWaiters = refreshWaiters;
    refreshWaiters = [];
    abortController = new AbortController();
    const { signal } = abortController;
    // A read that a refresh interrupts ends here too; the next one starts at once for the refresh.
    const pauseMs = await readOnce(waitMs, isRefresh).catch(() => 0);
    servedWaiters.forEach((resolve) => resolve());
    if (isStopped) return;
    const isInterrupted = signal.aborted;
    timer = setTimeout(
      () => {
        timer = undefined;
        run(isInterrupted ? 0 : options.waitMs, isInterrupted);
      },
      isInterrupted ? 0 : pauseMs,
    );
  };
  run(0, false);

  const startRefresh = (): Promise<void> => new Promise((resolve) => {
    refreshWaiters.push(resolve);
    if (timer === undefined) abortController.abort();
    else {
      clearTimeout(timer);
      timer = undefined;
      run(0, true);
    }
  });

  return {
    getPosition: () => lastNext,
    refresh: () => {
      const nowMs = options.readClocks().monotonicMs;
      if (activeRefresh === undefined && nowMs - lastRefreshMs < options.retryMs) {
        return Promise.resolve();
      }
      activeRefresh ??= startRefresh().finally(() => {
        activeRefresh = undefined;
        lastRefreshMs = options.readClocks().monotonicMs;
      });
      return activeRefresh;
    },
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
      abortController.abort();
    },
  };
}
