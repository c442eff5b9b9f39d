import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import {
  afterEach, describe, expect, test,
} from 'vitest';
import * as Routing from '../../index.js';

const at = (ms: number, jumpMs = 0): Routing.ClockReading => (
  { monotonicMs: ms, wallMs: ms + 1_000_000 + jumpMs }
);

function createChange(
  ...[key, offset, value]: readonly [string, number, string | undefined]
): Routing.DecodedChange<string> {
  return {
    key, offset, raw: value === undefined ? undefined : Buffer.from(value), value,
  };
}

const NO_OBSERVATIONS = { limits: [], outcomes: [] };

const counts: Routing.CountsRecord = {
  address: '10.0.0.1:7340',
  cores: 1,
  counts: { shop: 3 },
  daemonId: 'a',
  dataCentre: 'z',
  incarnation: 'i',
  tokens: {},
  window: 7,
  writtenMs: 35_000,
};

describe('copy of a feed', () => {
  const createCopy = (): Routing.FeedCopy<string> => {
    const copy = Routing.createFeedCopy<string>();
    copy.apply({
      changes: [createChange('a', 3, 'x'), createChange('b', 4, 'y')],
      isSnapshot: true,
      next: 5,
      verifiedAt: at(0),
    });
    return copy;
  };
  const listKeys = (copyPage: Routing.CopyPage | undefined): readonly string[] => (
    copyPage?.page.changes.map(({ key, raw }) => `${key}=${raw?.toString() ?? ''}`) ?? []
  );

  test('a reader gets the changes since its offset, and a late reader a snapshot', () => {
    const copy = createCopy();
    copy.apply({
      changes: [createChange('a', 5, 'z'), createChange('b', 6, undefined)],
      isSnapshot: false,
      next: 7,
      verifiedAt: at(100),
    });
    expect(listKeys(copy.read(5, at(100)))).toEqual(['a=z', 'b=']);
    expect(listKeys(copy.read(7, at(100)))).toEqual([]);
    const late = copy.read(2, at(100));
    expect(late?.isSnapshot).toBe(true);
    expect(listKeys(late)).toEqual(['a=z']);
  });

  test('renewals that change nothing are not passed on to readers', () => {
    const copy = createCopy();
    copy.apply({
      changes: [createChange('a', 5, 'x')], isSnapshot: false, next: 6, verifiedAt: at(100),
    });
    const copyPage = copy.read(5, at(100));
    expect(listKeys(copyPage)).toEqual([]);
    expect(copyPage?.page.next).toBe(6);
  });

  test('the offset of a reader that is ahead of the copy does not decrease', () => {
    expect(createCopy().read(9, at(0))?.page).toEqual({ changes: [], next: 9 });
  });

  // Guards against a reader whose offset exists again in a copy that was restored.
  test('a reader of before the return of the store gets a snapshot', () => {
    const copy = createCopy();
    const inSecond = (offset: number): number => Routing.createPosition(2, offset);
    copy.apply({
      changes: [createChange('a', inSecond(3), 'old')],
      isSnapshot: true,
      next: inSecond(4),
      verifiedAt: at(100),
    });
    copy.apply({
      changes: [createChange('c', inSecond(4), 'new')],
      isSnapshot: false,
      next: inSecond(5),
      verifiedAt: at(100),
    });
    const copyPage = copy.read(Routing.createPosition(1, 7), at(100));
    expect(copyPage?.isSnapshot).toBe(true);
    expect(listKeys(copyPage)).toEqual(['a=old', 'c=new']);
    expect(copyPage?.page.next).toBe(inSecond(5));
  });

  test('a page states its age and a recent failure, and is withheld after a suspension', () => {
    const copy = createCopy();
    copy.observeFailure(at(400));
    expect(copy.read(5, at(1_000))).toMatchObject({ ageMs: 1_000, failureAgeMs: 600 });
    expect(copy.read(5, at(6_000))?.failureAgeMs).toBeUndefined();
    expect(copy.read(5, at(1_000, 3_000))).toBeUndefined();
  });

  test('a reader that missed a removal which the copy dropped gets a snapshot', () => {
    const copy = createCopy();
    Array.from({ length: 1_100 }, (_, index) => copy.apply({
      changes: [createChange(`gone-${index}`, 5 + index, undefined)],
      isSnapshot: false,
      next: 6 + index,
      verifiedAt: at(0),
    }));
    expect(copy.read(50, at(0))?.isSnapshot).toBe(true);
    expect(copy.read(1_000, at(0))?.isSnapshot).toBe(false);
  });
});

