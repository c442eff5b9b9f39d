/** Reads the complete body of a backend server's response, up to a limit. */
import * as Core from '@berylyoke/core';
import type * as http from 'node:http';

/** Longest time from the head of a response to its end. */
const READ_TIMEOUT_MS: Core.Millis = 30_000;

/**
 * Reads a body of at most `maxBytes` bytes; undefined if it is truncated, reset, late, too large or
 * in too many small pieces.
 * Rejects only with an unexpected error of a callback.
 */
export function readResponseBody(
  response: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const collector = Core.createByteCollector(maxBytes);
    const allowance = Core.createSendAllowance(0);
    const timer = setTimeout(() => response.destroy(), READ_TIMEOUT_MS);
    const finish = (body: Buffer | undefined): void => {
      clearTimeout(timer);
      resolve(body);
    };
    const handleError = (error: unknown): void => {
      clearTimeout(timer);
      reject(error);
      response.destroy();
    };
    Core.watchReset(response, () => finish(undefined));
    response.on('data', Core.withErrorHandler((chunk: Buffer) => {
      allowance.spendBytes(chunk.length);
      allowance.spendPieces(1);
      allowance.earn(chunk.length);
      if (allowance.isExhausted() || !collector.append(chunk)) response.destroy();
    }, handleError));
    response.on('end', Core.withErrorHandler(() => {
      finish(response.complete ? collector.take() : undefined);
    }, handleError));
    response.on('error', () => finish(undefined));
    response.on('close', () => finish(undefined));
  });
}
