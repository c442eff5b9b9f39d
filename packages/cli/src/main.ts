/** Entry point of the bin `berylyoke`. */
import * as Cli from './Cli.js';

process.exitCode = await Cli.runCli(process.argv.slice(2), {
  writeError: (text) => {
    process.stderr.write(text);
  },
  writeOut: (text) => {
    process.stdout.write(text);
  },
});
