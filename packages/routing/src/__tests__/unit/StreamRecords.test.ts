import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import { afterEach, expect, test } from 'vitest';
import * as LogPosition from '../../LogPosition.js';
import * as Ports from '../../Ports.js';
import * as StreamRecords from '../../StreamRecords.js';

const NAME = { account: 'shop', requestId: 'r1' };

const started: StreamRecords.StreamRecords[] = [];

afterEach(() => started.splice(0).forEach(({ stop }) => stop()));

/** Feed in memory, with faults that tests set. */
interface MemoryFeed extends Ports.WritableKeyedFeed {
  readonly log: Pick<Ports.KeyedChange, 'key' | 'raw'>[];
  readonly setWritable: (isWritable: boolean) => void;
  readonly setReadable: (isReadable: boolean) => void;
  /** Delays the answers of reads, not what they read. */
  readonly setReadDelay: (delayMs: number) => void;
  /** Forgets changes that were not read yet, but not the newest value of each key. */
  readonly dropHistory: () => void;
  /** Returns as of a number of changes. */
  readonly restore: (length: number) => void;
  readonly countReads: () => number;
}

function createMemoryFeed(): MemoryFeed {
  const log: Pick<Ports.KeyedChange, 'key' | 'raw'>[] = [];
  let isWritable = true;
  let isReadable = true;
  let delayMs = 0;
  let firstOffset = 0;
  let generation = 0;
  let readCount = 0;
  const unavailable = new Ports.StoreUnavailable({ call: 'c', detail: 'd', sent: true });
  const answer = <A, E>(read: () => Effect.Effect<A, E>): Effect.Effect<A, E> => (
    Effect.suspend(() => {
      readCount += 1;
      return read().pipe(Effect.delay(0), Effect.tap(() => Effect.sleep(delayMs)));
    })
  );
  const createPage = (from: number): Ports.FeedPage => ({
    changes: log.slice(from).map((change, index) => ({ ...change, offset: from + index })),
    next: LogPosition.createPosition(generation, log.length),
  });
  return {
    countReads: () => readCount,
    dropHistory: () => {
      firstOffset = log.length;
    },
    log,
    readChanges: (from) => answer((): Effect.Effect<
      Ports.FeedPage, Ports.HistoryLost | Ports.StoreUnavailable
    > => {
      if (!isReadable) return Effect.fail(unavailable);
      const isKnown = LogPosition.getGeneration(from) === generation
        && LogPosition.getOffset(from) >= firstOffset;
      return isKnown
        ? Effect.succeed(createPage(LogPosition.getOffset(from)))
        : Effect.fail(new Ports.HistoryLost({ first: firstOffset }));
    }),
    readNewest: () => answer(() => (
      isReadable ? Effect.succeed(createPage(0)) : Effect.fail(unavailable)
    )),
    restore: (length) => {
      log.length = length;
      generation += 1;
    },
    setReadable: (next) => {
      isReadable = next;
    },
    setReadDelay: (next) => {
      delayMs = next;
    },
    setWritable: (next) => {
      isWritable = next;
    },
    write: (values) => Effect.suspend(() => {
      if (!isWritable) return Effect.fail(unavailable);
      log.push(...values);
      return Effect.void;
    }),
  };
}

function startRecords(
  feed: Ports.WritableKeyedFeed,
  readMonotonic = Core.systemClock.readMonotonic,
): StreamRecords.StreamRecords {
  const records = StreamRecords.startStreamRecords({
    clock: { ...Core.systemClock, readMonotonic },
    feed,
    logger: Core.createLogger('silent', {}),
    readTrueTime: () => 1_000_000,
  });
  started.push(records);
  return records;
}

function store(
  { record }: StreamRecords.StreamRecords,
  version: string,
  attempt = 1,
): Promise<void> {
  return new Promise((resolve) => {
    record({ ...NAME, attempt, version }, resolve);
  });
}

test('a daemon finds what another one recorded, and only for the same account', async () => {
  const feed = createMemoryFeed();
  await store(startRecords(feed), 'v2');
  const { find } = startRecords(feed);
  expect(await find(NAME)).toEqual({ _tag: 'Recorded', version: 'v2' });
  expect(await find({ ...NAME, account: 'other' })).toEqual({ _tag: 'Absent' });
  expect(await find({ ...NAME, requestId: 'r2' })).toEqual({ _tag: 'Absent' });
});

