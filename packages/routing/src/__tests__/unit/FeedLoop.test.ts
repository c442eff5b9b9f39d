import * as Effect from 'effect/Effect';
import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const at = (ms: number): Routing.ClockReading => ({ monotonicMs: ms, wallMs: ms + 1_000_000 });

function createChange(offset: number, text: string | undefined): Routing.KeyedChange {
  return { key: 'k', offset, raw: text === undefined ? undefined : Buffer.from(text) };
}

type ReadChanges = Routing.KeyedFeed['readChanges'];

/** Options of a loop whose parts a test replaces. */
function createOptions(parts: Partial<Routing.FeedOptions<string>>): Routing.FeedOptions<string> {
  return {
    copy: Routing.createFeedCopy(),
    decode: (_, raw) => raw.toString(),
    feed: {
      readChanges: () => Effect.never,
      readNewest: () => Effect.succeed({ changes: [createChange(0, 'v')], next: 1 }),
    },
    getPauseMs: () => 0,
    onChanges: () => undefined,
    onContact: () => undefined,
    onFailure: () => undefined,
    onSnapshot: () => undefined,
    readClocks: () => at(0),
    retryMs: 1,
    waitMs: 10,
    ...parts,
  };
}

describe('proof of a held read', () => {
  test('an empty answer after the whole hold proves its end, not its beginning', () => {
    expect(Routing.computeLongPollVerifiedAt(at(0), at(1_905), 1_900)).toEqual(at(1_800));
  });

  test('an answer that came before the end of the hold proves only when it was sent', () => {
    expect(Routing.computeLongPollVerifiedAt(at(0), at(700), 1_900)).toEqual(at(0));
    expect(Routing.computeLongPollVerifiedAt(at(0), at(5), 0)).toEqual(at(0));
  });
});

describe('following a feed', () => {
  test('values survive failures; a lost history is read anew', async () => {
    const log: string[] = [];
    const answers: ReturnType<ReadChanges>[] = [
      Effect.succeed({ changes: [createChange(1, 'v2')], next: 2 }),
      Effect.fail(new Routing.StoreUnavailable({ call: 'read', detail: 'down', sent: true })),
      Effect.fail(new Routing.HistoryLost({ first: 9 })),
    ];
    await new Promise<void>((resolve) => {
      const loop = Routing.startFeedLoop(createOptions({
        feed: {
          readChanges: () => answers.shift() ?? Effect.never,
          readNewest: () => Effect.succeed({ changes: [createChange(0, 'v')], next: 1 }),
        },
        onChanges: (changes) => log.push(`changes ${changes[0]?.value}`),
        onFailure: ({ detail }) => log.push(detail),
        onSnapshot: () => {
          log.push('snapshot');
          if (log.length < 4) return;
          loop.stop();
          resolve();
        },
      }));
    });
    expect(log).toEqual(['snapshot', 'changes v2', 'down', 'snapshot']);
  });

  test('a refresh ends a held read and reads at once', async () => {
    let isHeld = false;
    const waits: number[] = [];
    const loop = Routing.startFeedLoop(createOptions({
      feed: {
        readChanges: (_, waitMs) => {
          waits.push(waitMs);
          isHeld = waitMs > 0;
          return isHeld ? Effect.never : Effect.succeed({ changes: [], next: 1 });
        },
        readNewest: () => Effect.succeed({ changes: [], next: 1 }),
      },
    }));
    await expect.poll(() => isHeld).toBe(true);
    await loop.refresh();
    loop.stop();
    expect(waits.slice(0, 2)).toEqual([10, 0]);
  });
});

