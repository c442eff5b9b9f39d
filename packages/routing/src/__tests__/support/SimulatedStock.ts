/**
 * Simulated platform that carries out orders of servers: it starts servers after a boot time, takes
 * reclaimable ones back with a notice, and may have none to give. Time is passed in.
 */
import * as Routing from '../../index.js';

/** Time between two steps of a simulation; the duty runner steps as often. */
export const STEP_MS = 300;

/** Bounds and prices of the simulated service; the base plan has 5 and 2 servers of each kind. */
export const SERVICE: Routing.Service = {
  maxConnections: 370,
  name: 'chat',
  purchase: {
    bootMs: 4_000,
    maxServers: 8,
    minServers: 1,
    prices: new Map([['a', 1], ['b', 0.8], ['c', 1.25], ['d', 0.9]]),
  },
};

/** An order that the platform received. */
export interface ReceivedOrder extends Routing.ServerOrder {
  readonly atMs: number;
  readonly answer: Routing.DutyAnswer;
}

interface SimulatedServer extends Routing.BackendServer {
  readonly readyMs: number;
  readonly goneMs: number;
}

/** Simulated platform. */
export interface SimulatedStock {
  readonly received: readonly ReceivedOrder[];
  /** Largest number of servers of both kinds that were ordered in one data centre. */
  readonly getMaxOrdered: () => number;
  readonly listServers: (nowMs: number) => readonly Routing.BackendServer[];
  readonly order: (order: Routing.ServerOrder, nowMs: number) => Routing.DutyAnswer;
  /** Takes all reclaimable servers of a data centre back after a notice. */
  readonly reclaim: (dataCentre: string, nowMs: number, noticeMs: number) => void;
  /** Sets whether there are servers of a kind in a data centre. */
  readonly setStock: (dataCentre: string, isReclaimable: boolean, hasStock: boolean) => void;
  /** Sets the outcome of the calls: carried out or not, and answered or not. */
  readonly setInterface: (state: 'down' | 'lost answers' | 'up') => void;
}

/** Creates a platform without servers. */
export function createSimulatedStock(): SimulatedStock {
  const received: ReceivedOrder[] = [];
  const desired = new Map<string, number>();
  const withoutStock = new Set<string>();
  let servers: readonly SimulatedServer[] = [];
  let state: 'down' | 'lost answers' | 'up' = 'up';
  let nextId = 0;
  let maxOrdered = 0;
  const formatKey = (dataCentre: string, isReclaimable: boolean): string => (
    `${dataCentre}/${isReclaimable ? 'reclaimable' : 'lasting'}`
  );
  const carryOut = (
    { count, dataCentre, isReclaimable }: Routing.ServerOrder,
    nowMs: number,
  ): Routing.DutyAnswer => {
    const key = formatKey(dataCentre, isReclaimable);
    servers = servers.filter(({ goneMs }) => goneMs > nowMs);
    const running = servers.filter((server) => (
      server.dataCentre === dataCentre && server.isReclaimable === isReclaimable
      && server.goneMs === Infinity
    ));
    if (count > running.length && withoutStock.has(key)) return 'unavailable';
    desired.set(key, count);
    const other = desired.get(formatKey(dataCentre, !isReclaimable)) ?? 0;
    maxOrdered = Math.max(maxOrdered, count + other);
    const surplus = new Set(running.slice(count));
    servers = [
      ...servers.filter((server) => !surplus.has(server)),
      ...Array.from({ length: Math.max(0, count - running.length) }, () => {
        nextId += 1;
        return {
          bornMs: nowMs,
          dataCentre,
          goneMs: Infinity,
          host: '10.0.0.1',
          id: `s-${nextId}`,
          isReclaimable,
          port: 80,
          readyMs: nowMs + 4_000,
          service: 'chat',
          slots: 32,
          state: 'ready' as const,
          version: 'v1',
        };
      }),
    ];
    return 'accepted';
  };
  return {
    getMaxOrdered: () => maxOrdered,
    listServers: (nowMs) => servers
      .filter(({ goneMs, readyMs }) => readyMs <= nowMs && goneMs > nowMs)
      .map((server) => ({
        ...server, state: server.goneMs === Infinity ? 'ready' : 'draining',
      })),
    order: (order, nowMs) => {
      const outcome = state === 'down' ? undefined : carryOut(order, nowMs);
      const answer = outcome === undefined || state === 'lost answers' ? 'unknown' : outcome;
      received.push({ ...order, answer, atMs: nowMs });
      return answer;
    },
    received,
    reclaim: (dataCentre, nowMs, noticeMs) => {
      servers = servers.map((server) => (
        server.dataCentre === dataCentre && server.isReclaimable && server.goneMs === Infinity
          ? { ...server, goneMs: nowMs + noticeMs }
          : server
      ));
    },
    setInterface: (next) => {
      state = next;
    },
    setStock: (dataCentre, isReclaimable, hasStock) => {
      const key = formatKey(dataCentre, isReclaimable);
      if (hasStock) withoutStock.delete(key);
      else withoutStock.add(key);
    },
  };
}

/** Simulation of a lease holder that orders servers. */
export interface Simulation {
  readonly stock: SimulatedStock;
  /** Runs steps until a time; `act` is called before each of them. */
  readonly runUntil: (untilMs: number, act?: (nowMs: number) => void) => void;
  /** Sets the demand in servers at their planned load; undefined if it is not known. */
  readonly setNeed: (servers: number | undefined) => void;
  /** Replaces the lease holder by one that knows nothing of the earlier orders. */
  readonly changeHolder: () => void;
  readonly countReady: () => number;
  readonly getNowMs: () => number;
}

/** Most orders of one step; a plan that never settles would exceed it. */
const MAX_ORDERS_PER_STEP = 32;

/** Creates a planner; tests of the tests pass a faulty one. */
export type PlannerFactory = () => Pick<Routing.OrderPlanner, 'planDue' | 'recordAnswer'>;

/** Planned load of a server, with which the demand in servers is converted. */
const TOKENS_PER_S = 24_000;

/** Creates a simulation without servers. */
export function createSimulation(
  createPlanner: PlannerFactory = Routing.createOrderPlanner,
): Simulation {
  const stock = createSimulatedStock();
  let planner = createPlanner();
  let need: number | undefined = 0;
  let nowMs = 0;
  const sendOrders = (remaining: number): void => {
    if (remaining === 0) throw new Error('the orders of one step do not settle');
    const tokensPerSecond = (need ?? 0) * TOKENS_PER_S;
    const [order] = planner.planDue([{
      demand: need === undefined ? undefined : { requests: undefined, tokensPerSecond },
      servers: stock.listServers(nowMs),
      service: SERVICE,
      tokensPerSecond,
    }], nowMs);
    if (order === undefined) return;
    const answer = stock.order(order, nowMs);
    planner.recordAnswer(order, answer, nowMs);
    if (answer === 'accepted' || answer === 'unavailable') sendOrders(remaining - 1);
  };
  return {
    changeHolder: () => {
      planner = createPlanner();
    },
    countReady: () => stock.listServers(nowMs).filter((server) => server.state === 'ready').length,
    getNowMs: () => nowMs,
    runUntil: (untilMs, act) => {
      while (nowMs < untilMs) {
        nowMs += STEP_MS;
        act?.(nowMs);
        sendOrders(MAX_ORDERS_PER_STEP);
      }
    },
    setNeed: (servers) => {
      need = servers;
    },
    stock,
  };
}
