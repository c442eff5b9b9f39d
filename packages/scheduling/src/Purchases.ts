/**
 * Purchases of backend servers: the cheapest mix by data centre and kind for which the loss of any
 * one data centre of the cheap kind still meets the tiers that must hold. The mix is compared with
 * what runs and starts; what is missing is started at once, what is too much is stopped gracefully
 * after it has been too much for some time.
 */
import type * as Core from '@berylyoke/core';
import type * as Explanation from './Explanation.js';

/** Kind of server; the platform may reclaim cheap ones, a data centre at a time. */
export type ServerKind = 'cheap' | 'dear';

/** What the platform sells in one data centre, and what it has there for one model. */
export interface Offer {
  readonly dataCentre: string;
  readonly kind: ServerKind;
  readonly priceCents: number;
  /** Servers that could run there in all, those that run already included. */
  readonly maxServers: number;
}

/** Demand for one model, in tokens per second. */
export interface Demand {
  readonly model: string;
  /** Demand of all tiers, forecast for the time at which a new server would be ready. */
  readonly tokensPerSecond: number;
  /** Part of it that must be met after the loss of a cheap data centre. */
  readonly mustHoldTokensPerSecond: number;
  /** What one server of the model serves within its targets. */
  readonly serverTokensPerSecond: number;
}

/** Servers of one data centre and kind. */
export interface Stand {
  readonly dataCentre: string;
  readonly kind: ServerKind;
  readonly servers: number;
}

/** A mix of servers and how far it falls short. */
export interface ServerMix {
  readonly stands: readonly Stand[];
  readonly costCents: number;
  readonly missingServers: number;
  readonly missingAfterLoss: number;
}

/** Servers of one data centre and kind as they are now. */
export interface CurrentStand extends Stand {
  /** Ordered and not ready yet; not part of `servers`. */
  readonly starting: number;
}

/** An order to the platform. */
export interface PurchaseOrder {
  readonly _tag: 'Start' | 'Stop';
  readonly model: string;
  readonly dataCentre: string;
  readonly kind: ServerKind;
  readonly count: number;
  readonly reason: Explanation.PurchaseReason;
}

/** State that hysteresis needs, for each model. */
export interface PurchaseState {
  readonly surplusSinceMs: Core.Millis | undefined;
}

/** How purchases follow the demand. */
export interface PurchaseOptions {
  /** Capacity over demand, so that queues stay short. */
  readonly headroom: number;
  /** Time for which servers must have been too many before any is stopped. */
  readonly holdMs: Core.Millis;
  /** Share of the cost by which the running mix may exceed the cheapest one for good. */
  readonly costMargin: number;
  /** Servers that are stopped together, as a share of the running ones. */
  readonly maxStopShare: number;
}

/** Orders of one step and the reason when there are none. */
export interface PurchasePlan {
  readonly state: PurchaseState;
  readonly mix: ServerMix;
  readonly orders: readonly PurchaseOrder[];
  readonly reason: Explanation.PurchaseReason | undefined;
}

/** Values used when nothing else is set. */
export const defaultPurchaseOptions: PurchaseOptions = {
  costMargin: 0.05, headroom: 1.25, holdMs: 300_000, maxStopShare: 0.25,
};

/** State before the first step. */
export const initialPurchaseState: PurchaseState = { surplusSinceMs: undefined };

interface Need {
  readonly total: number;
  readonly afterLoss: number;
}

interface Unit {
  readonly offer: Offer;
  readonly index: number;
}

function sumServers(stands: readonly Stand[]): number {
  return stands.reduce((sum, { servers }) => sum + servers, 0);
}

/** Computes the servers needed in all and after a loss. */
export function computeNeed(
  { mustHoldTokensPerSecond, serverTokensPerSecond, tokensPerSecond }: Demand,
  headroom: number,
): Need {
  const count = (demand: number): number => Math.ceil(
    (demand * headroom) / Math.max(1, serverTokensPerSecond) - 1e-9,
  );
  return { afterLoss: count(mustHoldTokensPerSecond), total: count(tokensPerSecond) };
}

