/**
 * Fake of the platform's ordering interface; it can also stand in for the order interface of an
 * engine. Operations `order`, `state` and `servers` support faults. A repeated order id is answered
 * but not executed again.
 */
import * as Schema from 'effect/Schema';
import * as FakeServer from './FakeServer.js';

const HTTP_ACCEPTED = 202;
const HTTP_CONFLICT = 409;
const HTTP_NOT_FOUND = 404;
const HTTP_OK = 200;

/** Options of the fake. */
export interface FakeOrderingOptions {
  readonly port?: number;
  /** Whether an order with a lower fencing token than an earlier one is refused. */
  readonly isFenceChecked?: boolean;
}

/** An order that was executed. */
export interface AcceptedOrder {
  readonly orderId: string;
  readonly fence: number;
  /** Daemon and incarnation, from the header `x-berylyoke-sender`. */
  readonly sender: string;
  /** Monotonic time of the fake, in milliseconds. */
  readonly acceptedMs: number;
  readonly body: unknown;
}

/** A running fake of the ordering interface. */
export interface FakeOrdering extends FakeServer.FakeServer {
  /** Lists executed orders in the sequence of their execution. */
  readonly listAcceptedOrders: () => readonly AcceptedOrder[];
  readonly countRefusedOrders: () => number;
}

const decodeOrder = Schema.decodeUnknownSync(Schema.Struct({
  fence: Schema.Int, orderId: Schema.String,
}));

/** Starts the fake on a loopback port. */
export async function startFakeOrdering(
  { isFenceChecked = true, port = 0 }: FakeOrderingOptions = {},
): Promise<FakeOrdering> {
  const acceptedOrders: AcceptedOrder[] = [];
  let refusedCount = 0;
  let highestFence = -1;

  const server = await FakeServer.startFakeServer([
    {
      handle: ({ headers, text }) => {
        const body: unknown = JSON.parse(text);
        const { fence, orderId } = decodeOrder(body);
        if (isFenceChecked && fence < highestFence) {
          refusedCount += 1;
          return { body: { error: 'stale fence', highestFence }, status: HTTP_CONFLICT };
        }
        highestFence = Math.max(highestFence, fence);
        if (!acceptedOrders.some((order) => order.orderId === orderId)) {
          acceptedOrders.push({
            acceptedMs: performance.now(),
            body,
            fence,
            orderId,
            sender: String(headers['x-berylyoke-sender']),
          });
        }
        return { body: { orderId }, status: HTTP_ACCEPTED };
      },
      name: 'order',
      pattern: /^POST \/orders$/,
    },
    {
      handle: (_, __, [, id = '']) => {
        const order = acceptedOrders.find(({ orderId }) => orderId === decodeURIComponent(id));
        return order === undefined
          ? { body: { error: 'unknown order' }, status: HTTP_NOT_FOUND }
          : { body: order, status: HTTP_OK };
      },
      name: 'state',
      pattern: /^GET \/orders\/([^/]+)$/,
    },
    {
      handle: () => ({ body: [], status: HTTP_OK }),
      name: 'servers',
      pattern: /^GET \/servers$/,
    },
  ], port);
  return {
    ...server,
    countRefusedOrders: () => refusedCount,
    listAcceptedOrders: () => acceptedOrders,
  };
}
