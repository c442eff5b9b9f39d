/**
 * Plans how many servers of each kind a data centre should have. Lasting servers are on-demand
 * servers, which the platform does not take back at short notice. Reclaimable servers are spot
 * servers at a fraction of the price. The platform may reclaim all of them in one data centre at
 * once, so they are spread evenly over the data centres.
 */
import type * as Core from '@berylyoke/core';
import type * as Ports from './Ports.js';
import type * as RoutingConfig from './RoutingConfig.js';
import type * as ServerTable from './ServerTable.js';

/** Share of the data centres that keep one lasting server; the cheapest ones do. */
const LASTING_DATA_CENTRE_SHARE = 0.5;

/**
 * Share of the maximum number of servers of a data centre that is ordered as reclaimable servers
 * regardless of demand. A reclaimable server costs about a fifth of a lasting one, so idle servers
 * cost less than the late answers of a burst of requests. Servers that are ordered during a burst
 * are ready only after it is over.
 */
const BASE_RECLAIMABLE_SHARE = 0.6;

/**
 * Planned load of a server in prompt tokens per second, including cached tokens. Engines process
 * about 60,000 uncached prompt tokens per second; the rest is reserved for bursts and for the
 * generation of tokens at the same time.
 */
const TOKENS_PER_S_PER_SERVER = 24_000;

/** Delay in milliseconds before an order that failed for lack of stock is sent again. */
export const STOCK_RETRY_MS = 2_000;

/** Servers of and demand for one service, from which its orders are planned. */
export interface OrderInput {
  readonly service: RoutingConfig.Service;
  readonly servers: readonly ServerTable.BackendServer[];
  /** Prompt tokens per second that callers request, over all daemons. */
  readonly tokensPerSecond: number;
}

function listCheapestDataCentres(prices: ReadonlyMap<string, number>): ReadonlySet<string> {
  const sorted = [...prices].sort(([, a], [, b]) => a - b).map(([dataCentre]) => dataCentre);
  return new Set(sorted.slice(0, Math.ceil(sorted.length * LASTING_DATA_CENTRE_SHARE)));
}

/** Plans the orders of a service; returns none if its pool has a fixed size. */
export function planOrders(
  { servers, service, tokensPerSecond }: OrderInput,
): readonly Ports.ServerOrder[] {
  const { purchase } = service;
  if (purchase === undefined) return [];
  const { maxServers, minServers, prices } = purchase;
  const lastingDataCentres = listCheapestDataCentres(prices);
  const demandedServers = Math.ceil(tokensPerSecond / TOKENS_PER_S_PER_SERVER / prices.size);
  const baseReclaimable = Math.max(Math.ceil(maxServers * BASE_RECLAIMABLE_SHARE), demandedServers);
  return [...prices.keys()].flatMap((dataCentre) => {
    const readyServers = servers.filter((server) => (
      server.service === service.name && server.dataCentre === dataCentre
      && server.state === 'ready'
    ));
    const readyReclaimable = readyServers.filter(({ isReclaimable }) => isReclaimable).length;
    const readyLasting = readyServers.length - readyReclaimable;
    const lastingWanted = lastingDataCentres.has(dataCentre) ? Math.min(1, maxServers) : 0;
    const reclaimable = Math.min(
      maxServers - lastingWanted,
      Math.max(baseReclaimable, minServers - lastingWanted),
    );
    // Surplus lasting servers are given up only when the cheaper replacements are ready.
    const hasReplacements = readyReclaimable >= Math.min(reclaimable, maxServers - readyLasting);
    const lasting = hasReplacements ? lastingWanted : Math.max(lastingWanted, readyLasting);
    const order = { dataCentre, service: service.name };
    return [
      { ...order, count: Math.min(reclaimable, maxServers - lasting), isReclaimable: true },
      { ...order, count: lasting, isReclaimable: false },
    ];
  });
}

/** Tracks the orders that were sent and their answers. */
export interface OrderTracker {
  /** Selects the wanted orders that must be sent now: new, changed, or due to be sent again. */
  readonly selectDue: (
    wanted: readonly Ports.ServerOrder[], nowMs: Core.Millis,
  ) => readonly Ports.ServerOrder[];
  readonly recordAnswer: (
    order: Ports.ServerOrder, answer: Ports.DutyAnswer, nowMs: Core.Millis,
  ) => void;
}

/** Creates an empty tracker for one lease holder; a new holder sends every order again. */
export function createOrderTracker(): OrderTracker {
  const acceptedCounts = new Map<string, number>();
  const retryAtMs = new Map<string, Core.Millis>();
  const formatOrderKey = ({ dataCentre, isReclaimable, service }: Ports.ServerOrder): string => (
    `${service}/${dataCentre}/${isReclaimable ? 'reclaimable' : 'lasting'}`
  );
  return {
    recordAnswer: (order, answer, nowMs) => {
      const key = formatOrderKey(order);
      if (answer === 'accepted') acceptedCounts.set(key, order.count);
      else retryAtMs.set(key, nowMs + STOCK_RETRY_MS);
    },
    selectDue: (wanted, nowMs) => wanted.filter((order) => {
      const key = formatOrderKey(order);
      return acceptedCounts.get(key) !== order.count
        && (retryAtMs.get(key) ?? -Infinity) <= nowMs;
    }),
  };
}
