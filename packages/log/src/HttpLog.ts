/** Adapter that implements the log port over the platform's HTTP interface. */
import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import * as http from 'node:http';
import * as LogPort from './LogPort.js';
import * as LogRecord from './LogRecord.js';

/** Timeout of a request in milliseconds; a read adds the time that the log waits for entries. */
const RESPONSE_TIMEOUT_MS = 2_000;

const HTTP_GONE = 410;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

const decodePageBody = Schema.decodeUnknown(LogRecord.LogPage);
const decodeAppendBody = Schema.decodeUnknown(Schema.Struct({ offset: Schema.Int }));
const decodeExpiredBody = Schema.decodeUnknown(Schema.Struct({ first: Schema.Int }));

function createHttpErrorMapper(stream: string) {
  return (error: Core.HttpRequestError): LogPort.LogUnavailableError => (
    new LogPort.LogUnavailableError({ detail: error.message, sent: error.sent, stream })
  );
}

function createStatusError(stream: string, status: number): LogPort.LogUnavailableError {
  return new LogPort.LogUnavailableError({
    detail: `status ${status}`, refused: status === HTTP_UNAVAILABLE, sent: true, stream,
  });
}

type ReadFailure = LogPort.LogOffsetExpiredError | LogPort.LogUnavailableError;

function decodeReadResponse(
  stream: string,
  { body, status }: Core.JsonResponse,
): Effect.Effect<LogRecord.LogPage, ReadFailure> {
  const createInvalidError = (): LogPort.LogUnavailableError => createStatusError(stream, status);
  if (status === HTTP_OK) return decodePageBody(body).pipe(Effect.mapError(createInvalidError));
  if (status !== HTTP_GONE) return Effect.fail(createInvalidError());
  return decodeExpiredBody(body).pipe(
    Effect.mapError(createInvalidError),
    Effect.flatMap(({ first }) => (
      Effect.fail(new LogPort.LogOffsetExpiredError({ first, stream }))
    )),
  );
}

function decodeAppendResponse(
  stream: string,
  { body, status }: Core.JsonResponse,
): Effect.Effect<number, LogPort.LogUnavailableError> {
  if (status !== HTTP_OK) return Effect.fail(createStatusError(stream, status));
  return decodeAppendBody(body).pipe(
    Effect.map(({ offset }) => offset),
    Effect.mapError(() => createStatusError(stream, status)),
  );
}

/** Creates a log port over HTTP. `baseUrl` has no trailing slash. */
export function createHttpLog(baseUrl: string): LogPort.LogPort {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 16 });
  const getUrl = (stream: string): string => (
    `${baseUrl}/streams/${encodeURIComponent(stream)}/entries`
  );
  return {
    append: (stream, records) => Core.requestJson({
      agent, body: { records }, method: 'POST', timeoutMs: RESPONSE_TIMEOUT_MS, url: getUrl(stream),
    }).pipe(
      Effect.mapError(createHttpErrorMapper(stream)),
      Effect.flatMap((response) => decodeAppendResponse(stream, response)),
    ),
    read: ({
      from, limit, stream, waitMs,
    }) => Core.requestJson({
      agent,
      method: 'GET',
      timeoutMs: waitMs + RESPONSE_TIMEOUT_MS,
      url: `${getUrl(stream)}?from=${from}&limit=${limit}&waitMs=${waitMs}`,
    }).pipe(
      Effect.mapError(createHttpErrorMapper(stream)),
      Effect.flatMap((response) => decodeReadResponse(stream, response)),
    ),
  };
}
