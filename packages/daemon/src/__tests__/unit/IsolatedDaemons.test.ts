import * as Config from '@berylyoke/config';
import * as Testkit from '@berylyoke/testkit';
import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as Vitest from 'vitest';

const {
  afterAll, beforeAll, describe, expect, test, vi,
} = Vitest;

/** More operations than a test can take: a fault that lasts until it is cleared. */
const UNTIL_CLEARED = 1_000_000;
const ISOLATION_MS = 4_000;
const WAIT = { interval: 50, timeout: 30_000 };

/** Passes connections on to the log until it is cut; a cut path refuses and breaks them. */
interface LogPath {
  readonly url: string;
  readonly setCut: (cut: boolean) => void;
  readonly close: () => Promise<void>;
}

async function startLogPath(logPort: number): Promise<LogPath> {
  const sockets = new Set<net.Socket>();
  let isCut = false;
  const server = net.createServer((near) => {
    if (isCut) {
      near.destroy();
      return;
    }
    const far = net.connect(logPort, '127.0.0.1');
    [near, far].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        sockets.delete(socket);
        near.destroy();
        far.destroy();
      });
    });
    near.pipe(far).pipe(near);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const breakSockets = (): void => sockets.forEach((socket) => socket.destroy());
  return {
    close: async () => {
      breakSockets();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
    setCut: (cut) => {
      isCut = cut;
      if (cut) breakSockets();
    },
    url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
  };
}

interface Issued {
  readonly key: string;
  readonly keyId: string;
}

