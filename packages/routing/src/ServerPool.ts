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
const NEWEST_WEIGHT = 0.2;

/** Weight of a delay that is longer than the recent ones: a queue builds up at once. */
const NEWEST_DELAY_WEIGHT = 0.5;

/** Age at which an observed delay counts half: queues of engines change within seconds. */
const DELAY_HALF_LIFE_MS = 1_500;

/**
 * Time for which others are preferred to a server that turned a request away, doubled with each
 * further one in a row: queues drain within some hundred ms, and a server that is stuck must not
 * attract requests by refusing them quickly.
 */
const FULL_MS = 250;
const MAX_FULL_MS = 2_000;

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
  streaming: number;
  heardMs: Core.Millis;
  /** Whether the silence since the newest byte was told to the fleet. */
  isSilenceTold: boolean;
  /** Prompt tokens sent there whose first token has not come. */
  waitingTokens: number;
  /** Mean of observed times; undefined before the first one. */
  meanTime: Core.Millis | undefined;
  /** Recent delay of first tokens, as of `delayAtMs`. */
  delayMs: Core.Millis;
  delayAtMs: Core.Millis;
  failureRate: FailureRate.FailureRate;
  /** Requests that it turned away since it took one. */
  refusalsInRow: number;
  /** Time until which others are preferred because it turned a request away. */
  fullUntilMs: Core.Millis;
}

/** All backend servers in use. */
export interface ServerPool {
  readonly get: (server: ServerTable.BackendServer) => PooledServer;
  /** Closes the connections of servers that are gone once nothing is in progress there. */
  readonly closeUnlisted: (servers: readonly ServerTable.BackendServer[]) => void;
  readonly close: () => void;
}

/** Creates an empty pool; `getMaxConnections` bounds the connections to one server of a service. */
export function createServerPool(getMaxConnections: (service: string) => number): ServerPool {
  const pooled = new Map<string, PooledServer>();
  return {
    close: () => pooled.forEach(({ agent }) => agent.destroy()),
    closeUnlisted: (servers) => {
      const listed = new Set(servers.map(ServerTable.formatIncarnation));
      pooled.forEach(({ agent, inFlight }, name) => {
        if (listed.has(name) || inFlight > 0) return;
        agent.destroy();
        pooled.delete(name);
      });
    },
    get: (server) => {
      const name = ServerTable.formatIncarnation(server);
      const known = pooled.get(name);
      if (known !== undefined) return known;
      const added: PooledServer = {
        agent: new BackendAgent({
          keepAlive: true,
          maxSockets: getMaxConnections(server.service),
          scheduling: 'lifo',
          timeout: MAX_IDLE_MS,
        }),
        delayAtMs: 0,
        delayMs: 0,
        failureRate: FailureRate.INITIAL_FAILURE_RATE,
        fullUntilMs: 0,
        heardMs: 0,
        inFlight: 0,
        isSilenceTold: false,
        meanTime: undefined,
        refusalsInRow: 0,
        server,
        streaming: 0,
        waitingTokens: 0,
      };
      pooled.set(name, added);
      return added;
    },
  };
}

/** Adds an observed time of a server to its mean. */
export function observeTime(pooled: PooledServer, time: Core.Millis): void {
  const mean = pooled.meanTime ?? time;
  // eslint-disable-next-line no-param-reassign
  pooled.meanTime = mean + NEWEST_WEIGHT * (time - mean);
}

/** Gets the recent delay of a server, faded with age. */
export function getDelay(
  { delayAtMs, delayMs }: PooledServer,
  nowMs: Core.Millis,
): Core.Millis {
  return delayMs * 0.5 ** (Math.max(0, nowMs - delayAtMs) / DELAY_HALF_LIFE_MS);
}

/** Adds an observed delay of a first token. */
export function observeDelay(
  pooled: PooledServer,
  delayMs: Core.Millis,
  nowMs: Core.Millis,
): void {
  const faded = getDelay(pooled, nowMs);
  const weight = delayMs > faded ? NEWEST_DELAY_WEIGHT : NEWEST_WEIGHT;
  /* eslint-disable no-param-reassign */
  pooled.delayMs = faded + weight * (Math.max(0, delayMs) - faded);
  pooled.delayAtMs = nowMs;
  /* eslint-enable no-param-reassign */
}

/** Notes a byte from a server, or that something is expected of it again. */
export function observeSign(pooled: PooledServer, nowMs: Core.Millis): void {
  /* eslint-disable no-param-reassign */
  pooled.heardMs = nowMs;
  pooled.isSilenceTold = false;
  /* eslint-enable no-param-reassign */
}

/** Notes that a server turned a request away because it is full. */
export function observeRefusal(pooled: PooledServer, nowMs: Core.Millis): void {
  /* eslint-disable no-param-reassign */
  pooled.fullUntilMs = nowMs + Math.min(MAX_FULL_MS, FULL_MS * 2 ** pooled.refusalsInRow);
  pooled.refusalsInRow += 1;
  /* eslint-enable no-param-reassign */
}

/** Notes that a server took a request. */
export function observeAcceptance(pooled: PooledServer): void {
  // eslint-disable-next-line no-param-reassign
  pooled.refusalsInRow = 0;
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
