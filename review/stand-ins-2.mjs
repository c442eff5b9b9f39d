/**
 * Stand-ins for the scripts of the second review: the platform's store and duty interface, backend
 * servers and clients. Daemons are the real program, started with the command and the settings
 * template of the deploy folder. Everything listens on loopback addresses.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '..');
const LENGTH_BYTES = 4;
const READ_HEADER_BYTES = 16;
/** Answer time of the store, by the sheets of the small sites. */
const STORE_ANSWER_MS = 4;

// Ends the processes of the machines as well, which an unhandled signal would leave behind.
process.on('SIGTERM', () => {
  // eslint-disable-next-line n/no-process-exit
  process.exit(2);
});

/** Waits for a time in milliseconds. */
export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });
}

/** Starts an HTTP server on a free port of a loopback address. */
export async function listen(handle, host = '127.0.0.1') {
  const server = http.createServer({ keepAliveTimeout: 60_000 }, handle);
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  return { port: server.address().port, server };
}

function readBody(request) {
  return new Promise((resolve) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('error', () => undefined);
  });
}

function splitRecords(body) {
  const records = [];
  let start = 0;
  while (start + LENGTH_BYTES <= body.length) {
    const end = start + LENGTH_BYTES + body.readUInt32BE(start);
    records.push(body.subarray(start + LENGTH_BYTES, end));
    start = end;
  }
  return records;
}

function joinRecords(records) {
  return Buffer.concat(records.flatMap((record) => {
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(record.length);
    return [length, record];
  }));
}

function splitKeyed(record) {
  const end = 1 + record[0];
  return { key: record.subarray(1, end).toString(), value: record.subarray(end) };
}

/**
 * Starts the platform: its store, a log whose records expire after `keepMs`, and the duty
 * interface. `open` opens a listener for one machine, which can be cut off.
 */
