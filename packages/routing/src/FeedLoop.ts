/**
 * Follows a keyed feed: reads the newest values once, then the changes, and starts over where the
 * history was lost. Changes come from a relay of the data centre where there is a usable one, else
 * from the store. A failed read is repeated after a pause; the values read before stay in force.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import * as ClockReading from './ClockReading.js';
import type * as FeedCopy from './FeedCopy.js';
import type * as Ports from './Ports.js';

/** Reads of another daemon's copy of the feed. */
export interface UpstreamRelay {
  /** Gives undefined where no relay is usable; the store is read then. */
  readonly read: (from: number) => Effect.Effect<FeedCopy.CopyPage | undefined>;
  /** Gives the pause between two reads of a relay. */
  readonly getPauseMs: () => Core.Millis;
}

/** What a feed does for its owner. */
export interface FeedOptions<T> {
  readonly feed: Ports.KeyedFeed;
  readonly decode: (key: string, raw: Buffer) => T | undefined;
  /** Copy of what is read, for other daemons. */
  readonly copy: FeedCopy.FeedCopy<T>;
  readonly relay?: UpstreamRelay;
  /** Time for which the store may hold a read that finds no change. */
  readonly waitMs: Core.Millis;
  /** Gives the pause between two reads of the store that succeeded. */
  readonly getPauseMs: () => Core.Millis;
  /** Pause after a read that failed. */
  readonly retryMs: Core.Millis;
  readonly readClocks: () => ClockReading.ClockReading;
  /**
   * Called before what was read is applied, with the time for which the read proves it and the
   * monotonic time of the last contact with the store.
   */
  readonly onContact: (verifiedAt: ClockReading.ClockReading, contactMs: Core.Millis) => void;
  readonly onSnapshot: (changes: readonly FeedCopy.DecodedChange<T>[]) => void;
  readonly onChanges: (changes: readonly FeedCopy.DecodedChange<T>[]) => void;
  readonly onFailure: (error: Ports.StoreUnavailable) => void;
  /** Called when a relay tells of a failed read of its own that is newer than its last contact. */
  readonly onRelayFailure?: () => void;
}

/** A feed that is being followed. */
export interface FeedLoop {
  /**
   * Reads the store again at once, and resolves when that read ends. Joins a refresh that is under
   * way: callers that each interrupted the one before would keep a slow store from ever answering.
   * Does nothing within the pause after a failed read since the last refresh.
   */
  readonly refresh: () => Promise<void>;
  readonly stop: () => void;
}

/** Part of a hold that is not counted, for timers of different speed. */
const LONG_POLL_MARGIN_MS = 100;

/**
 * Computes the time for which a read without a change proves that there was none. The store answers
 * a held read as soon as there is a change, so an empty answer after the whole hold proves it for
 * the end of the hold, which began after the read was sent.
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

/** Starts following a feed. */
export function startFeedLoop<T>(options: FeedOptions<T>): FeedLoop {
  let nextOffset: number | undefined;
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
    options.onContact(verifiedAt, contactMs);
    if (isSnapshot) options.onSnapshot(changes);
    else if (changes.length > 0) options.onChanges(changes);
  };

  /** Returns false where there is no usable relay. */
  const readRelay = async (relay: UpstreamRelay, from: number): Promise<boolean> => {
    const sentAt = options.readClocks();
    const copyPage = await Effect.runPromise(relay.read(from), { signal: abortController.signal });
    if (copyPage === undefined) return false;
    const failedMs = sentAt.monotonicMs - (copyPage.failureAgeMs ?? Infinity);
    if (failedMs > lastVerifiedMs) {
      // Readers of this copy have to learn of the failure as well.
      options.copy.observeFailure(ClockReading.shiftReading(sentAt, failedMs - sentAt.monotonicMs));
      options.onRelayFailure?.();
    }
    // The relay answered after the call was sent, so its copy is at most as old as counted here.
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
    return options.getPauseMs();
  };

  const readOnce = async (waitMs: Core.Millis, isRefresh: boolean): Promise<Core.Millis> => {
    const { relay } = options;
    if (relay === undefined || isRefresh || nextOffset === undefined) return readStore(waitMs);
    const wasReadingFromRelay = isReadingFromRelay;
    isReadingFromRelay = await readRelay(relay, nextOffset);
    if (isReadingFromRelay) return relay.getPauseMs();
    // What a relay proved is older than what the store would: the first read is not held.
    return readStore(wasReadingFromRelay ? 0 : waitMs);
  };

  const run = async (waitMs: Core.Millis, isRefresh: boolean): Promise<void> => {
    const servedWaiters = refreshWaiters;
    refreshWaiters = [];
    abortController = new AbortController();
    const { signal } = abortController;
    // An interrupted read ends here as well; the refresh that interrupted it runs the next one.
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
