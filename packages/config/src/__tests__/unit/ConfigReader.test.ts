import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as ReaderModel from '../support/ReaderModel.js';

const { describe, expect, test } = Vitest;

/** Fixed so that the verdict does not depend on chance; `explore:config` uses other seeds. */
const SEED = 20_261_204;
const RUNS = 400;
/** A weakened rule may need a rare schedule, so it gets more runs; most fall within a hundred. */
const MUTANT_RUNS = 5_000;

interface Mutant {
  readonly name: string;
  readonly breaks: ReaderModel.Property;
  readonly weakening: ReaderModel.Weakening;
}

const MUTANTS: readonly Mutant[] = [
  {
    breaks: 'only-first-edit',
    name: 'any edit of an earlier base wins as well',
    weakening: { rules: { isInTurn: (state, base) => base <= state.version } },
  },
  {
    breaks: 'only-first-edit',
    name: 'a repeated record counts again',
    weakening: { rules: { isRepeated: () => false } },
  },
  {
    breaks: 'only-first-edit',
    name: 'a snapshot leaves out the record ids',
    weakening: {
      mapSnapshot: (body) => ({ ...body, state: { ...body.state, seen: [] } }),
    },
  },
  {
    breaks: 'no-step-back',
    name: 'an older snapshot or peer state is adopted',
    weakening: { rules: { canAdopt: () => true } },
  },
  {
    breaks: 'agreement',
    name: 'entries are applied across a hole',
    weakening: { rules: { canFollow: () => true } },
  },
  {
    breaks: 'catch-up',
    name: 'entries behind a gap are dropped',
    weakening: { rules: { canKeep: () => false } },
  },
  {
    breaks: 'no-return-of-a-key',
    name: 'a repeated issue revives a withdrawn key',
    weakening: { rules: { canIssue: () => true } },
  },
  {
    breaks: 'no-return-of-a-key',
    name: 'a withdrawal before the issue is dropped',
    weakening: { rules: { canWithdrawUnknown: () => false } },
  },
  {
    breaks: 'no-return-of-a-key',
    name: 'a snapshot leaves out withdrawn keys',
    weakening: {
      mapSnapshot: (body) => ({
        ...body,
        state: { ...body.state, keys: body.state.keys.filter(({ withdrawn }) => !withdrawn) },
      }),
    },
  },
];

describe('readers of the configuration stream', () => {
  test('agree at each offset and never go back, whatever the interleaving', () => {
    fc.assert(fc.property(ReaderModel.steps, (schedule) => {
      expect(ReaderModel.runSchedule(schedule)).toEqual([]);
    }), { numRuns: RUNS, seed: SEED });
  });

  test.each(MUTANTS)('the property $breaks notices that $name', ({ breaks, weakening }) => {
    const result = fc.check(fc.property(ReaderModel.steps, (schedule) => (
      !ReaderModel.runSchedule(schedule, weakening).some(({ property }) => property === breaks)
    )), { endOnFailure: true, numRuns: MUTANT_RUNS, seed: SEED });
    expect(result.failed).toBe(true);
  });
});
