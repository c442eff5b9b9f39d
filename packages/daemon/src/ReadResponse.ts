/** Reads the complete body of a backend server's response, up to a limit. */
import * as Core from '@berylyoke/core';
import type * as http from 'node:http';

/** Longest time from the head of a response to its end. */
const READ_TIMEOUT_MS: Core.Millis = 30_000;

/**
 * Reads a body of at most `maxBytes` bytes; undefined if it is truncated, reset, late or too large.
 * Rejects only with an unexpected error of a callback.
 */
export function readResponseBody(
  response: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
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
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes > maxBytes) response.destroy();
    }, handleError));
    response.on('end', Core.withErrorHandler(() => {
      finish(response.complete ? Buffer.concat(chunks) : undefined);
    }, handleError));
    response.on('error', () => finish(undefined));
    response.on('close', () => finish(undefined));
  });
}
