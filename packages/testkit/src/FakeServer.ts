/**
 * HTTP server on which all fakes are built. It dispatches requests to JSON operations and injects
 * the faults that its fault table holds for them.
 */
import * as Schema from 'effect/Schema';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as Faults from './Faults.js';

/** A request that an operation handles. */
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

/** Answer of an operation; `undefined` when nothing is left to send for the request. */
export type FakeAnswer = { readonly status: number; readonly body?: unknown } | undefined;

/** One operation. The first one whose pattern matches `METHOD /path` handles the request. */
export interface FakeOperation {
  readonly name: string;
  readonly pattern: RegExp;
  /** Whether `handle` reads the fault table itself; the server then injects no fault. */
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
  /** Counts the received requests of an operation, including those with a fault. */
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

type RunOperation = () => FakeAnswer | Promise<FakeAnswer>;
type FaultHandler = (
  runOperation: RunOperation,
  response: http.ServerResponse,
  fault: Faults.Fault,
) => Promise<FakeAnswer>;

const FAULT_HANDLERS: Readonly<Record<Faults.FaultKind, FaultHandler>> = {
  crash: async (runOperation, response) => {
    response.destroy();
    return undefined;
  },
  crossed: async (runOperation) => runOperation(),
  delay: async (runOperation, response, { delayMs }) => {
    await waitFor(delayMs);
    return runOperation();
  },
  duplicate: async (runOperation) => {
    await runOperation();
    return runOperation();
  },
  gap: async (runOperation) => runOperation(),
  'lost-answer': async (runOperation, response) => {
    await runOperation();
    response.destroy();
    return undefined;
  },
  refusal: async () => ({ body: { error: 'unavailable' }, status: HTTP_UNAVAILABLE }),
  silence: async () => undefined,
  slow: async (runOperation, response, { delayMs }) => {
    await waitFor(delayMs);
    return runOperation();
  },
};

/** Starts a fake on a loopback port; port 0 selects a free one. */
export async function startFakeServer(
  operations: readonly FakeOperation[],
  port = 0,
): Promise<FakeServer> {
  const faults = Faults.createFaultTable();
  const requestCounts = new Map<string, number>();
  const setFaultsOperation: FakeOperation = {
    handle: ({ text }) => {
      faults.set(decodeFaults(JSON.parse(text)));
      return { body: {}, status: HTTP_OK };
    },
    name: 'faults',
    pattern: /^POST \/faults$/,
  };
  const allOperations = [setFaultsOperation, ...operations];

  const handleRequest = async (
    raw: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const url = new URL(raw.url ?? '/', 'http://fake');
    const method = raw.method ?? 'GET';
    const requestLine = `${method} ${url.pathname}`;
    const operation = allOperations.find(({ pattern }) => pattern.test(requestLine));
    if (operation === undefined) {
      sendAnswer(response, {
        body: { error: `no operation for ${requestLine}` }, status: HTTP_NOT_FOUND,
      });
      return;
    }
    requestCounts.set(operation.name, (requestCounts.get(operation.name) ?? 0) + 1);
    const request: FakeRequest = {
      headers: raw.headers,
      method,
      path: url.pathname,
      query: url.searchParams,
      raw,
      target: raw.url ?? '/',
      text: await readText(raw),
    };
    const match = operation.pattern.exec(requestLine) as RegExpExecArray;
    const runOperation: RunOperation = () => operation.handle(request, response, match);
    const fault = operation.takesFaults === true ? undefined : faults.take(operation.name);
    sendAnswer(response, await (fault === undefined
      ? runOperation()
      : FAULT_HANDLERS[fault.kind](runOperation, response, fault)));
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
    countRequests: (operation) => requestCounts.get(operation) ?? 0,
    faults,
    port: address.port,
    url: `http://127.0.0.1:${address.port}`,
  };
}
