/** Receives the body of a request within the limits of one body and of all bodies together. */
import type * as http from 'node:http';
import * as Refusal from './Refusal.js';

/**
 * A body beyond its limit is read and discarded up to this multiple: closing at once would reset
 * the connection, and the caller would lose the refusal.
 */
const DISCARD_FACTOR = 8;
const RETRY_MS = 1_000;

/** Receiver of bodies. */
export interface BodyReceiver {
  /** Receives a body; its bytes count against the total until `release`. */
  readonly receive: (request: http.IncomingMessage) => Promise<Buffer | Refusal.Refusal>;
  readonly release: (body: Buffer) => void;
}

/** Creates a receiver with limits for one body and for all bodies in memory, in bytes. */
export function createBodyReceiver(maxBytes: number, maxTotalBytes: number): BodyReceiver {
  let total = 0;
  return {
    receive: (request) => new Promise((resolve) => {
      let chunks: Buffer[] = [];
      let bytes = 0;
      let counted = 0;
      let refusal: Refusal.Refusal | undefined;
      const refuse = (found: Refusal.Refusal): void => {
        refusal ??= found;
        chunks = [];
        total -= counted;
        counted = 0;
      };
      request.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maxBytes * DISCARD_FACTOR && refusal !== undefined) {
          request.pause();
          resolve(refusal);
          return;
        }
        if (refusal !== undefined) return;
        chunks.push(chunk);
        counted += chunk.length;
        total += chunk.length;
        if (bytes > maxBytes) {
          const message = `the body is larger than ${maxBytes} bytes`;
          refuse(Refusal.createRefusal('body_too_large', message));
        } else if (total > maxTotalBytes) {
          refuse(Refusal.createRefusal('overloaded', 'too many bodies are being read', RETRY_MS));
        }
      });
      request.on('end', () => {
        const [only] = chunks;
        resolve(refusal ?? (chunks.length === 1 && only ? only : Buffer.concat(chunks)));
      });
      request.on('error', () => {
        refuse(Refusal.createRefusal('invalid_request', 'the body was cut off'));
        if (refusal !== undefined) resolve(refusal);
      });
    }),
    release: (body) => {
      total -= body.length;
    },
  };
}
