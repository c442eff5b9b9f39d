/** Answers to requests that Node's parser refuses: in the same shape as every other refusal. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as Refusal from './Refusal.js';

const ERRORS: Readonly<Record<string, Refusal.Refusal>> = {
  ERR_HTTP_REQUEST_TIMEOUT: Refusal.createRefusal(
    'request_timeout',
    'the request was not received in time',
  ),
  HPE_HEADER_OVERFLOW: Refusal.createRefusal('header_too_large', 'the header is too large'),
};
const MALFORMED = Refusal.createRefusal('invalid_request', 'the request is not valid HTTP');

function formatAnswer(refusal: Refusal.Refusal): string {
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

/** Answers on the raw connection, since there is no response to write to, and closes it. */
export function handleClientErrors(server: http.Server): void {
  server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => {
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    socket.end(formatAnswer(ERRORS[error.code ?? ''] ?? MALFORMED), () => socket.destroy());
  });
}
