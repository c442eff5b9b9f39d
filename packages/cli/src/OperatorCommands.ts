/** Commands that ask the operator interfaces of the daemons that the settings list. */
import type * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import type * as CliCommand from './CliCommand.js';
import * as CliError from './CliError.js';
import * as CliFiles from './CliFiles.js';

/** Time for one daemon to answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 3_000;
const CONCURRENT_QUESTIONS = 16;
const HTTP_OK = 200;

interface OperatorAnswer {
  readonly operator: string;
  readonly status: number;
  readonly body?: unknown;
  readonly error?: string;
}

function askOperators(
  { operators }: Config.Settings,
  path: string,
): Effect.Effect<readonly OperatorAnswer[], CliError.BadInputError> {
  if (operators.length === 0) {
    return Effect.fail(new CliError.BadInputError({
      message: 'the settings list no operator interface; add operators = ["http://HOST:PORT"]',
    }));
  }
  return Effect.forEach(operators, (operator) => Core.requestJson({
    method: 'GET', timeoutMs: ANSWER_TIMEOUT_MS, url: `${operator}${path}`,
  }).pipe(
    Effect.map(({ body, status }): OperatorAnswer => ({ body, operator, status })),
    Effect.catchAll(({ message }) => Effect.succeed<OperatorAnswer>({
      error: message, operator, status: 0,
    })),
  ), { concurrency: CONCURRENT_QUESTIONS });
}

function formatAnswer({
  body, error, operator, status,
}: OperatorAnswer): string {
  if (error !== undefined) return `${operator}: ${error}`;
  return `${operator}: status ${status}\n${JSON.stringify(body, null, 2)}`;
}

/** Shows what each daemon reports about itself; fails when none answers. */
export const showStatus: CliCommand.CommandHandler = (args) => Effect.gen(function* show() {
  const settings = yield* CliFiles.readSettings(args.settings);
  const answers = yield* askOperators(settings, '/operator/status');
  const text = answers.map(formatAnswer).join('\n');
  if (!answers.some(({ status }) => status === HTTP_OK)) {
    return yield* new CliError.CommandFailedError({
      details: answers, message: `no daemon answered\n${text}`,
    });
  }
  return { text, value: answers };
});

/** Shows why a request was answered as it was; any daemon may hold the explanation. */
export const showExplanation: CliCommand.CommandHandler = (args) => Effect.gen(function* show() {
  const settings = yield* CliFiles.readSettings(args.settings);
  const path = `/operator/explain/${encodeURIComponent(args.requestId)}`;
  const answers = yield* askOperators(settings, path);
  const found = answers.find(({ status }) => status === HTTP_OK);
  if (found === undefined) {
    const unreachable = answers.filter(({ error }) => error !== undefined);
    return yield* new CliError.CommandFailedError({
      details: answers,
      message: [
        `no daemon holds an explanation of request ${args.requestId}; only the newest are kept`,
        ...unreachable.map(formatAnswer),
      ].join('\n'),
    });
  }
  return {
    text: JSON.stringify(found.body, null, 2),
    value: { explanation: found.body, operator: found.operator },
  };
});
