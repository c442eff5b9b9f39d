/**
 * JSON requests over Node's `http`, for the small interfaces of the platform and the operator
 * interface. Not for the request path, which streams.
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

/** Answer to a JSON request; `body` is undefined when it was empty. */
export interface JsonAnswer {
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

function parseBody(text: string): unknown {
  return text === '' ? undefined : JSON.parse(text);
}

/**
 * Sends a JSON request and reads the whole answer; interruption closes the connection.
 *
 * @returns the answer whatever its status, or HttpRequestError when none came within `timeoutMs`
 */
export function requestJson(
  {
    agent, body, headers, method, timeoutMs, url,
  }: JsonRequest,
): Effect.Effect<JsonAnswer, HttpRequestError> {
  return Effect.async<JsonAnswer, HttpRequestError>((resume) => {
    let sent = false;
    let settled = false;
    const payload = body === undefined ? undefined : JSON.stringify(body);
    const request = http.request(url, {
      agent: agent ?? false,
      headers: {
        ...payload === undefined
          ? {}
          : { 'content-length': Buffer.byteLength(payload), 'content-type': 'application/json' },
        ...headers,
      },
      method,
    });
    const settle = (result: Effect.Effect<JsonAnswer, HttpRequestError>): void => {
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
        try {
          const answer = parseBody(Buffer.concat(chunks).toString('utf8'));
          settle(Effect.succeed({ body: answer, status: response.statusCode ?? 0 }));
        } catch (error) {
          fail('invalid-json', error);
        }
      });
    });
    request.end(payload);
    return Effect.sync(() => request.destroy());
  });
}
