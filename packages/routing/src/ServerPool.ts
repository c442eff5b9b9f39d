/**
 * Connections to backend servers, and what this daemon observes of each server: requests in
 * progress, pending prompt tokens, response times and failures.
 */
import type * as Core from '@berylyoke/core';
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';
import * as FailureRate from './FailureRate.js';
import * as PacedSocket from './PacedSocket.js';
import type * as ReadPacer from './ReadPacer.js';
import type * as ServerSilence from './ServerSilence.js';
import * as ServerTable from './ServerTable.js';

/** Weight of the newest observation in an exponentially weighted moving average. */
const EWMA_WEIGHT = 0.2;

/** Weight of a delay that exceeds the average; larger, because a queue builds up at once. */
const RISING_DELAY_WEIGHT = 0.5;

/** Age at which an observed delay has halved: queues of engines change within seconds. */
const DELAY_HALF_LIFE_MS = 1_500;

/**
 * Time for which other servers are preferred after a server refused a request; doubled with each
 * consecutive refusal. Queues drain within a few hundred milliseconds, and a server that is stuck
 * must not attract requests by refusing them quickly.
 */
const REFUSAL_BACKOFF_MS = 250;
const MAX_REFUSAL_BACKOFF_MS = 2_000;

/** Time after which an idle connection is not reused; well below usual idle timeouts of servers. */
const MAX_IDLE_MS = 4_000;

/**
 * HTTP agent of one server. Bytes that arrive on an idle connection belong to no request, so the
 * connection is closed before they could be read as the next response.
 */
class BackendAgent extends http.Agent {
  readonly #closeOnData = new WeakMap<stream.Duplex, () => void>();

  readonly #pacer: ReadPacer.ReadPacer;

  constructor(pacer: ReadPacer.ReadPacer, options: http.AgentOptions) {
    super(options);
    this.#pacer = pacer;
  }