const createMembers = (count: number, dataCentre: string): Routing.FleetMember[] => (
  Array.from({ length: count }, (_, index) => ({
    address: `${dataCentre}${index}:1`,
    cores: index % 3 === 0 ? 1.35 : 0.324,
    daemonId: `${dataCentre}-${String(index).padStart(4, '0')}`,
    dataCentre,
  }))
);

describe('planned relays', () => {
  test('a large data centre has relays on its larger VMs and a small one has none', () => {
    const assignment = Routing.planRelays(
      [...createMembers(22, 'a'), ...createMembers(4, 'b')],
      {},
    );
    expect(assignment).toEqual({ a: ['a0:1', 'a3:1'] });
  });

  const createRegion = (
    dataCentres: number,
    each: number,
    region: string,
  ): Routing.FleetMember[] => (
    Array.from({ length: dataCentres }, (_, index) => createMembers(each, `${region}${index}-`))
      .flat().map((member) => ({ ...member, region }))
  );

  // Without shared relays, 23 daemons in six data centres made 2,268 calls a minute to the store.
  test('small data centres of a region share relays in different data centres', () => {
    const assignment = Routing.planRelays(createRegion(6, 4, 'west'), {});
    expect(Object.keys(assignment)).toHaveLength(6);
    const [relays = [], ...others] = Object.values(assignment);
    others.forEach((each) => expect(each).toEqual(relays));
    expect(relays).toHaveLength(2);
    expect(new Set(relays.map((address) => address.split('-')[0])).size).toBe(2);
  });

  test('relays are not shared between regions or by only a few daemons', () => {
    const members = [...createRegion(2, 5, 'west'), ...createRegion(2, 5, 'east')];
    expect(Routing.planRelays(members, {})).toEqual({});
  });

  test('a shared relay that is lost does not change the other ones', () => {
    const members = createRegion(6, 4, 'west');
    const first = Routing.planRelays(members, {});
    const [gone] = Object.values(first)[0] ?? [];
    const next = Routing.planRelays(members.filter(({ address }) => address !== gone), first);
    expect(Object.values(next)[0]?.filter((each) => first['west0-']?.includes(each)))
      .toEqual(first['west0-']?.filter((each) => each !== gone));
  });

  test('existing relays are kept when other daemons join or leave', () => {
    const members = createMembers(22, 'a');
    const assignment = Routing.planRelays(members.slice(1), { a: ['a0:1', 'a5:1'] });
    expect(assignment.a).toEqual(['a3:1', 'a5:1']);
  });

  test('no relay has more than 16 readers with 2,600 daemons in ten data centres', () => {
    const members = Array.from({ length: 10 }, (_, index) => createMembers(260, `z${index}-`));
    const assignment = Routing.planRelays(members.flat(), {});
    const relays = Object.values(assignment).flat();
    expect(2_600 / relays.length).toBeLessThanOrEqual(16);
    expect(relays.length).toBeLessThan(200);
  });
});