// Guards against events that reach a caller before the store has the record of their version.
test('a record counts as stored only when a write succeeded', async () => {
  const feed = createMemoryFeed();
  feed.setWritable(false);
  let isStored = false;
  store(startRecords(feed), 'v2').then(() => {
    isStored = true;
  });
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  expect(isStored).toBe(false);
  feed.setWritable(true);
  await expect.poll(() => isStored).toBe(true);
});

// Guards against a write without an answer that takes effect after that of a later attempt.
test('the record of a later attempt counts, in whatever order they were written', async () => {
  const feed = createMemoryFeed();
  const records = startRecords(feed);
  await store(records, 'v3', 2);
  await store(records, 'v2', 1);
  expect(await startRecords(feed).find(NAME)).toEqual({ _tag: 'Recorded', version: 'v3' });
});

test('records that cannot be read are not absent', async () => {
  const feed = createMemoryFeed();
  feed.setReadable(false);
  expect(await startRecords(feed).find(NAME)).toEqual({ _tag: 'Unreadable' });
});

// Guards against an answer from a read that began before the stream did.
test('a request waits for a read that begins after it', async () => {
  const feed = createMemoryFeed();
  const { find } = startRecords(feed);
  feed.setReadDelay(50);
  const earlier = find({ ...NAME, requestId: 'other' });
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  await store(startRecords(feed), 'v2');
  const [found] = await Promise.all([find(NAME), find(NAME), earlier]);
  expect(found).toEqual({ _tag: 'Recorded', version: 'v2' });
  expect(feed.countReads()).toBe(2);
});

test('records are found after the changes since the last read were dropped', async () => {
  const feed = createMemoryFeed();
  const { find } = startRecords(feed);
  await find(NAME);
  await store(startRecords(feed), 'v2');
  feed.dropHistory();
  expect(await find(NAME)).toEqual({ _tag: 'Recorded', version: 'v2' });
});

// Guards against a record that is missed because it did not fit into the first page of a read, and
// against reads without end of a store that gives nothing more.
test('all pages of a read are read, and one without progress ends it', async () => {
  const feed = createMemoryFeed();
  let pageSize = 1;
  const { find } = startRecords({
    ...feed,
    readChanges: (from, waitMs) => feed.readChanges(from, waitMs).pipe(Effect.map((page) => ({
      changes: page.changes.slice(0, pageSize),
      hasMore: page.changes.length > pageSize,
      next: Math.min(page.next, from + pageSize),
    }))),
  });
  await find(NAME);
  const writer = startRecords(feed);
  await store(writer, 'v1', 1);
  await store(writer, 'v2', 2);
  await store(writer, 'v3', 3);
  expect(await find(NAME)).toEqual({ _tag: 'Recorded', version: 'v3' });
  pageSize = 0;
  await store(writer, 'v4', 4);
  expect(await find({ ...NAME, requestId: 'r2' })).toEqual({ _tag: 'Unreadable' });
});

// Guards against a stream that is taken for one of the base version because the store lost its
// record by returning from an older copy.
test('no record is absent just after a return, and they are written again', async () => {
  const feed = createMemoryFeed();
  let nowMs = 0;
  const writer = startRecords(feed);
  const { find } = startRecords(feed, () => nowMs);
  await find(NAME);
  await store(writer, 'v2');
  feed.restore(0);
  expect(await find(NAME)).toEqual({ _tag: 'Unreadable' });
  writer.rewrite();
  await expect.poll(() => find(NAME)).toEqual({ _tag: 'Recorded', version: 'v2' });
  nowMs = 10_000;
  expect(await find({ ...NAME, requestId: 'r2' })).toEqual({ _tag: 'Absent' });
});

test('records of streams that ended are removed with a later write', async () => {
  const feed = createMemoryFeed();
  let nowMs = 0;
  const records = startRecords(feed, () => nowMs);
  const endStream = await new Promise<(isComplete: boolean) => void>((resolve) => {
    const end = records.record({ ...NAME, attempt: 1, version: 'v2' }, () => resolve(end));
  });
  endStream(true);
  nowMs = 20_000;
  await new Promise<void>((resolve) => {
    records.record({
      account: 'shop', attempt: 1, requestId: 'r2', version: 'v2',
    }, resolve);
  });
  expect(feed.log.at(-1)).toEqual({ key: feed.log[0]?.key, raw: undefined });
  expect(await startRecords(feed).find(NAME)).toEqual({ _tag: 'Absent' });
});
