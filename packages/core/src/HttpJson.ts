/**
 * Requests over Node's `http` whose whole answer is read, as JSON or as bytes, for the small
 * interfaces of the platform and the operator interface. Not for the request path, which streams.
 */
import * as http from 'node:http';
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import type * as Clock from './Clock.js';

/** Largest answer that is read, in bytes: a page of log entries stays well below it. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** One JSON request. */
export interface JsonRequest {
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs: Clock.Millis;
  /** Connections are kept open only where an agent says so. */
  readonly agent?: http.Agent;
}

/** A request whose payload is bytes of a stated type. */
export interface BytesRequest extends Omit<JsonRequest, 'body'> {
  readonly payload?: Buffer;
  readonly contentType?: string;
}

/** Whole answer to a request, not decoded. */
export interface BytesResponse {
  readonly status: number;
  readonly bytes: Buffer;
}

/** Answer to a JSON request; `body` is undefined when it was empty. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/**
 * No answer was received. `sent` tells whether a byte may have left: when false, the peer cannot
 * have acted on the request.
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
 * Sends a request and reads the whole answer; interruption closes the connection.
 *
 * @returns the answer whatever its status, or HttpRequestError when none came within `timeoutMs`
 */
export function requestBytes(
  {
    agent, contentType, headers, method, payload, timeoutMs, url,
  }: BytesRequest,
): Effect.Effect<BytesResponse, HttpRequestError> {
  return Effect.async<BytesResponse, HttpRequestError>((resume) => {
    let sent = false;
    let settled = false;
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
      if (settled) return;
      settled = true;
      resume(result);
    };
    const fail = (reason: HttpRequestError['reason'], cause?: unknown): void => {
      settle(Effect.fail(new HttpRequestError({
        cause, reason, sent, url,
      })));
      request.destroy();
    };
    const timer = setTimeout(() => fail('timeout'), timeoutMs);
    request.on('socket', (socket) => {
      if (socket.connecting) {
        socket.once('connect', () => {
          sent = true;
        });
      } else sent = true;
    });
    request.on('error', (error) => fail('connection', error));
    request.on('close', () => clearTimeout(timer));
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      response.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        chunks.push(chunk);
        if (bytes > MAX_ANSWER_BYTES) fail('too-large');
      });
      response.on('error', (error) => fail('connection', error));
      response.on('end', () => {
        settle(Effect.succeed({ bytes: Buffer.concat(chunks), status: response.statusCode ?? 0 }));
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
 * Sends a JSON request and reads the whole answer; interruption closes the connection.
 *
 * @returns the answer whatever its status, or HttpRequestError when none came within `timeoutMs`
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
