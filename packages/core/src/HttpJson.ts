/**
 * HTTP client that buffers the whole response, as JSON or as bytes. It serves calls to the
 * platform and to the operator interface. The request path streams and does not use it.
 */
import * as http from 'node:http';
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import type * as Clock from './Clock.js';
import * as ResponseFraming from './ResponseFraming.js';

/** Size limit of a response; a page of log entries stays well below it. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** JSON request. */
export interface JsonRequest {
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs: Clock.Millis;
  /** Agent that may keep connections alive; without one, the connection is closed. */
  readonly agent?: http.Agent;
}

/** Request with a binary payload. */
export interface BytesRequest extends Omit<JsonRequest, 'body'> {
  readonly payload?: Buffer;
  readonly contentType?: string;
}

/** Whole response, not decoded. */
export interface BytesResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly bytes: Buffer;
}

/** Response to a JSON request; `body` is undefined when the response had no body. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/**
 * No usable response was received. `sent` tells whether part of the request may have been sent:
 * when it is false, the peer cannot have acted on the request.
 */
export class HttpRequestError extends Data.TaggedError('HttpRequestError')<{
  readonly url: string;
  readonly sent: boolean;
  readonly reason: 'connection' | 'invalid-json' | 'timeout' | 'too-large';
  readonly cause?: unknown;
}> {
  get message(): string {
    return `request to ${this.url} failed: ${this.reason}`;
  }
}

/**
 * Sends a request and reads the whole response. Interrupting the effect closes the connection.
 *
 * @returns the response with any status; fails with HttpRequestError when the connection breaks, or
 * when the response is too large or not complete within `timeoutMs` milliseconds
 */
export function requestBytes(
  {
    agent, contentType, headers, method, payload, timeoutMs, url,
  }: BytesRequest,
): Effect.Effect<BytesResponse, HttpRequestError> {
  return Effect.async<BytesResponse, HttpRequestError>((resume) => {
    let isSent = false;
    let isSettled = false;
    const request = http.request(url, {
      agent: agent ?? false,
      headers: {
        ...payload === undefined ? {} : { 'content-length': payload.length },
        ...contentType === undefined ? {} : { 'content-type': contentType },
        ...headers,
      },
      method,
    });
    const settle = (result: Effect.Effect<BytesResponse, HttpRequestError>): void => {
      if (isSettled) return;
      isSettled = true;
      resume(result);
    };
    const fail = (reason: HttpRequestError['reason'], cause?: unknown): void => {
      settle(Effect.fail(new HttpRequestError({
        cause, reason, sent: isSent, url,
      })));
      request.destroy();
    };
    const timer = setTimeout(() => fail('timeout'), timeoutMs);
    request.on('socket', (socket) => {
      if (socket.connecting) {
        socket.once('connect', () => {
          isSent = true;
        });
      } else isSent = true;
    });
    request.on('error', (error) => fail('connection', error));
    request.on('close', () => clearTimeout(timer));
    request.on('response', (response) => {
      ResponseFraming.watchReset(response, () => fail('connection'));
      const chunks: Buffer[] = [];
      let receivedBytes = 0;
      response.on('data', (chunk: Buffer) => {
        receivedBytes += chunk.length;
        chunks.push(chunk);
        if (receivedBytes > MAX_RESPONSE_BYTES) fail('too-large');
      });
      response.on('error', (error) => fail('connection', error));
      response.on('end', () => {
        settle(Effect.succeed({
          bytes: Buffer.concat(chunks),
          headers: response.headers,
          status: response.statusCode ?? 0,
        }));
      });
    });
    request.end(payload);
    return Effect.sync(() => request.destroy());
  });
}

function parseBody(bytes: Buffer): unknown {
  return bytes.length === 0 ? undefined : JSON.parse(bytes.toString('utf8'));
}

/**
 * Sends a JSON request and reads the whole response. Interrupting the effect closes the connection.
 *
 * @returns the response with any status; fails with HttpRequestError as requestBytes does, and when
 * the body is not valid JSON
 */
export function requestJson(
  { body, ...request }: JsonRequest,
): Effect.Effect<JsonResponse, HttpRequestError> {
  const json = body === undefined
    ? {}
    : { contentType: 'application/json', payload: Buffer.from(JSON.stringify(body)) };
  return Effect.flatMap(requestBytes({ ...request, ...json }), ({ bytes, status }) => Effect.try({
    catch: (cause) => new HttpRequestError({
      cause, reason: 'invalid-json', sent: true, url: request.url,
    }),
    try: () => ({ body: parseBody(bytes), status }),
  }));
}
