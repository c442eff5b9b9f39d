/** Commands that query the operator interfaces of the daemons named in the settings. */
import type * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import type * as CliCommand from './CliCommand.js';
import * as CliError from './CliError.js';
import * as CliFiles from './CliFiles.js';

/** Time limit for the response of one daemon, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 3_000;
const MAX_CONCURRENT_REQUESTS = 16;
const HTTP_OK = 200;

/** Response of one operator interface; `status` is 0 and `error` is set when the call failed. */
interface OperatorResponse {
  readonly operator: string;
  readonly status: number;
  readonly body?: unknown;
  readonly error?: string;
}

function requestFromOperators(
  { operators }: Config.Settings,
  path: string,
): Effect.Effect<readonly OperatorResponse[], CliError.BadInputError> {
  if (operators.length === 0) {
    return Effect.fail(new CliError.BadInputError({
      message: 'the settings name no operator interface; add operators = ["http://HOST:PORT"]',
    }));
  }
  return Effect.forEach(operators, (operator) => Core.requestJson({
    method: 'GET', timeoutMs: RESPONSE_TIMEOUT_MS, url: `${operator}${path}`,
  }).pipe(
    Effect.map(({ body, status }): OperatorResponse => ({ body, operator, status })),
    Effect.catchAll(({ message }) => Effect.succeed<OperatorResponse>({
      error: message, operator, status: 0,
    })),
  ), { concurrency: MAX_CONCURRENT_REQUESTS });
}

function formatResponse({
  body, error, operator, status,
}: OperatorResponse): string {
  if (error !== undefined) return `${operator}: ${error}`;
  return `${operator}: status ${status}\n${JSON.stringify(body, null, 2)}`;
}

/** Shows the status that each daemon reports; fails when none answers with HTTP status 200. */
export const showStatus: CliCommand.CommandHandler = (args) => Effect.gen(function* show() {
  const settings = yield* CliFiles.readSettings(args.settings);
  const responses = yield* requestFromOperators(settings, '/operator/status');
  const text = responses.map(formatResponse).join('\n');
  if (!responses.some(({ status }) => status === HTTP_OK)) {
    return yield* new CliError.CommandFailedError({
      details: responses, message: `no daemon returned its status\n${text}`,
    });
  }
  return { text, value: responses };
});

/**
 * Shows how a request was handled and why. Queries every daemon, since any of them may have handled
 * the request.
 */
export const showExplanation: CliCommand.CommandHandler = (args) => Effect.gen(function* show() {
  const settings = yield* CliFiles.readSettings(args.settings);
  const path = `/operator/explain/${encodeURIComponent(args.requestId)}`;
  const responses = yield* requestFromOperators(settings, path);
  const okResponse = responses.find(({ status }) => status === HTTP_OK);
  if (okResponse === undefined) {
    const unreachable = responses.filter(({ error }) => error !== undefined);
    return yield* new CliError.CommandFailedError({
      details: responses,
      message: [
        `no daemon has an explanation of request ${args.requestId}; each keeps only the newest`,
        ...unreachable.map(formatResponse),
      ].join('\n'),
    });
  }
  return {
    text: JSON.stringify(okResponse.body, null, 2),
    value: { explanation: okResponse.body, operator: okResponse.operator },
  };
});
