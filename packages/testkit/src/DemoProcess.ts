/** Starts daemons and runs the command-line tool as child processes of the demo and of tests. */
import * as childProcess from 'node:child_process';
import * as net from 'node:net';
import * as url from 'node:url';

/** Time that a process has to exit after SIGTERM before SIGKILL is sent, in milliseconds. */
const STOP_TIMEOUT_MS = 15_000;

const DAEMON_BIN = url.fileURLToPath(new URL('../../daemon/bin/berylyoked.js', import.meta.url));
const CLI_BIN = url.fileURLToPath(new URL('../../cli/bin/berylyoke.js', import.meta.url));

/** A running child process. */
export interface DemoProcess {
  readonly pid: number | undefined;
  /** Resolves to the exit status, or to the name of the signal that ended the process. */
  readonly exited: Promise<number | string | null>;
  readonly kill: (signal: NodeJS.Signals) => void;
  /** Sends SIGTERM, and SIGKILL when the process has not exited after 15 s. */
  readonly stop: () => Promise<number | string | null>;
}

/** Exit status and whole output of a command. */
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

/** Starts a daemon with a settings file; its log goes to standard error of this process. */
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

/** Runs the command-line tool and waits until it exits. */
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
 * Lowest port that daemons listen on. All ranges lie below the ephemeral ports: the system could
 * give a free ephemeral port to an outgoing connection before the daemon listens on it.
 */
const LOWEST_PORT = 10_000;
const PORTS_PER_RANGE = 100;
const PORT_RANGE_COUNT = 200;

let portsTried = 0;

function isPortFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

async function findFreePort(): Promise<number> {
  const rangeStart = LOWEST_PORT + (process.pid % PORT_RANGE_COUNT) * PORTS_PER_RANGE;
  const port = rangeStart + (portsTried % PORTS_PER_RANGE);
  portsTried += 1;
  return await isPortFree(port) ? port : findFreePort();
}

/**
 * Finds different free loopback ports. The range depends on the process id, so that concurrent test
 * processes rarely choose the same ports.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  return Array.from({ length: count }).reduce<Promise<readonly number[]>>(async (previous) => (
    [...await previous, await findFreePort()]
  ), Promise.resolve([]));
}
