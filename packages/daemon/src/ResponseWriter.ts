/** Answer to one caller across attempts: what was delivered, and never a chunk twice. */
import type * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import type * as SseReader from './SseReader.js';

const HTTP_OK = 200;

/** Progress of an answer. */
export interface ResponseProgress {
  /** Chunks with a token that were written to the caller. */
  readonly delivered: number;
  readonly headSent: boolean;
  readonly usage: SseReader.SseUsage | undefined;
  readonly firstTokenAtMs: Core.Millis | undefined;
}

/** Writer of one answer. */
export interface ResponseWriter {
  readonly getProgress: () => ResponseProgress;
  readonly writeStreamHead: () => void;
  /** Writes events in order; false when the caller's buffer is full. */
  readonly writeBatch: (batch: SseReader.SseBatch) => boolean;
  /** Ends the answer with its last events in one write. */
  readonly endStream: (batch: SseReader.SseBatch, includeUsage: boolean) => void;
  readonly endPlain: (body: Buffer, usage: SseReader.SseUsage) => void;
  /** Closes the connection, which tells the caller that the answer is not whole. */
  readonly cut: () => void;
  /** Calls back once when the caller's buffer is empty again. */
  readonly onDrain: (resume: () => void) => void;
}

const HEX = 16;
const CRLF = '\r\n';
const DONE = Buffer.from('data: [DONE]\n\n');
const EMPTY = Buffer.alloc(0);

/**
 * Frames data as one chunk of HTTP's chunked transfer coding. `response.write` hands the same frame
 * to the kernel as four buffers after a detour over the next tick.
 */
function frameChunk(data: Buffer): Buffer {
  const size = data.length.toString(HEX);
  const start = size.length + CRLF.length;
  const frame = Buffer.allocUnsafe(start + data.length + CRLF.length);
  frame.write(size + CRLF, 0, 'latin1');
  data.copy(frame, start);
  frame.write(CRLF, start + data.length, 'latin1');
  return frame;
}

/** Creates the writer of an answer. */
export function createResponseWriter(
  response: http.ServerResponse,
  clock: Core.Clock,
): ResponseWriter {
  let delivered = 0;
  let usage: SseReader.SseUsage | undefined;
  let firstTokenAtMs: Core.Millis | undefined;
  let isFirstWrite = true;
  let drained: NodeJS.EventEmitter = response;

  const observeBatch = ({ tokens }: SseReader.SseBatch): void => {
    if (tokens > 0) firstTokenAtMs ??= clock.readMonotonic();
    delivered += tokens;
  };

  const write = (data: Buffer): boolean => {
    const { socket } = response;
    // The first write takes the head along. A response that waits for an earlier one on the same
    // connection has no socket yet or holds data back.
    const canWriteFrame = !isFirstWrite && response.chunkedEncoding && socket !== null
      && response.writableLength === socket.writableLength;
    isFirstWrite = false;
    drained = canWriteFrame ? socket : response;
    return canWriteFrame ? socket.write(frameChunk(data)) : response.write(data);
  };

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
    endStream: (batch, includeUsage) => {
      observeBatch(batch);
      ({ usage } = batch);
      const usageEvent = includeUsage ? batch.usageEvent ?? EMPTY : EMPTY;
      response.end(Buffer.concat([batch.forward, usageEvent, DONE]));
    },
    getProgress: () => ({
      delivered, firstTokenAtMs, headSent: response.headersSent, usage,
    }),
    onDrain: (resume) => {
      drained.once('drain', resume);
    },
    writeBatch: (batch) => {
      observeBatch(batch);
      return batch.forward.length === 0 || write(batch.forward);
    },
    writeStreamHead: () => {
      if (response.headersSent) return;
      response.writeHead(HTTP_OK, {
        'cache-control': 'no-cache', 'content-type': 'text/event-stream; charset=utf-8',
      });
    },
  };
}