describe('choice of a relay', () => {
  const self = {
    address: 'me:1', daemonId: 'd', dataCentre: 'a', regionDataCentres: ['a', 'b'],
  };

  test('a failed relay is avoided for a while: the other one is used, then the store', () => {
    const clock = Core.createManualClock();
    const choice = Routing.createRelayChoice(clock, self);
    expect(choice.choose()).toBeUndefined();
    choice.setRelays({ a: ['p:1', 'q:1'], b: ['r:1'] });
    const first = choice.choose() as string;
    choice.observeFailure(first);
    const second = choice.choose() as string;
    expect([first, second].sort()).toEqual(['p:1', 'q:1']);
    choice.observeFailure(second);
    expect(choice.choose()).toBeUndefined();
    clock.advance(4_000);
    expect(choice.choose()).toBe(first);
  });

  test('a relay reads from the store itself', () => {
    const choice = Routing.createRelayChoice(Core.createManualClock(), self);
    choice.setRelays({ a: ['me:1', 'p:1'] });
    expect(choice.isRelay()).toBe(true);
    expect(choice.choose()).toBeUndefined();
  });

  // Without root relays, 18 relays of one region made 27 of its 35 calls a second to the store.
  test('the relays of a large region read from its root relays', () => {
    const assignment = {
      a: ['me:1', 'p:1', 'q:1'], b: ['r:1', 's:1', 't:1'], elsewhere: ['u:1', 'v:1'],
    };
    const clock = Core.createManualClock();
    const choice = Routing.createRelayChoice(clock, { ...self, address: 'p:1' });
    choice.setRelays(assignment);
    expect(Routing.listRootRelays(assignment, ['a', 'b'])).toEqual(['me:1', 'r:1']);
    expect(choice.choose()).toBeUndefined();
    const first = choice.chooseUpstream() as string;
    choice.observeFailure(first);
    const second = choice.chooseUpstream() as string;
    expect([first, second].sort()).toEqual(['me:1', 'r:1']);
    choice.observeFailure(second);
    expect(choice.chooseUpstream()).toBeUndefined();
    clock.advance(4_000);
    expect(choice.chooseUpstream()).toBe(first);
  });

  test('a root relay reads from the store, and a reader from a relay of its data centre', () => {
    const assignment = { a: ['me:1', 'p:1', 'q:1'], b: ['r:1', 's:1', 't:1'] };
    const rootRelay = Routing.createRelayChoice(Core.createManualClock(), self);
    rootRelay.setRelays(assignment);
    expect(rootRelay.chooseUpstream()).toBeUndefined();
    const reader = Routing.createRelayChoice(
      Core.createManualClock(),
      { ...self, address: 'x:1', daemonId: 'x' },
    );
    reader.setRelays(assignment);
    expect(assignment.a).toContain(reader.chooseUpstream());
  });

  test('relays that read the store find each other, also in a region without root relays', () => {
    const few = { a: ['me:1', 'p:1'], b: ['r:1', 's:1'] };
    const many = { a: ['me:1', 'p:1', 'q:1'], b: ['r:1', 's:1', 't:1'] };
    const clock = Core.createManualClock();
    const choice = Routing.createRelayChoice(clock, self);
    expect(choice.choosePeer(() => 0)).toBeUndefined();
    choice.setRelays(few);
    const peers = [0, 0.4, 0.9].map((value) => choice.choosePeer(() => value));
    expect(new Set(peers)).toEqual(new Set(['p:1', 'r:1', 's:1']));
    choice.observeFailure('r:1');
    expect([0, 0.4, 0.9].map((value) => choice.choosePeer(() => value))).not.toContain('r:1');
    choice.setRelays(many);
    clock.advance(4_000);
    expect(choice.choosePeer(() => 0.9)).toBe('r:1');
    const reader = Routing.createRelayChoice(clock, { ...self, address: 'x:1', daemonId: 'x' });
    reader.setRelays(few);
    expect(reader.choosePeer(() => 0)).toBeUndefined();
  });

  test('no root relay serves more than eight relays with 2,600 daemons in ten data centres', () => {
    const members = Array.from({ length: 10 }, (_, index) => createMembers(260, `z${index}-`));
    const assignment = Routing.planRelays(members.flat(), {});
    const relays = Object.values(assignment).flat();
    const rootRelays = Routing.listRootRelays(assignment, Object.keys(assignment));
    expect(relays.length / rootRelays.length).toBeLessThanOrEqual(8);
    expect(new Set(rootRelays.slice(0, 10).map((each) => each.split('-')[0])).size).toBe(10);
  });

  test('readers are spread over the relays', () => {
    const chosen = Array.from({ length: 40 }, (_, index) => {
      const choice = Routing.createRelayChoice(
        Core.createManualClock(),
        { ...self, daemonId: `daemon-${index}` },
      );
      choice.setRelays({ a: ['p:1', 'q:1'] });
      return choice.choose();
    });
    expect(chosen.filter((address) => address === 'p:1').length).toBeGreaterThan(10);
    expect(chosen.filter((address) => address === 'q:1').length).toBeGreaterThan(10);
  });

  test.each([
    ['fails', () => Effect.fail(new Routing.RelayUnavailable({ detail: 'refused' }))],
    ['has an old copy', () => Effect.succeed({
      ageMs: 2_000, failureAgeMs: 300, isSnapshot: false, page: { changes: [], next: 1 },
    })],
  ])('a relay that %s is not used and then avoided', async (_, read) => {
    const choice = Routing.createRelayChoice(Core.createManualClock(), self);
    choice.setRelays({ a: ['p:1'] });
    const copyPage = await Effect.runPromise(Routing.readFromRelay({
      choice,
      feed: 'servers',
      from: 1,
      logger: Core.createLogger('silent', {}),
      maxAgeMs: 1_500,
      read,
    }));
    expect(copyPage).toBeUndefined();
    expect(choice.choose()).toBeUndefined();
  });
});

