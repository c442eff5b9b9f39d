/** Fakes of the shared log and of the duties' calls to the platform, with injected faults. */
import * as Effect from 'effect/Effect';
import * as Routing from '../../index.js';

/** Fault that is injected into one call. */
export type Fault = 'delay' | 'lost-answer' | 'none' | 'refusal';

/** Log in memory. */
export interface FakeLog {
  readonly records: readonly unknown[];
  readonly connect: (daemonId: string) => Routing.SharedLog;
  /** Deletes all records but the newest `kept` ones; the offsets go on. */
  readonly deleteHistory: (kept?: number) => void;
  /** Removes the records from an offset on, as a log that returns from an older copy. */
  readonly restore: (length: number) => void;
}

const DELAY_MS = 600;

/**
 * Creates an empty log; `chooseFault` returns the fault of each call of a daemon. A read returns at
 * most `pageSize` records.
 */
export function createFakeLog(
  chooseFault: (daemonId: string, call: string) => Fault,
  pageSize = Infinity,
): FakeLog {
  const records: unknown[] = [];
  let generation = 0;
  /** Offset of the oldest record that is not deleted. */
  let first = 0;
  const at = (offset: number): number => Routing.createPosition(generation, offset);
  const fail = (call: string, sent: boolean): Routing.StoreUnavailable => (
    new Routing.StoreUnavailable({ call, detail: 'fault', sent })
  );
  const append = (
    added: readonly unknown[],
    expectedEnd: number | undefined,
  ): Effect.Effect<number, Routing.EndMoved> => Effect.suspend(() => {
    const isRestored = expectedEnd !== undefined
      && Routing.getGeneration(expectedEnd) !== generation;
    if (expectedEnd !== undefined && Routing.getOffset(expectedEnd) !== records.length) {
      return Effect.fail(new Routing.EndMoved({ end: at(records.length) }));
    }
    // The store compares the offset alone; only its answer states another generation.
    records.push(...added);
    return isRestored
      ? Effect.fail(new Routing.EndMoved({ end: at(records.length) }))
      : Effect.succeed(at(records.length - added.length));
  });
  return {
    connect: (daemonId) => ({
      append: (added, expectedEnd) => {
        const effectsByFault = {
          delay: () => Effect.delay(append(added, expectedEnd), DELAY_MS),
          'lost-answer': () => append(added, expectedEnd).pipe(
            Effect.flatMap(() => Effect.fail(fail('append', true))),
          ),
          none: () => append(added, expectedEnd),
          refusal: () => Effect.fail(fail('append', true)),
        };
        return effectsByFault[chooseFault(daemonId, 'append')]();
      },
      read: (from) => {
        const read = Effect.suspend(() => {
          const offset = Routing.getOffset(from);
          const isOtherGeneration = from !== 0 && Routing.getGeneration(from) !== generation;
          if (isOtherGeneration || offset < first) {
            return Effect.fail(new Routing.HistoryLost({ first: at(first) }));
          }
          const page = records.slice(offset, offset + pageSize);
          const end = offset + page.length;
          return Effect.succeed({
            hasMore: end < records.length,
            next: at(end),
            records: page.map((value, index) => ({ offset: at(offset + index), value })),
          });
        });
        const effectsByFault = {
          delay: () => Effect.delay(read, DELAY_MS),
          'lost-answer': () => Effect.fail(fail('read', true)),
          none: () => read,
          refusal: () => Effect.fail(fail('read', true)),
        };
        return effectsByFault[chooseFault(daemonId, 'read')]();
      },
    }),
    deleteHistory: (kept = 0) => {
      first = Math.max(first, records.length - kept);
    },
    records,
    restore: (length) => {
      generation += 1;
      first = Math.min(first, length);
      records.splice(length);
    },
  };
}

/** Report or order that the platform received. */
export interface ReceivedCall {
  readonly holder: string;
  readonly fence: number;
  readonly atMs: number;
  readonly window: number | undefined;
  readonly counts: string;
}

/** Platform that refuses calls with a fencing token older than the newest one. */
export interface FakePlatform {
  readonly seen: readonly ReceivedCall[];
  readonly connect: (holder: string) => Routing.DutyCalls;
}

/** Creates a platform; `readTime` returns the time that is recorded with each call. */
export function createFakePlatform(readTime: () => number): FakePlatform {
  const seen: ReceivedCall[] = [];
  let highestFence = -1;
  const receive = (call: ReceivedCall): Routing.DutyAnswer => {
    if (call.fence < highestFence) return 'fenced';
    highestFence = call.fence;
    seen.push(call);
    return 'accepted';
  };
  return {
    connect: (holder) => ({
      orderServers: (_, fence) => Effect.sync(() => receive({
        atMs: readTime(), counts: '', fence, holder, window: undefined,
      })),
      sendUsage: (window, counts, fence) => Effect.sync(() => receive({
        atMs: readTime(), counts: JSON.stringify(counts), fence, holder, window,
      })),
    }),
    seen,
  };
}
