/** The entry interface of a daemon in this process, with one engine that a test controls. */
import * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as HashMap from 'effect/HashMap';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as ActiveRequests from '../../ActiveRequests.js';
import type * as DaemonContext from '../../DaemonContext.js';
import type * as DaemonPorts from '../../DaemonPorts.js';
import * as DefaultRetryBudget from '../../DefaultRetryBudget.js';
import * as EntryServer from '../../EntryServer.js';
import * as Explanations from '../../Explanations.js';
import * as RequestMetrics from '../../RequestMetrics.js';
import type * as RequestTypes from '../../RequestTypes.js';
import * as Tracing from '../../Tracing.js';

const MODEL = 'm1';

/** A running entry interface. */
export interface EntryHarness {
  readonly url: string;
  readonly key: string;
  /** Causes of the unexpected errors. */
  readonly defects: readonly Core.DefectCause[];
  /** Results of the attempts in the order of their ends. */
  readonly outcomes: readonly RequestTypes.AttemptOutcome[];
  /** Marks the key as withdrawn. */
  readonly withdrawKey: () => void;
  readonly close: () => Promise<void>;
}

/** Options of the interface. */
export interface EntryHarnessOptions {
  readonly handleEngineRequest: http.RequestListener;
  readonly limits?: Partial<Config.Limits>;
  readonly observeTokens?: (tokens: number) => void;
}

async function startEngine(listener: http.RequestListener): Promise<http.Server> {
  const server = http.createServer(listener);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

/** Starts the interface and the engine. */
export async function startEntryHarness({
  handleEngineRequest, limits = {}, observeTokens,
}: EntryHarnessOptions): Promise<EntryHarness> {
  const engine = await startEngine(handleEngineRequest);
  const { digest, key, keyId } = Config.createKey();
  let withdrawn = false;
  const defects: Core.DefectCause[] = [];
  const outcomes: RequestTypes.AttemptOutcome[] = [];
  const getState = (): Config.ConfigState => ({
    ...Config.initialConfigState,
    keys: HashMap.make([keyId, { account: 'a', digest, withdrawn }]),
    lists: {
      accounts: [{ id: 'a', plan: 'p' }],
      classes: [{
        betweenTokensMs: 1_000, firstTokenMs: 1_000, floorShare: 0, id: 'c', tier: 0,
      }],
      models: [{ defaultClass: 'c', id: MODEL }],
      plans: [{ classes: ['c'], id: 'p', models: [MODEL] }],
      routes: [],
    } as unknown as Config.Lists,
  });
  const address = `127.0.0.1:${(engine.address() as net.AddressInfo).port}`;
  const ports: Partial<DaemonPorts.DaemonPorts> = {
    dispatch: {
      acquire: async () => ({
        ...observeTokens === undefined ? {} : { observeTokens },
        server: { address, id: 'e1' } as RequestTypes.BackendServer,
        settle: (outcome) => outcomes.push(outcome),
      }),
    },
    keyGuard: { check: () => undefined },
    retry: DefaultRetryBudget.createDefaultRetryBudget(),
    usage: { record: () => undefined },
  };
  const activeRequests = ActiveRequests.createActiveRequests();
  const context = {
    activeRequests,
    clock: Core.systemClock,
    config: { getState },
    explanations: Explanations.createExplanations(10),
    handleDefect: Core.createDefectHandler({
      clock: Core.systemClock,
      endProcess: () => undefined,
      logger: Core.createLogger('silent', {}),
      onDefect: (cause) => defects.push(cause),
    }),
    isDraining: () => false,
    listReadinessProblems: () => [],
    logger: Core.createLogger('silent', {}),
    metrics: RequestMetrics.createRequestMetrics(activeRequests.count),
    ports: { get: (name: keyof DaemonPorts.DaemonPorts) => ports[name] },
    servers: { directory: { applyEvent: () => undefined } },
    settings: {
      backendCredential: 'c',
      entry: { host: '127.0.0.1', port: 0 },
      limits: Config.Limits.make(limits),
    },
    tracing: await Tracing.createTracing(undefined),
  } as unknown as DaemonContext.DaemonContext;
  const entry = await EntryServer.startEntryServer(context);
  return {
    close: async () => {
      engine.closeAllConnections();
      engine.close();
      await entry.close(0);
    },
    defects,
    key,
    outcomes,
    url: entry.url,
    withdrawKey: () => {
      withdrawn = true;
    },
  };
}

/** Builds the body of a streamed chat completion. */
export function buildChatBody(): string {
  return JSON.stringify({
    messages: [{ content: 'a', role: 'user' }], model: MODEL, stream: true,
  });
}

/** Answers a chat completion with a stream of one token. */
export function sendOneToken(request: http.IncomingMessage, response: http.ServerResponse): void {
  const id = String(request.headers['x-request-id']);
  const chunk = JSON.stringify({ choices: [{ delta: { content: 'a' } }], id });
  request.resume();
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  response.end(`data: ${chunk}\n\ndata: [DONE]\n\n`);
}
