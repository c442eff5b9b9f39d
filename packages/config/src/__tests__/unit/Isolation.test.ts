import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as Config from '../../index.js';
import * as IsolationModel from '../support/IsolationModel.js';

const { describe, expect, test } = Vitest;

const SEED = 20_261_204;
const RUNS = 2_000;
const MUTANT_RUNS = 20_000;

interface Mutant {
  readonly name: string;
  readonly rules: Partial<IsolationModel.IsolationRules>;
}

const MUTANTS: readonly Mutant[] = [
  {
    name: 'a peer vouches for a daemon that has not received what the peer read',
    rules: { getVouchedOffset: () => -1 },
  },
  {
    name: 'the age is counted from the arrival of the digest',
    rules: { getReferenceMs: (_, arrivalMs) => arrivalMs },
  },
  {
    name: 'a read counts from its answer',
    rules: { getContactMs: (_, answeredMs) => answeredMs },
  },
  {
    name: 'a peer passes a contact on without its age',
    rules: { getAgeMs: () => 0 },
  },
];

describe('the isolation rule', () => {
  test('accepts no withdrawn key after the bound, whatever is late, repeated or lost', () => {
    let accepted = 0;
    fc.assert(fc.property(IsolationModel.steps, (schedule) => {
      const run = IsolationModel.runIsolation(schedule);
      accepted += run.acceptedAfterWithdrawal;
      return run.violations === 0;
    }), { numRuns: RUNS, seed: SEED });
    // Guards against a model in which the rule refuses everything.
    expect(accepted).toBeGreaterThan(RUNS);
  });

  test.each(MUTANTS)('the property notices that $name', ({ rules }) => {
    const result = fc.check(fc.property(IsolationModel.steps, (schedule) => (
      IsolationModel.runIsolation(
        schedule,
        { ...IsolationModel.ISOLATION_RULES, ...rules },
      ).violations === 0
    )), { endOnFailure: true, numRuns: MUTANT_RUNS, seed: SEED });
    expect(result.failed).toBe(true);
  });

  test('refuses before the first contact and from the bound on', () => {
    const input = {
      configOffset: 4, isolationMs: 10, nowMs: 0, own: undefined, vouched: [],
    };
    expect(Config.checkIsolation(input)).toEqual({ _tag: 'Isolated', sinceMs: undefined });
    const own = { contactMs: 0, offset: 4 };
    expect(Config.checkIsolation({ ...input, nowMs: 9, own }))
      .toEqual({ _tag: 'Connected', untilMs: 10 });
    expect(Config.checkIsolation({ ...input, nowMs: 10, own }))
      .toEqual({ _tag: 'Isolated', sinceMs: 10 });
  });
});