/** Daemon 0 reaches the log directly, daemon 1 over a path that a test can cut. */
describe('two daemons of one data centre', () => {
  let directory: string;
  let log: Testkit.FakeLog;
  let vmList: Testkit.FakeVmList;
  let logPath: LogPath;
  let daemons: readonly Testkit.DemoProcess[] = [];
  let ports: readonly number[];
  let files: readonly string[];
  let settings: string;
  let valid: Issued;

  const runCli = async (...args: readonly string[]): Promise<unknown> => {
    const { error, out, status } = await Testkit.runCliProcess(
      ['--settings', settings, '--json', ...args],
    );
    expect([status, error]).toEqual([0, '']);
    return JSON.parse(out);
  };
  const issueKey = async (): Promise<Issued> => (
    await runCli('key', 'issue', '--account', Testkit.DEMO_NAMES.account) as Issued
  );
  const ask = async (daemon: number, { key }: Issued): Promise<Testkit.TextAnswer> => (
    Testkit.requestText(`http://127.0.0.1:${ports[daemon]}/v1/models`, {
      headers: { authorization: `Bearer ${key}` },
    })
  );
  const waitForStatus = async (
    daemon: number,
    key: Issued,
    status: number,
  ): Promise<void> => {
    await vi.waitUntil(async () => (await ask(daemon, key)).status === status, WAIT);
  };
  const readMembers = async (daemon: number): Promise<string> => {
    const url = `http://127.0.0.1:${ports[2 + daemon]}/operator/status`;
    const { text } = await Testkit.requestText(url);
    const { membership } = JSON.parse(text) as {
      membership?: { members: readonly { daemonId: string; status: string }[] };
    };
    return (membership?.members ?? [])
      .map(({ daemonId, status }) => `${daemonId} ${status}`).join();
  };
  const waitUntilJoined = async (): Promise<void> => {
    await Promise.all([0, 1].map((daemon) => vi.waitUntil(
      async () => await readMembers(daemon) === 'entry-0 live,entry-1 live',
      WAIT,
    )));
  };

  beforeAll(async () => {
    directory = await fs.mkdtemp(path.join(os.tmpdir(), 'berylyoke-isolated-'));
    ports = await Testkit.findFreePorts(6);
    [log, vmList] = await Promise.all([Testkit.startFakeLog(), Testkit.startFakeVmList()]);
    logPath = await startLogPath(log.port);
    vmList.setEntries([{
      address: '127.0.0.1:9',
      dataCentre: 'dc',
      id: 'service-1',
      kind: 'dear',
      models: [],
      priceCents: 1,
      role: 'service',
      service: Testkit.DEMO_NAMES.service,
      state: 'live',
    }]);
    files = await Promise.all([log.url, logPath.url].map(async (logUrl, index) => {
      const file = path.join(directory, `daemon-${index}.toml`);
      await fs.writeFile(file, `
daemon_id = "entry-${index}"
data_centre = "dc"
region = "r"
log_level = "error"
peers = ["127.0.0.1:${ports[4]}", "127.0.0.1:${ports[5]}"]
entry.port = ${ports[index]}
operator.port = ${ports[2 + index]}
peer.port = ${ports[4 + index]}
platform.log_url = "${logUrl}"
platform.vm_list_url = "${vmList.url}"
timing.drain_notice_ms = 100
timing.heartbeat_ms = 100
timing.suspect_ms = 1000
timing.isolation_ms = ${ISOLATION_MS}
timing.vm_list_ms = 200
timing.snapshot_ms = 500
`);
      return file;
    }));
    [settings = ''] = files;
    const lists = path.join(directory, 'lists.toml');
    await fs.writeFile(lists, Testkit.DEMO_LISTS);
    daemons = files.map((file) => Testkit.startDaemonProcess(file));
    await runCli('config', 'publish', lists);
    valid = await issueKey();
    await Promise.all([0, 1].map((daemon) => vi.waitUntil(async () => (
      ask(daemon, valid).then(({ status }) => status === 200, () => false)
    ), WAIT)));
    await waitUntilJoined();
  });

  afterAll(async () => {
    daemons[0]?.kill('SIGCONT');
    await Promise.all(daemons.map((daemon) => daemon.stop()));
    await Promise.all([logPath, log, vmList].map(({ close }) => close()));
    await fs.rm(directory, { force: true, recursive: true });
  });

  // Guards against a daemon that lost the log and serves a key that its peer knows to be withdrawn.
  test('a key withdrawn while one daemon has lost the log is refused there', async () => {
    const issued = await issueKey();
    await waitForStatus(1, issued, 200);
    logPath.setCut(true);
    await runCli('key', 'withdraw', issued.keyId);
    await waitForStatus(0, issued, 401);
    await waitForStatus(1, issued, 401);
    const late = await issueKey();
    await waitForStatus(1, late, 200);
    logPath.setCut(false);
  });

  // Guards against a daemon that trusts a peer which is silent.
  test('a key withdrawn while the peer is paused is refused by both afterwards', async () => {
    const issued = await issueKey();
    await waitForStatus(1, issued, 200);
    daemons[0]?.kill('SIGSTOP');
    await runCli('key', 'withdraw', issued.keyId);
    await waitForStatus(1, issued, 401);
    await vi.waitUntil(async () => (await readMembers(1)).includes('entry-0 lost'), WAIT);
    daemons[0]?.kill('SIGCONT');
    await waitForStatus(0, issued, 401);
    await waitUntilJoined();
  });

  // Guards against a daemon that was cut off from both for longer than the bound.
  test('without the log and the peer every keyed request is refused as not run', async () => {
    const issued = await issueKey();
    await waitForStatus(1, issued, 200);
    logPath.setCut(true);
    daemons[0]?.kill('SIGSTOP');
    await runCli('key', 'withdraw', issued.keyId);
    await waitForStatus(1, issued, 503);
    const answer = await ask(1, valid);
    expect(answer.status).toBe(503);
    expect(answer.headers['x-berylyoke-outcome']).toBe('not-run');
    expect(JSON.parse(answer.text)).toMatchObject({ error: { code: 'isolated' } });
    daemons[0]?.kill('SIGCONT');
    logPath.setCut(false);
    await waitForStatus(1, issued, 401);
    await waitForStatus(1, valid, 200);
    await waitForStatus(0, valid, 200);
    await waitUntilJoined();
  });

  const setLogFault = (kind: 'refusal' | 'silence'): void => log.faults.set(
    ['append', 'read'].map((operation) => ({ count: UNTIL_CLEARED, kind, operation })),
  );

  // Guards against a fleet that refuses all of its callers because the log is out.
  test('while the log itself says that it is out, only withdrawn keys are refused', async () => {
    const issued = await issueKey();
    await runCli('key', 'withdraw', issued.keyId);
    await Promise.all([0, 1].map((daemon) => waitForStatus(daemon, issued, 401)));
    setLogFault('refusal');
    const untilMs = performance.now() + 2 * ISOLATION_MS;
    const statuses: number[] = [];
    await vi.waitUntil(async () => {
      const answers = await Promise.all([0, 1].flatMap((daemon) => [
        ask(daemon, valid), ask(daemon, issued),
      ]));
      statuses.push(...answers.map(({ status }) => status));
      return performance.now() > untilMs;
    }, WAIT);
    expect([...new Set(statuses)]).toEqual([200, 401]);
    log.faults.set([]);
    const late = await issueKey();
    await Promise.all([0, 1].map((daemon) => waitForStatus(daemon, late, 200)));
  });

  // Guards against a daemon that takes a silent log for one that is out.
  test('while the log is silent for both, every keyed request is refused', async () => {
    const issued = await issueKey();
    await runCli('key', 'withdraw', issued.keyId);
    await Promise.all([0, 1].map((daemon) => waitForStatus(daemon, issued, 401)));
    setLogFault('silence');
    await Promise.all([0, 1].map((daemon) => waitForStatus(daemon, valid, 503)));
    const answers = await Promise.all([0, 1].map((daemon) => ask(daemon, issued)));
    expect(answers.map(({ status }) => status)).toEqual([401, 401]);
    log.faults.set([]);
    await Promise.all([0, 1].map((daemon) => waitForStatus(daemon, valid, 200)));
  });

  test('the first relay appends a snapshot that covers the entries before it', async () => {
    const listSnapshots = (): readonly Config.ConfigState[] => log.listEntries('config')
      .flatMap(({ records }) => records)
      .filter(({ kind }) => kind === Config.CONFIG_KINDS.snapshot)
      .flatMap(({ body }) => Config.parseSnapshot(body) ?? []);
    await vi.waitUntil(() => listSnapshots().length > 0, WAIT);
    const [{ offset, version } = Config.initialConfigState] = listSnapshots();
    const covered = log.listEntries('config').slice(0, offset + 1).reduce(
      (state, entry) => Config.reduceConfig(state, entry),
      Config.initialConfigState,
    );
    expect(version).toBe(covered.version);
    expect(Config.buildSnapshot(covered)).toEqual(Config.buildSnapshot(
      listSnapshots()[0] ?? Config.initialConfigState,
    ));
  });

  // Guards against a daemon that waits for the log although a peer has the configuration.
  test('a daemon that boots in an outage of the log takes the state of its peer', async () => {
    await daemons[1]?.stop();
    setLogFault('refusal');
    daemons = [daemons[0], Testkit.startDaemonProcess(files[1] ?? '')]
      .flatMap((daemon) => daemon ?? []);
    await vi.waitUntil(async () => (
      Testkit.requestText(`http://127.0.0.1:${ports[3]}/readyz`).then(
        ({ status }) => status === 200,
        () => false,
      )
    ), WAIT);
    // The peer's contact was fresh when the log said that it is out, and it vouches for it.
    await waitForStatus(1, valid, 200);
    // Nobody hears the log any more, so the state alone does not admit a key.
    setLogFault('silence');
    await waitForStatus(1, valid, 503);
    log.faults.set([]);
    await waitForStatus(1, valid, 200);
  });
});
