/** Command line of berylyoke: parses the arguments, runs the command and prints its result. */
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import yargs from 'yargs';
import type * as Yargs from 'yargs';
import * as CliCommand from './CliCommand.js';
import * as CliError from './CliError.js';
import * as ConfigCommands from './ConfigCommands.js';
import * as KeyCommands from './KeyCommands.js';
import * as LogCommands from './LogCommands.js';
import * as OperatorCommands from './OperatorCommands.js';

const { COMMANDS } = CliCommand;

/** Writers for the standard output and the standard error of a run. */
export interface CliOutput {
  readonly writeStdout: (text: string) => void;
  readonly writeStderr: (text: string) => void;
}

const HANDLERS: Readonly<Record<CliCommand.Command, CliCommand.CommandHandler>> = {
  [COMMANDS.configHistory]: ConfigCommands.showHistory,
  [COMMANDS.configPublish]: ConfigCommands.publishConfig,
  [COMMANDS.configShow]: ConfigCommands.showConfig,
  [COMMANDS.configValidate]: ConfigCommands.validateConfig,
  [COMMANDS.explain]: OperatorCommands.showExplanation,
  [COMMANDS.explainLogs]: LogCommands.explainFromLogs,
  [COMMANDS.keyIssue]: KeyCommands.issueKey,
  [COMMANDS.keyWithdraw]: KeyCommands.withdrawKey,
  [COMMANDS.logsCheck]: LogCommands.checkLogs,
  [COMMANDS.status]: OperatorCommands.showStatus,
};

/** Command that the arguments select, with its parsed arguments. */
interface Invocation {
  readonly command: CliCommand.Command;
  readonly args: CliCommand.CliArguments;
}

/** Creates the yargs handler that records the invocation of a command; `runCli` runs it later. */
type CreateYargsHandler = (command: CliCommand.Command) => (args: unknown) => void;

const PROGRAM_NAME = 'berylyoke';
const LISTS_POSITIONAL = {
  demandOption: true, describe: 'TOML file with the lists', type: 'string',
} as const;

function addConfigCommands(parser: Yargs.Argv, createHandler: CreateYargsHandler): Yargs.Argv {
  return parser
    .command(
      'validate <lists>',
      'validate a lists file without publishing it',
      (command) => command.positional('lists', LISTS_POSITIONAL)
        .example(`${PROGRAM_NAME} config validate lists.toml`, 'reports the line of each problem'),
      createHandler(COMMANDS.configValidate),
    )
    .command(
      'publish <lists>',
      'publish a lists file as the active configuration',
      (command) => command.positional('lists', LISTS_POSITIONAL)
        .option('base', {
          describe: 'version that the lists are based on; defaults to the active version',
          type: 'number',
        })
        .check(({ base }) => {
          if (base === undefined || (Number.isInteger(base) && base >= 0)) return true;
          throw new CliError.BadInputError({ message: '--base must be a non-negative integer' });
        })
        .example(`${PROGRAM_NAME} --settings s.toml config publish lists.toml`, '')
        .example(`${PROGRAM_NAME} --settings s.toml config publish lists.toml --base 7`, ''),
      createHandler(COMMANDS.configPublish),
    )
    .command(
      'show',
      'show the active lists as TOML',
      (command) => command
        .example(`${PROGRAM_NAME} --settings s.toml config show > lists.toml`, ''),
      createHandler(COMMANDS.configShow),
    )
    .command(
      'history',
      'show the most recent edits',
      (command) => command
        .example(`${PROGRAM_NAME} --settings s.toml config history --json`, ''),
      createHandler(COMMANDS.configHistory),
    )
    .demandCommand(1, 1, 'specify a subcommand: validate, publish, show or history');
}

function addKeyCommands(parser: Yargs.Argv, createHandler: CreateYargsHandler): Yargs.Argv {
  return parser
    .command(
      'issue',
      'issue an API key; it is printed once and cannot be recovered',
      (command) => command
        .option('account', { demandOption: true, describe: 'client account', type: 'string' })
        .example(`${PROGRAM_NAME} --settings s.toml key issue --account fan-shop`, ''),
      createHandler(COMMANDS.keyIssue),
    )
    .command(
      'withdraw <keyId>',
      'withdraw an API key; daemons reject it within seconds',
      (command) => command
        .positional('keyId', {
          demandOption: true, describe: 'key id, as in byk_KEYID_SECRET', type: 'string',
        })
        .example(`${PROGRAM_NAME} --settings s.toml key withdraw 0a1b2c3d4e5f`, ''),
      createHandler(COMMANDS.keyWithdraw),
    )
    .demandCommand(1, 1, 'specify a subcommand: issue or withdraw');
}

