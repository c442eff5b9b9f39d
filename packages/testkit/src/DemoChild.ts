/** The demo as a child process, for measurements in which the fakes must not share a process. */
import * as childProcess from 'node:child_process';
import * as url from 'node:url';
import * as DemoSystem from './DemoSystem.js';

const DEMO_MAIN = url.fileURLToPath(new URL('../dist/demo.js', import.meta.url));

/** A running demo. */
export interface DemoChild {
  readonly description: DemoSystem.DemoDescription;
  readonly pid: number;
  readonly stop: () => Promise<void>;
}

/** Starts the demo with its options and waits for its line; rejects when it ends before. */
export async function startDemoChild(args: readonly string[]): Promise<DemoChild> {
  const child = childProcess.spawn(process.execPath, [DEMO_MAIN, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = new Promise<void>((resolve) => {
    child.once('close', () => resolve());
  });
  const line = await new Promise<string>((resolve, reject) => {
    child.stdout.setEncoding('utf8').once('data', resolve);
    child.once('close', (status) => reject(new DemoSystem.DemoError({
      message: `the demo ended with ${status}`,
    })));
  });
  return {
    description: JSON.parse(line) as DemoSystem.DemoDescription,
    pid: child.pid ?? 0,
    stop: async () => {
      child.kill('SIGTERM');
      await exited;
    },
  };
}
