/** Commands that read collected log lines: the story of a request, and a check of the lines. */
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import * as fs from 'node:fs';
import * as readline from 'node:readline';
import type * as CliCommand from './CliCommand.js';
import * as CliError from './CliError.js';
import * as LogLines from './LogLines.js';
import * as RequestStory from './RequestStory.js';

/** Problems that are printed; the rest is counted. */
const MAX_PRINTED_PROBLEMS = 20;

interface CheckedFile {
  readonly count: number;
  readonly lines: readonly LogLines.LogLine[];
  readonly problems: readonly string[];
}

async function readLines(file: string): Promise<CheckedFile> {
  const lines: LogLines.LogLine[] = [];
  const problems: string[] = [];
  let count = 0;
  const reader = readline.createInterface({ input: fs.createReadStream(file) });
  reader.on('line', (text) => {
    count += 1;
    const decoded = LogLines.decodeLogLine(text);
    if (Either.isRight(decoded)) lines.push(decoded.right);
    else if (text !== '') problems.push(`${file}:${count}: ${decoded.left}`);
  });
  await new Promise<void>((resolve, reject) => {
    reader.once('close', resolve);
    reader.once('error', reject);
  });
  return { count, lines, problems };
}

function readFiles(
  files: readonly string[],
): Effect.Effect<readonly CheckedFile[], CliError.BadInputError> {
  return Effect.tryPromise({
    catch: (error) => new CliError.BadInputError({
      message: `cannot read the logs: ${(error as Error).message}`,
    }),
    try: () => Promise.all(files.map(readLines)),
  });
}

/** Tells the story of a request from the logs of several daemons. */
export const explainFromLogs: CliCommand.CommandHandler = (args) => Effect.gen(function* explain() {
  const files = yield* readFiles(args.logs ?? []);
  const story = RequestStory.buildRequestStory(files.flatMap(({ lines }) => lines), args.requestId);
  if (story === undefined) {
    return yield* new CliError.CommandFailedError({
      message: `no line names request ${args.requestId}; it may have been left out under load, `
        + 'or another daemon had it',
    });
  }
  return { text: RequestStory.renderRequestStory(story), value: story };
});

/** Checks that every line follows the schema. */
export const checkLogs: CliCommand.CommandHandler = (args) => Effect.gen(function* check() {
  const files = yield* readFiles(args.logs ?? []);
  const count = files.reduce((sum, each) => sum + each.count, 0);
  const problems = files.flatMap((each) => each.problems);
  const summary = `${count} lines, ${problems.length} that do not follow the schema`;
  if (problems.length > 0) {
    return yield* new CliError.CommandFailedError({
      details: problems,
      message: [summary, ...problems.slice(0, MAX_PRINTED_PROBLEMS)].join('\n'),
    });
  }
  return { text: summary, value: { count, problems } };
});
