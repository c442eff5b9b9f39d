import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Effect from 'effect/Effect';
import * as Vitest from 'vitest';
import * as Config from '../../index.js';

const {
  describe, expect, test, vi,
} = Vitest;

const writer = { daemonId: 'd1', incarnation: '1-a' };

function buildEntry(offset: number, kind: string, body: unknown): Log.LogEntry {
  return { offset, records: [Log.createRecord(writer, kind, body)], timestampMs: offset };
}

function buildIssue(offset: number): Log.LogEntry {
  return buildEntry(offset, Config.CONFIG_KINDS.keyIssue, {
    account: 'a', digest: 'd', keyId: `key${100_000 + offset}`,
  });
}

function buildIssues(count: number): readonly Log.LogEntry[] {
  return Array.from({ length: count }, (_, offset) => buildIssue(offset));
}

describe('the configuration store', () => {
  test('notifies a listener of each change once, until it is unregistered', () => {
    const store = Config.createConfigStore(Core.createManualClock(), 1_000);
    const listener = vi.fn();
    const unregister = store.registerListener(listener);
    const event = { _tag: 'entries', afterOffset: -1, entries: [buildIssue(0)] } as const;
    store.applyEvent(event);
    store.applyEvent(event);
    unregister();
    store.applyEvent({ _tag: 'entries', afterOffset: 0, entries: [buildIssue(1)] });
    expect(listener).toHaveBeenCalledOnce();
  });

  // Guards against a relay that omits entries when a member asks for some that it no longer keeps.
  test('lists the entries after an offset, or undefined if some are no longer kept', () => {
    const store = Config.createConfigStore(Core.createManualClock(), 1_000);
    const entries = buildIssues(600);
    entries.forEach((entry, i) => {
      store.applyEvent({ _tag: 'entries', afterOffset: i - 1, entries: [entry] });
    });
    expect(store.listEntriesAfter(-1)).toBeUndefined();
    expect(store.listEntriesAfter(590)?.entries.map(({ offset }) => offset))
      .toEqual([591, 592, 593, 594, 595, 596, 597, 598, 599]);
    const peer = Config.createConfigStore(Core.createManualClock(), 1_000);
    peer.applyEvent({ _tag: 'peer-state', body: Config.buildSnapshot(store.getState()) });
    expect(Config.buildSnapshot(peer.getState())).toEqual(Config.buildSnapshot(store.getState()));
    expect(peer.listEntriesAfter(598)).toBeUndefined();
    expect(peer.listEntriesAfter(599)?.entries).toEqual([]);
  });

  // Guards against relays that send each snapshot, of 1.5 MB, to each member.
  test('lists recent entries without their snapshots', () => {
    const store = Config.createConfigStore(Core.createManualClock(), 1_000);
    const entries = buildIssues(2);
    store.applyEvent({ _tag: 'entries', afterOffset: -1, entries });
    const body = Config.buildSnapshot(store.getState());
    store.applyEvent({
      _tag: 'entries',
      afterOffset: 1,
      entries: [buildEntry(2, Config.CONFIG_KINDS.snapshot, body)],
    });
    expect(store.getLastSnapshot()?.coveredOffset).toBe(1);
    expect(store.listEntriesAfter(0)?.entries.map(({ offset, records }) => (
      [offset, records.length]
    ))).toEqual([[1, 1], [2, 0]]);
  });

  test('is not ready while entries are missing, and is ready with the state of a peer', () => {
    const store = Config.createConfigStore(Core.createManualClock(), 1_000);
    store.applyEvent({ _tag: 'gap', firstOffset: 3 });
    store.applyEvent({ _tag: 'entries', afterOffset: 2, entries: [buildIssue(3)] });
    expect(store.isReady()).toBe(false);
    const other = Config.createConfigStore(Core.createManualClock(), 1_000);
    other.applyEvent({ _tag: 'entries', afterOffset: -1, entries: buildIssues(3) });
    store.applyEvent({ _tag: 'peer-state', body: Config.buildSnapshot(other.getState()) });
    expect(store.isReady()).toBe(true);
    expect(store.getState().offset).toBe(3);
  });
});

describe('isSnapshotDue', () => {
  const changed = { ...Config.initialConfigState, offset: 10 };
  const seen = { coveredOffset: 5, seenMs: 0 };

  test('returns true without a snapshot, after the interval and after many entries', () => {
    expect(Config.isSnapshotDue(Config.initialConfigState, undefined, 0, 1_000)).toBe(false);
    expect(Config.isSnapshotDue(changed, undefined, 0, 1_000)).toBe(true);
    expect(Config.isSnapshotDue(changed, seen, 999, 1_000)).toBe(false);
    expect(Config.isSnapshotDue(changed, seen, 1_000, 1_000)).toBe(true);
    expect(Config.isSnapshotDue({ ...changed, offset: 500 }, seen, 1, 1_000)).toBe(true);
  });

  // Guards against a stream whose last snapshot expires because nothing is edited.
  test('returns true for an unchanged state after three intervals', () => {
    const unchanged = { coveredOffset: 9, seenMs: 0 };
    expect(Config.isSnapshotDue(changed, unchanged, 2_999, 1_000)).toBe(false);
    expect(Config.isSnapshotDue(changed, unchanged, 3_000, 1_000)).toBe(true);
  });
});

