/**
 * Planning of backend server purchases. The target is the cheapest mix of servers by data centre
 * and kind that meets the demand of all tiers, and still meets the demand of the protected tiers
 * when all cheap servers of any one data centre are lost. The target is compared with the running
 * and starting servers: missing servers are started immediately, and surplus servers are stopped
 * gracefully after the surplus has lasted for some time.
 */
import type * as Core from '@berylyoke/core';
import type * as Explanation from './Explanation.js';

/** Kind of server; the platform may reclaim all cheap servers of a data centre at the same time. */
export type ServerKind = 'cheap' | 'dear';

/** Price and stock of servers of one kind for one model in one data centre. */
export interface Offer {
  readonly dataCentre: string;
  readonly kind: ServerKind;
  readonly priceCents: number;
  /** Maximum number of servers that can run there, already running ones included. */
  readonly maxServers: number;
}

/** Demand for one model, in tokens per second. */
export interface ModelDemand {
  readonly model: string;
  /** Demand of all tiers, forecast for the time at which a new server would be ready. */
  readonly tokensPerSecond: number;
  /** Demand of the protected tiers, to be met even without the cheap servers of a data centre. */
  readonly mustHoldTokensPerSecond: number;
  /** Throughput of one server of the model at which requests still meet their latency targets. */
  readonly serverTokensPerSecond: number;
}

/** Number of servers of one kind in one data centre. */
export interface ServerAllocation {
  readonly dataCentre: string;
  readonly kind: ServerKind;
  readonly servers: number;
}

/**
 * A mix of servers and its cost. `missingServers` and `missingAfterLoss` are the servers it lacks
 * for the demand of all tiers and, after the worst loss, for the demand of the protected tiers.
 */
export interface ServerMix {
  readonly allocations: readonly ServerAllocation[];
  readonly costCents: number;
  readonly missingServers: number;
  readonly missingAfterLoss: number;
}

/** Running and starting servers of one kind in one data centre. */
export interface CurrentAllocation extends ServerAllocation {
  /** Ordered but not ready yet; not included in `servers`. */
  readonly starting: number;
}

/** An order to the platform to start or stop servers. */
export interface PurchaseOrder {
  readonly _tag: 'Start' | 'Stop';
  readonly model: string;
  readonly dataCentre: string;
  readonly kind: ServerKind;
  readonly count: number;
  readonly reason: Explanation.PurchaseReason;
}

/** Since when the servers of a model have been a surplus; stops are delayed from then on. */
export interface PurchaseState {
  readonly surplusSinceMs: Core.Millis | undefined;
}

/** Options of purchase planning. */
export interface PurchaseOptions {
  /** Ratio of capacity to demand; above 1 so that queues stay short. */
  readonly headroom: number;
  /** Time for which a surplus must last before servers are stopped. */
  readonly minSurplusMs: Core.Millis;
  /** Share by which the cost may exceed that of the cheapest mix without counting as a surplus. */
  readonly costMargin: number;
  /** Maximum share of the running servers that is stopped at the same time. */
  readonly maxStopShare: number;
}

/** Planned orders, and the reason for them or for their absence. */
export interface PurchasePlan {
  readonly state: PurchaseState;
  readonly mix: ServerMix;
  readonly orders: readonly PurchaseOrder[];
  readonly reason: Explanation.PurchaseReason | undefined;
}

/** Default options. */
export const defaultPurchaseOptions: PurchaseOptions = {
  costMargin: 0.05, headroom: 1.25, minSurplusMs: 300_000, maxStopShare: 0.25,
};

/** State before the first plan. */
export const initialPurchaseState: PurchaseState = { surplusSinceMs: undefined };

interface RequiredServers {
  /** Servers required for the demand of all tiers. */
  readonly total: number;
  /** Servers that must remain, for the protected tiers, after the loss of a data centre. */
  readonly afterLoss: number;
}

/** One server of an offer, numbered from 0 within the offer. */
interface OfferedServer {
  readonly offer: Offer;
  readonly index: number;
}

function sumServers(allocations: readonly ServerAllocation[]): number {
  return allocations.reduce((sum, { servers }) => sum + servers, 0);
}

/** Computes the number of servers required in total and after the loss of a data centre. */
export function computeRequiredServers(
  { mustHoldTokensPerSecond, serverTokensPerSecond, tokensPerSecond }: ModelDemand,
  headroom: number,
): RequiredServers {
  const count = (demand: number): number => Math.ceil(
    (demand * headroom) / Math.max(1, serverTokensPerSecond) - 1e-9,
  );
  return { afterLoss: count(mustHoldTokensPerSecond), total: count(tokensPerSecond) };
}