export function startPlatform({ keepMs, note }) {
  const partitions = new Map();
  const usage = [];
  const highestFences = new Map();
  const servers = [];
  const getPartition = (name) => {
    if (!partitions.has(name)) {
      partitions.set(name, {
        first: 0, newest: new Map(), records: [], waiting: new Set(),
      });
    }
    return partitions.get(name);
  };
  const expire = (partition) => {
    const oldestMs = Date.now() - keepMs;
    while (partition.first < partition.records.length
      && partition.records[partition.first].atMs < oldestMs) {
      // eslint-disable-next-line no-param-reassign
      partition.first += 1;
    }
  };
  const append = (topic, part, records) => {
    const partition = getPartition(`${topic}/${part}`);
    const offset = partition.records.length;
    records.forEach((bytes) => {
      if (topic.startsWith('keyed.')) {
        const { key, value } = splitKeyed(bytes);
        if (value.length === 0) partition.newest.delete(key);
        else partition.newest.set(key, { offset: partition.records.length, value });
      }
      partition.records.push({ atMs: Date.now(), bytes });
    });
    [...partition.waiting].forEach((resume) => resume());
    return { end: partition.records.length, offset };
  };
  const answer = (response, status, body) => {
    if (response.destroyed) return;
    const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
    response.writeHead(status, { 'Content-Length': bytes.length });
    response.end(bytes);
  };
  const answerRead = (response, partition, from) => {
    expire(partition);
    if (from < partition.first || from > partition.records.length) {
      answer(response, 410, { first: partition.first });
      return;
    }
    const head = Buffer.alloc(READ_HEADER_BYTES);
    head.writeBigUInt64BE(BigInt(partition.records.length));
    head.writeBigUInt64BE(BigInt(partition.first), READ_HEADER_BYTES / 2);
    const records = partition.records.slice(from).map(({ bytes }) => bytes);
    answer(response, 200, Buffer.concat([head, joinRecords(records)]));
  };
  /** Refuses a call whose fencing token is lower than one seen for the subject. */
  const checkFence = (subject, fence) => {
    if (fence < (highestFences.get(subject) ?? -Infinity)) return false;
    highestFences.set(subject, fence);
    return true;
  };
  const handlers = {
    '/scale': (query, body, response) => answer(response, 200, {}),
    '/usage': (query, body, response, request) => {
      const fence = Number(request.headers['x-berylyoke-fencing-token']);
      const holder = request.headers['x-berylyoke-duty-holder'];
      const { counts, windowId } = JSON.parse(body.toString());
      const isAccepted = checkFence('usage', fence);
      note(`usage of window ${windowId} by ${holder}, fence ${fence}: ${JSON.stringify(counts)} `
        + `${isAccepted ? 'accepted' : 'refused'}`);
      if (isAccepted) usage.push({ counts, windowId });
      answer(response, isAccepted ? 200 : 409, isAccepted ? {} : { reason: 'fenced' });
    },
    '/v1/log-append': (query, body, response) => {
      const partition = getPartition(`${query.get('topic')}/${query.get('part')}`);
      const at = query.get('at');
      const end = partition.records.length;
      if (at !== null && Number(at) !== end) answer(response, 412, { end });
      else answer(response, 200, append(query.get('topic'), query.get('part'), splitRecords(body)));
    },
    '/v1/log-newest': (query, body, response) => {
      const partition = getPartition(`${query.get('topic')}/${query.get('part')}`);
      answer(response, 200, {
        end: partition.records.length,
        hasMore: false,
        items: [...partition.newest].map(([key, { offset, value }]) => ({
          key, offset, value: value.toString('base64'),
        })),
      });
    },
    '/v1/log-read': (query, body, response) => {
      const partition = getPartition(`${query.get('topic')}/${query.get('part')}`);
      const from = Number(query.get('from'));
      const waitMs = Number(query.get('waitMs') ?? 0);
      if (waitMs === 0 || partition.records.length !== from) {
        answerRead(response, partition, from);
        return;
      }
      let timer;
      const resume = () => {
        clearTimeout(timer);
        partition.waiting.delete(resume);
        answerRead(response, partition, from);
      };
      timer = setTimeout(resume, waitMs);
      partition.waiting.add(resume);
    },
  };
  return {
    close: () => servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    }),
    /** Deletes the history, as the store does at an impairment of its own. */
    forget: () => partitions.forEach((partition) => {
      // eslint-disable-next-line no-param-reassign
      partition.first = partition.records.length;
    }),
    /** Opens the listener of one machine; nothing passes it in either direction while it is cut. */
    open: async () => {
      let whole = Promise.resolve();
      let heal = () => undefined;
      const { port, server } = await listen(async (request, response) => {
        const body = await readBody(request);
        await whole;
        await sleep(STORE_ANSWER_MS / 2);
        // A caller that gave up behind the cut has reset its connection; its call is lost.
        if (request.socket.destroyed) return;
        const { pathname, searchParams } = new URL(request.url, 'http://store');
        handlers[pathname]?.(searchParams, body, response, request);
      });
      servers.push(server);
      return {
        address: `127.0.0.1:${port}`,
        cut: () => {
          whole = new Promise((resolve) => {
            heal = resolve;
          });
        },
        heal: () => heal(),
      };
    },
    usage,
    write: (topic, key, value) => {
      const keyBytes = Buffer.from(key);
      append(topic, 0, [Buffer.concat([
        Buffer.from([keyBytes.length]), keyBytes, Buffer.from(JSON.stringify(value)),
      ])]);
    },
  };
}

/** Renders a settings template of the deploy file. */
function renderTemplate(template, fields) {
  const lookUp = (name) => name.split('.').reduce((value, part) => value?.[part], fields);
  return template
    .replace(/\{\{#(\w+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, name, section) => (
      Object.entries(fields[name] ?? {}).map(([key, value]) => (
        section.replaceAll('{{@}}', key).replaceAll('{{.}}', value)
      )).join('')
    ))
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(lookUp(name) ?? ''));
}

