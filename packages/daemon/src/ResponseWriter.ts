/**
 * Writes the response to a caller across several attempts, and counts the delivered tokens so that
 * a resumed stream repeats none of them.
 */
import type * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import type * as SseReader from './SseReader.js';

const HTTP_OK = 200;

/** Progress of a response. */
export interface ResponseProgress {
  /** Number of token chunks that were written to the caller. */
  readonly delivered: number;
  readonly isHeadSent: boolean;
  readonly usage: SseReader.SseUsage | undefined;
  readonly firstTokenAtMs: Core.Millis | undefined;
}

/** Writer of one response. */
export interface ResponseWriter {
  readonly getProgress: () => ResponseProgress;
  readonly writeStreamHead: () => void;
  /** Writes the events of a batch in order; false if the write buffer to the caller is full. */
  readonly writeBatch: (batch: SseReader.SseBatch) => boolean;
  /** Ends a stream and writes its last events in one write. */
  readonly endStream: (batch: SseReader.SseBatch, includeUsage: boolean) => void;
  /** Ends the response with the body of a chat completion that is not streamed. */
  readonly endWithBody: (body: Buffer, usage: SseReader.SseUsage) => void;
  /** Closes the connection, which shows the caller that the response is incomplete. */
  readonly closeConnection: () => void;
  /** Calls `resume` once, when the write buffer to the caller has emptied. */
  readonly onDrain: (resume: () => void) => void;
}

const HEX_RADIX = 16;
const CRLF = '\r\n';
const DONE_EVENT = Buffer.from('data: [DONE]\n\n');
const EMPTY = Buffer.alloc(0);

/**
 * Frames data as one chunk of HTTP's chunked transfer coding. `response.write` would pass the same
 * frame to the kernel as four buffers, and only in the next tick.
 */
function frameChunk(data: Buffer): Buffer {
  const size = data.length.toString(HEX_RADIX);
  const start = size.length + CRLF.length;
  const frame = Buffer.allocUnsafe(start + data.length + CRLF.length);
  frame.write(size + CRLF, 0, 'latin1');
  data.copy(frame, start);
  frame.write(CRLF, start + data.length, 'latin1');
  return frame;
}

/** Creates the writer of a response. */
export function createResponseWriter(
  response: http.ServerResponse,
  clock: Core.Clock,
): ResponseWriter {
  let delivered = 0;
  let usage: SseReader.SseUsage | undefined;
  let firstTokenAtMs: Core.Millis | undefined;
  let isFirstWrite = true;
  let drainEmitter: NodeJS.EventEmitter = response;

  const observeBatch = ({ tokens }: SseReader.SseBatch): void => {
    if (tokens > 0) firstTokenAtMs ??= clock.readMonotonic();
    delivered += tokens;
  };

  const writeData = (data: Buffer): boolean => {
    const { socket } = response;
    // The first write also sends the head, so it has to go through the response. While a response
    // waits for an earlier one on the same connection, it has no socket yet or buffers its data.
    const canWriteFrame = !isFirstWrite && response.chunkedEncoding && socket !== null
      && response.writableLength === socket.writableLength;
    isFirstWrite = false;
    drainEmitter = canWriteFrame ? socket : response;
    return canWriteFrame ? socket.write(frameChunk(data)) : response.write(data);
  };

  return {
    closeConnection: () => response.destroy(),
    endWithBody: (body, tokenUsage) => {
      usage = tokenUsage;
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
      response.end(Buffer.concat([batch.forward, usageEvent, DONE_EVENT]));
    },
    getProgress: () => ({
      delivered, firstTokenAtMs, isHeadSent: response.headersSent, usage,
    }),
    onDrain: (resume) => {
      drainEmitter.once('drain', resume);
    },
    writeBatch: (batch) => {
      observeBatch(batch);
      return batch.forward.length === 0 || writeData(batch.forward);
    },
    writeStreamHead: () => {
      if (response.headersSent) return;
      response.writeHead(HTTP_OK, {
        'cache-control': 'no-cache', 'content-type': 'text/event-stream; charset=utf-8',
      });
    },
  };
}
