/**
 * Runs the model of the readers with other seeds and more runs than the unit test:
 * `npm run explore:config -- --seed N --runs N`. Exits with status 0 if no violation was found,
 * 1 if one was found, and 2 for invalid arguments.
 */
import * as util from 'node:util';
import * as fc from 'fast-check';
import * as ReaderModel from './support/ReaderModel.js';

const { values } = util.parseArgs({
  options: {
    runs: { default: '20000', type: 'string' }, seed: { default: '1', type: 'string' },
  },
});
const seed = Number(values.seed);
const numRuns = Number(values.runs);

if (!Number.isInteger(seed) || !Number.isInteger(numRuns) || numRuns < 1) {
  process.stderr.write('usage: explore:config -- --seed INTEGER --runs POSITIVE_INTEGER\n');
  process.exitCode = 2;
} else {
  const counts = new Map<string, number>();
  const result = fc.check(fc.property(ReaderModel.steps, (schedule) => {
    schedule.forEach(({ _tag }) => counts.set(_tag, (counts.get(_tag) ?? 0) + 1));
    return ReaderModel.runSchedule(schedule).length === 0;
  }), { numRuns, seed });
  process.stdout.write(`${JSON.stringify({
    failed: result.failed,
    runs: result.numRuns,
    seed,
    steps: Object.fromEntries(counts),
    counterexample: result.counterexample ?? undefined,
  })}\n`);
  process.exitCode = result.failed ? 1 : 0;
}
