/**
 * What each data centre should have of each kind of server. Lasting servers carry what must not be
 * lost at short notice, reclaimable ones the rest at a fraction of the price. The platform may take
 * all reclaimable servers of one data centre at once, so they are spread evenly.
 */
import type * as Core from '@berylyoke/core';
import type * as Ports from './Ports.js';
import type * as RoutingConfig from './RoutingConfig.js';
import type * as ServerTable from './ServerTable.js';

/** Share of the data centres, the cheapest ones, that keep a lasting server. */
const LASTING_DATA_CENTRE_SHARE = 0.5;

/**
 * Share of what a data centre may hold that is reclaimable whatever the demand. At about
 * a fifth of the price of a lasting one, spare servers cost less than the late answers of a burst,
 * which is over before ordered servers are ready.
 */
const BASE_RECLAIMABLE_SHARE = 0.6;

/**
 * Prompt tokens a second, cached ones included, that a server is given. Engines read about 60,000
 * tokens a second that are not cached; the rest is for bursts and for generation beside it.
 */
const TOKENS_PER_S_PER_SERVER = 24_000;

/** Time after which an order that was refused for lack of stock is tried again. */
export const STOCK_RETRY_MS = 2_000;

/** Situation of one service. */
export interface OrderInput {
  readonly service: RoutingConfig.Service;
  readonly servers: readonly ServerTable.BackendServer[];
  /** Prompt tokens a second that callers ask for, over all daemons. */
  readonly tokensPerSecond: number;
}

function listCheapestDataCentres(prices: ReadonlyMap<string, number>): ReadonlySet<string> {
  const sorted = [...prices].sort(([, a], [, b]) => a - b).map(([dataCentre]) => dataCentre);
  return new Set(sorted.slice(0, Math.ceil(sorted.length * LASTING_DATA_CENTRE_SHARE)));
}

/** Plans the orders of a service; empty where its pool has a fixed size. */
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
    // A lasting server is given up only once the cheaper ones that replace it are ready.
    const hasReplacements = readyReclaimable >= Math.min(reclaimable, maxServers - readyLasting);
    const lasting = hasReplacements ? lastingWanted : Math.max(lastingWanted, readyLasting);
    const order = { dataCentre, service: service.name };
    return [
      { ...order, count: Math.min(reclaimable, maxServers - lasting), isReclaimable: true },
      { ...order, count: lasting, isReclaimable: false },
    ];
  });
}

/** Orders that were sent, and what came of them. */
export interface OrderTracker {
  /** Selects the orders that have to be sent now. */
  readonly selectDue: (
    wanted: readonly Ports.ServerOrder[], nowMs: Core.Millis,
  ) => readonly Ports.ServerOrder[];
  readonly recordAnswer: (
    order: Ports.ServerOrder, answer: Ports.DutyAnswer, nowMs: Core.Millis,
  ) => void;
}

/** Creates the book of one holder of the duty; a new holder sends every order anew. */
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
