/**
 * HTTP adapters of the order ports. Each order has a connection of its own. The lease is checked in
 * the event-loop turn that writes the whole request to the connected socket. If a check after the
 * write shows that the lease ended in between, the connection is reset.
 */
import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as OrderPorts from './OrderPorts.js';

/** Time-out for reading the actual state from the receiver, in milliseconds. */
const STATE_READ_TIMEOUT_MS = 2_000;

const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;

const decodeServers = Schema.decodeUnknown(Schema.Array(OrderPorts.OrderedServer));

function parseOrderAnswer(status: number, text: string): OrderPorts.OrderAnswer | undefined {
  if (status >= HTTP_OK && status < HTTP_OK + 100) return { status: 'accepted' };
  // After a server error (5xx) it is unknown whether the order took effect.
  return status >= HTTP_BAD_REQUEST && status < HTTP_SERVER_ERROR
    ? { detail: `${status} ${text}`.trim(), status: 'refused' }
    : undefined;
}

function sendFencedOrder(
  baseUrl: string,
  {
    deadlineMs, fence, order, orderId, sender,
  }: OrderPorts.FencedOrder<object>,
  guard: OrderPorts.SendGuard,
): Effect.Effect<OrderPorts.OrderAnswer, OrderPorts.OrderPortError> {
  return Effect.async((resume) => {
    const payload = JSON.stringify({
      ...order, deadlineMs, fence, orderId,
    });
    let sent = false;
    const request = http.request(`${baseUrl}/orders`, {
      agent: false,
      headers: {
        connection: 'close',
        'content-length': Buffer.byteLength(payload),
        'content-type': 'application/json',
        'x-berylyoke-sender': `${sender.daemonId}/${sender.incarnation}`,
      },
      method: 'POST',
    });
    const failOrder = (reason: OrderPorts.OrderPortError['reason'], socket?: net.Socket): void => {
      resume(Effect.fail(new OrderPorts.OrderPortError({ orderId, reason, sent })));
      // A reset discards data that the kernel has not sent yet; a normal close would deliver it.
      socket?.resetAndDestroy();
      request.destroy();
    };
    const writeRequest = (socket: net.Socket): void => {
      socket.setNoDelay(true);
      if (!guard.canSend()) {
        failOrder('authority', socket);
        return;
      }
      sent = true;
      request.end(payload);
      if (!guard.isLeaseHeld()) failOrder('lapsed', socket);
    };
    const timer = setTimeout(() => failOrder('timeout', request.socket ?? undefined), deadlineMs);
    request.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => writeRequest(socket));
      else writeRequest(socket);
    });
    request.on('error', () => failOrder('connection'));
    request.on('close', () => clearTimeout(timer));
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => failOrder('connection'));
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        const answer = parseOrderAnswer(response.statusCode ?? 0, text);
        if (answer === undefined) failOrder('invalid-answer');
        else resume(Effect.succeed(answer));
      });
    });
    return Effect.sync(() => {
      clearTimeout(timer);
      request.socket?.resetAndDestroy();
      request.destroy();
    });
  });
}

function requestState(orderId: string, url: string) {
  return Core.requestJson({ method: 'GET', timeoutMs: STATE_READ_TIMEOUT_MS, url }).pipe(
    Effect.mapError(({ sent }) => new OrderPorts.OrderPortError({
      orderId, reason: 'connection', sent,
    })),
  );
}

function createInvalidAnswerError(orderId: string): OrderPorts.OrderPortError {
  return new OrderPorts.OrderPortError({ orderId, reason: 'invalid-answer', sent: true });
}

function hasOrder(
  baseUrl: string,
  orderId: string,
): Effect.Effect<boolean, OrderPorts.OrderPortError> {
  return requestState(orderId, `${baseUrl}/orders/${encodeURIComponent(orderId)}`).pipe(
    Effect.flatMap(({ status }) => {
      if (status === HTTP_OK || status === HTTP_NOT_FOUND) {
        return Effect.succeed(status === HTTP_OK);
      }
      return Effect.fail(createInvalidAnswerError(orderId));
    }),
  );
}

/** Creates the HTTP adapter of the ordering port. `baseUrl` has no trailing slash. */
export function createHttpOrdering(baseUrl: string): OrderPorts.OrderingPort {
  return {
    hasOrder: (orderId) => hasOrder(baseUrl, orderId),
    listServers: () => requestState('', `${baseUrl}/servers`).pipe(
      Effect.flatMap(({ body }) => decodeServers(body).pipe(
        Effect.mapError(() => createInvalidAnswerError('')),
      )),
    ),
    sendOrder: (order, guard) => sendFencedOrder(baseUrl, order, guard),
  };
}

/** Creates the HTTP adapter of the engines' order port. */
export function createHttpEngineOrders(): OrderPorts.EngineOrderPort {
  return { hasOrder, sendOrder: sendFencedOrder };
}
