/** HTTP server that the fakes share: JSON operations, each with the faults of a table. */
import * as Schema from 'effect/Schema';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as Faults from './Faults.js';

/** A request as an operation of a fake sees it. */
export interface FakeRequest {
  readonly method: string;
  readonly path: string;
  /** Path with the query, as received. */
  readonly target: string;
  readonly query: URLSearchParams;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  readonly raw: http.IncomingMessage;
}

/** Answer of an operation; `undefined` when the operation wrote to the response itself. */
export type FakeAnswer = { readonly status: number; readonly body?: unknown } | undefined;

/** One operation: the first one whose pattern matches `METHOD /path` handles the request. */
export interface FakeOperation {
  readonly name: string;
  readonly pattern: RegExp;
  /** True where the operation takes its faults from the table itself. */
  readonly takesFaults?: boolean;
  readonly handle: (
    request: FakeRequest,
    response: http.ServerResponse,
    match: RegExpExecArray,
  ) => FakeAnswer | Promise<FakeAnswer>;
}

/** A running fake. */
export interface FakeServer {
  readonly url: string;
  readonly port: number;
  readonly faults: Faults.FaultTable;
  /** Requests of an operation that arrived, those with a fault included. */
  readonly countRequests: (operation: string) => number;
  readonly close: () => Promise<void>;
}

const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

const decodeFaults = Schema.decodeUnknownSync(Schema.Array(Faults.Fault));

async function readText(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  await new Promise((resolve) => {
    request.once('end', resolve);
  });
  return Buffer.concat(chunks).toString('utf8');
}

function sendAnswer(response: http.ServerResponse, answer: FakeAnswer): void {
  if (answer === undefined || response.destroyed) return;
  response.writeHead(answer.status, { 'content-type': 'application/json' });
  response.end(answer.body === undefined ? '' : JSON.stringify(answer.body));
}

function waitFor(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

type Effect = () => FakeAnswer | Promise<FakeAnswer>;
type FaultHandler = (
  effect: Effect,
  response: http.ServerResponse,
  fault: Faults.Fault,
) => Promise<FakeAnswer>;

const FAULT_HANDLERS: Readonly<Record<Faults.FaultKind, FaultHandler>> = {
  crash: async (effect, response) => {
    response.destroy();
    return undefined;
  },
  crossed: async (effect) => effect(),
  delay: async (effect, response, { delayMs }) => {
    await waitFor(delayMs);
    return effect();
  },
  duplicate: async (effect) => {
    await effect();
    return effect();
  },
  gap: async (effect) => effect(),
  'lost-answer': async (effect, response) => {
    await effect();
    response.destroy();
    return undefined;
  },
  refusal: async () => ({ body: { error: 'unavailable' }, status: HTTP_UNAVAILABLE }),
  silence: async () => undefined,
  slow: async (effect, response, { delayMs }) => {
    await waitFor(delayMs);
    return effect();
  },
};

/** Starts a fake on a loopback port; port 0 takes a free one. */
export async function startFakeServer(
  operations: readonly FakeOperation[],
  port = 0,
): Promise<FakeServer> {
  const faults = Faults.createFaultTable();
  const requests = new Map<string, number>();
  const setFaults: FakeOperation = {
    handle: ({ text }) => {
      faults.set(decodeFaults(JSON.parse(text)));
      return { body: {}, status: HTTP_OK };
    },
    name: 'faults',
    pattern: /^POST \/faults$/,
  };
  const table = [setFaults, ...operations];

  const handleRequest = async (
    raw: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const url = new URL(raw.url ?? '/', 'http://fake');
    const method = raw.method ?? 'GET';
    const line = `${method} ${url.pathname}`;
    const operation = table.find(({ pattern }) => pattern.test(line));
    if (operation === undefined) {
      sendAnswer(response, { body: { error: `no operation ${line}` }, status: HTTP_NOT_FOUND });
      return;
    }
    requests.set(operation.name, (requests.get(operation.name) ?? 0) + 1);
    const request: FakeRequest = {
      headers: raw.headers,
      method,
      path: url.pathname,
      query: url.searchParams,
      raw,
      target: raw.url ?? '/',
      text: await readText(raw),
    };
    const match = operation.pattern.exec(line) as RegExpExecArray;
    const effect: Effect = () => operation.handle(request, response, match);
    const fault = operation.takesFaults === true ? undefined : faults.take(operation.name);
    sendAnswer(response, await (fault === undefined
      ? effect()
      : FAULT_HANDLERS[fault.kind](effect, response, fault)));
  };

  const server = http.createServer((request, response) => {
    handleRequest(request, response).catch((error: unknown) => {
      sendAnswer(response, { body: { error: String(error) }, status: HTTP_BAD_REQUEST });
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  const address = server.address() as net.AddressInfo;
  return {
    close: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
    countRequests: (operation) => requests.get(operation) ?? 0,
    faults,
    port: address.port,
    url: `http://127.0.0.1:${address.port}`,
  };
}
