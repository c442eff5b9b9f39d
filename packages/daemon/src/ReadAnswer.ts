/** Reads a bounded answer of a backend server as a whole. */
import type * as http from 'node:http';

/** Reads the body; undefined when it was cut off or larger than `maxBytes`. Never rejects. */
export function readAnswer(
  answer: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    answer.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes > maxBytes) answer.destroy();
    });
    answer.on('end', () => resolve(answer.complete ? Buffer.concat(chunks) : undefined));
    answer.on('error', () => resolve(undefined));
    answer.on('close', () => resolve(undefined));
  });
}
