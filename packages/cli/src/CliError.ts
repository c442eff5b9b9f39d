/** Errors of commands, each with its exit status. */
import * as Data from 'effect/Data';

/** Exit statuses of the command line. */
export const EXIT_STATUSES = { badInput: 2, failure: 1, success: 0 } as const;

/** The arguments, the settings or the lists are not valid; nothing was changed. */
export class BadInputError extends Data.TaggedError('BadInputError')<{
  readonly message: string;
}> {
  readonly exitStatus = EXIT_STATUSES.badInput;
}

/** The input was valid but the command failed; `details` is printed only with `--json`. */
export class CommandFailedError extends Data.TaggedError('CommandFailedError')<{
  readonly message: string;
  readonly details?: unknown;
}> {
  readonly exitStatus = EXIT_STATUSES.failure;
}

/** Any error of a command. */
export type CliError = BadInputError | CommandFailedError;
