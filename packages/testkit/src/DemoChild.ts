/** Runs the demo as a child process, for measurements whose process must not also run the fakes. */
import * as childProcess from 'node:child_process';
import * as url from 'node:url';
import * as DemoSystem from './DemoSystem.js';

const DEMO_SCRIPT = url.fileURLToPath(new URL('../dist/demo.js', import.meta.url));

/** A running demo process. */
export interface DemoChild {
  readonly description: DemoSystem.DemoDescription;
  readonly pid: number;
  readonly stop: () => Promise<void>;
}

/**
 * Starts the demo with command-line options and waits until it prints its description.
 *
 * @returns the demo; rejects with `DemoError` when the process exits before it prints
 */
export async function startDemoChild(args: readonly string[]): Promise<DemoChild> {
  const child = childProcess.spawn(process.execPath, [DEMO_SCRIPT, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = new Promise<void>((resolve) => {
    child.once('close', () => resolve());
  });
  const line = await new Promise<string>((resolve, reject) => {
    child.stdout.setEncoding('utf8').once('data', resolve);
    child.once('close', (status) => reject(new DemoSystem.DemoError({
      message: `the demo process exited with status ${status} before it printed its description`,
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
