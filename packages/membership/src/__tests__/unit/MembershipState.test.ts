import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as Membership from '../../index.js';

const { describe, expect, test } = Vitest;

const SEED = 20_261_204;
const DAEMON_IDS = ['d0', 'd1', 'd2', 'd3', 'd4'];

function buildMember(daemonId: string, incarnation = '1-a', sequence = 1): Membership.Member {
  return {
    address: `${daemonId}:1`,
    daemonId,
    dataCentre: 'dc',
    incarnation,
    region: 'r',
    sequence,
    status: Membership.STATUS.live,
  };
}

function buildUpdate(
  sender: Membership.Member,
  members: readonly Membership.Member[] = [],
): Membership.MembershipUpdate {
  return {
    dataCentres: [], members, regions: [], sender,
  };
}

const anyMember = fc.record({
  address: fc.constantFrom('a:1', 'b:1'),
  daemonId: fc.constantFrom(...DAEMON_IDS),
  dataCentre: fc.constant('dc'),
  incarnation: fc.constantFrom('1-a', '2-a', '2-b', '10-a'),
  region: fc.constant('r'),
  sequence: fc.nat({ max: 4 }),
  status: fc.constantFrom(1, 2, 3),
}).map((member) => ({
  // A daemon has the same address throughout an incarnation.
  ...member, address: `${member.daemonId}-${member.incarnation}:1`,
}));

const anyMembers = fc.array(anyMember, { maxLength: 30, minLength: 1 });

function listMembers(state: Membership.MembershipState): readonly Membership.Member[] {
  return [...state.members.values()]
    .map(({ member }) => member)
    .sort((a, b) => (a.daemonId < b.daemonId ? -1 : 1));
}

function applyAll(
  members: readonly Membership.Member[],
  rules?: Membership.MergeRules,
): Membership.MembershipState {
  return members.reduce((state, member) => (
    Membership.applyUpdate(state, buildUpdate(buildMember('peer'), [member]), 0, rules)
  ), Membership.createMembershipState(buildMember('self')));
}

/**
 * True when the same records, applied in two orders and in one of them with repetitions, give the
 * same members.
 */
function isConvergent(
  stated: readonly Membership.Member[],
  order: readonly number[],
  rules?: Membership.MergeRules,
): boolean {
  const repeated = order.flatMap((index) => stated[index % stated.length] ?? []);
  const first = applyAll([...repeated, ...stated], rules);
  const second = applyAll([...stated].reverse(), rules);
  return JSON.stringify(listMembers(first)) === JSON.stringify(listMembers(second));
}

describe('merging member records', () => {
  test('converges after any loss, repetition and order of messages', () => {
    fc.assert(
      fc.property(anyMembers, fc.array(fc.nat()), (stated, order) => (
        isConvergent(stated, order)
      )),
      { numRuns: 1_000, seed: SEED },
    );
  });

  test.each([
    { isNewer: () => true, name: 'the last received record always wins' },
    {
      isNewer: (stated: Membership.Member, known: Membership.Member) => (
        stated.sequence > known.sequence
      ),
      name: 'the sequence is compared without the incarnation',
    },
    {
      isNewer: (stated: Membership.Member, known: Membership.Member) => (
        Membership.compareVersions(stated, known) > 0
      ),
      name: 'the status is ignored between equal versions',
    },
    {
      isNewer: (stated: Membership.Member, known: Membership.Member) => (
        `${stated.incarnation}/${stated.sequence}/${stated.status}`
          > `${known.incarnation}/${known.sequence}/${known.status}`
          || stated.incarnation === '2-b'
      ),
      name: 'one incarnation always wins',
    },
  ])('the convergence property fails when $name', ({ isNewer }) => {
    const result = fc.check(
      fc.property(anyMembers, fc.array(fc.nat()), (stated, order) => (
        isConvergent(stated, order, { isNewer })
      )),
      { endOnFailure: true, numRuns: 2_000, seed: SEED },
    );
    expect(result.failed).toBe(true);
  });

  test('messages from an old incarnation and forwarded records of it are ignored', () => {
    fc.assert(fc.property(anyMember, anyMembers, (sender, members) => {
      const known = { ...sender, incarnation: '20-a', sequence: 0 };
      const state = Membership.applyUpdate(
        Membership.createMembershipState(buildMember('self')),
        buildUpdate(known),
        0,
      );
      expect(Membership.applyUpdate(state, buildUpdate(sender, members), 1)).toBe(state);
      const passedOn = buildUpdate(buildMember('peer'), [sender]);
      expect(Membership.applyUpdate(state, passedOn, 1).members.get(sender.daemonId))
        .toEqual({ lastUpdateMs: 0, member: known });
    }), { numRuns: 500, seed: SEED });
  });

  test('a daemon that a peer marked as lost raises its sequence above that record', () => {
    const self = buildMember('self', '5-a', 7);
    const state = Membership.applyUpdate(
      Membership.createMembershipState(self),
      buildUpdate(buildMember('peer'), [{ ...self, status: Membership.STATUS.lost }]),
      0,
    );
    expect(state.self).toEqual({ ...self, sequence: 8 });
  });

  test('a member record of another region is not stored', () => {
    const state = Membership.applyUpdate(
      Membership.createMembershipState(buildMember('self')),
      buildUpdate({ ...buildMember('far'), region: 'other' }),
      0,
    );
    expect(state.members.size).toBe(0);
  });
});

describe('choosing relays', () => {
  test('gives the same relays on all members of a data centre with the same records', () => {
    const anyView = fc.uniqueArray(fc.string({ maxLength: 6, minLength: 1 }), { minLength: 1 });
    fc.assert(fc.property(anyView, (names) => {
      const members = names.map((name) => buildMember(name));
      const choices = members.map((self) => {
        const others = members.filter((member) => member !== self);
        const state = Membership.applyUpdate(
          Membership.createMembershipState(self),
          buildUpdate(others[0] ?? self, others),
          0,
        );
        return Membership.chooseLocalRelays(state).map(({ daemonId }) => daemonId).join();
      });
      expect(new Set(choices).size).toBe(1);
    }), { numRuns: 300, seed: SEED });
  });

  test('excludes daemons that are leaving or lost', () => {
    const members = DAEMON_IDS.map((name) => buildMember(name));
    const [first] = Membership.chooseRelays('dc', members);
    const listRelaysWithStatus = (status: number): readonly string[] => Membership.chooseRelays(
      'dc',
      members.map((member) => (
        member.daemonId === first?.daemonId ? { ...member, status } : member
      )),
    ).map(({ daemonId }) => daemonId);
    expect(listRelaysWithStatus(Membership.STATUS.leaving)).not.toContain(first?.daemonId);
    expect(listRelaysWithStatus(Membership.STATUS.lost)).toHaveLength(Membership.RELAY_COUNT);
  });
});