describe('refreshing a feed', () => {
  const startSlowFeed = (answerMs: number, nowMs: () => number): {
    readonly loop: Routing.FeedLoop;
    readonly counts: { reads: number; contacts: number };
  } => {
    const counts = { contacts: 0, reads: 0 };
    const loop = Routing.startFeedLoop(createOptions({
      feed: {
        readChanges: (_, waitMs) => {
          if (waitMs > 0) return Effect.never;
          counts.reads += 1;
          return Effect.delay(Effect.succeed({ changes: [], next: 1 }), answerMs);
        },
        readNewest: () => Effect.succeed({ changes: [], next: 1 }),
      },
      onContact: () => {
        counts.contacts += 1;
      },
      readClocks: () => at(nowMs()),
      retryMs: 50,
    }));
    return { counts, loop };
  };
  const wait = (timeMs: number): Promise<void> => new Promise((resolve) => {
    setTimeout(resolve, timeMs);
  });

  test('requests that come faster than the store answers interrupt no read', async () => {
    const { counts, loop } = startSlowFeed(60, () => performance.now());
    await wait(10);
    const refreshes = await Promise.all(Array.from({ length: 8 }, async (_, index) => {
      await wait(index * 10);
      return loop.refresh();
    }));
    loop.stop();
    expect(refreshes.length).toBe(8);
    expect(counts).toEqual({ contacts: 2, reads: 1 });
  });

  test('requests in an outage do not each call the store', async () => {
    const { counts, loop } = startSlowFeed(0, () => 5_000);
    await wait(10);
    await loop.refresh();
    await loop.refresh();
    await loop.refresh();
    loop.stop();
    expect(counts.reads).toBe(1);
  });
});

describe('following a feed through a relay', () => {
  const createCopyPage = (
    parts: Partial<Routing.CopyPage>,
  ): Routing.CopyPage => ({
    ageMs: 700,
    failureAgeMs: undefined,
    isSnapshot: false,
    page: { changes: [], next: 1 },
    ...parts,
  });

  interface FeedLoopRecord {
    readonly contacts: readonly number[];
    readonly storeWaits: readonly number[];
    readonly failures: number;
    /** What this daemon tells its own readers in the end. */
    readonly copyPage: Routing.CopyPage | undefined;
  }

  /** Follows until the relay and the store have given every answer. */
  const runFeedLoop = async (
    pages: readonly (Routing.CopyPage | undefined)[],
  ): Promise<FeedLoopRecord> => {
    const contacts: number[] = [];
    const storeWaits: number[] = [];
    let failures = 0;
    let nowMs = 10_000;
    const copy = Routing.createFeedCopy<string>();
    const remainingPages = [...pages];
    await new Promise<void>((resolve) => {
      const loop = Routing.startFeedLoop(createOptions({
        copy,
        feed: {
          readChanges: (_, waitMs) => {
            storeWaits.push(waitMs);
            return Effect.succeed({ changes: [], next: 1 });
          },
          readNewest: () => Effect.succeed({ changes: [createChange(0, 'v')], next: 1 }),
        },
        onContact: ({ monotonicMs }) => contacts.push(monotonicMs),
        onRelayFailure: () => {
          failures += 1;
        },
        readClocks: () => at(nowMs),
        relay: {
          getPauseMs: () => 1,
          read: () => Effect.sync(() => {
            nowMs += 500;
            if (remainingPages.length === 0) {
              loop.stop();
              resolve();
            }
            return remainingPages.shift();
          }),
        },
      }));
    });
    return {
      contacts, copyPage: copy.read(1, at(nowMs)), failures, storeWaits,
    };
  };

  test('a relayed page counts from when the call was sent, less its age', async () => {
    const { contacts, storeWaits } = await runFeedLoop([
      createCopyPage({}), createCopyPage({ ageMs: 100 }),
    ]);
    expect(contacts.slice(0, 3)).toEqual([10_000, 9_300, 10_400]);
    expect(storeWaits.length).toBeLessThanOrEqual(1);
  });

  test('the first read of the store after a relay failed is not held', async () => {
    const { storeWaits } = await runFeedLoop([createCopyPage({}), undefined, undefined]);
    expect(storeWaits.slice(0, 2)).toEqual([0, 10]);
  });

  test('a failed read of the relay since the last contact counts as an own one, once', async () => {
    const { failures } = await runFeedLoop([
      createCopyPage({ ageMs: 100 }),
      createCopyPage({ ageMs: 50, failureAgeMs: 200 }),
      createCopyPage({ ageMs: 50, failureAgeMs: 700 }),
    ]);
    expect(failures).toBe(1);
  });

  // Guards against readers two steps from the store that drop entries which lapsed in its outage.
  test('a failed read of the relay is told to the readers of this daemon', async () => {
    const { copyPage } = await runFeedLoop([
      createCopyPage({ ageMs: 100 }), createCopyPage({ ageMs: 50, failureAgeMs: 200 }),
    ]);
    expect(copyPage?.failureAgeMs).toBe(1_200);
  });
});
