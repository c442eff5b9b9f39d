import * as Effect from 'effect/Effect';
import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const at = (ms: number): Routing.ClockReading => ({ monotonicMs: ms, wallMs: ms + 1_000_000 });

function createChange(offset: number, text: string | undefined): Routing.KeyedChange {
  return { key: 'k', offset, raw: text === undefined ? undefined : Buffer.from(text) };
}

type ReadChanges = Routing.KeyedFeed['readChanges'];

/** Creates default options, some of which a test replaces. */
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

describe('verified time of a long poll', () => {
  test('an empty answer after the whole timeout verifies the values for its end', () => {
    expect(Routing.computeLongPollVerifiedAt(at(0), at(1_905), 1_900)).toEqual(at(1_800));
  });

  test('an empty answer before the timeout verifies the values only for when it was sent', () => {
    expect(Routing.computeLongPollVerifiedAt(at(0), at(700), 1_900)).toEqual(at(0));
    expect(Routing.computeLongPollVerifiedAt(at(0), at(5), 0)).toEqual(at(0));
  });
});

describe('feed loop', () => {
  test('a failed read keeps the values, and a lost history starts a new snapshot', async () => {
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

  // Guards against a call to the store for each of many small changes: 185 reports of ended servers
  // cost each reader of the feed 140 calls.
  test('a pause after changes joins those that follow each other in one read', async () => {
    const startMs = performance.now();
    let reads = 0;
    const seen: number[] = [];
    const loop = Routing.startFeedLoop(createOptions({
      feed: {
        readChanges: (from) => {
          reads += 1;
          const end = 1 + Math.floor((performance.now() - startMs) / 2);
          const changes = Array.from(
            { length: end - from },
            (_, index) => createChange(from + index, 'v'),
          );
          return Effect.delay(Effect.succeed({ changes, next: from + changes.length }), 1);
        },
        readNewest: () => Effect.succeed({ changes: [], next: 1 }),
      },
      getPauseMs: (hasChanges) => (hasChanges ? 50 : 0),
      onChanges: (changes) => seen.push(...changes.map(({ offset }) => offset)),
    }));
    await expect.poll(() => seen.length).toBeGreaterThan(100);
    loop.stop();
    expect(reads).toBeLessThan(seen.length / 8);
    expect(seen).toEqual(seen.map((_, index) => index + 1));
  });

  test('a refresh interrupts a long poll and reads immediately', async () => {
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

describe('refresh of a feed', () => {
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

  test('refreshes in quick succession do not interrupt the read of a slow store', async () => {
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

  test('refreshes during an outage do not each call the store', async () => {
    const { counts, loop } = startSlowFeed(0, () => 5_000);
    await wait(10);
    await loop.refresh();
    await loop.refresh();
    await loop.refresh();
    loop.stop();
    expect(counts.reads).toBe(1);
  });
});

describe('feed loop with a relay', () => {
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
    /** Answer to a reader of this daemon's copy at the end. */
    readonly copyPage: Routing.CopyPage | undefined;
  }

  /** Runs a feed loop until the relay has returned all pages; undefined means no usable relay. */
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

  test('a page of a relay is verified for the time of the call minus its age', async () => {
    const { contacts, storeWaits } = await runFeedLoop([
      createCopyPage({}), createCopyPage({ ageMs: 100 }),
    ]);
    expect(contacts.slice(0, 3)).toEqual([10_000, 9_300, 10_400]);
    expect(storeWaits.length).toBeLessThanOrEqual(1);
  });

  test('the first read of the store after a relay failed is no long poll', async () => {
    const { storeWaits } = await runFeedLoop([createCopyPage({}), undefined, undefined]);
    expect(storeWaits.slice(0, 2)).toEqual([0, 10]);
  });

  test('a failed read of the relay since the last verified time is reported once', async () => {
    const { failures } = await runFeedLoop([
      createCopyPage({ ageMs: 100 }),
      createCopyPage({ ageMs: 50, failureAgeMs: 200 }),
      createCopyPage({ ageMs: 50, failureAgeMs: 700 }),
    ]);
    expect(failures).toBe(1);
  });

  // Guards against readers two hops from the store that drop entries which expired in its outage.
  test('a failed read of the relay is passed on to the readers of this daemon', async () => {
    const { copyPage } = await runFeedLoop([
      createCopyPage({ ageMs: 100 }), createCopyPage({ ageMs: 50, failureAgeMs: 200 }),
    ]);
    expect(copyPage?.failureAgeMs).toBe(1_200);
  });
});
