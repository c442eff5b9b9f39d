/**
 * Command `npm run bench:capacity`: measures each slope at three sizes or more and prints points,
 * fit and noise, from which docs/CAPACITY.md is worked out.
 */
import yargs from 'yargs';
import type * as CapacityCase from './CapacityCase.js';
import * as ConfigCapacity from './ConfigCapacity.js';
import * as Slope from './Slope.js';

const CASES: readonly CapacityCase.CapacityCase[] = [...ConfigCapacity.CONFIG_CASES];

/** A measured case as the table shows it. */
interface MeasuredCase {
  readonly name: string;
  readonly sizeUnit: string;
  readonly costUnit: string;
  readonly points: readonly Slope.Point[];
  readonly fit: Slope.Fit;
  /** Largest spread of the repetitions at one size, as a share of their median. */
  readonly noise: number;
}

async function collect<A, B>(
  items: readonly A[],
  run: (item: A) => Promise<B>,
): Promise<readonly B[]> {
  return items.reduce<Promise<readonly B[]>>(async (before, item) => {
    const results = await before;
    return [...results, await run(item)];
  }, Promise.resolve([]));
}

async function measureCase(
  capacityCase: CapacityCase.CapacityCase,
  repetitions: number,
): Promise<MeasuredCase> {
  // The first run of a size warms up the compiler and does not count.
  const runs = Array.from({ length: repetitions + 1 }, (_, i) => i);
  const measured = await collect(capacityCase.sizes, async (size) => {
    const costs = await collect(runs, () => capacityCase.measure(size));
    const counted = costs.slice(1);
    const cost = Slope.getMedian(counted);
    const spread = (Math.max(...counted) - Math.min(...counted)) / Math.max(Math.abs(cost), 1e-9);
    return { cost, size, spread };
  });
  return {
    costUnit: capacityCase.costUnit,
    fit: Slope.computeFit(measured),
    name: capacityCase.name,
    noise: Math.max(...measured.map(({ spread }) => spread)),
    points: measured.map(({ cost, size }) => ({ cost, size })),
    sizeUnit: capacityCase.sizeUnit,
  };
}

function formatNumber(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

function renderCase({
  costUnit, fit, name, noise, points, sizeUnit,
}: MeasuredCase): string {
  const shown = points.map(({ cost, size }) => `${size}: ${formatNumber(cost)}`).join(', ');
  const cells = [
    name,
    costUnit,
    `${sizeUnit} ${shown}`,
    `${formatNumber(fit.base)} + ${formatNumber(fit.slope)} × ${sizeUnit}`,
    `${(fit.residual * 100).toFixed(0)} %`,
    `${(noise * 100).toFixed(0)} %`,
  ];
  return `| ${cells.join(' | ')} |`;
}

const HEADER = [
  '| case | cost | points | fit | residual | noise |',
  '|---|---|---|---|---|---|',
];

async function runMain(): Promise<void> {
  const options = await yargs(process.argv.slice(2))
    .option('case', { array: true, describe: 'names of cases; all by default', type: 'string' })
    .option('json', { default: false, describe: 'prints JSON', type: 'boolean' })
    .option('repetitions', { default: 5, describe: 'counted runs at each size', type: 'number' })
    .strict()
    .parse();
  const chosen = CASES.filter(({ name }) => options.case === undefined
    || options.case.includes(name));
  const measured = await collect(chosen, (capacityCase) => (
    measureCase(capacityCase, options.repetitions)
  ));
  const lines = options.json
    ? [JSON.stringify(measured)]
    : [...HEADER, ...measured.map(renderCase)];
  process.stdout.write(`${lines.join('\n')}\n`);
}

await runMain();
