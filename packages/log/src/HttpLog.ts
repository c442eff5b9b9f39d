/** Adapter of the log port to the platform's HTTP interface. */
import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import * as http from 'node:http';
import * as LogPort from './LogPort.js';
import * as LogRecord from './LogRecord.js';

/** Time that an append or a read may take beyond its own waiting time, in milliseconds. */
const ANSWER_TIMEOUT_MS = 2_000;

const HTTP_GONE = 410;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

const decodePage = Schema.decodeUnknown(LogRecord.LogPage);
const decodeAppended = Schema.decodeUnknown(Schema.Struct({ offset: Schema.Int }));
const decodeExpired = Schema.decodeUnknown(Schema.Struct({ first: Schema.Int }));

function fromHttpError(stream: string) {
  return (error: Core.HttpRequestError): LogPort.LogUnavailableError => (
    new LogPort.LogUnavailableError({ detail: error.message, sent: error.sent, stream })
  );
}

function describeStatus(stream: string, status: number): LogPort.LogUnavailableError {
  return new LogPort.LogUnavailableError({
    detail: `status ${status}`, refused: status === HTTP_UNAVAILABLE, sent: true, stream,
  });
}

type ReadFailure = LogPort.LogOffsetExpiredError | LogPort.LogUnavailableError;

function decodeReadAnswer(
  stream: string,
  { body, status }: Core.JsonResponse,
): Effect.Effect<LogRecord.LogPage, ReadFailure> {
  const invalid = (): LogPort.LogUnavailableError => describeStatus(stream, status);
  if (status === HTTP_OK) return decodePage(body).pipe(Effect.mapError(invalid));
  if (status !== HTTP_GONE) return Effect.fail(invalid());
  return decodeExpired(body).pipe(
    Effect.mapError(invalid),
    Effect.flatMap(({ first }) => (
      Effect.fail(new LogPort.LogOffsetExpiredError({ first, stream }))
    )),
  );
}

function decodeAppendAnswer(
  stream: string,
  { body, status }: Core.JsonResponse,
): Effect.Effect<number, LogPort.LogUnavailableError> {
  if (status !== HTTP_OK) return Effect.fail(describeStatus(stream, status));
  return decodeAppended(body).pipe(
    Effect.map(({ offset }) => offset),
    Effect.mapError(() => describeStatus(stream, status)),
  );
}

/** Creates the log port over HTTP. `baseUrl` has no trailing slash. */
export function createHttpLog(baseUrl: string): LogPort.LogPort {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 16 });
  const getUrl = (stream: string): string => (
    `${baseUrl}/streams/${encodeURIComponent(stream)}/entries`
  );
  return {
    append: (stream, records) => Core.requestJson({
      agent, body: { records }, method: 'POST', timeoutMs: ANSWER_TIMEOUT_MS, url: getUrl(stream),
    }).pipe(
      Effect.mapError(fromHttpError(stream)),
      Effect.flatMap((answer) => decodeAppendAnswer(stream, answer)),
    ),
    read: ({
      from, limit, stream, waitMs,
    }) => Core.requestJson({
      agent,
      method: 'GET',
      timeoutMs: waitMs + ANSWER_TIMEOUT_MS,
      url: `${getUrl(stream)}?from=${from}&limit=${limit}&waitMs=${waitMs}`,
    }).pipe(
      Effect.mapError(fromHttpError(stream)),
      Effect.flatMap((answer) => decodeReadAnswer(stream, answer)),
    ),
  };
}
