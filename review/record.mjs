/** Record of a run, and the frame of a script: cleans up, writes the record and sets the status. */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as url from 'node:url';

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

/** Whether the run includes the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Runs a case. `run` gets a function that adds a line to the record and a list of cleanups, and
 * resolves with the list of broken rules.
 */
export async function runCase(moduleUrl, run) {
  const startMs = performance.now();
  const lines = [`trouble: ${hasTrouble ? 'yes' : 'no'}`];
  const cleanups = [];
  const note = (line) => lines.push(`${Math.round(performance.now() - startMs)} ${line}`);
  let status = COULD_NOT_RUN;
  try {
    const broken = await run({ cleanups, note });
    broken.forEach((line) => lines.push(`BROKEN ${line}`));
    if (broken.length === 0) lines.push('HELD');
    status = broken.length === 0 ? HELD : BROKEN;
    process.stdout.write(`${lines.at(-1)}\n`);
  } catch (error) {
    lines.push(`COULD NOT RUN ${error instanceof Error ? error.stack : error}`);
    process.stdout.write(`${lines.at(-1)}\n`);
  }
  await Promise.allSettled(cleanups.map((clean) => clean()));
  const folder = path.dirname(url.fileURLToPath(moduleUrl));
  await fs.writeFile(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  // eslint-disable-next-line n/no-process-exit
  process.exit(status);
}