/** Limits of the listener, those of a daemon without settings. */
const PEER_GUARD: Routing.GuardSettings = {
  clock: Core.systemClock,
  limits: Routing.computePeerLimits({
    callers: { bodyIdleMs: 10_000, maxRequestsAhead: 32 }, vm: { cores: 1, cpuShare: 1 },
  }),
};

describe('calls between daemons', () => {
  let listener: Routing.InternalListener | undefined;
  afterEach(() => listener?.close());

  test('a page arrives unchanged', async () => {
    const copyPage: Routing.CopyPage = {
      ageMs: 12.5,
      failureAgeMs: undefined,
      isSnapshot: true,
      page: {
        changes: [
          { key: 'a', offset: 3, raw: Buffer.from([0, 255]) },
          { key: 'b', offset: 4, raw: undefined },
        ],
        next: 2 ** 40,
      },
    };
    listener = await Routing.startRelayListener('127.0.0.1:0', {
      readCopy: () => copyPage,
      receiveCounts: async () => true,
      receiveObservations: () => NO_OBSERVATIONS,
    }, PEER_GUARD);
    const { read } = Routing.createRelayClient();
    expect(await Effect.runPromise(read(listener.address, 'servers', 1))).toEqual(copyPage);
  });

  test('a read fails if the other daemon has no copy or does not listen', async () => {
    listener = await Routing.startRelayListener('127.0.0.1:0', {
      readCopy: () => undefined,
      receiveCounts: async () => true,
      receiveObservations: () => NO_OBSERVATIONS,
    }, PEER_GUARD);
    const { read } = Routing.createRelayClient();
    const unknown = await Effect.runPromise(Effect.either(read(listener.address, 'other', 1)));
    expect(Either.isLeft(unknown)).toBe(true);
    listener.close();
    const gone = await Effect.runPromise(Effect.either(read(listener.address, 'other', 1)));
    expect(Either.isLeft(gone)).toBe(true);
  });

  test('outcomes and request limits are exchanged in both directions', async () => {
    const observations = {
      limits: [
        { ageMs: 20, requestsPerS: 0.5, server: 'i-1@5' },
        { ageMs: 7, server: 'i-2@5' },
      ],
      outcomes: [{ failures: 1, requests: 3, server: 'i-1@5' }],
    };
    const received: unknown[] = [];
    listener = await Routing.startRelayListener('127.0.0.1:0', {
      readCopy: () => undefined,
      receiveCounts: async () => true,
      receiveObservations: (sent) => {
        received.push(sent);
        return observations;
      },
    }, PEER_GUARD);
    const { exchangeObservations } = Routing.createRelayClient();
    const answer = await Effect.runPromise(exchangeObservations(listener.address, observations));
    expect(received).toMatchObject([observations]);
    expect(answer).toMatchObject(observations);
  });

  test('counts are handed over, and a failure to store them is reported', async () => {
    const received: unknown[] = [];
    listener = await Routing.startRelayListener('127.0.0.1:0', {
      readCopy: () => undefined,
      receiveObservations: () => NO_OBSERVATIONS,
      receiveCounts: async (records, isFinal) => {
        received.push(...records);
        return !isFinal;
      },
    }, PEER_GUARD);
    const { handOver } = Routing.createRelayClient();
    const { address } = listener;
    const interim = await Effect.runPromise(Effect.either(handOver(address, [counts], false)));
    const stored = await Effect.runPromise(Effect.either(handOver(address, [counts], true)));
    expect([Either.isRight(interim), Either.isRight(stored)]).toEqual([true, false]);
    expect(received).toEqual([counts, counts]);
  });
});

