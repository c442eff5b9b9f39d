/** Child processes of the demo and of tests: the daemons and the command line. */
import * as childProcess from 'node:child_process';
import * as net from 'node:net';
import * as url from 'node:url';

/** Time that a process may take to stop gracefully before it is killed, in milliseconds. */
const STOP_TIMEOUT_MS = 15_000;

const DAEMON_BIN = url.fileURLToPath(new URL('../../daemon/bin/berylyoked.js', import.meta.url));
const CLI_BIN = url.fileURLToPath(new URL('../../cli/bin/berylyoke.js', import.meta.url));

/** A running child process. */
export interface DemoProcess {
  readonly pid: number | undefined;
  /** Settles with the exit status, or the signal that ended the process. */
  readonly exited: Promise<number | string | null>;
  readonly kill: (signal: NodeJS.Signals) => void;
  /** Asks the process to stop; kills it when it takes too long. */
  readonly stop: () => Promise<number | string | null>;
}

/** Result of a finished command. */
export interface CommandResult {
  readonly status: number | string | null;
  readonly out: string;
  readonly error: string;
}

function waitForExit(child: childProcess.ChildProcess): Promise<number | string | null> {
  return new Promise((resolve, reject) => {
    child.once('error', reject);
    child.once('close', (status, signal) => resolve(status ?? signal));
  });
}

/** Starts a daemon with a settings file; its log records go to standard error. */
export function startDaemonProcess(
  settingsFile: string,
  nodeArgs: readonly string[] = [],
): DemoProcess {
  const args = [...nodeArgs, DAEMON_BIN, '--settings', settingsFile];
  const child = childProcess.spawn(process.execPath, args, {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  const exited = waitForExit(child);
  return {
    exited,
    kill: (signal) => {
      child.kill(signal);
    },
    pid: child.pid,
    stop: async () => {
      child.kill('SIGTERM');
      const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
      const status = await exited;
      clearTimeout(timer);
      return status;
    },
  };
}

/** Runs the command line to its end. */
export async function runCliProcess(args: readonly string[]): Promise<CommandResult> {
  const child = childProcess.spawn(process.execPath, [CLI_BIN, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const out: string[] = [];
  const error: string[] = [];
  child.stdout.setEncoding('utf8').on('data', (text: string) => out.push(text));
  child.stderr.setEncoding('utf8').on('data', (text: string) => error.push(text));
  const status = await waitForExit(child);
  return { error: error.join(''), out: out.join(''), status };
}

/**
 * Range of ports to listen on, below the range from which the system takes the ports of outgoing
 * connections: a port of that range that is free now can be taken before its daemon listens.
 */
const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 100;
const PROCESS_RANGES = 200;

let portsUsed = 0;

function isPortFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

async function findFreePort(): Promise<number> {
  const range = FIRST_PORT + (process.pid % PROCESS_RANGES) * PORTS_PER_PROCESS;
  const port = range + (portsUsed % PORTS_PER_PROCESS);
  portsUsed += 1;
  return await isPortFree(port) ? port : findFreePort();
}

/** Finds loopback ports that are free, each different; other test processes use other ranges. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  return Array.from({ length: count }).reduce<Promise<readonly number[]>>(async (before) => (
    [...await before, await findFreePort()]
  ), Promise.resolve([]));
}
