import * as FastCheck from 'fast-check';
import * as Vitest from 'vitest';
import * as UsageModel from './UsageModel.js';
import * as UsageMutants from './UsageMutants.js';

const { describe, expect, test } = Vitest;

const SEED = 20_261_204;
const RUNS = 2_000;
const MUTANT_RUNS = 20_000;

describe('usage under generated interleavings', () => {
  test('no window has two figures, and all that was counted is reported once', () => {
    FastCheck.assert(FastCheck.property(UsageModel.usageSchedule, (steps) => {
      expect(UsageModel.findUsageViolations(UsageModel.USAGE_RULES, steps)).toEqual([]);
    }), { numRuns: RUNS, seed: SEED });
  });

  test.each(UsageMutants.USAGE_MUTANTS)('catches the weakened rule: $rule', (mutant) => {
    const rules = { ...UsageModel.USAGE_RULES, ...mutant.rules };
    const found = FastCheck.check(FastCheck.property(UsageModel.usageSchedule, (steps) => (
      !UsageModel.findUsageViolations(rules, steps).some((text) => mutant.violation.test(text))
    )), { endOnFailure: true, numRuns: MUTANT_RUNS, seed: SEED });
    const [steps] = found.counterexample ?? [[]];
    expect(UsageModel.findUsageViolations(rules, steps).join('\n')).toMatch(mutant.violation);
  });
});
