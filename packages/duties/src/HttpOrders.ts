/**
 * Adapters of the order ports to HTTP. An order goes on a connection of its own: the authority is
 * checked in the turn in which the whole request is written to the connected socket, and the
 * connection is reset when the clock shows afterwards that the authority has lapsed.
 */
import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as OrderPorts from './OrderPorts.js';

/** Time for a read of the actual state, in milliseconds. */
const READ_TIMEOUT_MS = 2_000;

const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;

const decodeServers = Schema.decodeUnknown(Schema.Array(OrderPorts.OrderedServer));

function buildAnswer(status: number, text: string): OrderPorts.OrderAnswer | undefined {
  if (status >= HTTP_OK && status < HTTP_OK + 100) return { status: 'accepted' };
  // A server error does not tell whether the order took effect.
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
    const fail = (reason: OrderPorts.OrderPortError['reason'], socket?: net.Socket): void => {
      resume(Effect.fail(new OrderPorts.OrderPortError({ orderId, reason, sent })));
      // A reset discards what the kernel has not sent yet; a normal close would deliver it.
      socket?.resetAndDestroy();
      request.destroy();
    };
    const write = (socket: net.Socket): void => {
      socket.setNoDelay(true);
      if (!guard.canSend()) {
        fail('authority', socket);
        return;
      }
      sent = true;
      request.end(payload);
      if (!guard.isStillHeld()) fail('lapsed', socket);
    };
    const timer = setTimeout(() => fail('timeout', request.socket ?? undefined), deadlineMs);
    request.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => write(socket));
      else write(socket);
    });
    request.on('error', () => fail('connection'));
    request.on('close', () => clearTimeout(timer));
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => fail('connection'));
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        const answer = buildAnswer(response.statusCode ?? 0, text);
        if (answer === undefined) fail('invalid-answer');
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
  return Core.requestJson({ method: 'GET', timeoutMs: READ_TIMEOUT_MS, url }).pipe(
    Effect.mapError(({ sent }) => new OrderPorts.OrderPortError({
      orderId, reason: 'connection', sent,
    })),
  );
}

function buildInvalidAnswer(orderId: string): OrderPorts.OrderPortError {
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
      return Effect.fail(buildInvalidAnswer(orderId));
    }),
  );
}

/** Creates the ordering port over HTTP. `baseUrl` has no trailing slash. */
export function createHttpOrdering(baseUrl: string): OrderPorts.OrderingPort {
  return {
    hasOrder: (orderId) => hasOrder(baseUrl, orderId),
    listServers: () => requestState('', `${baseUrl}/servers`).pipe(
      Effect.flatMap(({ body }) => decodeServers(body).pipe(
        Effect.mapError(() => buildInvalidAnswer('')),
      )),
    ),
    sendOrder: (order, guard) => sendFencedOrder(baseUrl, order, guard),
  };
}

/** Creates the engines' order port over HTTP. */
export function createHttpEngineOrders(): OrderPorts.EngineOrderPort {
  return { hasOrder, sendOrder: sendFencedOrder };
}
