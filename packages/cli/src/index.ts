/** The command line berylyoke. */
export * from './Cli.js';
export * from './CliCommand.js';
export * from './CliError.js';
export * from './LogLines.js';
export * from './RequestStory.js';
