/** Failures of a command, each with the exit status that it leads to. */
import * as Data from 'effect/Data';

/** Exit statuses of the command line. */
export const EXIT_STATUSES = { badInput: 2, failure: 1, success: 0 } as const;

/** The arguments, the settings or a list are not valid; nothing was changed. */
export class BadInputError extends Data.TaggedError('BadInputError')<{
  readonly message: string;
}> {
  readonly exitStatus = EXIT_STATUSES.badInput;
}

/** The command was valid but did not succeed; `details` is what `--json` adds. */
export class CommandFailedError extends Data.TaggedError('CommandFailedError')<{
  readonly message: string;
  readonly details?: unknown;
}> {
  readonly exitStatus = EXIT_STATUSES.failure;
}

/** Any failure of a command. */
export type CliError = BadInputError | CommandFailedError;
