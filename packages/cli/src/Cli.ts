/** Parses the arguments, runs the command that they name and prints its result. */
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

/** Where a run writes. */
export interface CliOutput {
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
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

interface Selection {
  readonly command: CliCommand.Command;
  readonly args: CliCommand.CliArguments;
}

type Select = (command: CliCommand.Command) => (args: unknown) => void;

const PROGRAM = 'berylyoke';
const listsArgument = {
  demandOption: true, describe: 'TOML file of lists', type: 'string',
} as const;

function addConfigCommands(parser: Yargs.Argv, select: Select): Yargs.Argv {
  return parser
    .command(
      'validate <lists>',
      'check a file of lists; changes nothing',
      (command) => command.positional('lists', listsArgument)
        .example(`${PROGRAM} config validate lists.toml`, 'names the line of each problem'),
      select(COMMANDS.configValidate),
    )
    .command(
      'publish <lists>',
      'put a file of lists in force',
      (command) => command.positional('lists', listsArgument)
        .option('base', {
          describe: 'version that the lists were made from; by default the one in force',
          type: 'number',
        })
        .check(({ base }) => {
          if (base === undefined || (Number.isInteger(base) && base >= 0)) return true;
          throw new CliError.BadInputError({ message: '--base takes a whole number from 0' });
        })
        .example(`${PROGRAM} --settings s.toml config publish lists.toml`, '')
        .example(`${PROGRAM} --settings s.toml config publish lists.toml --base 7`, ''),
      select(COMMANDS.configPublish),
    )
    .command(
      'show',
      'show the lists in force, as TOML',
      (command) => command
        .example(`${PROGRAM} --settings s.toml config show > lists.toml`, ''),
      select(COMMANDS.configShow),
    )
    .command(
      'history',
      'show the newest edits',
      (command) => command
        .example(`${PROGRAM} --settings s.toml config history --json`, ''),
      select(COMMANDS.configHistory),
    )
    .demandCommand(1, 1, 'name one of: validate, publish, show, history');
}

function addKeyCommands(parser: Yargs.Argv, select: Select): Yargs.Argv {
  return parser
    .command(
      'issue',
      'issue a key; it is printed once and kept nowhere',
      (command) => command
        .option('account', { demandOption: true, describe: 'client account', type: 'string' })
        .example(`${PROGRAM} --settings s.toml key issue --account fan-shop`, ''),
      select(COMMANDS.keyIssue),
    )
    .command(
      'withdraw <keyId>',
      'withdraw a key; daemons refuse it within seconds',
      (command) => command
        .positional('keyId', {
          demandOption: true, describe: 'second part of the key', type: 'string',
        })
        .example(`${PROGRAM} --settings s.toml key withdraw 0a1b2c3d4e5f`, ''),
      select(COMMANDS.keyWithdraw),
    )
    .demandCommand(1, 1, 'name one of: issue, withdraw');
}

function addExplainArguments(parser: Yargs.Argv): Yargs.Argv {
  return parser
    .positional('requestId', { describe: 'id of the request', type: 'string' })
    .option('logs', { array: true, describe: 'files of log lines', type: 'string' })
    .check(({ logs, requestId }) => {
      if (requestId !== undefined || (logs?.length ?? 0) > 1) return true;
      throw new CliError.BadInputError({ message: 'name the request id' });
    })
    .example(`${PROGRAM} --settings s.toml explain 5f0c6b1d`, 'asks the daemons')
    .example(`${PROGRAM} explain --logs vm-1.log vm-2.log 5f0c6b1d`, 'reads their logs');
}

function buildParser(select: Select): Yargs.Argv {
  return yargs()
    .scriptName(PROGRAM)
    .usage('$0 --settings FILE COMMAND')
    .option('settings', { describe: 'settings file', requiresArg: true, type: 'string' })
    .option('json', { default: false, describe: 'print the result as JSON', type: 'boolean' })
    .command(
      'config',
      'operators\' lists',
      (parser) => addConfigCommands(parser, select),
    )
    .command('key', 'callers\' keys', (parser) => addKeyCommands(parser, select))
    .command(
      'status',
      'show what each daemon reports about itself',
      (parser) => parser.example(`${PROGRAM} --settings s.toml status`, ''),
      select(COMMANDS.status),
    )
    .command(
      'explain [requestId]',
      'show why a request was answered as it was',
      addExplainArguments,
      (args) => {
        const { logs, requestId } = args as Partial<CliCommand.CliArguments>;
        if (logs === undefined) select(COMMANDS.explain)(args);
        // An option that takes several files also takes the request id that follows them.
        else if (requestId !== undefined) select(COMMANDS.explainLogs)(args);
        else {
          select(COMMANDS.explainLogs)({
            ...args as object, logs: logs.slice(0, -1), requestId: logs.at(-1),
          });
        }
      },
    )
    .command('logs', 'collected log lines', (parser) => parser
      .command(
        'check <logs..>',
        'check that every line follows the schema',
        (command) => command
          .positional('logs', { array: true, describe: 'files of log lines', type: 'string' })
          .example(`${PROGRAM} logs check vm-1.log vm-2.log`, ''),
        select(COMMANDS.logsCheck),
      )
      .demandCommand(1, 1, 'name one of: check'))
    .example(`${PROGRAM} --settings s.toml config publish lists.toml`, '')
    .example(`${PROGRAM} --settings s.toml key issue --account fan-shop --json`, '')
    .epilogue('Exit status: 0 success, 2 bad input, 1 any other failure.')
    .demandCommand(1, 'name a command')
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
    output.writeOut(`${JSON.stringify(value)}\n`);
  } else output.writeError(`${PROGRAM}: ${message}\n`);
}

/** Runs one command line and returns its exit status. */
export async function runCli(argv: readonly string[], output: CliOutput): Promise<number> {
  const selections: Selection[] = [];
  const parser = buildParser((command) => (args) => {
    selections.push({ args: args as CliCommand.CliArguments, command });
  });
  const parsed = await new Promise<{ error: Error | undefined; text: string }>((resolve) => {
    Promise.resolve(parser.parse([...argv], {}, (error, _, text) => {
      resolve({ error: error ?? undefined, text });
    })).catch((error: unknown) => resolve({ error: error as Error, text: '' }));
  });
  const isJson = argv.includes('--json');
  const [selection] = selections;
  if (parsed.error !== undefined) {
    const message = `${parsed.error.message}; see ${PROGRAM} --help`;
    printFailure(new CliError.BadInputError({ message }), isJson, output);
    return CliError.EXIT_STATUSES.badInput;
  }
  if (selection === undefined) {
    output.writeOut(`${parsed.text}\n`);
    return CliError.EXIT_STATUSES.success;
  }
  const result = await Effect.runPromise(
    Effect.either(HANDLERS[selection.command](selection.args)),
  );
  if (Either.isLeft(result)) {
    printFailure(result.left, isJson, output);
    return result.left.exitStatus;
  }
  output.writeOut(`${isJson ? JSON.stringify(result.right.value) : result.right.text}\n`);
  return CliError.EXIT_STATUSES.success;
}
