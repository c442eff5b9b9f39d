/** Measuring command: runs a case under the scheduler and the baselines and prints the measures. */
import * as fs from 'node:fs/promises';
import * as Either from 'effect/Either';
import yargs from 'yargs';
import * as CaseFile from './CaseFile.js';
import * as Measures from './Measures.js';
import * as Policy from './Policy.js';
import * as Random from './Random.js';
import * as Run from './Run.js';

const EXIT_BAD_INPUT = 2;

function measureCase(
  { case: one, deployment }: CaseFile.LoadedCase,
  seed: number,
): readonly Measures.Measures[] {
  return [
    Policy.createSchedulerPolicy(deployment, Random.createDraws(seed + 2).uniform),
    Policy.createFirstComePolicy(),
    Policy.createRoundRobinPolicy(),
  ].map((policy) => Measures.computeMeasures(
    deployment,
    Run.runCase(deployment, one, seed, policy),
  ));
}

function refuseInput(problem: string): void {
  process.stderr.write(`${problem}\n`);
  process.exitCode = EXIT_BAD_INPUT;
}

async function run(): Promise<void> {
  const args = await yargs(process.argv.slice(2))
    .usage('Measure the decisions in virtual time beside plain baselines.')
    .option('case', { describe: 'deployment/case, or "all"', type: 'string', demandOption: true })
    .option('seed', { describe: "seed; the file's seeds when left out", type: 'number' })
    .option('json', { describe: 'file to write the measures to', type: 'string' })
    .strict()
    .parse();
  const loaded = await CaseFile.loadCases();
  if (Either.isLeft(loaded)) {
    refuseInput(loaded.left.message);
    return;
  }
  const names = args.case === 'all' ? [...loaded.right.keys()] : [args.case];
  const unknown = names.find((name) => !loaded.right.has(name));
  if (unknown !== undefined) {
    refuseInput(`case ${unknown} does not exist; known: ${[...loaded.right.keys()].join(', ')}`);
    return;
  }
  const results = names.flatMap((name) => {
    const one = loaded.right.get(name) as CaseFile.LoadedCase;
    const seeds = args.seed === undefined ? one.deployment.seeds : [args.seed];
    return seeds.map((seed) => {
      const measures = measureCase(one, seed);
      process.stdout.write(`${Measures.formatMeasures(`${name} seed ${seed}`, measures)}\n\n`);
      return { case: name, measures, seed };
    });
  });
  if (args.json !== undefined) {
    await fs.writeFile(args.json, `${JSON.stringify(results, undefined, 2)}\n`);
  }
}

await run();