function addExplainArguments(parser: Yargs.Argv): Yargs.Argv {
  return parser
    .positional('requestId', { describe: 'request id', type: 'string' })
    .option('logs', { array: true, describe: 'log files', type: 'string' })
    .check(({ logs, requestId }) => {
      if (requestId !== undefined || (logs?.length ?? 0) > 1) return true;
      throw new CliError.BadInputError({ message: 'missing request id' });
    })
    .example(`${PROGRAM_NAME} --settings s.toml explain 5f0c6b1d`, 'queries the daemons')
    .example(`${PROGRAM_NAME} explain --logs vm-1.log vm-2.log 5f0c6b1d`, 'reads log files');
}

function buildParser(createHandler: CreateYargsHandler): Yargs.Argv {
  return yargs()
    .scriptName(PROGRAM_NAME)
    .usage('$0 --settings FILE COMMAND')
    .option('settings', { describe: 'settings file', requiresArg: true, type: 'string' })
    .option('json', { default: false, describe: 'print the result as JSON', type: 'boolean' })
    .command(
      'config',
      'manage the operators\' lists',
      (parser) => addConfigCommands(parser, createHandler),
    )
    .command(
      'key',
      'manage the API keys of client accounts',
      (parser) => addKeyCommands(parser, createHandler),
    )
    .command(
      'status',
      'show the status that each daemon reports',
      (parser) => parser.example(`${PROGRAM_NAME} --settings s.toml status`, ''),
      createHandler(COMMANDS.status),
    )
    .command(
      'explain [requestId]',
      'show how a request was handled and why',
      addExplainArguments,
      (args) => {
        const { logs, requestId } = args as Partial<CliCommand.CliArguments>;
        if (logs === undefined) createHandler(COMMANDS.explain)(args);
        // `--logs` is an array option, so yargs appends a request id that follows the files to it.
        else if (requestId !== undefined) createHandler(COMMANDS.explainLogs)(args);
        else {
          createHandler(COMMANDS.explainLogs)({
            ...args as object, logs: logs.slice(0, -1), requestId: logs.at(-1),
          });
        }
      },
    )
    .command('logs', 'inspect collected log files', (parser) => parser
      .command(
        'check <logs..>',
        'check every log line against the schema',
        (command) => command
          .positional('logs', { array: true, describe: 'log files', type: 'string' })
          .example(`${PROGRAM_NAME} logs check vm-1.log vm-2.log`, ''),
        createHandler(COMMANDS.logsCheck),
      )
      .demandCommand(1, 1, 'specify a subcommand: check'))
    .example(`${PROGRAM_NAME} --settings s.toml config publish lists.toml`, '')
    .example(`${PROGRAM_NAME} --settings s.toml key issue --account fan-shop --json`, '')
    .epilogue('Exit status: 0 on success, 2 on invalid input, 1 on any other failure.')
    .demandCommand(1, 'specify a command')
    .strict()
    .recommendCommands()
    .version(false)
    .wrap(100);
}

function printFailure(error: CliError.CliError, isJson: boolean, output: CliOutput): void {
  const { message } = error;
  const details = error instanceof CliError.CommandFailedError ? error.details : undefined;
  if (isJson) {
    const value = { error: { details, message, type: error._tag } };
    output.writeStdout(`${JSON.stringify(value)}\n`);
  } else output.writeStderr(`${PROGRAM_NAME}: ${message}\n`);
}

/** Runs one command line and returns its exit status. */
export async function runCli(argv: readonly string[], output: CliOutput): Promise<number> {
  const invocations: Invocation[] = [];
  const parser = buildParser((command) => (args) => {
    invocations.push({ args: args as CliCommand.CliArguments, command });
  });
  const parsed = await new Promise<{ error: Error | undefined; text: string }>((resolve) => {
    Promise.resolve(parser.parse([...argv], {}, (error, _, text) => {
      resolve({ error: error ?? undefined, text });
    })).catch((error: unknown) => resolve({ error: error as Error, text: '' }));
  });
  const isJson = argv.includes('--json');
  const [invocation] = invocations;
  if (parsed.error !== undefined) {
    const message = `${parsed.error.message}; see ${PROGRAM_NAME} --help`;
    printFailure(new CliError.BadInputError({ message }), isJson, output);
    return CliError.EXIT_STATUSES.badInput;
  }
  if (invocation === undefined) {
    output.writeStdout(`${parsed.text}\n`);
    return CliError.EXIT_STATUSES.success;
  }
  const result = await Effect.runPromise(
    Effect.either(HANDLERS[invocation.command](invocation.args)),
  );
  if (Either.isLeft(result)) {
    printFailure(result.left, isJson, output);
    return result.left.exitStatus;
  }
  output.writeStdout(`${isJson ? JSON.stringify(result.right.value) : result.right.text}\n`);
  return CliError.EXIT_STATUSES.success;
}
