/**
 * Fake of the platform's ordering interface, also usable for the order interface of one engine.
 * Operations `order`, `state` and `servers` take faults. An order id is carried out once.
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

/** An order that was carried out. */
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
  /** In the order in which they were carried out. */
  readonly listAcceptedOrders: () => readonly AcceptedOrder[];
  readonly countRefusedOrders: () => number;
}

const decodeOrder = Schema.decodeUnknownSync(Schema.Struct({
  fence: Schema.Int, orderId: Schema.String,
}));

/** Starts the fake. */
export async function startFakeOrdering(
  { isFenceChecked = true, port = 0 }: FakeOrderingOptions = {},
): Promise<FakeOrdering> {
  const accepted: AcceptedOrder[] = [];
  let refused = 0;
  let highestFence = -1;

  const server = await FakeServer.startFakeServer([
    {
      handle: ({ headers, text }) => {
        const body: unknown = JSON.parse(text);
        const { fence, orderId } = decodeOrder(body);
        if (isFenceChecked && fence < highestFence) {
          refused += 1;
          return { body: { error: 'stale fence', highestFence }, status: HTTP_CONFLICT };
        }
        highestFence = Math.max(highestFence, fence);
        if (!accepted.some((order) => order.orderId === orderId)) {
          accepted.push({
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
        const order = accepted.find(({ orderId }) => orderId === decodeURIComponent(id));
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
  return { ...server, countRefusedOrders: () => refused, listAcceptedOrders: () => accepted };
}
