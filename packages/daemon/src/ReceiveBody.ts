/** Receives request bodies within a limit for each body and a limit for all bodies in memory. */
import type * as http from 'node:http';
import * as Refusal from './Refusal.js';

/**
 * A body over its limit is read and discarded up to this multiple of the limit: closing the
 * connection at once would reset it, and the caller would not receive the refusal.
 */
const DISCARD_FACTOR = 8;
const RETRY_AFTER_MS = 1_000;

/** Receiver of request bodies, which keeps count of their total size. */
export interface BodyReceiver {
  /** Receives a body, or a refusal; its bytes count towards the total until `release`. */
  readonly receive: (request: http.IncomingMessage) => Promise<Buffer | Refusal.Refusal>;
  readonly release: (body: Buffer) => void;
}

/** Creates a receiver with limits for one body and for all bodies in memory, in bytes. */
export function createBodyReceiver(maxBytes: number, maxTotalBytes: number): BodyReceiver {
  let totalBytes = 0;
  return {
    receive: (request) => new Promise((resolve) => {
      let chunks: Buffer[] = [];
      let receivedBytes = 0;
      let countedBytes = 0;
      let refusal: Refusal.Refusal | undefined;
      const refuse = (newRefusal: Refusal.Refusal): void => {
        refusal ??= newRefusal;
        chunks = [];
        totalBytes -= countedBytes;
        countedBytes = 0;
      };
      request.on('data', (chunk: Buffer) => {
        receivedBytes += chunk.length;
        if (receivedBytes > maxBytes * DISCARD_FACTOR && refusal !== undefined) {
          request.pause();
          resolve(refusal);
          return;
        }
        if (refusal !== undefined) return;
        chunks.push(chunk);
        countedBytes += chunk.length;
        totalBytes += chunk.length;
        if (receivedBytes > maxBytes) {
          const message = `the body is larger than ${maxBytes} bytes`;
          refuse(Refusal.createRefusal('body_too_large', message));
        } else if (totalBytes > maxTotalBytes) {
          refuse(Refusal.createRefusal(
            'overloaded',
            'too many bodies are being read',
            RETRY_AFTER_MS,
          ));
        }
      });
      request.on('end', () => {
        const [first] = chunks;
        resolve(refusal ?? (chunks.length === 1 && first ? first : Buffer.concat(chunks)));
      });
      request.on('error', () => {
        refuse(Refusal.createRefusal('invalid_request', 'the body was cut off'));
        if (refusal !== undefined) resolve(refusal);
      });
    }),
    release: (body) => {
      totalBytes -= body.length;
    },
  };
}