/** Counts the servers that remain when the cheap kind of a data centre is lost. */
export function countAfterLoss(stands: readonly Stand[], dataCentre: string): number {
  return sumServers(stands.filter((stand) => (
    stand.kind !== 'cheap' || stand.dataCentre !== dataCentre
  )));
}

/** Counts the servers that remain after the worst loss, and names its data centre. */
export function findWorstLoss(
  stands: readonly Stand[],
): { readonly dataCentre: string; readonly servers: number } {
  const centres = [...new Set(stands.map(({ dataCentre }) => dataCentre))];
  return centres
    .map((dataCentre) => ({ dataCentre, servers: countAfterLoss(stands, dataCentre) }))
    .reduce(
      (worst, loss) => (loss.servers < worst.servers ? loss : worst),
      { dataCentre: '', servers: sumServers(stands) },
    );
}

function buildMix(units: readonly Unit[], offers: readonly Offer[], need: Need): ServerMix {
  const stands = offers.map((offer) => ({
    dataCentre: offer.dataCentre,
    kind: offer.kind,
    servers: units.filter((unit) => unit.offer === offer).length,
  }));
  return {
    costCents: units.reduce((sum, { offer }) => sum + offer.priceCents, 0),
    missingAfterLoss: Math.max(0, need.afterLoss - findWorstLoss(stands).servers),
    missingServers: Math.max(0, need.total - units.length),
    stands,
  };
}

function compareMixes(a: ServerMix, b: ServerMix): number {
  return a.missingAfterLoss - b.missingAfterLoss
    || a.missingServers - b.missingServers
    || a.costCents - b.costCents;
}

/**
 * Plans the cheapest mix. For each bound on the cheap servers of one data centre, the cheapest
 * servers within the bound are exact, since servers are alike; the best bound is taken. With too
 * little stock, the mix comes as near as it can, first to what must hold and then to the rest.
 */
export function planMix(offers: readonly Offer[], need: Need): ServerMix {
  const wanted = Math.max(need.total, need.afterLoss);
  // Ordering by index among equal prices spreads servers over the data centres.
  const units = offers
    .flatMap((offer) => Array.from(
      { length: Math.min(offer.maxServers, wanted * 2) },
      (_, index) => ({ index, offer }),
    ))
    .sort((a, b) => a.offer.priceCents - b.offer.priceCents || a.index - b.index);
  const mixes = Array.from({ length: wanted + 1 }, (_, bound) => {
    const allowed = units.filter(({ index, offer }) => offer.kind === 'dear' || index < bound);
    const count = Math.max(need.total, need.afterLoss === 0 ? 0 : need.afterLoss + bound);
    return buildMix(allowed.slice(0, count), offers, need);
  });
  return mixes.reduce((best, mix) => (compareMixes(mix, best) < 0 ? mix : best));
}

function listShortfalls(
  stands: readonly Stand[],
  need: Need,
  forecastTokensPerSecond: number,
): Explanation.PurchaseReason | undefined {
  if (sumServers(stands) < need.total) return { _tag: 'Demand', forecastTokensPerSecond };
  const worst = findWorstLoss(stands);
  if (worst.servers >= need.afterLoss) return undefined;
  return { _tag: 'LossOfDataCentre', dataCentre: worst.dataCentre };
}