/** Counts the servers that remain when all cheap servers of a data centre are lost. */
export function countAfterLoss(
  allocations: readonly ServerAllocation[],
  dataCentre: string,
): number {
  return sumServers(allocations.filter((allocation) => (
    allocation.kind !== 'cheap' || allocation.dataCentre !== dataCentre
  )));
}

/** Finds the data centre whose loss leaves the fewest servers, and the number of these. */
export function findWorstLoss(
  allocations: readonly ServerAllocation[],
): { readonly dataCentre: string; readonly servers: number } {
  const dataCentres = [...new Set(allocations.map(({ dataCentre }) => dataCentre))];
  return dataCentres
    .map((dataCentre) => ({ dataCentre, servers: countAfterLoss(allocations, dataCentre) }))
    .reduce(
      (worst, loss) => (loss.servers < worst.servers ? loss : worst),
      { dataCentre: '', servers: sumServers(allocations) },
    );
}

function buildMix(
  offeredServers: readonly OfferedServer[],
  offers: readonly Offer[],
  required: RequiredServers,
): ServerMix {
  const allocations = offers.map((offer) => ({
    dataCentre: offer.dataCentre,
    kind: offer.kind,
    servers: offeredServers.filter((server) => server.offer === offer).length,
  }));
  return {
    costCents: offeredServers.reduce((sum, { offer }) => sum + offer.priceCents, 0),
    missingAfterLoss: Math.max(0, required.afterLoss - findWorstLoss(allocations).servers),
    missingServers: Math.max(0, required.total - offeredServers.length),
    allocations,
  };
}

function compareMixes(a: ServerMix, b: ServerMix): number {
  return a.missingAfterLoss - b.missingAfterLoss
    || a.missingServers - b.missingServers
    || a.costCents - b.costCents;
}

/**
 * Plans the cheapest mix. Tries every bound on the number of cheap servers per data centre and
 * takes the best result. For a given bound, taking the cheapest servers is optimal because all
 * servers have the same capacity. If the stock is too small, the mix minimizes first the servers
 * missing after a loss and then the servers missing in total.
 */
export function planMix(offers: readonly Offer[], required: RequiredServers): ServerMix {
  const minServers = Math.max(required.total, required.afterLoss);
  // Sorting equal prices by index spreads the servers over the data centres.
  const offeredServers = offers
    .flatMap((offer) => Array.from(
      { length: Math.min(offer.maxServers, minServers * 2) },
      (_, index) => ({ index, offer }),
    ))
    .sort((a, b) => a.offer.priceCents - b.offer.priceCents || a.index - b.index);
  const mixes = Array.from({ length: minServers + 1 }, (_, bound) => {
    const withinBound = offeredServers.filter(
      ({ index, offer }) => offer.kind === 'dear' || index < bound,
    );
    const count = Math.max(
      required.total,
      required.afterLoss === 0 ? 0 : required.afterLoss + bound,
    );
    return buildMix(withinBound.slice(0, count), offers, required);
  });
  return mixes.reduce((best, mix) => (compareMixes(mix, best) < 0 ? mix : best));
}

function findShortfall(
  allocations: readonly ServerAllocation[],
  required: RequiredServers,
  forecastTokensPerSecond: number,
): Explanation.PurchaseReason | undefined {
  if (sumServers(allocations) < required.total) return { _tag: 'Demand', forecastTokensPerSecond };
  const worst = findWorstLoss(allocations);
  if (worst.servers >= required.afterLoss) return undefined;
  return { _tag: 'LossOfDataCentre', dataCentre: worst.dataCentre };
}