describe('the tail of the configuration stream', () => {
  interface FakePort extends Log.LogPort {
    readonly offsets: number[];
  }

  function createFakePort(
    entries: readonly Log.LogEntry[],
    first: number,
  ): FakePort {
    const offsets: number[] = [];
    return {
      append: () => Effect.succeed(0),
      offsets,
      read: ({ from, limit, stream }) => Effect.suspend(() => {
        offsets.push(from);
        if (from < first) return Effect.fail(new Log.LogOffsetExpiredError({ first, stream }));
        const page = entries.filter(({ offset }) => offset >= from).slice(0, limit);
        const next = (page[page.length - 1]?.offset ?? from - 1) + 1;
        return Effect.succeed({ entries: page, first, next }).pipe(
          Effect.delay(page.length === 0 ? 5 : 0),
        );
      }),
    };
  }

  test('starts from a snapshot if the first entries have expired', async () => {
    const issues = buildIssues(8);
    const covered = issues.slice(0, 6).reduce(
      (state, entry) => Config.reduceConfig(state, entry),
      Config.initialConfigState,
    );
    const entries = [
      ...issues,
      buildEntry(8, Config.CONFIG_KINDS.snapshot, Config.buildSnapshot(covered)),
    ];
    const port = createFakePort(entries, 5);
    const store = Config.createConfigStore(Core.systemClock, 60_000);
    const stop = Config.startConfigTail({ clock: Core.systemClock, port, store });
    await vi.waitUntil(() => store.getContact() !== undefined);
    stop();
    expect(store.getState().offset).toBe(8);
    expect(Config.countKeys(store.getState())).toBe(8);
  });

  // Guards against a daemon that accepts keys although its state misses withdrawals.
  test('does not record a read as a contact while entries are missing', async () => {
    const port = createFakePort(buildIssues(8), 5);
    const store = Config.createConfigStore(Core.systemClock, 60_000);
    const stop = Config.startConfigTail({ clock: Core.systemClock, port, store });
    await vi.waitUntil(() => port.offsets.filter((from) => from === 8).length > 2);
    stop();
    expect(store.getContact()).toBeUndefined();
    expect(store.isReady()).toBe(false);
  });

  // Guards against an entry that is omitted from one response and then never applied.
  test('reads entries again that a response omitted', async () => {
    const entries = buildIssues(8);
    const completePort = createFakePort(entries, 0);
    let readCount = 0;
    const port: Log.LogPort = {
      ...completePort,
      read: (request) => {
        readCount += 1;
        const isFirst = readCount === 1;
        return completePort.read(request).pipe(Effect.map((page) => ({
          ...page, entries: page.entries.filter(({ offset }) => !isFirst || offset !== 3),
        })));
      },
    };
    const store = Config.createConfigStore(Core.systemClock, 60_000);
    const stop = Config.startConfigTail({ clock: Core.systemClock, port, store });
    await vi.waitUntil(() => store.getState().offset === 2);
    expect(store.getContact()).toBeUndefined();
    await vi.waitUntil(() => store.getContact() !== undefined);
    stop();
    expect(Config.countKeys(store.getState())).toBe(8);
  });

  test('pauses while it is not active and continues after the state of a peer', async () => {
    let isActive = false;
    const entries = buildIssues(8);
    const port = createFakePort(entries, 0);
    const store = Config.createConfigStore(Core.systemClock, 60_000);
    const stop = Config.startConfigTail({
      clock: Core.systemClock, isActive: () => isActive, port, store,
    });
    const peer = Config.createConfigStore(Core.systemClock, 60_000);
    peer.applyEvent({ _tag: 'entries', afterOffset: -1, entries: entries.slice(0, 6) });
    store.applyEvent({ _tag: 'peer-state', body: Config.buildSnapshot(peer.getState()) });
    expect(port.offsets).toEqual([]);
    isActive = true;
    await vi.waitUntil(() => store.getContact() !== undefined);
    stop();
    expect(port.offsets[0]).toBe(6);
    expect(store.getState().offset).toBe(7);
  });
});

describe('diffLists', () => {
  test('lists added, removed and changed rows with the changed fields', () => {
    const lists = { ...Config.initialConfigState.lists, accounts: [{ id: 'a', plan: 'p' }] };
    const edited = {
      ...lists,
      accounts: [{ id: 'b', plan: 'p' }, { id: 'a', plan: 'q' }],
      models: [{ defaultClass: 'c', id: 'm' }],
    };
    expect(Config.renderDifferences(Config.diffLists(lists, edited)))
      .toBe('~ accounts a: plan "p" -> "q"\n+ accounts b\n+ models m');
    expect(Config.renderDifferences(Config.diffLists(edited, lists)))
      .toBe('- accounts b\n~ accounts a: plan "q" -> "p"\n- models m');
    expect(Config.diffLists(lists, lists)).toEqual([]);
  });
});
