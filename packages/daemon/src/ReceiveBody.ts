/**
 * Receives request bodies within a limit for each body. The guard of the listener limits all bodies
 * in memory together and tells the receiver which of them to refuse.
 */
import * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import * as Refusal from './Refusal.js';

const RETRY_AFTER_MS = 1_000;

const GUARD_REFUSALS: Readonly<Record<Core.BodyRefusal, Refusal.Refusal>> = {
  body_idle: Refusal.createRefusal('request_timeout', 'the body was not received in time'),
  body_too_large: Refusal.createRefusal('body_too_large', 'the body is too large'),
  memory: Refusal.createRefusal('overloaded', 'too many bodies are being read', RETRY_AFTER_MS),
};

/**
 * Receives a body of at most `maxBytes` bytes, or a refusal, after which the rest of the body is
 * still to be read. Rejects with an unexpected error.
 */
export function receiveBody(
  request: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | Refusal.Refusal> {
  return new Promise((resolve, reject) => {
    const collector = Core.createByteCollector(maxBytes);
    let isSettled = false;
    const settle = (result: Buffer | Refusal.Refusal): void => {
      if (isSettled) return;
      isSettled = true;
      collector.take();
      resolve(result);
    };
    const handleError = (error: unknown): void => {
      isSettled = true;
      collector.take();
      reject(error);
    };
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
      Core.setRefusalHandler(request, () => undefined);
      settle(GUARD_REFUSALS.body_too_large);
      return;
    }
    Core.setRefusalHandler(request, (reason) => settle(GUARD_REFUSALS[reason]));
    request.on('data', Core.withErrorHandler((chunk: Buffer) => {
      if (!isSettled && !collector.append(chunk)) settle(GUARD_REFUSALS.body_too_large);
    }, handleError));
    request.on('end', Core.withErrorHandler(() => settle(collector.take()), handleError));
    const handleCut = (): void => {
      settle(Refusal.createRefusal('invalid_request', 'the body was cut off'));
    };
    request.on('error', handleCut);
    request.on('close', handleCut);
  });
}