function planStops(
  model: string,
  current: readonly CurrentStand[],
  mix: ServerMix,
  offers: readonly Offer[],
  need: Need,
  options: PurchaseOptions,
  surplusForMs: Core.Millis,
): readonly PurchaseOrder[] {
  const getPrice = (stand: Stand): number => offers.find((offer) => (
    offer.dataCentre === stand.dataCentre && offer.kind === stand.kind
  ))?.priceCents ?? 0;
  const getTarget = (stand: Stand): number => mix.stands.find((target) => (
    target.dataCentre === stand.dataCentre && target.kind === stand.kind
  ))?.servers ?? 0;
  const surplus = current
    .flatMap((stand) => Array.from(
      { length: Math.max(0, stand.servers - getTarget(stand)) },
      () => stand,
    ))
    .sort((a, b) => getPrice(b) - getPrice(a));
  const maxStops = Math.max(1, Math.floor(sumServers(current) * options.maxStopShare));
  // Only what runs counts: a server that is starting does not replace one that stops yet.
  const { stopped } = surplus.reduce<{
    readonly left: readonly Stand[];
    readonly stopped: readonly CurrentStand[];
  }>((step, stand) => {
    if (step.stopped.length >= maxStops) return step;
    const left = step.left.map((other) => (
      other.dataCentre === stand.dataCentre && other.kind === stand.kind
        ? { ...other, servers: other.servers - 1 }
        : other
    ));
    const isEnough = sumServers(left) >= need.total
      && findWorstLoss(left).servers >= need.afterLoss;
    return isEnough ? { left, stopped: [...step.stopped, stand] } : step;
  }, { left: current, stopped: [] });
  return current.flatMap((stand) => {
    const count = stopped.filter((other) => other === stand).length;
    return count === 0 ? [] : [{
      _tag: 'Stop' as const,
      count,
      dataCentre: stand.dataCentre,
      kind: stand.kind,
      model,
      reason: { _tag: 'Drain' as const, surplusForMs },
    }];
  });
}

/** Plans the orders for one model from what runs, starts, is for sale and is demanded. */
export function planPurchases(
  state: PurchaseState,
  demand: Demand,
  offers: readonly Offer[],
  current: readonly CurrentStand[],
  nowMs: Core.Millis,
  options: PurchaseOptions = defaultPurchaseOptions,
): PurchasePlan {
  const need = computeNeed(demand, options.headroom);
  const mix = planMix(offers, need);
  const coming = current.map((stand) => ({ ...stand, servers: stand.servers + stand.starting }));
  const getComing = ({ dataCentre, kind }: Stand): number => coming.find((stand) => (
    stand.dataCentre === dataCentre && stand.kind === kind
  ))?.servers ?? 0;
  const buildStarts = (reason: Explanation.PurchaseReason): readonly PurchaseOrder[] => (
    mix.stands.flatMap((stand) => {
      const count = stand.servers - getComing(stand);
      return count <= 0 ? [] : [{
        _tag: 'Start' as const,
        count,
        dataCentre: stand.dataCentre,
        kind: stand.kind,
        model: demand.model,
        reason,
      }];
    })
  );
  const shortfall = listShortfalls(coming, need, demand.tokensPerSecond);
  if (shortfall !== undefined) {
    const orders = buildStarts(shortfall);
    const [first] = offers;
    const reason: Explanation.PurchaseReason = orders.length > 0 || first === undefined
      ? shortfall
      : { _tag: 'OutOfStock', dataCentre: first.dataCentre, kind: first.kind };
    return {
      mix, orders, reason, state: { surplusSinceMs: undefined },
    };
  }
  const costCents = coming.reduce((sum, stand) => sum + stand.servers * (offers.find((offer) => (
    offer.dataCentre === stand.dataCentre && offer.kind === stand.kind
  ))?.priceCents ?? 0), 0);
  const surplusServers = sumServers(coming) - sumServers(mix.stands);
  const hasSurplus = costCents > mix.costCents * (1 + options.costMargin);
  if (!hasSurplus) {
    return {
      mix, orders: [], reason: undefined, state: { surplusSinceMs: undefined },
    };
  }
  const surplusSinceMs = state.surplusSinceMs ?? nowMs;
  const surplusForMs = nowMs - surplusSinceMs;
  if (surplusForMs < options.holdMs) {
    return {
      mix, orders: [], reason: { _tag: 'Hold', surplusServers }, state: { surplusSinceMs },
    };
  }
  const reason = { _tag: 'Drain' as const, surplusForMs };
  const stops = planStops(demand.model, current, mix, offers, need, options, surplusForMs);
  // When nothing can be stopped before its replacement runs, the replacement is started.
  const orders = stops.length > 0 ? stops : buildStarts(reason);
  return {
    mix, orders, reason, state: { surplusSinceMs },
  };
}
