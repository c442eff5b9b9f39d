/**
 * Starts the whole system on loopback addresses: fakes of the platform in this process and two
 * daemons as child processes. Then publishes the lists and issues a key, so that clients can send
 * requests.
 */
import * as Data from 'effect/Data';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as Toml from 'smol-toml';
import * as DemoLists from './DemoLists.js';
import * as DemoProcess from './DemoProcess.js';
import * as FakeEngine from './FakeEngine.js';
import * as FakeLog from './FakeLog.js';
import * as FakePlainService from './FakePlainService.js';
import * as FakeUsageReports from './FakeUsageReports.js';
import * as FakeVmList from './FakeVmList.js';
import * as HttpText from './HttpText.js';

const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 50;
const DAEMON_COUNT = 2;
const DATA_CENTRES = ['gulf-texas-a', 'gulf-texas-b', 'gulf-texas-c'] as const;
const REGION = 'gulf-texas';
const HTTP_OK = 200;

/** Time that clients of the demo get to notice that a daemon is stopping, in milliseconds. */
const DRAIN_NOTICE_MS = 500;

/** The system could not be started. */
export class DemoError extends Data.TaggedError('DemoError')<{ readonly message: string }> {}

/** Options of the system. */
export interface DemoOptions {
  /** Entry port of the first daemon; the second one gets the next port. 0 selects free ports. */
  readonly port: number;
  readonly engineCount?: number;
  readonly engine?: FakeEngine.FakeEngineOptions;
  /** Lists as a TOML document; `DEMO_LISTS` by default. */
  readonly lists?: string;
  readonly account?: string;
  /** Arguments that node gets for each daemon, such as those of the CPU profiler. */
  readonly daemonNodeArgs?: readonly string[];
  /** Tables and keys that are merged into the settings of each daemon. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

/** Addresses and names of the system; the demo prints them as one JSON line. */
export interface DemoDescription {
  readonly ready: true;
  readonly entries: readonly string[];
  readonly operator: string;
  readonly model: string;
  readonly key: string;
  readonly keyId: string;
  readonly orderPath: string;
  readonly plainService: string;
  readonly engines: readonly string[];
  readonly settings: string;
}

/** A running system. */
export interface DemoSystem {
  readonly daemons: readonly DemoProcess.DemoProcess[];
  readonly description: DemoDescription;
  readonly engines: readonly FakeEngine.FakeEngine[];
  readonly log: FakeLog.FakeLog;
  readonly operators: readonly string[];
  readonly plainService: FakePlainService.FakePlainService;
  readonly stop: () => Promise<void>;
  readonly usageReports: FakeUsageReports.FakeUsageReports;
  readonly vmList: FakeVmList.FakeVmList;
}

interface DaemonPorts {
  readonly entry: number;
  readonly operator: number;
  readonly peer: number;
}

function getDataCentre(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] as string;
}

async function findDaemonPorts(port: number): Promise<readonly DaemonPorts[]> {
  const freePorts = await DemoProcess.findFreePorts(DAEMON_COUNT * 3);
  return Array.from({ length: DAEMON_COUNT }, (_, index) => {
    const [entry, operator, peer] = freePorts.slice(index * 3) as [number, number, number];
    return { entry: port === 0 ? entry : port + index, operator, peer };
  });
}

/** Polls until `isDone` returns true; rejects with `DemoError` after the deadline. */
async function waitUntil(
  isDone: () => Promise<boolean>,
  deadlineMs: number,
  subject: string,
): Promise<void> {
  if (await isDone()) return;
  if (performance.now() > deadlineMs) throw new DemoError({ message: `${subject} is not ready` });
  await new Promise((resolve) => {
    setTimeout(resolve, READY_POLL_MS);
  });
  await waitUntil(isDone, deadlineMs, subject);
}

async function isReady(operator: string): Promise<boolean> {
  return HttpText.requestText(`${operator}/readyz`).then(
    ({ status }) => status === HTTP_OK,
    () => false,
  );
}

async function runCli(settings: string, args: readonly string[]): Promise<unknown> {
  const { error, out, status } = await DemoProcess.runCliProcess(
    ['--settings', settings, '--json', ...args],
  );
  if (status === 0) return JSON.parse(out);
  const command = `berylyoke ${args.join(' ')}`;
  throw new DemoError({ message: `${command} exited with status ${status}: ${error}${out}` });
}

/**
 * Starts the system and waits until both daemons are ready.
 *
 * @returns the system; rejects with `DemoError` when a command fails, a daemon exits or a daemon is
 *   not ready after 30 s
 */
