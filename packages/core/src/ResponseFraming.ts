/** Tells how the end of a response body is marked, and whether such an end is a reset. */
import type * as http from 'node:http';

/** How the end of a response body is marked: by its length, its last chunk, or the connection. */
export type BodyFraming = 'chunks' | 'connection' | 'length';

/** Returns how the end of a body with these headers is marked. */
export function getBodyFraming(headers: http.IncomingHttpHeaders): BodyFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'connection' : 'length';
}

/**
 * Detects a connection reset at the end of a response that is delimited by connection close. libuv
 * reports a reset that arrives together with the last bytes as a normal end, but the socket then
 * has no remote address. The address must not be read earlier, because Node.js caches it.
 */
export function watchReset(
  { headers, socket }: http.IncomingMessage,
  onReset: () => void,
): void {
  if (getBodyFraming(headers) !== 'connection') return;
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}
