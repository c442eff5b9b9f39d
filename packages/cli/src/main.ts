/** Entry point of the executable `berylyoke`. */
import * as Cli from './Cli.js';

process.exitCode = await Cli.runCli(process.argv.slice(2), {
  writeStderr: (text) => {
    process.stderr.write(text);
  },
  writeStdout: (text) => {
    process.stdout.write(text);
  },
});
