/**
 * Command `npm run bench:fleet`: runs idle daemons of one data centre as processes against the
 * fakes and prints what control costs a relay and a member: processor time, bytes by peer and
 * memory. With `--servers` the VM list holds that many backend servers.
 */
import * as Log from '@berylyoke/log';
import * as Testkit from '@berylyoke/testkit';
import * as Effect from 'effect/Effect';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as Toml from 'smol-toml';
import yargs from 'yargs';
import * as ConfigCapacity from './ConfigCapacity.js';
import * as FleetProcess from './FleetProcess.js';
import type * as SocketCounter from './SocketCounter.js';

const WRITER = { daemonId: 'bench', incarnation: '1-a' };
const MS_PER_SECOND = 1_000;
const POLL_MS = 200;
const HTTP_OK = 200;
const PORTS_PER_DAEMON = 3;

interface Fleet {
  readonly logPort: number;
  readonly vmListPort: number;
  readonly peerPorts: ReadonlySet<number>;
  readonly operators: readonly string[];
  readonly processes: readonly FleetProcess.FleetProcess[];
  readonly stop: () => Promise<void>;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function buildServers(count: number): readonly Testkit.VmEntry[] {
  return Array.from({ length: count }, (_, i) => ({
    address: `127.0.0.1:${1 + (i % 1_000)}`,
    dataCentre: `dc-${i % 32}`,
    id: `engine-${i}`,
    kind: i % 2 === 0 ? 'cheap' as const : 'dear' as const,
    models: [`model-${i % 8}`],
    priceCents: 120,
    role: 'engine' as const,
    service: '',
    state: 'live' as const,
  }));
}

function buildEntry(port: number, index: number): Testkit.VmEntry {
  return {
    address: `127.0.0.1:${port}`,
    dataCentre: 'dc-0',
    id: `entry-${index}`,
    kind: 'dear',
    models: [],
    priceCents: 10,
    role: 'entry',
    service: '',
    state: 'live',
  };
}

async function writeSettings(
  directory: string,
  index: number,
  ports: readonly number[],
  platform: { readonly logUrl: string; readonly vmListUrl: string },
): Promise<string> {
  const [entry, operator, peer] = ports.slice(index * PORTS_PER_DAEMON);
  const file = path.join(directory, `daemon-${index}.toml`);
  await fs.writeFile(file, Toml.stringify({
    daemon_id: `entry-${index}`,
    data_centre: 'dc-0',
    entry: { port: entry },
    log_level: 'error',
    operator: { port: operator },
    peer: { port: peer },
    platform: { log_url: platform.logUrl, vm_list_url: platform.vmListUrl },
    region: 'region-0',
    timing: { drain_notice_ms: 100 },
  }));
  return file;
}

async function waitUntilReady(operators: readonly string[]): Promise<void> {
  const answers = await Promise.all(operators.map((operator) => (
    Testkit.requestText(`${operator}/readyz`).then(({ status }) => status === HTTP_OK, () => false)
  )));
  if (answers.every((ready) => ready)) return;
  await wait(POLL_MS);
  await waitUntilReady(operators);
}

async function startFleet(daemons: number, servers: number): Promise<Fleet> {
  const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'berylyoke-fleet-'));
  const log = await Testkit.startFakeLog();
  const vmList = await Testkit.startFakeVmList();
  const ports = await Testkit.findFreePorts(daemons * PORTS_PER_DAEMON);
  const peers = ports.filter((_, i) => i % PORTS_PER_DAEMON === 2);
  vmList.setEntries([...peers.map(buildEntry), ...buildServers(servers)]);
  await Effect.runPromise(Log.createHttpLog(log.url).append('config', [
    Log.createRecord(WRITER, 'config.edit', {
      baseVersion: 0, lists: ConfigCapacity.buildLists(2_300),
    }),
  ]));
  const files = await Promise.all(peers.map((_, index) => writeSettings(directory, index, ports, {
    logUrl: log.url, vmListUrl: vmList.url,
  })));
  const processes = files.map(FleetProcess.startFleetProcess);
  const operators = ports.filter((_, i) => i % PORTS_PER_DAEMON === 1)
    .map((port) => `http://127.0.0.1:${port}`);
  await waitUntilReady(operators);
  return {
    logPort: log.port,
    operators,
    peerPorts: new Set(peers),
    processes,
    stop: async () => {
      await Promise.all(processes.map(({ stop }) => stop()));
      await Promise.all([log.close(), vmList.close()]);
      await fs.rm(directory, { force: true, recursive: true });
    },
    vmListPort: vmList.port,
  };
}

