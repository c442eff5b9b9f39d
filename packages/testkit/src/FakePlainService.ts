/**
 * Fake of a plain HTTP service that counts how often each `orderId` of a request body is executed.
 * Operation `call` supports the faults lost-answer, delay, refusal and silence.
 */
import * as FakeServer from './FakeServer.js';
import * as ReceivedRequests from './ReceivedRequests.js';

const HTTP_OK = 200;

/** Options of the fake. */
export interface FakePlainServiceOptions {
  readonly port?: number;
}

/** A running fake of a plain service. */
export interface FakePlainService extends FakeServer.FakeServer {
  /** Counts the executions of an order; 0 when it was never received. */
  readonly countExecutions: (orderId: string) => number;
  readonly listReceivedRequests: () => readonly ReceivedRequests.ReceivedRequest[];
}

function findOrderId(text: string): string | undefined {
  try {
    const body: unknown = JSON.parse(text);
    if (body === null || typeof body !== 'object' || !('orderId' in body)) return undefined;
    return String(body.orderId);
  } catch {
    return undefined;
  }
}

/** Starts the fake on a loopback port. */
export async function startFakePlainService(
  { port = 0 }: FakePlainServiceOptions = {},
): Promise<FakePlainService> {
  const executions = new Map<string, number>();
  const receivedRequests = ReceivedRequests.createRequestList();
  const server = await FakeServer.startFakeServer([
    {
      handle: () => ({ body: Object.fromEntries(executions), status: HTTP_OK }),
      name: 'executions',
      pattern: /^GET \/executions$/,
    },
    {
      handle: () => ({ body: receivedRequests.list(), status: HTTP_OK }),
      name: 'seen',
      pattern: /^GET \/seen$/,
    },
    {
      handle: ({
        headers, method, path, target, text,
      }) => {
        receivedRequests.add({ headers, method, path: target });
        const orderId = findOrderId(text);
        const count = orderId === undefined ? 0 : (executions.get(orderId) ?? 0) + 1;
        if (orderId !== undefined) executions.set(orderId, count);
        return { body: { executions: count, orderId, path }, status: HTTP_OK };
      },
      name: 'call',
      pattern: /^[A-Z]+ \/.*$/,
    },
  ], port);
  return {
    ...server,
    countExecutions: (orderId) => executions.get(orderId) ?? 0,
    listReceivedRequests: receivedRequests.list,
  };
}
