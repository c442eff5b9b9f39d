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

/** More operations than a test performs, so that a fault lasts until the test clears it. */
const UNLIMITED_FAULT_COUNT = 1_000_000;
const ISOLATION_MS = 4_000;
const WAIT_OPTIONS = { interval: 50, timeout: 30_000 };

/** TCP proxy in front of the log; while it is disconnected, it closes all connections. */
interface LogProxy {
  readonly url: string;
  readonly setDisconnected: (disconnected: boolean) => void;
  readonly close: () => Promise<void>;
}

async function startLogProxy(logPort: number): Promise<LogProxy> {
  const sockets = new Set<net.Socket>();
  let isDisconnected = false;
  const server = net.createServer((daemonSocket) => {
    if (isDisconnected) {
      daemonSocket.destroy();
      return;
    }
    const logSocket = net.connect(logPort, '127.0.0.1');
    [daemonSocket, logSocket].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        sockets.delete(socket);
        daemonSocket.destroy();
        logSocket.destroy();
      });
    });
    daemonSocket.pipe(logSocket).pipe(daemonSocket);
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
    setDisconnected: (disconnected) => {
      isDisconnected = disconnected;
      if (disconnected) breakSockets();
    },
    url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
  };
}

interface IssuedKey {
  readonly key: string;
  readonly keyId: string;
}