interface Cost {
  readonly cpuMsPerSecond: number;
  readonly peerBytesPerSecond: number;
  readonly logBytesPerSecond: number;
  readonly vmListBytesPerSecond: number;
  readonly residentMegabytes: number;
  readonly heapMegabytes: number;
}

function sumBytes(
  usage: SocketCounter.ProcessUsage,
  isCounted: (port: number) => boolean,
): number {
  return Object.entries(usage.ports)
    .filter(([port]) => isCounted(Number(port)))
    .reduce((sum, [, { read, written }]) => sum + read + written, 0);
}

function computeCost(
  fleet: Fleet,
  before: SocketCounter.ProcessUsage,
  after: SocketCounter.ProcessUsage,
  seconds: number,
): Cost {
  const measureBytes = (isCounted: (port: number) => boolean): number => (
    Math.round((sumBytes(after, isCounted) - sumBytes(before, isCounted)) / seconds)
  );
  const toMegabytes = (bytes: number): number => Number((bytes / 1e6).toFixed(1));
  return {
    cpuMsPerSecond: Number(
      ((after.cpuMicros - before.cpuMicros) / MS_PER_SECOND / seconds).toFixed(2),
    ),
    heapMegabytes: toMegabytes(after.heapBytes),
    logBytesPerSecond: measureBytes((port) => port === fleet.logPort),
    peerBytesPerSecond: measureBytes((port) => fleet.peerPorts.has(port)),
    residentMegabytes: toMegabytes(after.residentBytes),
    vmListBytesPerSecond: measureBytes((port) => port === fleet.vmListPort),
  };
}

function getMean(costs: readonly Cost[], name: keyof Cost): number {
  return Number((costs.reduce((sum, cost) => sum + cost[name], 0) / costs.length).toFixed(2));
}

const COST_NAMES = [
  'cpuMsPerSecond',
  'peerBytesPerSecond',
  'logBytesPerSecond',
  'vmListBytesPerSecond',
  'residentMegabytes',
  'heapMegabytes',
] as const;

function printRole(role: string, daemons: number, servers: number, costs: readonly Cost[]): void {
  if (costs.length === 0) return;
  const cells = COST_NAMES.map((name) => getMean(costs, name));
  const row = [role, daemons, servers, costs.length, ...cells];
  process.stdout.write(`| ${row.join(' | ')} |\n`);
}

async function isRelay(operator: string): Promise<boolean> {
  const { text } = await Testkit.requestText(`${operator}/operator/status`);
  const { daemonId, membership } = JSON.parse(text) as {
    readonly daemonId: string;
    readonly membership?: { readonly relays?: readonly string[] };
  };
  return membership?.relays?.includes(daemonId) === true;
}

async function measureFleet(daemons: number, servers: number, seconds: number): Promise<void> {
  const fleet = await startFleet(daemons, servers);
  try {
    await wait(seconds * MS_PER_SECOND);
    const before = await Promise.all(fleet.processes.map(({ readUsage }) => readUsage()));
    await wait(seconds * MS_PER_SECOND);
    const after = await Promise.all(fleet.processes.map(({ readUsage }) => readUsage()));
    const relays = await Promise.all(fleet.operators.map(isRelay));
    const costs = before.map((usage, i) => (
      computeCost(fleet, usage, after[i] ?? usage, seconds)
    ));
    printRole('relay', daemons, servers, costs.filter((_, i) => relays[i]));
    printRole('member', daemons, servers, costs.filter((_, i) => !relays[i]));
  } finally {
    await fleet.stop();
  }
}

async function runMain(): Promise<void> {
  const options = await yargs(process.argv.slice(2))
    .option('daemons', { array: true, default: [4, 8, 16, 32], type: 'number' })
    .option('servers', { array: true, default: [30], type: 'number' })
    .option('seconds', { default: 10, describe: 'length of a measurement', type: 'number' })
    .strict()
    .parse();
  process.stdout.write(`| role | daemons | servers | processes | ${COST_NAMES.join(' | ')} |\n`);
  process.stdout.write(`|---|${'---|'.repeat(COST_NAMES.length + 3)}\n`);
  const runs = options.daemons.flatMap((daemons) => (
    options.servers.map((servers) => ({ daemons, servers }))
  ));
  await runs.reduce((before, { daemons, servers }) => (
    before.then(() => measureFleet(daemons, servers, options.seconds))
  ), Promise.resolve());
}

await runMain();