export async function startDemoSystem({
  daemonNodeArgs = [],
  account = DemoLists.DEMO_NAMES.account,
  engine = {},
  engineCount = 3,
  lists = DemoLists.DEMO_LISTS,
  port,
  settings: addedSettings = {},
}: DemoOptions): Promise<DemoSystem> {
  const { model, orderPath, service } = DemoLists.DEMO_NAMES;
  const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'berylyoke-demo-'));
  const ports = await findDaemonPorts(port);
  const [log, vmList, plainService, usageReports, engines] = await Promise.all([
    FakeLog.startFakeLog(),
    FakeVmList.startFakeVmList(),
    FakePlainService.startFakePlainService(),
    FakeUsageReports.startFakeUsageReports(),
    Promise.all(Array.from({ length: engineCount }, () => (
      FakeEngine.startFakeEngine({ models: [model], ...engine })
    ))),
  ]);
  const operators = ports.map(({ operator }) => `http://127.0.0.1:${operator}`);
  const formatAddress = (serverPort: number): string => `127.0.0.1:${serverPort}`;
  vmList.setEntries([
    ...ports.map(({ peer }, index): FakeVmList.VmEntry => ({
      address: formatAddress(peer),
      dataCentre: getDataCentre(index),
      id: `entry-${index + 1}`,
      kind: 'dear',
      models: [],
      priceCents: 10,
      role: 'entry',
      service: '',
      state: 'live',
    })),
    ...engines.map((runningEngine, index): FakeVmList.VmEntry => ({
      address: formatAddress(runningEngine.port),
      dataCentre: getDataCentre(index),
      id: `engine-${index + 1}`,
      kind: index === 0 ? 'dear' : 'cheap',
      models: [model],
      priceCents: index === 0 ? 300 : 120,
      role: 'engine',
      service: '',
      state: 'live',
    })),
    {
      address: formatAddress(plainService.port),
      dataCentre: getDataCentre(0),
      id: 'service-1',
      kind: 'dear',
      models: [],
      priceCents: 20,
      role: 'service',
      service,
      state: 'live',
    },
  ]);

  const settingsFiles = await Promise.all(ports.map(async (ownPorts, index) => {
    const file = path.join(directory, `daemon-${index + 1}.toml`);
    await fs.writeFile(file, Toml.stringify({
      daemon_id: `entry-${index + 1}`,
      data_centre: getDataCentre(index),
      entry: { port: ownPorts.entry },
      log_level: 'warn',
      operator: { port: ownPorts.operator },
      operators,
      peer: { port: ownPorts.peer },
      peers: ports.filter((other) => other !== ownPorts).map(({ peer }) => formatAddress(peer)),
      platform: {
        log_url: log.url, usage_url: usageReports.url, vm_list_url: vmList.url,
      },
      region: REGION,
      ...addedSettings,
      timing: { drain_notice_ms: DRAIN_NOTICE_MS, ...addedSettings.timing as object | undefined },
    }));
    return file;
  }));
  const [settings = ''] = settingsFiles;
  const listsFile = path.join(directory, 'lists.toml');
  await fs.writeFile(listsFile, lists);

  const daemons = settingsFiles.map((file) => DemoProcess.startDaemonProcess(file, daemonNodeArgs));
  const stop = async (): Promise<void> => {
    await Promise.all(daemons.map((daemon) => daemon.stop()));
    const fakes = [log, vmList, plainService, usageReports, ...engines];
    await Promise.all(fakes.map((fake) => fake.close()));
    await fs.rm(directory, { force: true, recursive: true });
  };

  const publishAndWait = async (): Promise<DemoDescription> => {
    await runCli(settings, ['config', 'publish', listsFile]);
    const issuedKey = await runCli(settings, ['key', 'issue', '--account', account]);
    const { key, keyId } = issuedKey as { readonly key: string; readonly keyId: string };
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    await Promise.all(operators.map((operator) => (
      waitUntil(() => isReady(operator), deadlineMs, `the daemon at ${operator}`)
    )));
    return {
      engines: engines.map(({ url }) => url),
      entries: ports.map(({ entry }) => `http://127.0.0.1:${entry}`),
      key,
      keyId,
      model,
      operator: operators[0] as string,
      orderPath,
      plainService: plainService.url,
      ready: true,
      settings,
    };
  };
  const earlyExits = daemons.map(async ({ exited }): Promise<never> => {
    throw new DemoError({ message: `a daemon exited (${await exited}) before it was ready` });
  });
  try {
    const description = await Promise.race([publishAndWait(), ...earlyExits]);
    earlyExits.forEach((earlyExit) => earlyExit.catch(() => undefined));
    return {
      daemons,
      description,
      engines,
      log,
      operators,
      plainService,
      stop,
      usageReports,
      vmList,
    };
  } catch (error) {
    earlyExits.forEach((earlyExit) => earlyExit.catch(() => undefined));
    await stop();
    throw error;
  }
}
