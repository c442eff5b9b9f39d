/**
 * Follows a keyed feed: reads the newest values once, then the changes, and starts over where the
 * history was lost. Changes come from a relay of the data centre where there is a usable one, else
 * from the store. A failed read is repeated after a pause; the values read before stay in force.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import type * as FeedCopy from './FeedCopy.js';
import * as KeyProof from './KeyProof.js';
import type * as Ports from './Ports.js';

/** Reads of another daemon's copy of the feed. */
export interface RelaySource {
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
  readonly relay?: RelaySource;
  /** Time for which the store may hold a read that finds no change. */
  readonly waitMs: Core.Millis;
  /** Gives the pause between two reads of the store that succeeded. */
  readonly getPauseMs: () => Core.Millis;
  /** Pause after a read that failed. */
  readonly retryMs: Core.Millis;
  readonly readClocks: () => KeyProof.ClockReading;
  /**
   * Called before what was read is applied, with the time for which the read proves it and the
   * monotonic time of the last contact with the store.
   */
  readonly onContact: (provenAt: KeyProof.ClockReading, contactMs: Core.Millis) => void;
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
  return KeyProof.addToReading(sentAt, heldMs);
}

/** Starts following a feed. */
export function startFeed<T>(options: FeedOptions<T>): FeedLoop {
  let next: number | undefined;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let abort = new AbortController();
  let waiters: (() => void)[] = [];
  let lastProvenMs = -Infinity;
  let isRelayed = false;
  let refreshing: Promise<void> | undefined;
  let refreshedMs = -Infinity;

  const applyPage = (
    page: Ports.FeedPage,
    isSnapshot: boolean,
    provenAt: KeyProof.ClockReading,
    contactMs: Core.Millis,
  ): void => {
    next = page.next;
    lastProvenMs = provenAt.monotonicMs;
    const changes = page.changes.map((change) => ({
      ...change,
      value: change.raw === undefined ? undefined : options.decode(change.key, change.raw),
    }));
    options.copy.apply({
      changes, isSnapshot, next: page.next, provenAt,
    });
    options.onContact(provenAt, contactMs);
    if (isSnapshot) options.onSnapshot(changes);
    else if (changes.length > 0) options.onChanges(changes);
  };

  /** Returns false where there is no usable relay. */
  const readRelay = async (relay: RelaySource, from: number): Promise<boolean> => {
    const sentAt = options.readClocks();
    const copied = await Effect.runPromise(relay.read(from), { signal: abort.signal });
    if (copied === undefined) return false;
    const failedMs = sentAt.monotonicMs - (copied.failureAgeMs ?? Infinity);
    if (failedMs > lastProvenMs) {
      // Readers of this copy have to learn of the failure as well.
      options.copy.observeFailure(KeyProof.addToReading(sentAt, failedMs - sentAt.monotonicMs));
      options.onRelayFailure?.();
    }
    // The relay answered after the call was sent, so its copy is at most as old as counted here.
    const provenAt = KeyProof.addToReading(sentAt, -copied.ageMs);
    applyPage(copied.page, copied.isSnapshot, provenAt, provenAt.monotonicMs);
    return true;
  };

  const readStore = async (waitMs: Core.Millis): Promise<Core.Millis> => {
    const sentAt = options.readClocks();
    const from = next;
    const read = from === undefined
      ? options.feed.readNewest()
      : options.feed.readChanges(from, waitMs);
    const result = await Effect.runPromise(Effect.either(read), { signal: abort.signal });
    if (Either.isLeft(result)) {
      if (result.left._tag === 'HistoryLost') {
        next = undefined;
        return 0;
      }
      options.copy.observeFailure(options.readClocks());
      options.onFailure(result.left);
      return options.retryMs;
    }
    const isSnapshot = from === undefined;
    const isHeld = !isSnapshot && result.right.next === from;
    const answeredAt = options.readClocks();
    const provenAt = isHeld ? computeHeldProof(sentAt, answeredAt, waitMs) : sentAt;
    applyPage(result.right, isSnapshot, provenAt, answeredAt.monotonicMs);
    return options.getPauseMs();
  };

  const readOnce = async (waitMs: Core.Millis, isRefresh: boolean): Promise<Core.Millis> => {
    const { relay } = options;
    if (relay === undefined || isRefresh || next === undefined) return readStore(waitMs);
    const wasRelayed = isRelayed;
    isRelayed = await readRelay(relay, next);
    if (isRelayed) return relay.getPauseMs();
    // What a relay proved is older than what the store would: the first read is not held.
    return readStore(wasRelayed ? 0 : waitMs);
  };

  const run = async (waitMs: Core.Millis, isRefresh: boolean): Promise<void> => {
    const waiting = waiters;
    waiters = [];
    abort = new AbortController();
    const { signal } = abort;
    // An interrupted read ends here as well; the refresh that interrupted it runs the next one.
    const pauseMs = await readOnce(waitMs, isRefresh).catch(() => 0);
    waiting.forEach((resolve) => resolve());
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
    waiters.push(resolve);
    if (timer === undefined) abort.abort();
    else {
      clearTimeout(timer);
      timer = undefined;
      run(0, true);
    }
  });

  return {
    refresh: () => {
      const nowMs = options.readClocks().monotonicMs;
      if (refreshing === undefined && nowMs - refreshedMs < options.retryMs) {
        return Promise.resolve();
      }
      refreshing ??= startRefresh().finally(() => {
        refreshing = undefined;
        refreshedMs = options.readClocks().monotonicMs;
      });
      return refreshing;
    },
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
      abort.abort();
    },
  };
}
