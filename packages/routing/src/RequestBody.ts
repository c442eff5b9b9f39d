/** Reads the body of a caller's request, within its limits of size and number of pieces. */
import * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import type * as Refusals from './Refusals.js';

/**
 * Limits of the pieces of a caller's body: so many of any size, and one more for each piece of the
 * usual minimum. Each piece costs a callback of the parser, however small it is.
 */
const MAX_SMALL_PIECES = 16_384;
const MIN_PIECE_BYTES = 64;

/** Refusals by the reason of the listener's guard. */
const GUARD_REFUSALS = {
  body_idle: 'body_idle', body_too_large: 'body_too_large', memory: 'overloaded_memory',
} as const satisfies Record<Core.BodyRefusal, Refusals.RefusalCode>;

/** Results of reading a body; at most one of them is called, once. */
export interface BodyHandlers {
  readonly onBody: (body: Buffer) => void;
  /** The request has to be refused; nothing of its body is held any more. */
  readonly onRefuse: (code: Refusals.RefusalCode) => void;
}

/**
 * Reads a body; one whose stated length is over the limit is refused before it is read.
 *
 * @returns drops what is held of an incomplete body, after which no handler is called
 */
export function readRequestBody(
  request: http.IncomingMessage,
  maxBytes: number,
  { onBody, onRefuse }: BodyHandlers,
): () => void {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    onRefuse('body_too_large');
    return () => undefined;
  }
  const body = Core.createByteCollector(maxBytes);
  let pieces = 0;
  let isDone = false;
  const cancel = (): void => {
    if (!isDone) body.take();
    isDone = true;
  };
  const refuse = (code: Refusals.RefusalCode): void => {
    if (isDone) return;
    cancel();
    onRefuse(code);
  };
  Core.setRefusalHandler(request, (reason) => refuse(GUARD_REFUSALS[reason]));
  request.on('data', (chunk: Buffer) => {
    if (isDone) return;
    pieces += 1;
    if (pieces > MAX_SMALL_PIECES + body.getLength() / MIN_PIECE_BYTES) {
      refuse('body_in_pieces');
      // Discarding more of such pieces would cost as much as reading them.
      request.pause();
    } else if (!body.append(chunk)) refuse('body_too_large');
  });
  request.on('end', () => {
    if (isDone) return;
    isDone = true;
    onBody(body.take());
  });
  return cancel;
}
