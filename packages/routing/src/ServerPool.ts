/**
 * Connections to backend servers and what this daemon observes there: requests in progress, prompt
 * tokens that wait for their first token, observed times.
 */
import type * as Core from '@berylyoke/core';
import * as http from 'node:http';
import type * as stream from 'node:stream';
import * as FailureRate from './FailureRate.js';
import type * as ServerSilence from './ServerSilence.js';
import * as ServerTable from './ServerTable.js';

/** Weight of the newest observation in the mean time of a server. */
const EWMA_WEIGHT = 0.2;

/** Weight of a delay that is longer than the recent ones: a queue builds up at once. */
const RISING_DELAY_WEIGHT = 0.5;

/** Age at which an observed delay counts half: queues of engines change within seconds. */
const DELAY_HALF_LIFE_MS = 1_500;

/**
 * Time for which others are preferred to a server that turned a request away, doubled with each
 * further one in a row: queues drain within some hundred ms, and a server that is stuck must not
 * attract requests by refusing them quickly.
 */
const REFUSAL_BACKOFF_MS = 250;
const MAX_REFUSAL_BACKOFF_MS = 2_000;

/** Time after which an unused connection is not used again, well below usual idle timeouts. */
const MAX_IDLE_MS = 4_000;

/**
 * Agent of one server. Bytes that arrive on an idle connection belong to no request, so the
 * connection is closed before they can be taken for the next answer.
 */
class BackendAgent extends http.Agent {
  readonly #closeOnData = new WeakMap<stream.Duplex, () => void>();

  override keepSocketAlive(socket: stream.Duplex): boolean {
    const close = (): void => {
      socket.destroy();
    };
    this.#closeOnData.set(socket, close);
    socket.on('data', close);
    // The declared type lacks the result, by which the agent decides whether to keep the socket.
    return super.keepSocketAlive(socket) as unknown as boolean;
  }

  override reuseSocket(socket: stream.Duplex, request: http.ClientRequest): void {
    const close = this.#closeOnData.get(socket);
    if (close !== undefined) socket.removeListener('data', close);
    super.reuseSocket(socket, request);
  }
}

/** A backend server in use. */
export interface PooledServer extends ServerSilence.ServerActivity {
  readonly server: ServerTable.BackendServer;
  readonly agent: http.Agent;
  inFlight: number;
  activeStreams: number;
  lastActivityMs: Core.Millis;
  /** Whether the silence since the newest byte was told to the fleet. */
  isSilenceReported: boolean;
  /** Prompt tokens sent there whose first token has not come. */
  pendingPromptTokens: number;
  /** Mean of observed times; undefined before the first one. */
  meanResponseMs: Core.Millis | undefined;
  /** Recent delay of first tokens, as of `delayAtMs`. */
  delayMs: Core.Millis;
  delayObservedMs: Core.Millis;
  failureRate: FailureRate.FailureRate;
  /** Requests that it turned away since it took one. */
  consecutiveRefusals: number;
  /** Time until which others are preferred because it turned a request away. */
  atCapacityUntilMs: Core.Millis;
}

/** All backend servers in use. */
export interface ServerPool {
  readonly get: (server: ServerTable.BackendServer) => PooledServer;
  /** Closes the connections of servers that are gone once nothing is in progress there. */
  readonly closeRemoved: (servers: readonly ServerTable.BackendServer[]) => void;
  readonly close: () => void;
}

/** Creates an empty pool; `getMaxConnections` bounds the connections to one server of a service. */
export function createServerPool(getMaxConnections: (service: string) => number): ServerPool {
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
        agent: new BackendAgent({
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

/** Adds an observed time of a server to its mean. */
export function observeResponseTime(pooled: PooledServer, elapsedMs: Core.Millis): void {
  const meanMs = pooled.meanResponseMs ?? elapsedMs;
  // eslint-disable-next-line no-param-reassign
  pooled.meanResponseMs = meanMs + EWMA_WEIGHT * (elapsedMs - meanMs);
}

/** Gets the recent delay of a server, faded with age. */
export function getDelay(
  { delayObservedMs, delayMs }: PooledServer,
  nowMs: Core.Millis,
): Core.Millis {
  return delayMs * 0.5 ** (Math.max(0, nowMs - delayObservedMs) / DELAY_HALF_LIFE_MS);
}

/** Adds an observed delay of a first token. */
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

/** Notes a byte from a server, or that something is expected of it again. */
export function observeActivity(pooled: PooledServer, nowMs: Core.Millis): void {
  /* eslint-disable no-param-reassign */
  pooled.lastActivityMs = nowMs;
  pooled.isSilenceReported = false;
  /* eslint-enable no-param-reassign */
}

/** Notes that a server turned a request away because it is full. */
export function observeRefusal(pooled: PooledServer, nowMs: Core.Millis): void {
  /* eslint-disable no-param-reassign */
  pooled.atCapacityUntilMs = nowMs + Math.min(
    MAX_REFUSAL_BACKOFF_MS,
    REFUSAL_BACKOFF_MS * 2 ** pooled.consecutiveRefusals,
  );
  pooled.consecutiveRefusals += 1;
  /* eslint-enable no-param-reassign */
}

/** Notes that a server took a request. */
export function observeAcceptance(pooled: PooledServer): void {
  // eslint-disable-next-line no-param-reassign
  pooled.consecutiveRefusals = 0;
}

/** Adds the outcome of a request at a server. */
export function observeOutcome(
  pooled: PooledServer,
  isFailure: boolean,
  nowMs: Core.Millis,
): void {
  // eslint-disable-next-line no-param-reassign
  pooled.failureRate = FailureRate.observeOutcome(pooled.failureRate, isFailure, nowMs);
}
