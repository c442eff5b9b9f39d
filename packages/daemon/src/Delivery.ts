/** Answer to one caller across attempts: what was delivered, and never a chunk twice. */
import type * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import type * as SseReader from './SseReader.js';

const HTTP_OK = 200;

/** Progress of an answer. */
export interface DeliveryProgress {
  /** Chunks with a token that were written to the caller. */
  readonly delivered: number;
  readonly headSent: boolean;
  readonly usage: SseReader.SseUsage | undefined;
  readonly firstTokenAtMs: Core.Millis | undefined;
}

/** Writer of one answer. */
export interface Delivery {
  readonly getProgress: () => DeliveryProgress;
  readonly writeStreamHead: () => void;
  /** Writes events in order; false when the caller's buffer is full. */
  readonly writeBatch: (batch: SseReader.SseBatch, includeUsage: boolean) => boolean;
  readonly endStream: () => void;
  readonly endPlain: (body: Buffer, usage: SseReader.SseUsage) => void;
  /** Closes the connection, which tells the caller that the answer is not whole. */
  readonly cut: () => void;
  /** Calls back once when the caller's buffer is empty again. */
  readonly onDrain: (resume: () => void) => void;
}

/** Creates the writer of an answer. */
export function createDelivery(response: http.ServerResponse, clock: Core.Clock): Delivery {
  let delivered = 0;
  let usage: SseReader.SseUsage | undefined;
  let firstTokenAtMs: Core.Millis | undefined;
  return {
    cut: () => response.destroy(),
    endPlain: (body, counted) => {
      usage = counted;
      firstTokenAtMs = clock.readMonotonic();
      response.writeHead(HTTP_OK, {
        'content-length': body.length, 'content-type': 'application/json',
      });
      response.end(body);
    },
    endStream: () => response.end('data: [DONE]\n\n'),
    getProgress: () => ({
      delivered, firstTokenAtMs, headSent: response.headersSent, usage,
    }),
    onDrain: (resume) => response.once('drain', resume),
    writeBatch: (batch, includeUsage) => {
      let writable = true;
      if (batch.forward.length > 0) {
        if (batch.tokens > 0) firstTokenAtMs ??= clock.readMonotonic();
        delivered += batch.tokens;
        writable = response.write(batch.forward);
      }
      usage = batch.usage ?? usage;
      if (includeUsage && batch.usageEvent !== undefined) response.write(batch.usageEvent);
      return writable;
    },
    writeStreamHead: () => {
      if (response.headersSent) return;
      response.writeHead(HTTP_OK, {
        'cache-control': 'no-cache', 'content-type': 'text/event-stream; charset=utf-8',
      });
    },
  };
}
