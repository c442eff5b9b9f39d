/** Adapter of the report port to the platform's HTTP interface. */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as http from 'node:http';
import * as net from 'node:net';
import * as UsageReportPort from './UsageReportPort.js';

/** Time to connect, and time for the answer once the report is written, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
const ANSWER_TIMEOUT_MS = 2_000;
/** Interval at which the authority is checked while an answer is awaited, in milliseconds. */
const AUTHORITY_POLL_MS = 50;
const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;

type Reason = UsageReportPort.UsageReportError['reason'];

/** Bounds of the adapter, in milliseconds. */
export interface HttpUsageReportsOptions {
  readonly connectTimeoutMs?: Core.Millis;
  readonly answerTimeoutMs?: Core.Millis;
}

/** Creates the port over HTTP. `baseUrl` has no trailing slash. */
export function createHttpUsageReports(
  baseUrl: string,
  {
    answerTimeoutMs = ANSWER_TIMEOUT_MS, connectTimeoutMs = CONNECT_TIMEOUT_MS,
  }: HttpUsageReportsOptions = {},
): UsageReportPort.UsageReportPort {
  const { hostname, port } = new URL(baseUrl);
  return {
    send: (report, fence, getAuthority) => Effect.async((resume) => {
      const { figures, reporter, window } = report;
      const url = `${baseUrl}/windows/${window}`;
      const payload = JSON.stringify({ figures, reporter });
      let sent = false;
      let settled = false;
      let poll: NodeJS.Timeout | undefined;
      // The connection is opened first: a request that waits for its connection would be written in
      // a later turn than the one that checked the authority.
      const socket = net.connect(Number(port === '' ? '80' : port), hostname);
      const settle = (result: Effect.Effect<void, UsageReportPort.UsageReportError>): void => {
        if (settled) return;
        settled = true;
        clearInterval(poll);
        socket.destroy();
        resume(result);
      };
      const fail = (reason: Reason): void => settle(Effect.fail(
        new UsageReportPort.UsageReportError({ reason, sent, window }),
      ));
      const timer = setTimeout(() => fail('timeout'), connectTimeoutMs);
      const hasAuthority = (neededMs: Core.Millis): boolean => {
        const authority = getAuthority();
        return authority !== undefined && authority.fence === fence
          && authority.remainingMs > neededMs;
      };

      const handleAnswer = (answer: http.IncomingMessage): void => {
        answer.on('error', () => fail('connection'));
        answer.on('end', () => {
          const status = answer.statusCode ?? 0;
          if (status >= HTTP_OK && status < HTTP_MULTIPLE_CHOICES) settle(Effect.void);
          else fail('rejected');
        });
        answer.resume();
      };

      socket.on('error', () => fail('connection'));
      socket.on('close', () => {
        clearTimeout(timer);
        fail('connection');
      });
      socket.once('connect', () => {
        clearTimeout(timer);
        if (!hasAuthority(answerTimeoutMs)) {
          fail('authority');
          return;
        }
        sent = true;
        const request = http.request(url, {
          agent: false,
          createConnection: () => socket,
          headers: {
            'content-length': Buffer.byteLength(payload), 'content-type': 'application/json',
          },
          method: 'PUT',
        });
        request.on('error', () => fail('connection'));
        request.on('response', handleAnswer);
        request.end(payload);
        const deadline = setTimeout(() => fail('timeout'), answerTimeoutMs);
        socket.once('close', () => clearTimeout(deadline));
        poll = setInterval(() => {
          if (!hasAuthority(0)) fail('authority');
        }, AUTHORITY_POLL_MS);
      });
      return Effect.sync(() => settle(Effect.void));
    }),
  };
}
