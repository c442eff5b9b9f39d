import * as FastCheck from 'fast-check';
import * as Vitest from 'vitest';
import * as UsageModel from './UsageModel.js';
import * as UsageMutants from './UsageMutants.js';

const { describe, expect, test } = Vitest;

const SEED = 20_261_204;
const RUNS = 2_000;
const MUTANT_RUNS = 20_000;

describe('usage under generated interleavings', () => {
  test('each window is reported with one set of figures, and all usage is reported once', () => {
    FastCheck.assert(FastCheck.property(UsageModel.usageSchedule, (steps) => {
      expect(UsageModel.findUsageViolations(UsageModel.USAGE_RULES, steps)).toEqual([]);
    }), { numRuns: RUNS, seed: SEED });
  });

  test('no usage counts twice and no window has two figures while the log drops entries', () => {
    FastCheck.assert(FastCheck.property(UsageModel.lossySchedule, (steps) => {
      expect(UsageModel.findUsageViolations(UsageModel.USAGE_RULES, steps)).toEqual([]);
    }), { numRuns: RUNS, seed: SEED });
  });

  test.each(UsageMutants.USAGE_MUTANTS)('catches the weakened rule: $rule', (mutant) => {
    const rules = { ...UsageModel.USAGE_RULES, ...mutant.rules };
    const schedule = mutant.isLossy === true
      ? UsageModel.lossySchedule
      : UsageModel.usageSchedule;
    const found = FastCheck.check(FastCheck.property(schedule, (steps) => (
      !UsageModel.findUsageViolations(rules, steps).some((text) => mutant.violation.test(text))
    )), { endOnFailure: true, numRuns: MUTANT_RUNS, seed: SEED });
    const [steps] = found.counterexample ?? [[]];
    expect(UsageModel.findUsageViolations(rules, steps).join('\n')).toMatch(mutant.violation);
  });
});
