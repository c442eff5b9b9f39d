import * as Config from '@berylyoke/config';
import * as Log from '@berylyoke/log';
import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as Membership from '../../index.js';
import * as FakeFleet from '../support/FakeFleet.js';

const { describe, expect, test } = Vitest;

/** Number of intervals within which a fleet of the tested sizes must converge. */
const SETTLE_INTERVALS = 30;

function startSmallFleet(): FakeFleet.FakeFleet {
  const ids = ['a0', 'a1', 'b0', 'b1', 'c0', 'c1', 'd0', 'd1'];
  const fleet = FakeFleet.createFakeFleet(ids.map((id) => `${id}:1`));
  ids.forEach((id) => fleet.start(id, `dc-${id[0]}`, 'r'));
  return fleet;
}

function startDataCentre(size: number): FakeFleet.FakeFleet {
  const fleet = FakeFleet.createFakeFleet(['m0:1', 'm1:1']);
  Array.from({ length: size }, (_, i) => fleet.start(`m${i}`, 'dc', 'r'));
  return fleet;
}

function listStatuses(daemon: FakeFleet.FakeDaemon): Readonly<Record<string, number>> {
  return Object.fromEntries(daemon.membership.getView().localMembers.map((
    { daemonId, status },
  ) => [daemonId, status]));
}

function buildEntry(offset: number): Log.LogEntry {
  const body = { account: 'a', digest: 'd', keyId: `key${100_000 + offset}` };
  const record = Log.createRecord(
    { daemonId: 'w', incarnation: '1-a' },
    Config.CONFIG_KINDS.keyIssue,
    body,
  );
  return { offset, records: [record], timestampMs: 0 };
}

/** Applies an entry to a daemon as if it had just read the log. */
function applyLogEntry(
  daemon: FakeFleet.FakeDaemon,
  fleet: FakeFleet.FakeFleet,
  offset: number,
): void {
  daemon.store.applyEvent({
    _tag: 'entries', afterOffset: offset - 1, entries: [buildEntry(offset)],
  });
  daemon.store.recordContact(fleet.clock.readMonotonic());
}

describe('membership of eight daemons in four data centres', () => {
  test('every daemon learns the whole region, and summaries count each daemon once', () => {
    const fleet = startSmallFleet();
    fleet.daemons.forEach(({ membership }) => membership.registerValue('load', () => 3));
    fleet.run(SETTLE_INTERVALS);
    fleet.daemons.forEach(({ membership }) => {
      const view = membership.getView();
      expect(view.localMembers).toHaveLength(2);
      expect(view.dataCentres.map(({ live }) => live)).toEqual([2, 2, 2, 2]);
      expect(view.dataCentres.map(({ values }) => values.load)).toEqual([6, 6, 6, 6]);
      expect(view.regions.map(({ live, scope, values }) => [scope, live, values.load]))
        .toEqual([['r', 8, 24]]);
      expect(membership.getCounts().openedStreams).toBeLessThanOrEqual(4);
    });
  });

  // Guards against daemons that open streams to each other at the same time and then learn the
  // address of the other one, but not its summary.
  test('two data centres learn of each other when answers take longer than an interval', () => {
    const fleet = FakeFleet.createFakeFleet(['a0:1', 'b0:1'], { delayIntervals: 1 });
    ['a0', 'b0'].forEach((id) => fleet.start(id, `dc-${id[0]}`, 'r'));
    fleet.run(SETTLE_INTERVALS);
    fleet.daemons.forEach(({ membership }) => {
      expect(membership.getView().dataCentres.map(({ live }) => live)).toEqual([1, 1]);
    });
  });

  test('an announced stop reaches the other member before its next interval', () => {
    const fleet = startSmallFleet();
    fleet.run(SETTLE_INTERVALS);
    fleet.get('a0').membership.announceLeaving();
    fleet.deliver();
    expect(listStatuses(fleet.get('a1')).a0).toBe(Membership.STATUS.leaving);
    expect(fleet.get('a1').membership.getView().relays).toEqual(['a1']);
  });

  test('a new incarnation replaces the old one, whose messages are ignored', () => {
    const fleet = startSmallFleet();
    fleet.run(SETTLE_INTERVALS);
    const old = fleet.get('a0');
    fleet.start('a0', 'dc-a', 'r', '2-a');
    fleet.run(4);
    const { membership } = fleet.get('a1');
    old.membership.runHeartbeat();
    fleet.deliver();
    const found = membership.getView().localMembers.find(({ daemonId }) => daemonId === 'a0');
    expect(found?.incarnation).toBe('2-a');
    expect(['1-a', '2-a'].map((incarnation) => (
      membership.isReplaced({ daemonId: 'a0', incarnation })
    ))).toEqual([true, false]);
    expect(found?.status).toBe(Membership.STATUS.live);
  });
});