/** Daemon 0 reaches the log directly, daemon 1 through a proxy that tests can disconnect. */
describe('two daemons of one data centre', () => {
  let directory: string;
  let log: Testkit.FakeLog;
  let vmList: Testkit.FakeVmList;
  let logProxy: LogProxy;
  let daemons: readonly Testkit.DemoProcess[] = [];
  let ports: readonly number[];
  let files: readonly string[];
  let settings: string;
  let validKey: IssuedKey;

  const runCli = async (...args: readonly string[]): Promise<unknown> => {
    const { error, out, status } = await Testkit.runCliProcess(
      ['--settings', settings, '--json', ...args],
    );
    expect([status, error]).toEqual([0, '']);
    return JSON.parse(out);
  };
  const issueKey = async (): Promise<IssuedKey> => (
    await runCli('key', 'issue', '--account', Testkit.DEMO_NAMES.account) as IssuedKey
  );
  const requestModels = async (daemon: number, { key }: IssuedKey): Promise<Testkit.TextAnswer> => (
    Testkit.requestText(`http://127.0.0.1:${ports[daemon]}/v1/models`, {
      headers: { authorization: `Bearer ${key}` },
    })
  );
  const waitForStatus = async (
    daemon: number,
    key: IssuedKey,
    status: number,
  ): Promise<void> => {
    await vi.waitUntil(
      async () => (await requestModels(daemon, key)).status === status,
      WAIT_OPTIONS,
    );
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
      WAIT_OPTIONS,
    )));
  };

  beforeAll(async () => {
    directory = await fs.mkdtemp(path.join(os.tmpdir(), 'berylyoke-isolated-'));
    ports = await Testkit.findFreePorts(6);
    [log, vmList] = await Promise.all([Testkit.startFakeLog(), Testkit.startFakeVmList()]);
    logProxy = await startLogProxy(log.port);
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
    files = await Promise.all([log.url, logProxy.url].map(async (logUrl, index) => {
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
    validKey = await issueKey();
    await Promise.all([0, 1].map((daemon) => vi.waitUntil(async () => (
      requestModels(daemon, validKey).then(({ status }) => status === 200, () => false)
    ), WAIT_OPTIONS)));
    await waitUntilJoined();
  });

  afterAll(async () => {
    daemons[0]?.kill('SIGCONT');
    await Promise.all(daemons.map((daemon) => daemon.stop()));
    await Promise.all([logProxy, log, vmList].map(({ close }) => close()));
    await fs.rm(directory, { force: true, recursive: true });
  });

  // Guards against a daemon without access to the log that accepts a key which its peer knows to be
  // withdrawn.
  test('a key withdrawn while one daemon cannot reach the log is refused there', async () => {
    const issuedKey = await issueKey();
    await waitForStatus(1, issuedKey, 200);
    logProxy.setDisconnected(true);
    await runCli('key', 'withdraw', issuedKey.keyId);
    await waitForStatus(0, issuedKey, 401);
    await waitForStatus(1, issuedKey, 401);
    const lateKey = await issueKey();
    await waitForStatus(1, lateKey, 200);
    logProxy.setDisconnected(false);
  });

  // Guards against a daemon that relies on a peer that does not respond.
  test('a key withdrawn while the peer is paused is refused by both afterwards', async () => {
    const issuedKey = await issueKey();
    await waitForStatus(1, issuedKey, 200);
    daemons[0]?.kill('SIGSTOP');
    await runCli('key', 'withdraw', issuedKey.keyId);
    await waitForStatus(1, issuedKey, 401);
    await vi.waitUntil(async () => (await readMembers(1)).includes('entry-0 lost'), WAIT_OPTIONS);
    daemons[0]?.kill('SIGCONT');
    await waitForStatus(0, issuedKey, 401);
    await waitUntilJoined();
  });

  // Guards against a daemon that still accepts keys after it has reached neither the log nor its
  // peer for longer than the isolation time.
  test('without the log and the peer every keyed request is refused as not run', async () => {
    const issuedKey = await issueKey();
    await waitForStatus(1, issuedKey, 200);
    logProxy.setDisconnected(true);
    daemons[0]?.kill('SIGSTOP');
    await runCli('key', 'withdraw', issuedKey.keyId);
    await waitForStatus(1, issuedKey, 503);
    const answer = await requestModels(1, validKey);
    expect(answer.status).toBe(503);
    expect(answer.headers['x-berylyoke-outcome']).toBe('not-run');
    expect(JSON.parse(answer.text)).toMatchObject({ error: { code: 'isolated' } });
    daemons[0]?.kill('SIGCONT');
    logProxy.setDisconnected(false);
    await waitForStatus(1, issuedKey, 401);
    await waitForStatus(1, validKey, 200);
    await waitForStatus(0, validKey, 200);
    await waitUntilJoined();
  });

  const setLogFault = (kind: 'refusal' | 'silence'): void => log.faults.set(
    ['append', 'read'].map((operation) => ({ count: UNLIMITED_FAULT_COUNT, kind, operation })),
  );

  // Guards against a fleet that refuses all callers because the log is unavailable.
  test('while the log reports an outage, only withdrawn keys are refused', async () => {
    const issuedKey = await issueKey();
    await runCli('key', 'withdraw', issuedKey.keyId);
    await Promise.all([0, 1].map((daemon) => waitForStatus(daemon, issuedKey, 401)));
    setLogFault('refusal');
    const endMs = performance.now() + 2 * ISOLATION_MS;
    const statuses: number[] = [];
    await vi.waitUntil(async () => {
      const answers = await Promise.all([0, 1].flatMap((daemon) => [
        requestModels(daemon, validKey), requestModels(daemon, issuedKey),
      ]));
      statuses.push(...answers.map(({ status }) => status));
      return performance.now() > endMs;
    }, WAIT_OPTIONS);
    expect([...new Set(statuses)]).toEqual([200, 401]);
    log.faults.set([]);
    const lateKey = await issueKey();
    await Promise.all([0, 1].map((daemon) => waitForStatus(daemon, lateKey, 200)));
  });

  // Guards against a daemon that treats a log that does not respond like one that reports an
  // outage.
  test('while the log responds to neither daemon, every keyed request is refused', async () => {
    const issuedKey = await issueKey();
    await runCli('key', 'withdraw', issuedKey.keyId);
    await Promise.all([0, 1].map((daemon) => waitForStatus(daemon, issuedKey, 401)));
    setLogFault('silence');
    await Promise.all([0, 1].map((daemon) => waitForStatus(daemon, validKey, 503)));
    const answers = await Promise.all([0, 1].map((daemon) => requestModels(daemon, issuedKey)));
    expect(answers.map(({ status }) => status)).toEqual([401, 401]);
    log.faults.set([]);
    await Promise.all([0, 1].map((daemon) => waitForStatus(daemon, validKey, 200)));
  });

  test('the first relay appends a snapshot that covers the entries before it', async () => {
    const listSnapshots = (): readonly Config.ConfigState[] => log.listEntries('config')
      .flatMap(({ records }) => records)
      .filter(({ kind }) => kind === Config.CONFIG_KINDS.snapshot)
      .flatMap(({ body }) => Config.parseSnapshot(body) ?? []);
    await vi.waitUntil(() => listSnapshots().length > 0, WAIT_OPTIONS);
    const [{ offset, version } = Config.initialConfigState] = listSnapshots();
    const expectedState = log.listEntries('config').slice(0, offset + 1).reduce(
      (state, entry) => Config.reduceConfig(state, entry),
      Config.initialConfigState,
    );
    expect(version).toBe(expectedState.version);
    expect(Config.buildSnapshot(expectedState)).toEqual(Config.buildSnapshot(
      listSnapshots()[0] ?? Config.initialConfigState,
    ));
  });

  // Guards against a daemon that waits for the log although a peer has the configuration.
  test('a daemon that starts during a log outage gets the state from its peer', async () => {
    await daemons[1]?.stop();
    setLogFault('refusal');
    daemons = [daemons[0], Testkit.startDaemonProcess(files[1] ?? '')]
      .flatMap((daemon) => daemon ?? []);
    await vi.waitUntil(async () => (
      Testkit.requestText(`http://127.0.0.1:${ports[3]}/readyz`).then(
        ({ status }) => status === 200,
        () => false,
      )
    ), WAIT_OPTIONS);
    // The peer was in contact with the log until the log reported the outage, and confirms this to
    // the daemon that starts.
    await waitForStatus(1, validKey, 200);
    // Now no daemon gets a response from the log, so having the state is not enough to accept keys.
    setLogFault('silence');
    await waitForStatus(1, validKey, 503);
    log.faults.set([]);
    await waitForStatus(1, validKey, 200);
  });
});
