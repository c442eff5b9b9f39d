/** Reads a bounded answer of a backend server as a whole. */
import type * as Core from '@berylyoke/core';
import type * as http from 'node:http';

/** Longest time between the head and the end of an answer. */
const READ_TIMEOUT_MS: Core.Millis = 30_000;

/** Reads the body; undefined when it was cut off, late or too large. Never rejects. */
export function readResponseBody(
  answer: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(() => answer.destroy(), READ_TIMEOUT_MS);
    const finish = (body: Buffer | undefined): void => {
      clearTimeout(timer);
      resolve(body);
    };
    answer.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes > maxBytes) answer.destroy();
    });
    answer.on('end', () => finish(answer.complete ? Buffer.concat(chunks) : undefined));
    answer.on('error', () => finish(undefined));
    answer.on('close', () => finish(undefined));
  });
}