function planStops(
  model: string,
  current: readonly CurrentAllocation[],
  mix: ServerMix,
  offers: readonly Offer[],
  required: RequiredServers,
  options: PurchaseOptions,
  surplusForMs: Core.Millis,
): readonly PurchaseOrder[] {
  const getPrice = (allocation: ServerAllocation): number => offers.find((offer) => (
    offer.dataCentre === allocation.dataCentre && offer.kind === allocation.kind
  ))?.priceCents ?? 0;
  const getTargetCount = (
    allocation: ServerAllocation,
  ): number => mix.allocations.find((target) => (
    target.dataCentre === allocation.dataCentre && target.kind === allocation.kind
  ))?.servers ?? 0;
  const surplus = current
    .flatMap((allocation) => Array.from(
      { length: Math.max(0, allocation.servers - getTargetCount(allocation)) },
      () => allocation,
    ))
    .sort((a, b) => getPrice(b) - getPrice(a));
  const maxStops = Math.max(1, Math.floor(sumServers(current) * options.maxStopShare));
  // Counts running servers only: a server that is still starting cannot replace a stopped one.
  const { stopped } = surplus.reduce<{
    readonly remaining: readonly ServerAllocation[];
    readonly stopped: readonly CurrentAllocation[];
  }>((result, allocation) => {
    if (result.stopped.length >= maxStops) return result;
    const remaining = result.remaining.map((other) => (
      other.dataCentre === allocation.dataCentre && other.kind === allocation.kind
        ? { ...other, servers: other.servers - 1 }
        : other
    ));
    const isEnough = sumServers(remaining) >= required.total
      && findWorstLoss(remaining).servers >= required.afterLoss;
    return isEnough ? { remaining, stopped: [...result.stopped, allocation] } : result;
  }, { remaining: current, stopped: [] });
  return current.flatMap((allocation) => {
    const count = stopped.filter((other) => other === allocation).length;
    return count === 0 ? [] : [{
      _tag: 'Stop' as const,
      count,
      dataCentre: allocation.dataCentre,
      kind: allocation.kind,
      model,
      reason: { _tag: 'Drain' as const, surplusForMs },
    }];
  });
}

/** Plans the orders for one model from its demand, the offers, and its current servers. */
export function planPurchases(
  state: PurchaseState,
  demand: ModelDemand,
  offers: readonly Offer[],
  current: readonly CurrentAllocation[],
  nowMs: Core.Millis,
  options: PurchaseOptions = defaultPurchaseOptions,
): PurchasePlan {
  const required = computeRequiredServers(demand, options.headroom);
  const mix = planMix(offers, required);
  const provisioned = current.map((allocation) => ({
    ...allocation, servers: allocation.servers + allocation.starting,
  }));
  const countProvisioned = (
    { dataCentre, kind }: ServerAllocation,
  ): number => provisioned.find((allocation) => (
    allocation.dataCentre === dataCentre && allocation.kind === kind
  ))?.servers ?? 0;
  const buildStarts = (reason: Explanation.PurchaseReason): readonly PurchaseOrder[] => (
    mix.allocations.flatMap((allocation) => {
      const count = allocation.servers - countProvisioned(allocation);
      return count <= 0 ? [] : [{
        _tag: 'Start' as const,
        count,
        dataCentre: allocation.dataCentre,
        kind: allocation.kind,
        model: demand.model,
        reason,
      }];
    })
  );
  const shortfall = findShortfall(provisioned, required, demand.tokensPerSecond);
  if (shortfall !== undefined) {
    const orders = buildStarts(shortfall);
    const [firstOffer] = offers;
    const reason: Explanation.PurchaseReason = orders.length > 0 || firstOffer === undefined
      ? shortfall
      : { _tag: 'OutOfStock', dataCentre: firstOffer.dataCentre, kind: firstOffer.kind };
    return {
      mix, orders, reason, state: { surplusSinceMs: undefined },
    };
  }
  const costCents = provisioned.reduce(
    (sum, allocation) => sum + allocation.servers * (offers.find((offer) => (
      offer.dataCentre === allocation.dataCentre && offer.kind === allocation.kind
    ))?.priceCents ?? 0),
    0,
  );
  const surplusServers = sumServers(provisioned) - sumServers(mix.allocations);
  const exceedsCostMargin = costCents > mix.costCents * (1 + options.costMargin);
  if (!exceedsCostMargin) {
    return {
      mix, orders: [], reason: undefined, state: { surplusSinceMs: undefined },
    };
  }
  const surplusSinceMs = state.surplusSinceMs ?? nowMs;
  const surplusForMs = nowMs - surplusSinceMs;
  if (surplusForMs < options.minSurplusMs) {
    return {
      mix, orders: [], reason: { _tag: 'Hold', surplusServers }, state: { surplusSinceMs },
    };
  }
  const reason = { _tag: 'Drain' as const, surplusForMs };
  const stops = planStops(demand.model, current, mix, offers, required, options, surplusForMs);
  // If no server can be stopped before its replacement runs, the replacements are started first.
  const orders = stops.length > 0 ? stops : buildStarts(reason);
  return {
    mix, orders, reason, state: { surplusSinceMs },
  };
}
