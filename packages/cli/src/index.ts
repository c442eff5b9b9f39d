/** Command line of berylyoke, and the schema of the log lines that its daemons write. */
export * from './Cli.js';
export * from './CliCommand.js';
export * from './CliError.js';
export * from './LogLines.js';
export * from './RequestExplanation.js';
