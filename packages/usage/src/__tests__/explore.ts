/** Runs the usage properties for longer: `npm run explore:usage -- --seed N --runs N`. */
import * as FastCheck from 'fast-check';
import yargs from 'yargs';
import * as UsageModel from './unit/UsageModel.js';

const { runs, seed } = await yargs(process.argv.slice(2))
  .options({
    runs: { default: 100_000, type: 'number' },
    seed: { default: 1, type: 'number' },
  })
  .strict()
  .parse();

const startMs = performance.now();
const found = FastCheck.check(FastCheck.property(FastCheck.oneof(
  UsageModel.usageSchedule,
  UsageModel.lossySchedule,
), (steps) => (
  UsageModel.findUsageViolations(UsageModel.USAGE_RULES, steps).length === 0
)), { numRuns: runs, seed });
const [steps] = found.counterexample ?? [undefined];
process.stdout.write(`${JSON.stringify({
  counterexample: steps,
  elapsedMs: Math.round(performance.now() - startMs),
  runs: found.numRuns,
  seed,
  violations: steps === undefined
    ? []
    : UsageModel.findUsageViolations(UsageModel.USAGE_RULES, steps),
})}\n`);
process.exitCode = found.failed ? 1 : 0;
