/** Daemon processes of the fleet bench, with their byte counts. */
import * as childProcess from 'node:child_process';
import * as events from 'node:events';
import * as url from 'node:url';
import type * as SocketCounter from './SocketCounter.js';

const DAEMON_BIN = url.fileURLToPath(new URL('../../daemon/bin/berylyoked.js', import.meta.url));
const COUNTER = new URL('./SocketCounter.js', import.meta.url).href;

/** A daemon that reports its usage. */
export interface FleetProcess {
  readonly readUsage: () => Promise<SocketCounter.ProcessUsage>;
  readonly stop: () => Promise<void>;
}

/** Starts a daemon with the counter loaded. */
export function startFleetProcess(settingsFile: string): FleetProcess {
  const child = childProcess.spawn(
    process.execPath,
    ['--expose-gc', '--import', COUNTER, DAEMON_BIN, '--settings', settingsFile],
    { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] },
  );
  return {
    readUsage: async () => {
      child.send('usage');
      const [usage] = await events.EventEmitter.once(child, 'message') as [
        SocketCounter.ProcessUsage,
      ];
      return usage;
    },
    stop: async () => {
      if (child.exitCode !== null) return;
      const exited = events.EventEmitter.once(child, 'exit');
      child.kill('SIGTERM');
      await exited;
    },
  };
}
