/**
 * Measures what the daemon adds to a stream: time to first token, time between tokens and processor
 * time, against a direct connection to the same fake engine. Direct and relayed requests alternate,
 * so that load from elsewhere on the machine meets both alike.
 */
import * as Testkit from '@berylyoke/testkit';
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import yargs from 'yargs';
import * as StreamClient from './StreamClient.js';

const MICROS_PER_SECOND = 1_000_000;
/** Unit of the times in /proc, on Linux always 10 ms. */
const MICROS_PER_TICK = 10_000;
const STAT_USER_FIELD = 11;
const STAT_SYSTEM_FIELD = 12;
const CREDENTIAL = 'berylyoke';

interface Target extends StreamClient.StreamTarget {
  readonly name: 'direct' | 'relayed';
}

interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

interface ProcessorTime {
  readonly daemonMicros: number;
  readonly engineMicros: number;
  readonly clientMicros: number;
}

function roundTo(value: number, digits = 3): number {
  return Number(value.toFixed(digits));
}

function computeQuantiles(values: readonly number[]): Quantiles {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (quantile: number): number => (
    roundTo(sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? NaN)
  );
  return { p50: at(0.5), p95: at(0.95), p99: at(0.99) };
}

/** Runs a task for each index, at most `width` at once. */
async function runAll<A>(
  count: number,
  width: number,
  task: (index: number) => Promise<A>,
): Promise<readonly A[]> {
  const results: A[] = [];
  let next = 0;
  const runLane = async (): Promise<void> => {
    if (next >= count) return;
    const index = next;
    next += 1;
    results.push(await task(index));
    await runLane();
  };
  await Promise.all(Array.from({ length: width }, runLane));
  return results;
}

