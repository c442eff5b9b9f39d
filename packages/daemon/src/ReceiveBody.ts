/** Receives request bodies within a limit for each body and a limit for all bodies in memory. */
import * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import * as Refusal from './Refusal.js';

const RETRY_AFTER_MS = 1_000;

/** Receiver of request bodies, which keeps count of their total size. */
export interface BodyReceiver {
  /**
   * Receives a body, or a refusal; its bytes count towards the total until `release`. After a
   * refusal, the rest of the body is still to be read. Rejects with an unexpected error.
   */
  readonly receive: (request: http.IncomingMessage) => Promise<Buffer | Refusal.Refusal>;
  readonly release: (body: Buffer) => void;
}

/** Creates a receiver with limits for one body and for all bodies in memory, in bytes. */
export function createBodyReceiver(maxBytes: number, maxTotalBytes: number): BodyReceiver {
  let totalBytes = 0;
  const createSizeRefusal = (): Refusal.Refusal => Refusal.createRefusal(
    'body_too_large',
    `the body is larger than ${maxBytes} bytes`,
  );
  return {
    receive: (request) => new Promise((resolve, reject) => {
      const collector = Core.createByteCollector(maxBytes);
      let isSettled = false;
      const settle = (result: Buffer | Refusal.Refusal): void => {
        if (isSettled) return;
        isSettled = true;
        if (Refusal.isRefusal(result)) totalBytes -= collector.take().length;
        resolve(result);
      };
      const handleError = (error: unknown): void => {
        if (!isSettled) totalBytes -= collector.take().length;
        isSettled = true;
        reject(error);
      };
      if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
        settle(createSizeRefusal());
        return;
      }
      request.on('data', Core.withErrorHandler((chunk: Buffer) => {
        if (isSettled) return;
        if (!collector.append(chunk)) {
          settle(createSizeRefusal());
          return;
        }
        totalBytes += chunk.length;
        if (totalBytes <= maxTotalBytes) return;
        settle(Refusal.createRefusal(
          'overloaded',
          'too many bodies are being read',
          RETRY_AFTER_MS,
        ));
      }, handleError));
      request.on('end', Core.withErrorHandler(() => settle(collector.take()), handleError));
      const handleCut = (): void => {
        settle(Refusal.createRefusal('invalid_request', 'the body was cut off'));
      };
      request.on('error', handleCut);
      request.on('close', handleCut);
    }),
    release: (body) => {
      totalBytes -= body.length;
    },
  };
}
