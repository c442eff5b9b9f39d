import * as FastCheck from 'fast-check';
import * as Vitest from 'vitest';
import * as OnceModel from './OnceModel.js';
import * as OnceMutants from './OnceMutants.js';

const { describe, expect, test } = Vitest;

const SEED = 20_261_204;
const RUNS = 3_000;
const MUTANT_RUNS = 60_000;

describe('claims under generated interleavings', () => {
  test('no key runs twice, "not run" is true, answers match, ended claims free their key', () => {
    FastCheck.assert(FastCheck.property(OnceModel.onceSchedule, (steps) => {
      expect(OnceModel.findOnceViolations(OnceModel.ONCE_RULES, steps)).toEqual([]);
    }), { numRuns: RUNS, seed: SEED });
  });

  test.each(OnceMutants.ONCE_MUTANTS)('catches the weakened rule: $rule', (mutant) => {
    const rules = { ...OnceModel.ONCE_RULES, ...mutant.rules };
    const found = FastCheck.check(FastCheck.property(OnceModel.onceSchedule, (steps) => (
      !OnceModel.findOnceViolations(rules, steps).some((text) => mutant.violation.test(text))
    )), { endOnFailure: true, numRuns: MUTANT_RUNS, seed: SEED });
    const [steps] = found.counterexample ?? [[]];
    expect(OnceModel.findOnceViolations(rules, steps).join('\n')).toMatch(mutant.violation);
  });
});
