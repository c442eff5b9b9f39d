import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as environments from '../simulation/environments.js';
import * as LeaseSimulation from '../simulation/LeaseSimulation.js';
import * as mutants from '../simulation/mutants.js';

const { describe, expect, test } = Vitest;

const SEED = 20_261_204;
const RUNS = 300;
/** More runs than any mutant needed to be caught with SEED. */
const MUTANT_RUNS = 3_000;

describe('leases under pauses, losses, duplicates, delays, restarts and drifting clocks', () => {
  test('no order is accepted while two processes consider themselves the holder', () => {
    const totals = { acceptedOrders: 0, holders: 0 };
    fc.assert(fc.property(environments.environment, (environment) => {
      const { acceptedOrders, holders, violations } = LeaseSimulation.runSimulation(environment);
      totals.acceptedOrders += acceptedOrders;
      totals.holders += holders;
      expect(violations).toEqual([]);
    }), { numRuns: RUNS, seed: SEED });
    // Without orders and without changes of the holder the property would hold trivially.
    expect(totals.acceptedOrders).toBeGreaterThan(RUNS);
    expect(totals.holders).toBeGreaterThan(2 * RUNS);
  });

  test.each(mutants.MUTANTS)('the properties catch that $name', ({ expected, rules }) => {
    const result = fc.check(fc.property(environments.environment, (environment) => {
      const { violations } = LeaseSimulation.runSimulation(environment, rules);
      return violations.every(({ kind }) => !expected.includes(kind));
    }), { endOnFailure: true, numRuns: MUTANT_RUNS, seed: SEED });
    expect(result.failed).toBe(true);
  });
});
