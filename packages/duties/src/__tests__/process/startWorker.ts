/** Starts a worker process and collects its reports. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as readline from 'node:readline';
import * as url from 'node:url';
import type * as LeaseWorker from './LeaseWorker.js';

const WORKER_PATH = url.fileURLToPath(new URL('LeaseWorker.ts', import.meta.url));

/** A running worker. */
export interface Worker {
  readonly reports: readonly LeaseWorker.WorkerReport[];
  /** Whether the kernel reports the process as stopped. */
  readonly isStopped: () => Promise<boolean>;
  /** Describes the state and the pending signals of each thread, for messages of failed tests. */
  readonly describeProcess: () => Promise<string>;
  readonly signal: (name: 'SIGCONT' | 'SIGTERM') => void;
  readonly waitForExit: () => Promise<void>;
  readonly close: () => Promise<void>;
}

/** Starts a worker. */
export function startWorker(settings: LeaseWorker.WorkerArguments): Worker {
  const reports: LeaseWorker.WorkerReport[] = [];
  const child = childProcess.spawn(
    process.execPath,
    ['--import', 'tsx', WORKER_PATH, JSON.stringify(settings)],
    { stdio: ['ignore', 'pipe', 'inherit'] },
  );
  const exit = new Promise<void>((resolve) => {
    child.once('exit', () => resolve());
  });
  readline.createInterface({ input: child.stdout }).on('line', (line) => {
    reports.push(JSON.parse(line) as LeaseWorker.WorkerReport);
  });
  return {
    close: async () => {
      child.kill('SIGKILL');
      await exit;
    },
    describeProcess: async () => {
      const folder = `/proc/${child.pid}/task`;
      const threads = await fs.readdir(folder).catch(() => []);
      const texts = await Promise.all(threads.map((thread) => (
        fs.readFile(`${folder}/${thread}/status`, 'utf8').catch(() => 'gone')
      )));
      const lines = texts.map((text) => (
        text.split('\n').filter((line) => /^(State|SigPnd|ShdPnd):/.test(line)).join(' ')
      ));
      return `exit ${child.exitCode ?? child.signalCode}; threads: ${lines.join('; ')}`;
    },
    isStopped: async () => {
      const stat = await fs.readFile(`/proc/${child.pid}/stat`, 'utf8');
      return stat.slice(stat.lastIndexOf(')') + 2).startsWith('T');
    },
    reports,
    signal: (name) => {
      child.kill(name);
    },
    waitForExit: () => exit,
  };
}
