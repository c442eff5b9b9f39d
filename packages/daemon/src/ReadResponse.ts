/** Reads the complete body of a backend server's response, up to a limit. */
import * as Core from '@berylyoke/core';
import type * as http from 'node:http';

/** Longest time from the head of a response to its end. */
const READ_TIMEOUT_MS: Core.Millis = 30_000;

/**
 * Reads a body of at most `maxBytes` bytes; undefined if it is truncated, reset, late or too large.
 * Never rejects.
 */
export function readResponseBody(
  response: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(() => response.destroy(), READ_TIMEOUT_MS);
    const finish = (body: Buffer | undefined): void => {
      clearTimeout(timer);
      resolve(body);
    };
    Core.watchReset(response, () => finish(undefined));
    response.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes > maxBytes) response.destroy();
    });
    response.on('end', () => finish(response.complete ? Buffer.concat(chunks) : undefined));
    response.on('error', () => finish(undefined));
    response.on('close', () => finish(undefined));
  });
}
