/** HTTP adapter of the port for usage reports. */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as http from 'node:http';
import * as net from 'node:net';
import * as UsageReportPort from './UsageReportPort.js';

/** Time-outs of the connection, and of the answer after the report is written. */
const CONNECT_TIMEOUT_MS = 1_000;
const ANSWER_TIMEOUT_MS = 2_000;
/** Interval at which the authority is checked while waiting for the answer, in milliseconds. */
const AUTHORITY_CHECK_INTERVAL_MS = 50;
const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;

type Reason = UsageReportPort.UsageReportError['reason'];

/** Time-outs of the adapter, in milliseconds. */
export interface HttpUsageReportsOptions {
  readonly connectTimeoutMs?: Core.Millis;
  readonly answerTimeoutMs?: Core.Millis;
}

/** Creates the adapter. `baseUrl` has no trailing slash. */
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
      let isSettled = false;
      let authorityTimer: NodeJS.Timeout | undefined;
      // The connection is opened before the request is created. Otherwise the request would wait
      // for it and be written in a later event-loop turn than the check of the authority.
      const socket = net.connect(Number(port === '' ? '80' : port), hostname);
      const finish = (result: Effect.Effect<void, UsageReportPort.UsageReportError>): void => {
        if (isSettled) return;
        isSettled = true;
        clearInterval(authorityTimer);
        socket.destroy();
        resume(result);
      };
      const fail = (reason: Reason): void => finish(Effect.fail(
        new UsageReportPort.UsageReportError({ reason, sent, window }),
      ));
      const connectTimer = setTimeout(() => fail('timeout'), connectTimeoutMs);
      const hasAuthority = (minRemainingMs: Core.Millis): boolean => {
        const authority = getAuthority();
        return authority !== undefined && authority.fence === fence
          && authority.remainingMs > minRemainingMs;
      };

      const handleAnswer = (answer: http.IncomingMessage): void => {
        answer.on('error', () => fail('connection'));
        answer.on('end', () => {
          const status = answer.statusCode ?? 0;
          if (status >= HTTP_OK && status < HTTP_MULTIPLE_CHOICES) finish(Effect.void);
          else fail('rejected');
        });
        answer.resume();
      };

      socket.on('error', () => fail('connection'));
      socket.on('close', () => {
        clearTimeout(connectTimer);
        fail('connection');
      });
      socket.once('connect', () => {
        clearTimeout(connectTimer);
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
        const answerTimer = setTimeout(() => fail('timeout'), answerTimeoutMs);
        socket.once('close', () => clearTimeout(answerTimer));
        authorityTimer = setInterval(() => {
          if (!hasAuthority(0)) fail('authority');
        }, AUTHORITY_CHECK_INTERVAL_MS);
      });
      return Effect.sync(() => finish(Effect.void));
    }),
  };
}