describe('membership of a data centre with twelve daemons', () => {
  test('a member opens streams to both relays, and a relay accepts those of all others', () => {
    const fleet = startDataCentre(12);
    fleet.run(SETTLE_INTERVALS);
    const { relays } = fleet.get('m0').membership.getView();
    fleet.daemons.forEach(({ id, membership }) => {
      const { acceptedStreams, openedStreams } = membership.getCounts();
      expect(membership.getView().relays).toEqual(relays);
      expect(openedStreams).toBe(relays.includes(id) ? 1 : 2);
      expect(acceptedStreams).toBe(relays.includes(id) ? 11 : 0);
    });
  });

  test('lost relays are replaced, also when both are lost at once', () => {
    const fleet = startDataCentre(12);
    fleet.run(SETTLE_INTERVALS);
    const { relays } = fleet.get('m0').membership.getView();
    relays.forEach(fleet.crash);
    fleet.run(SETTLE_INTERVALS);
    const remaining = [...fleet.daemons.values()];
    const chosen = new Set(remaining.map(({ membership }) => membership.getView().relays.join()));
    expect(chosen.size).toBe(1);
    remaining.forEach((daemon) => {
      relays.forEach((relay) => {
        expect(listStatuses(daemon)[relay]).toBe(Membership.STATUS.lost);
      });
    });
  });

  test('a stream that loses all messages is closed and reopened', () => {
    const fleet = startDataCentre(6);
    fleet.run(SETTLE_INTERVALS);
    const { relays } = fleet.get('m0').membership.getView();
    const member = [...fleet.daemons.keys()].find((id) => !relays.includes(id)) ?? '';
    let lostMessages = 0;
    let isSilent = true;
    fleet.setDelivery((...ends) => {
      if (!isSilent || !ends.includes(`${member}:1`)) return 'deliver';
      lostMessages += 1;
      return 'lose';
    });
    fleet.run(10);
    expect(lostMessages).toBeGreaterThan(0);
    expect(listStatuses(fleet.get(relays[0] ?? ''))[member]).toBe(Membership.STATUS.lost);
    isSilent = false;
    fleet.run(SETTLE_INTERVALS);
    expect(listStatuses(fleet.get(relays[0] ?? ''))[member]).toBe(Membership.STATUS.live);
    expect(fleet.get(member).membership.getView().relays).toEqual(relays);
    expect(fleet.get(relays[0] ?? '').membership.getCounts().acceptedStreams).toBe(5);
  });

  // Guards against a lost relay that is never probed again because a summary still names it.
  test('two daemons that marked each other as lost reconnect', () => {
    const fleet = startDataCentre(2);
    fleet.run(SETTLE_INTERVALS);
    fleet.setDelivery(() => 'lose');
    fleet.run(10);
    expect(listStatuses(fleet.get('m0'))).toEqual({ m0: 1, m1: Membership.STATUS.lost });
    fleet.setDelivery(() => 'deliver');
    fleet.run(6);
    fleet.daemons.forEach((daemon) => expect(listStatuses(daemon)).toEqual({ m0: 1, m1: 1 }));
  });

  test('views converge after any loss and repetition of messages', () => {
    const anyDeliveries = fc.array(
      fc.constantFrom<FakeFleet.Delivery>('deliver', 'lose', 'repeat'),
      { minLength: 1 },
    );
    fc.assert(fc.property(anyDeliveries, fc.nat({ max: 20 }), (deliveries, intervals) => {
      const fleet = startDataCentre(5);
      let next = 0;
      fleet.setDelivery(() => {
        next += 1;
        return deliveries[next % deliveries.length] ?? 'deliver';
      });
      fleet.run(intervals);
      fleet.setDelivery(() => 'deliver');
      fleet.run(SETTLE_INTERVALS);
      const live = {
        m0: 1, m1: 1, m2: 1, m3: 1, m4: 1,
      };
      fleet.daemons.forEach((daemon) => expect(listStatuses(daemon)).toEqual(live));
    }), { numRuns: 60, seed: 20_261_204 });
  });

  test('payloads reach the relays, and those above the size limit are dropped', () => {
    const fleet = startDataCentre(6);
    const bytes = Uint8Array.from([1, 2, 3]);
    fleet.daemons.forEach(({ membership }) => {
      membership.registerPayload('usage', { build: () => bytes });
      membership.registerPayload('large', {
        build: () => new Uint8Array(Membership.PAYLOADS_MAX_BYTES),
      });
    });
    fleet.run(SETTLE_INTERVALS);
    const { relays } = fleet.get('m0').membership.getView();
    const reports = fleet.get(relays[0] ?? '').membership.listReports();
    expect(reports.size).toBe(5);
    reports.forEach(({ parts }) => expect(parts).toEqual({ usage: bytes }));
    expect(fleet.get('m0').membership.getCounts().droppedParts).toBeGreaterThan(0);
  });
});