async function readProcessorTime(demo: Testkit.DemoChild): Promise<ProcessorTime> {
  const metrics = await Testkit.requestText(`${demo.description.operator}/metrics`);
  const seconds = Number(/^process_cpu_seconds_total (\S+)/m.exec(metrics.text)?.[1]);
  const stat = await fs.readFile(`/proc/${demo.pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[STAT_USER_FIELD]) + Number(fields[STAT_SYSTEM_FIELD]);
  const { system, user } = process.cpuUsage();
  return {
    clientMicros: system + user,
    daemonMicros: seconds * MICROS_PER_SECOND,
    engineMicros: ticks * MICROS_PER_TICK,
  };
}

function buildBody(model: string, index: number, tokens: number): string {
  return JSON.stringify({
    max_tokens: tokens,
    messages: [
      { content: 'You answer for a fan shop.', role: 'system' },
      { content: `Which fans fit room ${index}?`, role: 'user' },
    ],
    model,
    stream: true,
  });
}

interface Load {
  readonly requests: number;
  readonly tokens: number;
  readonly width: number;
}

async function measureProcessorTime(
  demo: Testkit.DemoChild,
  target: Target,
  { requests, tokens, width }: Load,
): Promise<ProcessorTime> {
  const before = await readProcessorTime(demo);
  await runAll(requests, width, (index) => (
    StreamClient.streamAnswer(target, buildBody(demo.description.model, index, tokens))
  ));
  const after = await readProcessorTime(demo);
  return {
    clientMicros: after.clientMicros - before.clientMicros,
    daemonMicros: after.daemonMicros - before.daemonMicros,
    engineMicros: after.engineMicros - before.engineMicros,
  };
}

interface Cost {
  readonly perRequestMicros: number;
  readonly perTokenMicros: number;
}

function computeCost(
  short: number,
  long: number,
  load: Load,
): Cost {
  const perToken = (long - short) / (load.requests * (load.tokens - 1));
  return {
    perRequestMicros: roundTo(short / load.requests - perToken, 1),
    perTokenMicros: roundTo(perToken, 2),
  };
}

async function measure(
  demo: Testkit.DemoChild,
  { requests, tokens, width }: Load,
): Promise<unknown> {
  const {
    engines, entries, key, model,
  } = demo.description;
  const createTarget = (name: Target['name'], url: string, bearer: string): Target => ({
    agent: new http.Agent({ keepAlive: true, maxFreeSockets: width }),
    headers: { authorization: `Bearer ${bearer}` },
    name,
    url,
  });
  const direct = createTarget('direct', engines[0] as string, CREDENTIAL);
  const relayed = createTarget('relayed', entries[0] as string, key);
  const targets = [direct, relayed] as const;

  const warmUp = { requests: requests / 2, tokens: 20, width };
  await measureProcessorTime(demo, relayed, warmUp);
  await measureProcessorTime(demo, direct, warmUp);

  // One request at a time: queues of the engine would hide what the daemon adds.
  const firsts = await runAll(requests * 2, 1, async (index) => {
    const target = targets[index % 2] as Target;
    const { firstTokenMs } = await StreamClient.streamAnswer(target, buildBody(model, index, 2));
    return { firstTokenMs, name: target.name };
  });
  const gaps = await runAll(width * 4, width, async (index) => {
    const target = targets[index % 2] as Target;
    const { gapsMs } = await StreamClient.streamAnswer(target, buildBody(model, index, tokens));
    return { gapsMs, name: target.name };
  });
  const firstToken = (name: string): Quantiles => computeQuantiles(
    firsts.filter((found) => found.name === name).map(({ firstTokenMs }) => firstTokenMs),
  );
  const betweenTokens = (name: string): Quantiles => computeQuantiles(
    gaps.filter((found) => found.name === name).flatMap(({ gapsMs }) => gapsMs),
  );

  const load = { requests, tokens, width };
  const shortRelayed = await measureProcessorTime(demo, relayed, { ...load, tokens: 1 });
  const shortDirect = await measureProcessorTime(demo, direct, { ...load, tokens: 1 });
  const longRelayed = await measureProcessorTime(demo, relayed, load);
  const longDirect = await measureProcessorTime(demo, direct, load);
  const daemon = computeCost(shortRelayed.daemonMicros, longRelayed.daemonMicros, load);
  const engine = computeCost(shortDirect.engineMicros, longDirect.engineMicros, load);
  const client = computeCost(shortDirect.clientMicros, longDirect.clientMicros, load);

  const compare = (name: (target: string) => Quantiles): unknown => ({
    addedMs: {
      p50: roundTo(name('relayed').p50 - name('direct').p50),
      p95: roundTo(name('relayed').p95 - name('direct').p95),
    },
    direct: name('direct'),
    ratioP50: roundTo(name('relayed').p50 / name('direct').p50, 2),
    relayed: name('relayed'),
  });
  return {
    betweenTokensMs: compare(betweenTokens),
    firstTokenMs: compare(firstToken),
    load,
    processorTime: {
      daemon,
      directClient: client,
      directEngine: engine,
      ratioToDirectClient: {
        perRequest: roundTo(daemon.perRequestMicros / client.perRequestMicros, 2),
        perToken: roundTo(daemon.perTokenMicros / client.perTokenMicros, 2),
      },
      ratioToDirectEngine: {
        perRequest: roundTo(daemon.perRequestMicros / engine.perRequestMicros, 2),
        perToken: roundTo(daemon.perTokenMicros / engine.perTokenMicros, 2),
      },
    },
  };
}

const {
  profile, requests, tokens, width,
} = await yargs(process.argv.slice(2))
  .scriptName('bench:path')
  .option('profile', { describe: 'directory for profiles of the daemons', type: 'string' })
  .option('requests', { default: 600, describe: 'requests of each measurement', type: 'number' })
  .option('tokens', { default: 200, describe: 'tokens of a long answer', type: 'number' })
  .option('width', { default: 50, describe: 'streams at once', type: 'number' })
  .strict()
  .parse();

const demo = await Testkit.startDemoChild([
  '--answer-tokens',
  String(tokens),
  '--between-tokens-ms',
  '5',
  '--engines',
  '1',
  '--first-token-ms',
  '0',
  '--port',
  '0',
  '--slots',
  String(width),
  ...profile === undefined ? [] : ['--profile', profile],
]);
try {
  const result = await measure(demo, { requests, tokens, width });
  process.stdout.write(`${JSON.stringify(result, null, 2)}\n`);
} finally {
  await demo.stop();
}