describe('hand-over of counts', () => {
  const createCounts = (daemonId: string, window: number, shop = 1): Routing.CountsRecord => ({
    ...counts, counts: { shop }, daemonId, window,
  });
  const createBatch = (current: number): {
    readonly batch: Routing.HandOverBatch;
    readonly appends: Routing.CountsRecord[][];
    readonly setOutcome: (isStored: boolean) => void;
  } => {
    const appends: Routing.CountsRecord[][] = [];
    let outcome = true;
    return {
      appends,
      batch: Routing.createHandOverBatch({
        append: async (records) => {
          appends.push([...records]);
          return outcome;
        },
        computeCurrentWindow: () => current,
      }, 5),
      setOutcome: (isStored) => {
        outcome = isStored;
      },
    };
  };

  test('the counts of several daemons are stored by one append', async () => {
    const { appends, batch } = createBatch(8);
    const outcomes = await Promise.all([
      batch.addFinal([createCounts('a', 7)]), batch.addFinal([createCounts('b', 7)]),
    ]);
    expect(outcomes).toEqual([true, true]);
    expect(appends.map((records) => records.map(({ daemonId }) => daemonId))).toEqual([['a', 'b']]);
  });

  test('interim counts are stored only for a daemon that was killed', async () => {
    const { appends, batch } = createBatch(8);
    batch.addInterim([createCounts('killed', 7, 4), createCounts('a', 7, 2)]);
    batch.addInterim([createCounts('killed', 7, 5), createCounts('b', 8), createCounts('old', 1)]);
    await batch.addFinal([createCounts('a', 7, 3)]);
    expect(appends[0]?.map(({ counts: { shop }, daemonId }) => [daemonId, shop]))
      .toEqual([['a', 3], ['killed', 5]]);
  });

  test('interim counts are kept if the append fails', async () => {
    const { appends, batch, setOutcome } = createBatch(8);
    batch.addInterim([createCounts('killed', 7)]);
    setOutcome(false);
    expect(await batch.addFinal([createCounts('a', 7)])).toBe(false);
    setOutcome(true);
    await batch.addFinal([createCounts('a', 7)]);
    expect(appends[1]?.map(({ daemonId }) => daemonId)).toEqual(['a', 'killed']);
  });

  test('a daemon whose relay fails appends its own counts', async () => {
    const appended: unknown[] = [];
    const choice = Routing.createRelayChoice(
      Core.createManualClock(),
      {
        address: 'me:1', daemonId: 'd', dataCentre: 'a', regionDataCentres: ['a'],
      },
    );
    choice.setRelays({ a: ['p:1'] });
    const { handOver } = Routing.createCountsHandOver({
      choice,
      client: {
        handOver: () => Effect.fail(new Routing.RelayUnavailable({ detail: 'silent' })),
      },
      computeCurrentWindow: () => 8,
      countsLog: {
        append: (records) => Effect.sync(() => {
          appended.push(...records);
          return 0;
        }),
      },
      logger: Core.createLogger('silent', {}),
    });
    expect(await handOver([counts])).toBe(true);
    expect(appended).toEqual([counts]);
  });
});
