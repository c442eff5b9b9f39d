/** Handles requests against raw TCP servers, so that a test controls each byte of a response. */
import * as Core from '@berylyoke/core';
import * as Scheduling from '@berylyoke/scheduling';
import * as Effect from 'effect/Effect';
import * as http from 'node:http';
import * as net from 'node:net';
import * as RoutedRequest from '../../RoutedRequest.js';
import type * as PathContext from '../../PathContext.js';
import * as ByteBudget from '../../ByteBudget.js';
import * as LogRateLimiter from '../../LogRateLimiter.js';
import * as Routing from '../../index.js';
import * as ReadPacer from '../../ReadPacer.js';
import * as RequestLimits from '../../RequestLimits.js';
import * as RoutingMetrics from '../../RoutingMetrics.js';
import * as ServerAvailability from '../../ServerAvailability.js';
import * as ServerPool from '../../ServerPool.js';

export const HEADER_NAMES: Routing.HeaderNames = {
  account: 'x-account',
  expectedServer: 'x-server',
  lastEventId: 'last-event-id',
  leaving: 'x-leaving',
  notRun: 'x-not-run',
  priority: 'x-priority',
  promptParts: 'x-parts',
  requestId: 'x-id',
  requestLimit: 'x-limit',
  resumedRequestId: 'x-resumes',
  serverSignature: 'x-signature',
  systemOnly: [],
  timeLeft: 'x-left',
  tokenCounts: 'x-tokens',
};

/** Connections to one server, unless a test sets another limit. */
const DEFAULT_MAX_CONNECTIONS = 8;

/** Time after which a body that stops is refused; short to keep the tests short. */
const BODY_IDLE_MS = 500;

/** Requests a second that a cold server takes. */
export const COLD_REQUESTS_PER_S = 2;

/** Responds to a request on a raw server; `count` is the number of the request, from 1. */
export type RawResponder = (socket: net.Socket, requestId: string, count: number) => void;

/** A raw TCP server. */
export interface RawServer {
  readonly port: number;
  /** Heads of the received requests. */
  readonly heads: readonly string[];
  readonly countClosed: () => number;
  readonly close: () => void;
}

/** Starts a raw server that passes every request to `respond`. */
export async function startRawServer(respond: RawResponder): Promise<RawServer> {
  const heads: string[] = [];
  const sockets = new Set<net.Socket>();
  let closed = 0;
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      closed += 1;
    });
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      const end = text.indexOf('\r\n\r\n');
      if (end < 0) return;
      const head = text.slice(0, end);
      text = '';
      heads.push(head);
      respond(socket, /x-id: (\S+)/i.exec(head)?.[1] ?? '', heads.length);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
    countClosed: () => closed,
    heads,
    port: (server.address() as net.AddressInfo).port,
  };
}