/** Finds a free port of an address. */
async function findPort(host) {
  const { port, server } = await listen(() => undefined, host);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Bounds of the small sites, by the settings that the platform gives to a process. */
export const BOUNDS = {
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

/** Prepares a machine: its loopback address, ports and settings, and its program. */
export async function createMachine(name, zone, storeAddress) {
  // Each machine has an address of its own, because the port of the metrics is fixed.
  const bytes = () => 1 + Math.floor(Math.random() * 250);
  const ip = `127.${bytes()}.${bytes()}.${bytes()}`;
  const front = await findPort(ip);
  const ready = await findPort(ip);
  const peers = await findPort(ip);
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'review-'));
  const settingsFile = path.join(folder, 'settings.toml');
  await fs.writeFile(settingsFile, renderTemplate(
    await fs.readFile(path.join(ROOT, 'deploy/daemon.toml'), 'utf8'),
    {
      bounds: BOUNDS,
      cloud: { address: storeAddress },
      internalPorts: [peers, peers],
      ip,
      limits: {
        cores: 1, cpuShare: 0.675, maxFds: 4_100, memoryMb: 350,
      },
      listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
      nodeName: name,
      platform: { address: storeAddress },
      zone,
      zones: { [zone]: 'area-1' },
    },
  ));
  const deployFile = await fs.readFile(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(deployFile);
  const [file, ...args] = command.replace('/etc/berylyoke/settings.toml', settingsFile).split(' ');
  const logFile = process.env.DAEMON_LOGS === undefined
    ? undefined
    : await fs.open(path.join(process.env.DAEMON_LOGS, `${name}.log`), 'a');
  let child;
  let exit;
  let memoryMb = 0;
  const timer = setInterval(() => {
    if (child === undefined) return;
    fs.readFile(`/proc/${child.pid}/status`, 'utf8').then((status) => {
      memoryMb = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0) / 1_024;
    }, () => {
      memoryMb = 0;
    });
  }, 250);
  timer.unref();
  process.once('exit', () => child?.kill('SIGKILL'));
  return {
    front,
    ip,
    kill: async (signal = 'SIGKILL') => {
      const running = child;
      child = undefined;
      const hasEnded = running === undefined || running.exitCode !== null
        || running.signalCode !== null;
      if (hasEnded) return;
      await new Promise((resolve) => {
        running.once('exit', resolve);
        running.kill(signal);
      });
    },
    name,
    /** Returns the memory of the process, and how it ended if it did so by itself. */
    observe: () => ({ exit, memoryMb }),
    readReadiness: () => new Promise((resolve) => {
      http.get({ agent: false, host: ip, port: ready }, (response) => {
        response.resume();
        resolve(response.statusCode);
      }).on('error', () => resolve(0));
    }),
    remove: () => fs.rm(folder, { force: true, recursive: true }),
    start: () => {
      child = childProcess.spawn(file, args, {
        cwd: ROOT,
        env: { HOME: process.env.HOME, PATH: process.env.PATH },
        stdio: ['ignore', logFile?.fd ?? 'ignore', 'ignore'],
      });
      exit = undefined;
      const started = child;
      started.once('exit', (code, signal) => {
        if (child === started) exit = `code ${code}, signal ${signal}`;
      });
    },
  };
}

/** Waits until all machines are ready; resolves with whether they are within the time. */
export async function waitReady(machines, limitMs = 20_000) {
  const endMs = Date.now() + limitMs;
  while (Date.now() < endMs) {
    // eslint-disable-next-line no-await-in-loop
    const statuses = await Promise.all(machines.map(({ readReadiness }) => readReadiness()));
    if (statuses.every((status) => status === 200)) return true;
    // eslint-disable-next-line no-await-in-loop
    await sleep(100);
  }
  return false;
}

/** Sends one request and resolves with its status, or 0 if there was no whole answer. */
export function send(machine, {
  agent, body, deadlineMs = 600, headers = {}, host, id, key, method = 'GET', target,
}) {
  return new Promise((resolve) => {
    const request = http.request({
      agent: agent ?? false,
      headers: {
        ...key === undefined ? {} : { Authorization: `Bearer ${key}` },
        Host: host,
        'X-Berylyoke-Deadline-Ms': deadlineMs,
        'X-Berylyoke-Request-Id': id,
        ...headers,
      },
      host: machine.ip,
      method,
      path: target,
      port: machine.front,
    }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => resolve({ body: '', status: 0 }));
      response.on('end', () => resolve({
        body: Buffer.concat(chunks).toString(), status: response.complete ? response.statusCode : 0,
      }));
    });
    request.on('error', () => resolve({ body: '', status: 0 }));
    request.end(body);
  });
}

/** Opens the record of a case; each line bears the seconds since its start. */
export function openRecord(folder) {
  const startMs = Date.now();
  const lines = [];
  return {
    note: (text) => lines.push(`${((Date.now() - startMs) / 1_000).toFixed(3)} ${text}`),
    save: () => fs.writeFile(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`),
  };
}
