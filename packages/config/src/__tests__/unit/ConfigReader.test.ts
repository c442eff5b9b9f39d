import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as ReaderModel from '../support/ReaderModel.js';

const { describe, expect, test } = Vitest;

/** Fixed, so that the result is reproducible; `explore:config` accepts other seeds. */
const SEED = 20_261_204;
const RUNS = 400;
/** More runs, as a mutant may need a rare schedule; most are detected within a hundred runs. */
const MUTANT_RUNS = 5_000;

interface Mutant {
  readonly name: string;
  readonly breaks: ReaderModel.Property;
  readonly overrides: ReaderModel.ModelOverrides;
}

const MUTANTS: readonly Mutant[] = [
  {
    breaks: 'only-first-edit',
    name: 'later edits of an earlier base version are accepted',
    overrides: { rules: { isBaseCurrent: (state, base) => base <= state.version } },
  },
  {
    breaks: 'only-first-edit',
    name: 'a duplicate record is applied again',
    overrides: { rules: { isDuplicate: () => false } },
  },
  {
    breaks: 'only-first-edit',
    name: 'a snapshot omits the record ids',
    overrides: {
      mapSnapshot: (body) => ({ ...body, state: { ...body.state, seen: [] } }),
    },
  },
  {
    breaks: 'no-step-back',
    name: 'an older snapshot or peer state is adopted',
    overrides: { rules: { canAdopt: () => true, getSnapshotLowerBound: () => -1 } },
  },
  {
    breaks: 'agreement',
    name: 'entries are applied across a gap',
    overrides: { rules: { canApplyAfter: () => true } },
  },
  {
    breaks: 'catch-up',
    name: 'entries after a gap are dropped',
    overrides: { rules: { canKeepPending: () => false } },
  },
  {
    breaks: 'no-return-of-a-key',
    name: 'a second issue reactivates a withdrawn key',
    overrides: { rules: { canIssue: () => true } },
  },
  {
    breaks: 'no-return-of-a-key',
    name: 'a withdrawal that precedes the issue is dropped',
    overrides: { rules: { canWithdrawUnknown: () => false } },
  },
  {
    breaks: 'no-return-of-a-key',
    name: 'a snapshot omits withdrawn keys',
    overrides: {
      mapSnapshot: (body) => ({
        ...body,
        state: { ...body.state, keys: body.state.keys.filter(({ withdrawn }) => !withdrawn) },
      }),
    },
  },
];

describe('readers of the configuration stream', () => {
  test('agree at each offset and never move to an earlier state, for any interleaving', () => {
    fc.assert(fc.property(ReaderModel.steps, (schedule) => {
      expect(ReaderModel.runSchedule(schedule)).toEqual([]);
    }), { numRuns: RUNS, seed: SEED });
  });

  test.each(MUTANTS)('the property $breaks detects that $name', ({ breaks, overrides }) => {
    const result = fc.check(fc.property(ReaderModel.steps, (schedule) => (
      !ReaderModel.runSchedule(schedule, overrides).some(({ property }) => property === breaks)
    )), { endOnFailure: true, numRuns: MUTANT_RUNS, seed: SEED });
    expect(result.failed).toBe(true);
  });
});