/** Writes a response with status 200 and a Content-Length. */
export function writeResponse(
  socket: net.Socket,
  requestId: string,
  body: string,
  extra = 'X-Signature: s\r\n',
): void {
  const length = `Content-Length: ${body.length}\r\n`;
  socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${requestId}\r\n${extra}${length}\r\n${body}`);
}

export function createRoute(extra: Partial<Routing.Route> = {}): Routing.Route {
  return {
    host: 'shop.example',
    isOpen: false,
    isResumable: false,
    kind: 'once',
    maxAttempts: 2,
    name: 'r',
    pathPrefix: '/a/',
    pauseTargetMs: 300,
    priority: 1,
    shares: [{ service: 's', weight: 1 }],
    targetMs: 500,
    timeoutMs: 1_500,
    ...extra,
  };
}

/** Response as a caller receives it; `isTruncated` if the connection ended before it did. */
export interface CallerResponse {
  readonly status: number | undefined;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  readonly isTruncated: boolean;
}

/** A listener that handles requests like a daemon, with controls for tests. */
export interface PathHarness {
  readonly call: (options?: {
    readonly requestId?: string;
    readonly key?: string;
    readonly path?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly disconnectAfterMs?: number;
    /** Body, as chunks that are sent separately. */
    readonly chunks?: readonly string[];
  }) => Promise<CallerResponse>;
  /** Takes the outcomes that this daemon observed since the last call. */
  readonly takeObservedOutcomes: () => readonly Routing.ServerOutcomes[];
  /** Sets the outcomes that other daemons observed. */
  readonly setFleetOutcomes: (outcomes: readonly Routing.ServerOutcomes[]) => void;
  /** Sends a request whose response is never read. */
  readonly open: (options?: {
    readonly requestId?: string;
    readonly headers?: Readonly<Record<string, string>>;
  }) => http.ClientRequest;
  /** Load and demand as this daemon reports them to its relay. */
  readonly buildLoadReport: () => Routing.LoadReport;
  /** Client accounts of the requests that were counted as started. */
  readonly startedAccounts: readonly string[];
  /** Port on which the harness listens for callers. */
  readonly port: number;
  /** Counts the requests in progress at all servers. */
  readonly countInFlight: () => number;
  /** Unexpected errors that were handled. */
  readonly defects: readonly unknown[];
  /** Sets whether retries can be claimed from the retry budget. */
  readonly setCanRetry: (canClaim: boolean) => void;
  /** Makes the next count of a started request throw an unexpected error. */
  readonly throwOnce: () => void;
  /** Sets the target of all requests, as a parser that accepts any bytes would read it. */
  readonly setTarget: (target: string) => void;
  /** Applies the report of another daemon on a trait of requests. */
  readonly applyCrashReport: (trait: string, report: Routing.TraitReport) => void;
  /** Lists the servers that are ejected because of failures. */
  readonly listEjected: () => readonly string[];
  readonly setKeysCurrent: (areCurrent: boolean) => void;
  /** Sets the software version that begins streams without a record; at first `v1`. */
  readonly setBaseVersion: (version: string | undefined) => void;
  /** Versions that were recorded as the beginning of streams, by request id. */
  readonly streamRecords: Map<string, string>;
  /** Sets whether the beginnings of streams are stored, at once, or wait until they can be. */
  readonly setRecordsStored: (areStored: boolean) => void;
  /** Sets whether the list of servers can be read anew. */
  readonly setListReadable: (isReadable: boolean) => void;
  /** Applies the entry of a server again, as a read of the store does. */
  readonly applyServer: (index: number, extra?: Partial<Routing.BackendServer>) => void;
  readonly admissionGate: Routing.AdmissionGate;
  /** Renders the metrics. */
  readonly renderMetrics: () => Promise<string>;
  readonly close: () => void;
}

/** Raw servers and a harness that handles requests with them. */
export interface PathSetUp {
  readonly path: PathHarness;
  readonly servers: readonly RawServer[];
  readonly close: () => void;
}

const silentLogger = Core.createLogger('silent', {});

/** Engines of the service and the settings and load by which requests are admitted to them. */
export interface EngineOptions {
  readonly engine?: Routing.EngineTerms;
  readonly fleetLoad?: Partial<Routing.FleetLoad>;
  readonly overload?: Partial<Routing.RoutingSettings['overload']>;
  /** Routes beside the one of the harness. */
  readonly routes?: readonly Routing.Route[];
  /** Phase of the daemon; `running` if it is not given. */
  readonly getPhase?: () => PathContext.Phase;
}

/** Starts a harness with one route to servers at the given ports. */
export async function startHarness(
  ports: readonly number[],
  route: Routing.Route,
  maxConnections = DEFAULT_MAX_CONNECTIONS,
  limits: Partial<Routing.CallerLimits> = {},
  engines: EngineOptions = {},
): Promise<PathHarness> {
  const servers = Routing.createServerTable();
  const applyServer: PathHarness['applyServer'] = (index, extra = {}) => (
    servers.applyEntry(`s${index}`, {
      bornMs: 0,
      dataCentre: index === 0 ? 'a' : 'b',
      host: '127.0.0.1',
      id: `s${index}`,
      isReclaimable: false,
      port: ports[index] as number,
      service: 's',
      slots: 4,
      state: 'ready',
      version: 'v1',
      ...extra,
    }, Core.systemClock.readMonotonic())
  );
  // The entries have been followed for longer than any stream lasts.
  servers.applySnapshot([], -Infinity);
  ports.forEach((_, index) => applyServer(index));
  const config: Routing.RoutingConfig = {
    accountsByKeyDigest: new Map([
      [Routing.hashKey('good'), { name: 'shop', priority: undefined }],
    ]),
    limits: {
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 5_000,
      maxBodyBytes: 1_000,
      maxHeaderBytes: 8_000,
      ...limits,
    },
    routes: [route, ...engines.routes ?? []],
    services: new Map([['s', {
      coldRequestsPerS: COLD_REQUESTS_PER_S,
      engine: engines.engine ?? { concurrentRequests: 4, memoryTokens: 100_000 },
      maxConnections: 100,
      name: 's',
      purchase: undefined,
    }]]),
    version: 1,
  };
  const startedAccounts: string[] = [];
  const defects: unknown[] = [];
  let canRetry = true;
  let willThrow = false;
  let areKeysCurrent = true;
  const pool = ServerPool.createServerPool(
    () => maxConnections,
    ReadPacer.createReadPacer(Core.systemClock),
  );
  const fleet = Routing.createFleetView();
  const observed = Routing.createOutcomeBuffer();
  const crashReports = Routing.startCrashReports({
    daemonId: 'd',
    logger: silentLogger,
    readTrueTime: Core.systemClock.readMonotonic,
    write: () => Effect.void,
  });
  let baseVersion: string | undefined = 'v1';
  const streamRecords = new Map<string, string>();
  const waitingRecords: (() => void)[] = [];
  let areRecordsStored = true;
  let canReadList = true;
  let listVerifiedMs = -Infinity;
  const streamVersions = Routing.createStreamVersions(
    { get: () => baseVersion },
    {
      find: async ({ requestId }) => {
        const version = streamRecords.get(requestId);
        return version === undefined ? { _tag: 'Absent' } : { _tag: 'Recorded', version };
      },
      record: ({ requestId, version }, onStored) => {
        const store = (): void => {
          streamRecords.set(requestId, version);
          onStored();
        };
        if (areRecordsStored) setImmediate(store);
        else waitingRecords.push(store);
        return () => undefined;
      },
    },
    {
      hadOnlyVersion: servers.hadOnlyVersion,
      isVerifiedSince: (sinceMs) => listVerifiedMs >= sinceMs,
      renew: async () => {
        if (canReadList) listVerifiedMs = Core.systemClock.readMonotonic();
      },
    },
  );
  const metrics = RoutingMetrics.createRoutingMetrics({
    countActive: () => 0,
    countBlockedParts: () => 0,
    countBlockedRequests: () => 0,
    countCallerBytes: () => 0,
    countCallerConnections: () => 0,
    countDroppedLogs: () => 0,
    countInvalidLoads: () => 0,
    countLimitedServers: () => 0,
    countLoadReporters: () => 0,
    countWaiting: () => 0,
    getLoadAge: () => Infinity,
    listPlans: () => [],
  });
  const getPhase = engines.getPhase ?? (() => 'running');
  const getActiveConfig: PathContext.PathContext['getActiveConfig'] = () => (
    { config, routes: Routing.buildRouteTable(config.routes) }
  );
  const admissionGate = Routing.createAdmissionGate({
    clock: Core.systemClock,
    getActiveConfig,
    getPhase,
    metrics,
    random: () => 0,
    settings: {
      enabled: false, floorShare: 0, maxWaiting: 256, ...engines.overload,
    },
  });
  const gauges = Routing.createLoadGauges('d');
  const context: PathContext.PathContext = {
    admissionGate,
    answers: { maxEventBytes: 2_000, maxHeldBytes: 10_000, maxPlainBytes: 4_000 },
    answeredLogLimiter: LogRateLimiter.createLogRateLimiter(Core.systemClock, 1),
    areKeysCurrent: () => areKeysCurrent,
    cache: Scheduling.createCacheIndex(),
    claimRetry: () => canRetry,
    clock: Core.systemClock,
    coldLimits: Routing.createColdLimits({ getShare: () => 1, random: () => 0 }),
    computeStopWait: () => Infinity,
    countDaemons: () => 1,
    countDemand: () => undefined,
    countRequest: () => undefined,
    countStartedRequest: (account) => {
      if (willThrow) {
        willThrow = false;
        throw new TypeError('unexpected');
      }
      startedAccounts.push(account);
    },
    crashReports,
    dataCentre: 'a',
    failedLogLimiter: LogRateLimiter.createLogRateLimiter(Core.systemClock, 1),
    engineRates: Routing.createEngineRates(),
    fleetLoad: {
      ...Routing.createFleetLoad({
        clock: Core.systemClock,
        gauges,
        outcomes: { getOutcomes: (server) => fleet.get(server, 0), observe: observed.add },
      }),
      ...engines.fleetLoad,
    },
    getActiveConfig,
    getKeyProofAge: () => 0,
    getPhase,
    handleDefect: (error) => defects.push(error),
    health: Routing.createServerHealth(Core.systemClock, () => undefined),
    bufferBudget: ByteBudget.createByteBudget(10_000),
    logger: silentLogger,
    metrics,
    names: HEADER_NAMES,
    availability: ServerAvailability.createServerAvailability(),
    outcomes: { getOutcomes: (server) => fleet.get(server, 0), observe: observed.add },
    pool,
    random: () => 0,
    requestLimits: RequestLimits.createRequestLimits({ getShare: () => 1, random: () => 0 }),
    renewKeys: async () => areKeysCurrent,
    servers,
    streamVersions,
  };
  let fixedTarget: string | undefined;
  const listener = http.createServer();
  Core.guardListener(listener, {
    clock: Core.systemClock,
    handleRequest: (request, response) => {
      if (fixedTarget !== undefined) request.url = fixedTarget;
      new RoutedRequest.RoutedRequest(context, request, response, () => undefined).start();
    },
    limits: Routing.computeIngressLimits({
      callers: { bodyIdleMs: BODY_IDLE_MS, maxRequestsAhead: 32 }, vm: { cores: 1, cpuShare: 1 },
    }),
  });
  await new Promise<void>((resolve) => {
    listener.listen(0, '127.0.0.1', resolve);
  });
  const { port } = listener.address() as net.AddressInfo;
  const createRequest = (
    requestId: string,
    key: string,
    headers: Readonly<Record<string, string>>,
    path = '/a/b',
  ): http.ClientRequest => http.request({
    agent: false,
    headers: {
      authorization: `Bearer ${key}`,
      host: 'shop.example',
      'x-id': requestId,
      'x-left': '1000',
      ...headers,
    },
    host: '127.0.0.1',
    method: 'POST',
    path,
    port,
  });
  return {
    admissionGate,
    applyCrashReport: (trait, report) => crashReports.applyChanges([{
      key: `${trait}/other`, offset: 0, raw: Buffer.alloc(0), value: report,
    }]),
    applyServer,
    buildLoadReport: () => gauges.buildReport(Core.systemClock.readMonotonic()),
    call: ({
      chunks: requestChunks = ['body'],
      headers = {},
      key = 'good',
      disconnectAfterMs,
      path,
      requestId = 'r1',
    } = {}) => new Promise((resolve) => {
      const request = createRequest(requestId, key, headers, path);
      const receivedChunks: Buffer[] = [];
      const finish = (
        response: http.IncomingMessage | undefined,
        isTruncated: boolean,
      ): void => resolve({
        body: Buffer.concat(receivedChunks).toString(),
        headers: response?.headers ?? {},
        isTruncated,
        status: response?.statusCode,
      });
      request.on('error', () => finish(undefined, true));
      request.on('response', (response) => {
        response.on('data', (chunk: Buffer) => receivedChunks.push(chunk));
        response.on('error', () => finish(response, true));
        response.on('end', () => finish(response, !response.complete));
      });
      requestChunks.slice(0, -1).forEach((chunk) => request.write(chunk));
      request.end(requestChunks.at(-1));
      if (disconnectAfterMs !== undefined) setTimeout(() => request.destroy(), disconnectAfterMs);
    }),
    close: () => {
      crashReports.stop();
      pool.close();
      listener.close();
      listener.closeAllConnections();
    },
    countInFlight: () => servers.listAll()
      .map((server) => pool.get(server).inFlight).reduce((sum, count) => sum + count, 0),
    defects,
    port,
    renderMetrics: metrics.render,
    throwOnce: () => {
      willThrow = true;
    },
    setTarget: (target) => {
      fixedTarget = target;
    },
    listEjected: () => [
      ...context.health.selectEjected('s', ports.map((_, index) => `s${index}`)),
    ],
    setFleetOutcomes: (outcomes) => fleet.set(outcomes, 0),
    setKeysCurrent: (areCurrent) => {
      areKeysCurrent = areCurrent;
    },
    open: ({ headers = {}, requestId = 'r1' } = {}) => {
      const request = createRequest(requestId, 'good', headers);
      // The paused response fills all buffers between server and caller.
      request.on('response', (response) => response.pause());
      request.on('error', () => undefined);
      request.end('body');
      return request;
    },
    setCanRetry: (can) => {
      canRetry = can;
    },
    setBaseVersion: (version) => {
      baseVersion = version;
    },
    setListReadable: (isReadable) => {
      canReadList = isReadable;
    },
    setRecordsStored: (areStored) => {
      areRecordsStored = areStored;
      if (areStored) waitingRecords.splice(0).forEach((store) => store());
    },
    startedAccounts,
    streamRecords,
    takeObservedOutcomes: observed.take,
  };
}

/** Starts a raw server for each responder, and a harness with one route to them. */
export async function startPath(
  responders: readonly RawResponder[],
  route: Partial<Routing.Route> = {},
  maxConnections = DEFAULT_MAX_CONNECTIONS,
  limits: Partial<Routing.CallerLimits> = {},
  engines: EngineOptions = {},
): Promise<PathSetUp> {
  const servers = await Promise.all(responders.map(startRawServer));
  const ports = servers.map(({ port }) => port);
  const path = await startHarness(ports, createRoute(route), maxConnections, limits, engines);
  return {
    close: () => [path, ...servers].forEach(({ close }) => close()),
    path,
    servers,
  };
}
