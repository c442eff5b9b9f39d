/** Responses to requests that Node's HTTP parser rejects, in the format of all other refusals. */
import * as Core from '@berylyoke/core';
import type * as stream from 'node:stream';
import * as Refusal from './Refusal.js';

const REFUSALS_BY_ERROR_CODE: Readonly<Record<string, Refusal.Refusal>> = {
  ERR_HTTP_REQUEST_TIMEOUT: Refusal.createRefusal(
    'request_timeout',
    'the request was not received in time',
  ),
  HPE_HEADER_OVERFLOW: Refusal.createRefusal('header_too_large', 'the header is too large'),
};
const MALFORMED_REFUSAL = Refusal.createRefusal('invalid_request', 'the request is not valid HTTP');

function formatResponse(refusal: Refusal.Refusal): string {
  const body = Refusal.buildRefusalBody(refusal);
  const headers = {
    ...Refusal.buildRefusalHeaders(refusal),
    connection: 'close',
    'content-length': String(Buffer.byteLength(body)),
  };
  const { status } = Refusal.REFUSAL_CODES[refusal.code];
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} ${refusal.code}\r\n${lines.join('')}\r\n${body}`;
}

/**
 * Responds to a request that the parser rejects and closes its connection. Writes to the raw
 * socket, since Node creates no response object for such a request.
 */
export function refuseMalformed(error: NodeJS.ErrnoException, socket: stream.Duplex): void {
  if (error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  socket.end(formatResponse(REFUSALS_BY_ERROR_CODE[error.code ?? ''] ?? MALFORMED_REFUSAL));
  const timer = setTimeout(() => socket.destroy(), Core.BODY_LINGER_MS);
  socket.once('close', () => clearTimeout(timer));
}
