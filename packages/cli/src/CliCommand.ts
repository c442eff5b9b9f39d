/** Command names, and the types of command arguments, results and handlers. */
import type * as Effect from 'effect/Effect';
import type * as CliError from './CliError.js';

/** Names of the commands. */
export const COMMANDS = {
  configHistory: 'config history',
  configPublish: 'config publish',
  configShow: 'config show',
  configValidate: 'config validate',
  explain: 'explain',
  explainLogs: 'explain --logs',
  keyIssue: 'key issue',
  keyWithdraw: 'key withdraw',
  logsCheck: 'logs check',
  status: 'status',
} as const;
export type Command = (typeof COMMANDS)[keyof typeof COMMANDS];

/** Arguments of all commands; a handler may read only those that its command declares. */
export interface CliArguments {
  readonly settings?: string;
  readonly lists: string;
  readonly base?: number;
  readonly account: string;
  readonly keyId: string;
  readonly requestId: string;
  readonly logs?: readonly string[];
}

/** Result of a command: `value` is printed with `--json`, `text` otherwise. */
export interface CliResult {
  readonly value: unknown;
  readonly text: string;
}

/** Runs one command. */
export type CommandHandler = (args: CliArguments) => Effect.Effect<CliResult, CliError.CliError>;
