/**
 * The whole system on loopback addresses: fakes of the platform in this process, two daemons as
 * child processes, published lists and an issued key.
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

/** Time in which callers of the demo notice that a daemon stops, in milliseconds. */
const DRAIN_NOTICE_MS = 500;

/** The system did not come up. */
export class DemoError extends Data.TaggedError('DemoError')<{ readonly message: string }> {}

/** Options of the demo. */
export interface DemoOptions {
  /** Port of the first daemon; the second one takes the next port. 0 takes free ports. */
  readonly port: number;
  readonly engineCount?: number;
  readonly engine?: FakeEngine.FakeEngineOptions;
  /** Lists as TOML; by default those of the demo. */
  readonly lists?: string;
  readonly account?: string;
  /** Arguments of node for each daemon, such as those of its profiler. */
  readonly daemonNodeArgs?: readonly string[];
  /** Tables and keys that are added to the settings of each daemon. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

/** What the demo prints. */
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
  const free = await DemoProcess.findFreePorts(DAEMON_COUNT * 3);
  return Array.from({ length: DAEMON_COUNT }, (_, index) => {
    const [entry, operator, peer] = free.slice(index * 3) as [number, number, number];
    return { entry: port === 0 ? entry : port + index, operator, peer };
  });
}

/** Waits until a check holds; rejects after the time limit. */
async function waitUntil(
  check: () => Promise<boolean>,
  deadlineMs: number,
  what: string,
): Promise<void> {
  if (await check()) return;
  if (performance.now() > deadlineMs) throw new DemoError({ message: `${what} is not ready` });
  await new Promise((resolve) => {
    setTimeout(resolve, READY_POLL_MS);
  });
  await waitUntil(check, deadlineMs, what);
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
  throw new DemoError({ message: `${command} ended with ${status}: ${error}${out}` });
}

/** Starts the system and waits until both daemons are ready. */
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
  const addressOf = (serverPort: number): string => `127.0.0.1:${serverPort}`;
  vmList.setEntries([
    ...ports.map(({ peer }, index): FakeVmList.VmEntry => ({
      address: addressOf(peer),
      dataCentre: getDataCentre(index),
      id: `entry-${index + 1}`,
      kind: 'dear',
      models: [],
      priceCents: 10,
      role: 'entry',
      service: '',
      state: 'live',
    })),
    ...engines.map((running, index): FakeVmList.VmEntry => ({
      address: addressOf(running.port),
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
      address: addressOf(plainService.port),
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

  const settingsFiles = await Promise.all(ports.map(async (own, index) => {
    const file = path.join(directory, `daemon-${index + 1}.toml`);
    await fs.writeFile(file, Toml.stringify({
      daemon_id: `entry-${index + 1}`,
      data_centre: getDataCentre(index),
      entry: { port: own.entry },
      log_level: 'warn',
      operator: { port: own.operator },
      operators,
      peer: { port: own.peer },
      peers: ports.filter((other) => other !== own).map(({ peer }) => addressOf(peer)),
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

  const bringUp = async (): Promise<DemoDescription> => {
    await runCli(settings, ['config', 'publish', listsFile]);
    const issued = await runCli(settings, ['key', 'issue', '--account', account]);
    const { key, keyId } = issued as { readonly key: string; readonly keyId: string };
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
  const failures = daemons.map(async ({ exited }): Promise<never> => {
    throw new DemoError({ message: `a daemon ended with ${await exited} before it was ready` });
  });
  try {
    const description = await Promise.race([bringUp(), ...failures]);
    failures.forEach((failure) => failure.catch(() => undefined));
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
    failures.forEach((failure) => failure.catch(() => undefined));
    await stop();
    throw error;
  }
}
