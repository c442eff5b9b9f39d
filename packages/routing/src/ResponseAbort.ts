/**
 * Breaks off a response whose rest cannot be sent. What was already written still reaches the
 * caller, whose framing then shows that the response is not complete.
 */
import type * as Core from '@berylyoke/core';
import type * as http from 'node:http';

/** Time in which a caller may read the rest before its connection is closed anyway. */
const FLUSH_TIMEOUT_MS: Core.Millis = 250;

/** Checks whether the caller takes the end of the connection for the end of the body. */
function isEndedByConnection({ req }: http.ServerResponse): boolean {
  return req.httpVersionMajor === 1 && req.httpVersionMinor === 0;
}

/** Closes the connection of a response after the bytes written so far were sent. */
export function abortResponse(response: http.ServerResponse): void {
  const { socket } = response;
  if (socket === null) {
    response.destroy();
    return;
  }
  const timer = setTimeout(() => socket.destroy(), FLUSH_TIMEOUT_MS);
  socket.once('close', () => clearTimeout(timer));
  if (isEndedByConnection(response)) {
    // Only a reset shows the caller that the body is not complete.
    socket.write('', () => socket.resetAndDestroy());
  } else socket.destroySoon();
}
