/**
 * Runs the lease properties for longer: `npm run explore:leases -- --seed N --runs N`. Prints one
 * JSON line with the counts and with the run that caught each mutant. If a property fails, prints a
 * counterexample too and exits with status 1.
 */
import * as fc from 'fast-check';
import * as util from 'node:util';
import * as environments from './environments.js';
import * as LeaseSimulation from './LeaseSimulation.js';
import * as mutants from './mutants.js';

const { values } = util.parseArgs({
  options: {
    runs: { default: '2000', type: 'string' }, seed: { default: '1', type: 'string' },
  },
});
const seed = Number(values.seed);
const numRuns = Number(values.runs);

const totals = { acceptedOrders: 0, holders: 0, runs: 0 };
const result = fc.check(fc.property(environments.environment, (environment) => {
  const { acceptedOrders, holders, violations } = LeaseSimulation.runSimulation(environment);
  totals.acceptedOrders += acceptedOrders;
  totals.holders += holders;
  totals.runs += 1;
  return violations.length === 0;
}), { endOnFailure: true, numRuns, seed });
const counterexample = result.counterexample === null
  ? undefined
  : {
    environment: { ...result.counterexample[0], choices: result.counterexample[0].choices.length },
    violations: LeaseSimulation.runSimulation(result.counterexample[0]).violations,
  };
const caught = mutants.MUTANTS.map(({ expected, name, rules }) => {
  const check = fc.check(fc.property(environments.environment, (environment) => (
    LeaseSimulation.runSimulation(environment, rules).violations
      .every(({ kind }) => !expected.includes(kind))
  )), { endOnFailure: true, numRuns, seed });
  return { caughtInRun: check.failed ? check.numRuns : null, name };
});
process.stdout.write(`${JSON.stringify({
  ...totals, failed: result.failed, mutants: caught, seed,
})}\n`);
if (counterexample !== undefined) {
  process.stdout.write(`${JSON.stringify(counterexample)}\n`);
  process.exitCode = 1;
}
