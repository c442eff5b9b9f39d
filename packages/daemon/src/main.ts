/** Program `berylyoked`: reads its settings, runs one daemon and stops it gracefully. */
import * as Config from '@berylyoke/config';
import * as Either from 'effect/Either';
import * as fs from 'node:fs/promises';
import yargs from 'yargs';
import * as Daemon from './Daemon.js';

const EXIT_BAD_INPUT = 2;
const EXIT_FAILURE = 1;

async function runMain(): Promise<void> {
  const { settings: file } = await yargs(process.argv.slice(2))
    .scriptName('berylyoked')
    .usage('$0 --settings FILE\n\nRuns a berylyoke daemon.')
    .option('settings', {
      demandOption: true, describe: 'settings file (TOML)', requiresArg: true, type: 'string',
    })
    .example('$0 --settings entry-1.toml', 'runs the daemon described by entry-1.toml')
    .exitProcess(true)
    .strict()
    .parse();
  const text = await fs.readFile(file, 'utf8');
  const settings = Config.decodeToml(Config.Settings, file, text);
  if (Either.isLeft(settings)) {
    process.stderr.write(`${settings.left.message}\n`);
    process.exitCode = EXIT_BAD_INPUT;
    return;
  }
  let starting: Promise<Daemon.Daemon> | undefined;
  let stopping = false;
  const handleSignal = (): void => {
    if (stopping) return;
    stopping = true;
    starting?.then((daemon) => daemon.stop()).catch(() => {
      process.exitCode = EXIT_FAILURE;
    });
  };
  // Before the start: a signal that came between the first answer of a daemon and the end of its
  // start ended the process without a drain.
  process.on('SIGINT', handleSignal);
  process.on('SIGTERM', handleSignal);
  starting = Daemon.startDaemon(settings.right);
  await starting;
}

runMain().catch((error: unknown) => {
  process.stderr.write(`berylyoked: ${error instanceof Error ? error.message : 'failed'}\n`);
  // A daemon that could not open its entry would otherwise live on behind its operator interface.
  // eslint-disable-next-line n/no-process-exit
  process.exit(EXIT_FAILURE);
});
