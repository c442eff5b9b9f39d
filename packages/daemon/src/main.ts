/** The program `berylyoked`: reads the settings, runs one daemon and shuts it down gracefully. */
import * as Config from '@berylyoke/config';
import * as Either from 'effect/Either';
import * as fs from 'node:fs/promises';
import yargs from 'yargs';
import * as Daemon from './Daemon.js';

const EXIT_BAD_INPUT = 2;
const EXIT_FAILURE = 1;

async function runMain(): Promise<void> {
  const { settings: settingsPath } = await yargs(process.argv.slice(2))
    .scriptName('berylyoked')
    .usage('$0 --settings FILE\n\nRuns a berylyoke daemon.')
    .option('settings', {
      demandOption: true, describe: 'settings file (TOML)', requiresArg: true, type: 'string',
    })
    .example('$0 --settings entry-1.toml', 'runs the daemon described by entry-1.toml')
    .exitProcess(true)
    .strict()
    .parse();
  const text = await fs.readFile(settingsPath, 'utf8');
  const settings = Config.decodeToml(Config.Settings, settingsPath, text);
  if (Either.isLeft(settings)) {
    process.stderr.write(`${settings.left.message}\n`);
    process.exitCode = EXIT_BAD_INPUT;
    return;
  }
  let daemonStart: Promise<Daemon.Daemon> | undefined;
  let isStopping = false;
  const handleSignal = (): void => {
    if (isStopping) return;
    isStopping = true;
    daemonStart?.then((daemon) => daemon.stop()).catch(() => {
      process.exitCode = EXIT_FAILURE;
    });
  };
  // The handlers are installed before the daemon starts: the daemon answers requests before its
  // start has finished, and a signal in this interval would end the process without a drain.
  process.on('SIGINT', handleSignal);
  process.on('SIGTERM', handleSignal);
  daemonStart = Daemon.startDaemon(settings.right);
  await daemonStart;
}

runMain().catch((error: unknown) => {
  process.stderr.write(`berylyoked: ${error instanceof Error ? error.message : 'failed'}\n`);
  // If the entry interface could not be opened, the operator interface, which is open already,
  // would keep the process alive.
  // eslint-disable-next-line n/no-process-exit
  process.exit(EXIT_FAILURE);
});