describe('heartbeat payloads', () => {
  // Guards against the loss of usage counters of a daemon that ended before appending them to the
  // log: a relay must receive the payload and be notified when the daemon is lost or replaced.
  test('a relay receives payloads and is notified when a member is lost or replaced', () => {
    const fleet = startDataCentre(4);
    const events: string[] = [];
    const { relays } = fleet.get('m0').membership.getView();
    expect(relays).toEqual(['m0']);
    fleet.daemons.forEach(({ id, membership }) => {
      membership.registerPayload('usage', {
        build: () => Uint8Array.from([Number(id[1])]),
        onLost: ({ daemonId, incarnation }) => events.push(
          `${id} lost ${daemonId} ${incarnation}`,
        ),
        onReport: ({ daemonId }, bytes) => events.push(`${id} received ${daemonId} ${bytes[0]}`),
      });
    });
    fleet.run(SETTLE_INTERVALS);
    const [relay = ''] = fleet.get('m0').membership.getView().relays;
    const [crashed = '', replaced = ''] = [...fleet.daemons.keys()]
      .filter((id) => !fleet.get('m0').membership.getView().relays.includes(id));
    expect(events).toContain(`${relay} received ${crashed} ${crashed[1]}`);
    expect(events.filter((line) => line.includes('lost'))).toEqual([]);
    fleet.crash(crashed);
    fleet.crash(replaced);
    fleet.start(replaced, 'dc', 'r', '2-a');
    fleet.run(SETTLE_INTERVALS);
    expect(events).toContain(`${relay} lost ${crashed} 1-a`);
    expect(events).toContain(`${relay} lost ${replaced} 1-a`);
    expect(events.filter((line) => line.startsWith(`${relay} lost`))).toHaveLength(2);
  });
});

describe('configuration over relays', () => {
  test('members get entries at once from relays, do not read the log and stay connected', () => {
    const fleet = startDataCentre(6);
    fleet.run(SETTLE_INTERVALS);
    const { relays } = fleet.get('m0').membership.getView();
    const members = [...fleet.daemons.values()].filter(({ id }) => !relays.includes(id));
    relays.forEach((id) => applyLogEntry(fleet.get(id), fleet, 0));
    fleet.run(2);
    members.forEach(({ membership, store }) => {
      expect(store.checkIsolation()._tag).toBe('Connected');
      expect(membership.isTailNeeded()).toBe(false);
    });
    relays.forEach((id) => applyLogEntry(fleet.get(id), fleet, 1));
    fleet.deliver();
    members.forEach(({ store }) => expect(store.getState().offset).toBe(1));
    expect(fleet.get(relays[0] ?? '').membership.isTailNeeded()).toBe(true);
  });

  // Guards against members that keep relying on relays that have lost contact with the log.
  test('members read the log themselves when the relays have no recent contact with it', () => {
    const fleet = startDataCentre(6);
    fleet.run(SETTLE_INTERVALS);
    const { relays } = fleet.get('m0').membership.getView();
    relays.forEach((id) => applyLogEntry(fleet.get(id), fleet, 0));
    fleet.run(2);
    fleet.run(FakeFleet.TIMING.suspectMs / FakeFleet.TIMING.heartbeatMs);
    fleet.daemons.forEach(({ membership }) => expect(membership.isTailNeeded()).toBe(true));
  });

  test('a new daemon gets a full snapshot when relays no longer keep the entries', () => {
    const fleet = startDataCentre(4);
    fleet.run(SETTLE_INTERVALS);
    const { relays } = fleet.get('m0').membership.getView();
    Array.from({ length: 600 }, (_, offset) => offset).forEach((offset) => {
      relays.forEach((id) => applyLogEntry(fleet.get(id), fleet, offset));
    });
    fleet.run(2);
    const lateDaemon = fleet.start('late', 'dc', 'r');
    fleet.run(SETTLE_INTERVALS);
    expect(Config.buildSnapshot(lateDaemon.store.getState()))
      .toEqual(Config.buildSnapshot(fleet.get(relays[0] ?? '').store.getState()));
    expect(lateDaemon.store.isReady()).toBe(true);
  });

  test('a lost configuration update is sent again', () => {
    const fleet = startDataCentre(4);
    fleet.run(SETTLE_INTERVALS);
    const { relays } = fleet.get('m0').membership.getView();
    fleet.setDelivery(() => 'lose');
    relays.forEach((id) => applyLogEntry(fleet.get(id), fleet, 0));
    fleet.deliver();
    fleet.setDelivery(() => 'deliver');
    fleet.run(2);
    fleet.daemons.forEach(({ store }) => expect(store.getState().offset).toBe(0));
  });
});

describe('two regions', () => {
  test('exchange region summaries but no members', () => {
    const ids = ['a0', 'a1', 'b0', 'b1'];
    const fleet = FakeFleet.createFakeFleet(ids.map((id) => `${id}:1`));
    ids.forEach((id) => fleet.start(id, `dc-${id[0]}`, `r-${id[0]}`));
    fleet.run(SETTLE_INTERVALS);
    fleet.daemons.forEach(({ id, membership }) => {
      const view = membership.getView();
      expect(view.regions.map(({ live, scope }) => [scope, live]))
        .toEqual([['r-a', 2], ['r-b', 2]]);
      expect(view.localMembers.map(({ daemonId }) => daemonId[0])).toEqual([id[0], id[0]]);
      expect(view.dataCentres.map(({ scope }) => scope)).toEqual([`dc-${id[0]}`]);
    });
  });
});
