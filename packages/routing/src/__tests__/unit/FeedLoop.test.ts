import * as Effect from 'effect/Effect';
import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const at = (ms: number): Routing.ClockReading => ({ monotonicMs: ms, wallMs: ms + 1_000_000 });

describe('proof of a held read', () => {
  test('an empty answer after the whole hold proves its end, not its beginning', () => {
    expect(Routing.computeHeldProof(at(0), at(1_905), 1_900)).toEqual(at(1_800));
  });

  test('an answer that came before the end of the hold proves only when it was sent', () => {
    expect(Routing.computeHeldProof(at(0), at(700), 1_900)).toEqual(at(0));
    expect(Routing.computeHeldProof(at(0), at(5), 0)).toEqual(at(0));
  });
});

describe('following a feed', () => {
  test('values survive failures; a lost history is read anew', async () => {
    const log: string[] = [];
    const answers: ReturnType<Routing.KeyedFeed<string>['readChanges']>[] = [
      Effect.succeed({ changes: [{ key: 'k', value: 'v2' }], next: 2 }),
      Effect.fail(new Routing.StoreUnavailable({ call: 'read', detail: 'down', sent: true })),
      Effect.fail(new Routing.HistoryLost({ first: 9 })),
    ];
    await new Promise<void>((resolve) => {
      const loop = Routing.startFeed<string>({
        feed: {
          readChanges: () => answers.shift() ?? Effect.never,
          readNewest: () => Effect.succeed({ changes: [{ key: 'k', value: 'v' }], next: 1 }),
        },
        onChanges: (changes) => log.push(`changes ${changes[0]?.value}`),
        onContact: () => undefined,
        onFailure: ({ detail }) => log.push(detail),
        onSnapshot: () => {
          log.push('snapshot');
          if (log.length < 4) return;
          loop.stop();
          resolve();
        },
        pauseMs: 0,
        readClocks: () => at(0),
        retryMs: 1,
        waitMs: 10,
      });
    });
    expect(log).toEqual(['snapshot', 'changes v2', 'down', 'snapshot']);
  });

  test('a refresh ends a held read and reads at once', async () => {
    let isHeld = false;
    const waits: number[] = [];
    const loop = Routing.startFeed<string>({
      feed: {
        readChanges: (_, waitMs) => {
          waits.push(waitMs);
          isHeld = waitMs > 0;
          return isHeld ? Effect.never : Effect.succeed({ changes: [], next: 1 });
        },
        readNewest: () => Effect.succeed({ changes: [], next: 1 }),
      },
      onChanges: () => undefined,
      onContact: () => undefined,
      onFailure: () => undefined,
      onSnapshot: () => undefined,
      pauseMs: 0,
      readClocks: () => at(0),
      retryMs: 1,
      waitMs: 10,
    });
    await expect.poll(() => isHeld).toBe(true);
    await loop.refresh();
    loop.stop();
    expect(waits.slice(0, 2)).toEqual([10, 0]);
  });
});
