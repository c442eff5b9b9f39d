/** Commands on collected log files: explain a request, and check lines against the schema. */
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import * as fs from 'node:fs';
import * as readline from 'node:readline';
import type * as CliCommand from './CliCommand.js';
import * as CliError from './CliError.js';
import * as LogLines from './LogLines.js';
import * as RequestExplanation from './RequestExplanation.js';

/** Maximum number of problems in the message; the summary counts all of them. */
const MAX_PRINTED_PROBLEMS = 20;

/** Contents of a log file: the lines that follow the schema, and problems of the others. */
interface DecodedLogFile {
  readonly lineCount: number;
  readonly lines: readonly LogLines.LogLine[];
  readonly problems: readonly string[];
}

async function readLogFile(file: string): Promise<DecodedLogFile> {
  const lines: LogLines.LogLine[] = [];
  const problems: string[] = [];
  let lineCount = 0;
  const reader = readline.createInterface({ input: fs.createReadStream(file) });
  reader.on('line', (text) => {
    lineCount += 1;
    const decoded = LogLines.decodeLogLine(text);
    if (Either.isRight(decoded)) lines.push(decoded.right);
    else if (text !== '') problems.push(`${file}:${lineCount}: ${decoded.left}`);
  });
  await new Promise<void>((resolve, reject) => {
    reader.once('close', resolve);
    reader.once('error', reject);
  });
  return { lineCount, lines, problems };
}

function readLogFiles(
  files: readonly string[],
): Effect.Effect<readonly DecodedLogFile[], CliError.BadInputError> {
  return Effect.tryPromise({
    catch: (error) => new CliError.BadInputError({
      message: `cannot read the log files: ${(error as Error).message}`,
    }),
    try: () => Promise.all(files.map(readLogFile)),
  });
}

/** Explains a request from the log files of several daemons. */
export const explainFromLogs: CliCommand.CommandHandler = (args) => Effect.gen(function* explain() {
  const files = yield* readLogFiles(args.logs ?? []);
  const explanation = RequestExplanation.buildRequestExplanation(
    files.flatMap(({ lines }) => lines),
    args.requestId,
  );
  if (explanation === undefined) {
    return yield* new CliError.CommandFailedError({
      message: `no log line names request ${args.requestId}; its lines may have been suppressed `
        + 'under load, or the logs of the daemon that handled it are missing',
    });
  }
  return { text: RequestExplanation.renderRequestExplanation(explanation), value: explanation };
});

/** Checks every line of the log files against the schema. */
export const checkLogs: CliCommand.CommandHandler = (args) => Effect.gen(function* check() {
  const files = yield* readLogFiles(args.logs ?? []);
  const lineCount = files.reduce((sum, each) => sum + each.lineCount, 0);
  const problems = files.flatMap((each) => each.problems);
  const summary = `lines: ${lineCount}, schema violations: ${problems.length}`;
  if (problems.length > 0) {
    return yield* new CliError.CommandFailedError({
      details: problems,
      message: [summary, ...problems.slice(0, MAX_PRINTED_PROBLEMS)].join('\n'),
    });
  }
  return { text: summary, value: { count: lineCount, problems } };
});
