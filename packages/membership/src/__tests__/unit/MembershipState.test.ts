import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as Membership from '../../index.js';

const { describe, expect, test } = Vitest;

const SEED = 20_261_204;
const NAMES = ['d0', 'd1', 'd2', 'd3', 'd4'];

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

function buildStatements(
  sender: Membership.Member,
  members: readonly Membership.Member[] = [],
): Membership.Statements {
  return {
    dataCentres: [], members, regions: [], sender,
  };
}

const anyMember = fc.record({
  address: fc.constantFrom('a:1', 'b:1'),
  daemonId: fc.constantFrom(...NAMES),
  dataCentre: fc.constant('dc'),
  incarnation: fc.constantFrom('1-a', '2-a', '2-b', '10-a'),
  region: fc.constant('r'),
  sequence: fc.nat({ max: 4 }),
  status: fc.constantFrom(1, 2, 3),
}).map((member) => ({
  // One daemon states one address in one incarnation.
  ...member, address: `${member.daemonId}-${member.incarnation}:1`,
}));

const anyStatements = fc.array(anyMember, { maxLength: 30, minLength: 1 });

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
    Membership.applyStatements(state, buildStatements(buildMember('peer'), [member]), 0, rules)
  ), Membership.createMembershipState(buildMember('self')));
}

/** Delivers the same statements in two orders, one of them with repetitions. */
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

describe('the merge of statements', () => {
  test('converges after any loss, repetition and order of messages', () => {
    fc.assert(
      fc.property(anyStatements, fc.array(fc.nat()), (stated, order) => (
        isConvergent(stated, order)
      )),
      { numRuns: 1_000, seed: SEED },
    );
  });

  test.each([
    { isNewer: () => true, name: 'the last message to arrive wins' },
    {
      isNewer: (stated: Membership.Member, known: Membership.Member) => (
        stated.sequence > known.sequence
      ),
      name: 'the sequence counts without the incarnation',
    },
    {
      isNewer: (stated: Membership.Member, known: Membership.Member) => (
        Membership.compareStatements(stated, known) > 0
      ),
      name: 'the status does not decide between equal sequences',
    },
    {
      isNewer: (stated: Membership.Member, known: Membership.Member) => (
        `${stated.incarnation}/${stated.sequence}/${stated.status}`
          > `${known.incarnation}/${known.sequence}/${known.status}`
          || stated.incarnation === '2-b'
      ),
      name: 'one incarnation always wins',
    },
  ])('the property notices that $name', ({ isNewer }) => {
    const result = fc.check(
      fc.property(anyStatements, fc.array(fc.nat()), (stated, order) => (
        isConvergent(stated, order, { isNewer })
      )),
      { endOnFailure: true, numRuns: 2_000, seed: SEED },
    );
    expect(result.failed).toBe(true);
  });

  test('no message of an old incarnation has an effect', () => {
    fc.assert(fc.property(anyMember, anyStatements, (sender, members) => {
      const known = { ...sender, incarnation: '20-a', sequence: 0 };
      const state = Membership.applyStatements(
        Membership.createMembershipState(buildMember('self')),
        buildStatements(known),
        0,
      );
      expect(Membership.applyStatements(state, buildStatements(sender, members), 1)).toBe(state);
      const passedOn = buildStatements(buildMember('peer'), [sender]);
      expect(Membership.applyStatements(state, passedOn, 1).members.get(sender.daemonId))
        .toEqual({ heardMs: 0, member: known });
    }), { numRuns: 500, seed: SEED });
  });

  test('a daemon that is called lost speaks again with a greater sequence', () => {
    const self = buildMember('self', '5-a', 7);
    const state = Membership.applyStatements(
      Membership.createMembershipState(self),
      buildStatements(buildMember('peer'), [{ ...self, status: Membership.STATUS.lost }]),
      0,
    );
    expect(state.self).toEqual({ ...self, sequence: 8 });
  });

  test('a member of another region is not kept', () => {
    const state = Membership.applyStatements(
      Membership.createMembershipState(buildMember('self')),
      buildStatements({ ...buildMember('far'), region: 'other' }),
      0,
    );
    expect(state.members.size).toBe(0);
  });
});

describe('the choice of relays', () => {
  test('is the same for all members of a data centre that see the same view', () => {
    const anyView = fc.uniqueArray(fc.string({ maxLength: 6, minLength: 1 }), { minLength: 1 });
    fc.assert(fc.property(anyView, (names) => {
      const members = names.map((name) => buildMember(name));
      const choices = members.map((self) => {
        const others = members.filter((member) => member !== self);
        const state = Membership.applyStatements(
          Membership.createMembershipState(self),
          buildStatements(others[0] ?? self, others),
          0,
        );
        return Membership.chooseOwnRelays(state).map(({ daemonId }) => daemonId).join();
      });
      expect(new Set(choices).size).toBe(1);
    }), { numRuns: 300, seed: SEED });
  });

  test('leaves out daemons that are leaving or lost', () => {
    const members = NAMES.map((name) => buildMember(name));
    const [first] = Membership.chooseRelays('dc', members);
    const without = (status: number): readonly string[] => Membership.chooseRelays(
      'dc',
      members.map((member) => (
        member.daemonId === first?.daemonId ? { ...member, status } : member
      )),
    ).map(({ daemonId }) => daemonId);
    expect(without(Membership.STATUS.leaving)).not.toContain(first?.daemonId);
    expect(without(Membership.STATUS.lost)).toHaveLength(Membership.RELAY_COUNT);
  });
});
