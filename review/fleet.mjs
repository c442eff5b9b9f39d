/**
 * Starts daemons as the deploy file does: its run command, and settings that are rendered from its
 * template. A daemon that ends is started again after a second, as the platform does.
 */
import * as childProcess from 'node:child_process';
import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

const ROOT = url.fileURLToPath(new URL('../', import.meta.url));
const RESTART_DELAY_MS = 1_000;
const START_TIMEOUT_MS = 30_000;

/** Bounds of the site, as the claim files name it. */
const BOUNDS = {
  drainMs: 2_000,
  graceS: 8,
  leaseMs: 3_000,
  retryRatio: 0.2,
  retrySlack: 56,
  revokeMs: 5_000,
  usageLateS: 10,
  usageOff: 0.05,
  windowS: 5,
};

export function waitFor(timeMs) {
  return new Promise((resolve) => {
    setTimeout(resolve, timeMs);
  });
}

function lookUp(fields, name) {
  return name.split('.').reduce((value, part) => value?.[part], fields);
}

/** Renders a template of the deploy file; sections may only be lists or tables. */
export function renderTemplate(template, fields) {
  const withSections = template.replace(
    /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
    (_, name, text) => Object.entries(lookUp(fields, name)).map(([key, value]) => (
      text.replaceAll('{{@}}', key).replaceAll('{{.}}', String(value))
    )).join(''),
  );
  return withSections.replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(lookUp(fields, name)));
}

async function readRunCommand() {
  const text = await fs.readFile(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const run = /^run = "(.+)"$/m.exec(text)[1];
  const template = /^template = "(.+)"$/m.exec(text)[1];
  return {
    template: await fs.readFile(path.join(ROOT, template), 'utf8'),
    words: run.split(' '),
  };
}

/**
 * Creates a loopback address of this run's own: the template fixes the port of the metrics, so each
 * daemon has an address to itself.
 */
export function createLoopbackAddress() {
  const second = crypto.randomInt(64, 192);
  return `127.${second}.${crypto.randomInt(256)}.${crypto.randomInt(1, 255)}`;
}

export async function findFreePort(host) {
  const server = net.createServer();
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

function readStatus(host, port) {
  return new Promise((resolve) => {
    const request = http.get({
      agent: false, host, path: '/v1/readyz', port, timeout: 1_000,
    }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    request.on('error', () => resolve(0));
    request.on('timeout', () => request.destroy());
  });
}

/** Starts one daemon; `onExit` is told of each end that this script did not ask for. */
export async function startDaemon({
  dutyAddress, name, onExit, platformAddress,
}) {
  const host = createLoopbackAddress();
  const { template, words } = await readRunCommand();
  const [entry, ready, peers] = await Promise.all([1, 2, 3].map(() => findFreePort(host)));
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'review-'));
  const settingsFile = path.join(folder, 'settings.toml');
  await fs.writeFile(settingsFile, renderTemplate(template, {
    bounds: BOUNDS,
    cloud: { address: dutyAddress ?? platformAddress },
    internalPorts: [peers],
    ip: host,
    limits: { cores: 1, cpuShare: 0.675 },
    listen: { front: `${host}:${entry}`, ready: `${host}:${ready}` },
    nodeName: name,
    platform: { address: platformAddress },
    zone: 'houston-a',
    zones: { 'houston-a': 'gulf-texas' },
  }));
  const args = words.slice(1).map((word) => (
    word === '/etc/berylyoke/settings.toml' ? settingsFile : word
  ));
  const logLines = [];
  const state = { child: undefined, isClosed: false, starts: 0 };
  const start = () => {
    state.starts += 1;
    const child = childProcess.spawn(process.execPath, args, {
      cwd: ROOT, env: { HOME: folder, PATH: process.env.PATH }, stdio: ['ignore', 'pipe', 'pipe'],
    });
    state.child = child;
    [child.stdout, child.stderr].forEach((stream) => stream.setEncoding('utf8')
      .on('data', (text) => logLines.push(...text.split('\n').filter((line) => line !== ''))));
    state.ended = new Promise((resolve) => {
      child.once('close', (code, signal) => {
        resolve();
        if (state.isClosed) return;
        onExit?.({ code, name, signal });
        setTimeout(() => !state.isClosed && start(), RESTART_DELAY_MS);
      });
    });
  };
  start();
  return {
    close: async () => {
      state.isClosed = true;
      state.child.kill('SIGKILL');
      await state.ended;
      await fs.rm(folder, { recursive: true });
    },
    entryPort: entry,
    host,
    logLines,
    name,
    readReadiness: () => readStatus(host, ready),
    sendSignal: (signal) => state.child.kill(signal),
    state,
  };
}

/** Waits until a daemon is ready; throws after the time limit. */
export async function waitUntilReady(daemon, limitMs = START_TIMEOUT_MS) {
  const endMs = performance.now() + limitMs;
  while (performance.now() < endMs) {
    // eslint-disable-next-line no-await-in-loop
    if (await daemon.readReadiness() === 200) return;
    // eslint-disable-next-line no-await-in-loop
    await waitFor(100);
  }
  throw new Error(`${daemon.name} does not become ready`);
}

/** Starts two daemons and waits until they are ready; notes each end that nobody asked for. */
export async function startFleet({ cleanups, note, platformAddress }) {
  const exits = [];
  const onExit = (exit) => {
    exits.push(exit);
    note(`daemon ended by itself: ${JSON.stringify(exit)}`);
  };
  const daemons = await Promise.all(['front-1', 'front-2'].map((name) => (
    startDaemon({ name, onExit, platformAddress })
  )));
  daemons.forEach(({ close }) => cleanups.push(close));
  await Promise.all(daemons.map((daemon) => waitUntilReady(daemon)));
  note('daemons ready');
  return { daemons, exits };
}

/** Entry of a server in the store. */
export function createEntry(host, port, service, extra = {}) {
  return {
    address: `${host}:${port}`,
    born: Date.now(),
    coldRemainingMs: 0,
    sequence: 1,
    service,
    slots: 64,
    state: 'ready',
    version: 'v1',
    zone: 'houston-a',
    ...extra,
  };
}

/** Writes the entries of a service's servers to the store. */
export function registerServers(platform, service, listening, host) {
  listening.forEach(({ port }, index) => platform.writeKey(
    'keyed.servers',
    `${service}-${index}`,
    createEntry(host, port, service),
  ));
}

/** Route of the configuration. */
export function createRoute(name, service, routeType, extra = {}) {
  return {
    gapGoalMs: 500,
    goalMs: 500,
    hostname: 'shop.example',
    maxAttempts: 1,
    name,
    pathPrefix: `/${name}/`,
    priority: 2,
    public: false,
    routeType,
    service,
    timeoutMs: 3_000,
    ...extra,
  };
}

/** Configuration with one tenant, whose key is `key-1`. */
export function createConfig(version, routes, services) {
  return {
    limits: {
      headerTimeoutMs: 10_000,
      idleTimeoutMs: 15_000,
      maxBodyBytes: 1_000_000,
      maxHeaderBytes: 16_384,
    },
    routes,
    services: services.map((name) => ({ maxConns: 1_000, name })),
    tenants: [{ apiKeys: ['key-1'], name: 'tenant-1' }],
    version,
  };
}
