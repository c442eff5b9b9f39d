/** Long exploration of the claim machines: `npm run explore:once -- --seed N --runs N`. */
import * as FastCheck from 'fast-check';
import yargs from 'yargs';
import * as OnceModel from './unit/OnceModel.js';

const { runs, seed } = await yargs(process.argv.slice(2))
  .options({
    runs: { default: 100_000, type: 'number' },
    seed: { default: 1, type: 'number' },
  })
  .strict()
  .parse();

const startMs = performance.now();
const found = FastCheck.check(FastCheck.property(OnceModel.onceSchedule, (steps) => (
  OnceModel.findOnceViolations(OnceModel.ONCE_RULES, steps).length === 0
)), { numRuns: runs, seed });
const [steps] = found.counterexample ?? [undefined];
process.stdout.write(`${JSON.stringify({
  counterexample: steps,
  elapsedMs: Math.round(performance.now() - startMs),
  runs: found.numRuns,
  seed,
  violations: steps === undefined
    ? []
    : OnceModel.findOnceViolations(OnceModel.ONCE_RULES, steps),
})}\n`);
process.exitCode = found.failed ? 1 : 0;