  override createConnection(options: net.TcpNetConnectOpts): stream.Duplex {
    const socket = new PacedSocket.PacedSocket(this.#pacer, options);
    if (options.timeout !== undefined) socket.setTimeout(options.timeout);
    return socket.connect(options);
  }

  override keepSocketAlive(socket: stream.Duplex): boolean {
    if ((socket as PacedSocket.PacedSocket).hasWaitingBytes()) return false;
    const close = (): void => {
      socket.destroy();
    };
    this.#closeOnData.set(socket, close);
    socket.on('data', close);
    // The declared type omits the result, by which the agent decides whether to keep the socket.
    return super.keepSocketAlive(socket) as unknown as boolean;
  }

  override reuseSocket(socket: stream.Duplex, request: http.ClientRequest): void {
    const close = this.#closeOnData.get(socket);
    if (close !== undefined) socket.removeListener('data', close);
    super.reuseSocket(socket, request);
  }
}

/** Connections and observations of one incarnation of a backend server. */
export interface PooledServer extends ServerSilence.ServerActivity {
  readonly server: ServerTable.BackendServer;
  readonly agent: http.Agent;
  inFlight: number;
  activeStreams: number;
  lastActivityMs: Core.Millis;
  /** Whether the silence since the last activity was reported to the fleet. */
  isSilenceReported: boolean;
  /** Prompt tokens of requests at the server that have no first token yet. */
  pendingPromptTokens: number;
  /** Moving average of response times; undefined before the first one. */
  meanResponseMs: Core.Millis | undefined;
  /** Moving average of the delay of first tokens, as of `delayObservedMs`. */
  delayMs: Core.Millis;
  delayObservedMs: Core.Millis;
  failureRate: FailureRate.FailureRate;
  /** Requests that the server refused since it last accepted one. */
  consecutiveRefusals: number;
  /** Time until which other servers are preferred because of a refusal. */
  atCapacityUntilMs: Core.Millis;
}

/** All backend servers that this daemon has used. */
export interface ServerPool {
  readonly get: (server: ServerTable.BackendServer) => PooledServer;
  /** Closes the connections of servers not in the list that have no request in progress. */
  readonly closeRemoved: (servers: readonly ServerTable.BackendServer[]) => void;
  readonly close: () => void;
}

/** Creates an empty pool; `getMaxConnections` limits the connections to one server of a service. */
export function createServerPool(
  getMaxConnections: (service: string) => number,
  pacer: ReadPacer.ReadPacer,
): ServerPool {
  const pooled = new Map<string, PooledServer>();
  return {
    close: () => pooled.forEach(({ agent }) => agent.destroy()),
    closeRemoved: (servers) => {
      const listed = new Set(servers.map(ServerTable.formatIncarnation));
      pooled.forEach(({ agent, inFlight }, name) => {
        if (listed.has(name) || inFlight > 0) return;
        agent.destroy();
        pooled.delete(name);
      });
    },
    get: (server) => {
      const name = ServerTable.formatIncarnation(server);
      const existing = pooled.get(name);
      if (existing !== undefined) return existing;
      const added: PooledServer = {
        agent: new BackendAgent(pacer, {
          keepAlive: true,
          maxSockets: getMaxConnections(server.service),
          scheduling: 'lifo',
          timeout: MAX_IDLE_MS,
        }),
        delayObservedMs: 0,
        delayMs: 0,
        failureRate: FailureRate.INITIAL_FAILURE_RATE,
        atCapacityUntilMs: 0,
        lastActivityMs: 0,
        inFlight: 0,
        isSilenceReported: false,
        meanResponseMs: undefined,
        consecutiveRefusals: 0,
        server,
        activeStreams: 0,
        pendingPromptTokens: 0,
      };
      pooled.set(name, added);
      return added;
    },
  };
}

/** Adds a response time to the moving average of a server. */
export function observeResponseTime(pooled: PooledServer, elapsedMs: Core.Millis): void {
  const meanMs = pooled.meanResponseMs ?? elapsedMs;
  // eslint-disable-next-line no-param-reassign
  pooled.meanResponseMs = meanMs + EWMA_WEIGHT * (elapsedMs - meanMs);
}

/** Gets the recent delay of first tokens at a server, decayed by age. */
export function getDelay(
  { delayObservedMs, delayMs }: PooledServer,
  nowMs: Core.Millis,
): Core.Millis {
  return delayMs * 0.5 ** (Math.max(0, nowMs - delayObservedMs) / DELAY_HALF_LIFE_MS);
}

/** Adds the delay of a first token to the moving average of a server. */
export function observeDelay(
  pooled: PooledServer,
  delayMs: Core.Millis,
  nowMs: Core.Millis,
): void {
  const decayedMs = getDelay(pooled, nowMs);
  const weight = delayMs > decayedMs ? RISING_DELAY_WEIGHT : EWMA_WEIGHT;
  /* eslint-disable no-param-reassign */
  pooled.delayMs = decayedMs + weight * (Math.max(0, delayMs) - decayedMs);
  pooled.delayObservedMs = nowMs;
  /* eslint-enable no-param-reassign */
}

/** Records that a byte arrived from a server, or that the wait for its next byte starts now. */
export function observeActivity(pooled: PooledServer, nowMs: Core.Millis): void {
  /* eslint-disable no-param-reassign */
  pooled.lastActivityMs = nowMs;
  pooled.isSilenceReported = false;
  /* eslint-enable no-param-reassign */
}

/** Records that a server refused a request because it is at capacity. */
export function observeRefusal(pooled: PooledServer, nowMs: Core.Millis): void {
  /* eslint-disable no-param-reassign */
  pooled.atCapacityUntilMs = nowMs + Math.min(
    MAX_REFUSAL_BACKOFF_MS,
    REFUSAL_BACKOFF_MS * 2 ** pooled.consecutiveRefusals,
  );
  pooled.consecutiveRefusals += 1;
  /* eslint-enable no-param-reassign */
}

/** Records that a server accepted a request. */
export function observeAcceptance(pooled: PooledServer): void {
  // eslint-disable-next-line no-param-reassign
  pooled.consecutiveRefusals = 0;
}

/** Adds the outcome of a request to the failure rate of a server. */
export function observeOutcome(
  pooled: PooledServer,
  isFailure: boolean,
  nowMs: Core.Millis,
): void {
  // eslint-disable-next-line no-param-reassign
  pooled.failureRate = FailureRate.observeOutcome(pooled.failureRate, isFailure, nowMs);
}
