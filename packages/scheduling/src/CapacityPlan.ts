/**
 * Plans the number of lasting and reclaimable servers of a service in each data centre. Lasting
 * servers are on-demand servers, which the platform does not take back at short notice. Reclaimable
 * servers are spot servers at a fraction of the price; the platform may reclaim all of them in one
 * data centre at once, and may then have none to give for some time.
 *
 * The base plan depends on the bounds and the demand alone. While servers of the base plan are
 * missing and the others do not carry the measured demand, lasting servers replace them in the same
 * or another data centre. The replacement is released when the demand is carried without it.
 */
import type * as Core from '@berylyoke/core';

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
export const PLANNED_TOKENS_PER_S = 24_000;

/** Planned share of the concurrent requests of a server; the rest is reserved for bursts. */
export const PLANNED_REQUEST_SHARE = 0.7;

/**
 * Time in milliseconds for which a decrease of the demand is ignored, and for which a replacement
 * must have been a surplus before it is released. It keeps orders from alternating.
 */
export const RELEASE_DELAY_MS = 10_000;

/** Servers of one kind in one data centre. */
export interface KindServers {
  readonly ready: number;
  /** Servers that drain, because the platform takes them back or an order released them. */
  readonly leaving: number;
  /** Servers that were ordered and are expected within the boot time. */
  readonly starting: number;
  /** Count of the newest order that the platform accepted or may have accepted. */
  readonly ordered: number;
  /** Time at which the platform last accepted an increase; -Infinity if it never did. */
  readonly increasedMs: Core.Millis;
  /** Whether the platform had none to give when it was last asked. */
  readonly hadNone: boolean;
  /** Whether an order may be sent now: not within the delay after an unsuccessful one. */
  readonly canAsk: boolean;
  /** Whether an accepted order was not carried out within the boot time. */
  readonly isOverdue: boolean;
}

/** Servers in one data centre. */
export interface DataCentreServers {
  readonly dataCentre: string;
  /** Price of a lasting server. */
  readonly price: number;
  readonly lasting: KindServers;
  readonly reclaimable: KindServers;
}

/** Demand for a service, measured over all daemons. */
export interface MeasuredDemand {
  readonly tokensPerSecond: number;
  /** Requests in progress at the servers; undefined if they are not counted. */
  readonly requests: number | undefined;
}

/** Inputs of the plan of one service. */
export interface CapacityInput {
  readonly dataCentres: readonly DataCentreServers[];
  /** Bounds per data centre, for both kinds together. */
  readonly maxServers: number;
  readonly minServers: number;
  /** Demand on which the base plan is computed, in prompt tokens per second. */
  readonly baseTokensPerSecond: number;
  /** Newest measured demand; undefined if it is not known. */
  readonly demand: MeasuredDemand | undefined;
  /** Concurrent requests of one server; 0 if unknown. */
  readonly concurrentRequests: number;
}

/** Planned number of servers in one data centre. */
export interface PlannedServers {
  readonly dataCentre: string;
  readonly lasting: number;
  readonly reclaimable: number;
}

interface NeedSample {
  readonly servers: number;
  readonly observedMs: Core.Millis;
}

/** Memory of the plan of one service; a new lease holder begins without any. */
export interface CapacityState {
  /** Time of the first plan. */
  readonly startedMs: Core.Millis | undefined;
  /** Servers that the demand needed, as observed within the last `RELEASE_DELAY_MS`. */
  readonly samples: readonly NeedSample[];
  /** Lasting servers beyond the base plan, by data centre. */
  readonly replacements: ReadonlyMap<string, number>;
  /** Time of the last increase of the replacements. */
  readonly grownMs: Core.Millis;
  /** Time since which there have been more replacements than the demand needs. */
  readonly surplusSinceMs: Core.Millis | undefined;
}

/** Plan of one service, with the figures on which it was decided. */
export interface CapacityPlan {
  readonly state: CapacityState;
  readonly planned: readonly PlannedServers[];
  /** Servers that the demand needs; undefined if the demand is not known. */
  readonly neededServers: number | undefined;
  /** Servers of the base plan that are neither ready nor starting. */
  readonly missingServers: number;
  readonly replacementServers: number;
  /** Whether the ready servers of the base plan do not carry the demand. */
  readonly isShort: boolean;
}

/** State before the first plan. */
export const INITIAL_CAPACITY_STATE: CapacityState = {
  grownMs: -Infinity,
  replacements: new Map(),
  samples: [],
  startedMs: undefined,
  surplusSinceMs: undefined,
};

/** Data centre with its base plan. */
interface BaseServers extends DataCentreServers {
  readonly baseLasting: number;
  readonly baseReclaimable: number;
}

function sumBy<T>(list: readonly T[], get: (each: T) => number): number {
  return list.reduce((sum, each) => sum + get(each), 0);
}

/** Computes the servers that the demand needs. */
export function computeNeededServers(
  { requests, tokensPerSecond }: MeasuredDemand,
  concurrentRequests: number,
): number {
  const byRequests = requests === undefined || concurrentRequests <= 0
    ? 0
    : requests / (PLANNED_REQUEST_SHARE * concurrentRequests);
  return Math.ceil(Math.max(tokensPerSecond / PLANNED_TOKENS_PER_S, byRequests));
}

function listBaseServers(
  {
    baseTokensPerSecond, dataCentres, maxServers, minServers,
  }: CapacityInput,
): readonly BaseServers[] {
  const lastingCount = Math.ceil(dataCentres.length * LASTING_DATA_CENTRE_SHARE);
  const lastingDataCentres = new Set([...dataCentres].sort((a, b) => a.price - b.price)
    .slice(0, lastingCount).map(({ dataCentre }) => dataCentre));
  const demandedServers = Math.ceil(
    baseTokensPerSecond / PLANNED_TOKENS_PER_S / dataCentres.length,
  );
  const reclaimable = Math.max(Math.ceil(maxServers * BASE_RECLAIMABLE_SHARE), demandedServers);
  return dataCentres.map((each) => {
    const baseLasting = lastingDataCentres.has(each.dataCentre) ? Math.min(1, maxServers) : 0;
    const baseReclaimable = Math.min(
      maxServers - baseLasting,
      Math.max(reclaimable, minServers - baseLasting),
    );
    return { ...each, baseLasting, baseReclaimable };
  });
}

/** Counts the servers of the base plan that are ready and, if wanted, those that are starting. */
function countBase(list: readonly BaseServers[], withStarting: boolean): number {
  const count = ({ ready, starting }: KindServers): number => ready + (withStarting ? starting : 0);
  return sumBy(list, ({
    baseLasting, baseReclaimable, lasting, reclaimable,
  }) => Math.min(baseLasting, count(lasting)) + Math.min(baseReclaimable, count(reclaimable)));
}

/**
 * Counts the replacements of a data centre that are ordered or exist. Those that an earlier plan
 * called for, but that were not ordered or were refused, are planned anew.
 */
function countOrdered({ baseLasting, lasting }: BaseServers, replacements: number): number {
  const existing = Math.max(lasting.ordered, lasting.ready);
  return Math.min(replacements, Math.max(0, existing - baseLasting));
}

/** Counts the replacements of a data centre without those of an overdue order. */
function countReliable({ baseLasting, lasting }: BaseServers, ordered: number): number {
  if (!lasting.isOverdue) return ordered;
  return Math.min(ordered, Math.max(0, lasting.ready + lasting.starting - baseLasting));
}

/**
 * Adds replacements. Existing lasting servers beyond the base plan are kept first. New ones use
 * the room that the base plan leaves, the cheapest first, and then the room of reclaimable servers
 * that the platform does not have.
 */
function addReplacements(
  list: readonly BaseServers[],
  maxServers: number,
  replacements: ReadonlyMap<string, number>,
  count: number,
): ReadonlyMap<string, number> {
  const sorted = [...list].sort((a, b) => a.price - b.price);
  const added = new Map(replacements);
  const get = ({ dataCentre }: BaseServers): number => added.get(dataCentre) ?? 0;
  const getRoom = (each: BaseServers): number => maxServers - each.baseLasting - get(each);
  const canOrder = ({ lasting }: BaseServers): boolean => lasting.canAsk && !lasting.isOverdue;
  const limits: readonly ((each: BaseServers) => number)[] = [
    (each) => Math.min(getRoom(each), each.lasting.ready - each.baseLasting - get(each)),
    (each) => (canOrder(each) && !each.lasting.hadNone
      ? getRoom(each) - each.baseReclaimable
      : 0),
    (each) => (canOrder(each) && !each.lasting.hadNone && each.reclaimable.hadNone
      ? getRoom(each) - each.reclaimable.ready - each.reclaimable.leaving
        - each.reclaimable.starting
      : 0),
    // A data centre that had no lasting servers is asked again after the others.
    (each) => (canOrder(each) && each.lasting.hadNone ? getRoom(each) - each.baseReclaimable : 0),
  ];
  limits.reduce((remaining, getLimit) => sorted.reduce((left, each) => {
    const taken = Math.min(left, Math.max(0, getLimit(each)));
    if (taken > 0) added.set(each.dataCentre, get(each) + taken);
    return left - taken;
  }, remaining), count);
  return added;
}

/** Removes replacements: those of overdue orders first, and then the most expensive ones. */
function removeReplacements(
  list: readonly BaseServers[],
  replacements: ReadonlyMap<string, number>,
  count: number,
): ReadonlyMap<string, number> {
  const remaining = new Map(replacements);
  const sorted = [...list].sort((a, b) => (
    Number(b.lasting.isOverdue) - Number(a.lasting.isOverdue) || b.price - a.price
  ));
  sorted.reduce((left, { dataCentre }) => {
    const held = remaining.get(dataCentre) ?? 0;
    const removed = Math.min(left, held);
    remaining.set(dataCentre, held - removed);
    return left - removed;
  }, count);
  return remaining;
}

function buildPlannedServers(
  {
    baseLasting, baseReclaimable, dataCentre, lasting, reclaimable,
  }: BaseServers,
  maxServers: number,
  replacements: number,
): PlannedServers {
  // Surplus lasting servers are given up only when the cheaper replacements are ready.
  const hasReplacements = reclaimable.ready
    >= Math.min(baseReclaimable, maxServers - lasting.ready);
  const kept = hasReplacements ? baseLasting : Math.max(baseLasting, lasting.ready);
  const plannedLasting = Math.min(maxServers, Math.max(kept, baseLasting + replacements));
  const room = maxServers - plannedLasting;
  // While the kind has none to give, its order is reduced to what exists, which cannot be refused
  // for lack of stock; otherwise both orders together would exceed the maximum.
  const usesRoom = replacements > 0 && room < baseReclaimable
    && reclaimable.hadNone && !reclaimable.canAsk;
  const limit = usesRoom ? Math.min(room, reclaimable.ready + reclaimable.starting) : room;
  return {
    dataCentre,
    lasting: plannedLasting,
    reclaimable: Math.max(0, Math.min(baseReclaimable, limit)),
  };
}

function updateSamples(
  { samples }: CapacityState,
  { concurrentRequests, demand }: CapacityInput,
  nowMs: Core.Millis,
): readonly NeedSample[] {
  const recent = samples.filter(({ observedMs }) => nowMs - observedMs < RELEASE_DELAY_MS);
  if (demand === undefined) return recent;
  const servers = computeNeededServers(demand, concurrentRequests);
  // Samples that are not above the new one have no effect any more.
  return [
    ...recent.filter((sample) => sample.servers > servers), { observedMs: nowMs, servers },
  ];
}

/** Plans the servers of one service from its demand, its servers and the earlier plans. */
export function planCapacity(
  state: CapacityState,
  input: CapacityInput,
  nowMs: Core.Millis,
): CapacityPlan {
  const { maxServers } = input;
  const list = listBaseServers(input);
  const samples = updateSamples(state, input, nowMs);
  const startedMs = state.startedMs ?? nowMs;
  const baseServers = sumBy(list, (each) => each.baseLasting + each.baseReclaimable);
  const readyServers = countBase(list, false);
  const expectedServers = countBase(list, true);
  const missingServers = baseServers - expectedServers;
  const neededServers = samples.length === 0
    ? undefined
    : Math.max(...samples.map(({ servers }) => servers));
  const ordered = new Map(list.map((each) => [
    each.dataCentre, countOrdered(each, state.replacements.get(each.dataCentre) ?? 0),
  ]));
  const orderedCount = sumBy([...ordered.values()], (count) => count);
  const reliableCount = sumBy(list, (each) => (
    countReliable(each, ordered.get(each.dataCentre) ?? 0)
  ));
  // A holder that cannot know the demand yet keeps the lasting servers of the holder before it.
  const isStarting = nowMs - startedMs < RELEASE_DELAY_MS;
  const keptUnknown = isStarting && missingServers > 0
    ? sumBy(list, ({ baseLasting, lasting }) => Math.max(0, lasting.ready - baseLasting))
    : 0;
  const countReplacements = (servers: number): number => (neededServers === undefined
    ? keptUnknown
    : Math.max(0, Math.min(baseServers, neededServers) - servers));
  const wanted = countReplacements(expectedServers);
  const retained = countReplacements(readyServers);
  const surplusSinceMs = orderedCount > retained ? state.surplusSinceMs ?? nowMs : undefined;
  // An increase may be accepted long after it was planned, if orders were not answered meanwhile.
  const increasedMs = Math.max(state.grownMs, ...list.map(({ lasting }) => lasting.increasedMs));
  const canRelease = surplusSinceMs !== undefined && wanted <= reliableCount
    && nowMs - Math.max(surplusSinceMs, increasedMs) >= RELEASE_DELAY_MS;
  const grown = addReplacements(list, maxServers, ordered, Math.max(0, wanted - reliableCount));
  const replacements = canRelease
    ? removeReplacements(list, grown, orderedCount - retained)
    : grown;
  const replacementServers = sumBy([...replacements.values()], (count) => count);
  return {
    isShort: retained > 0,
    missingServers,
    neededServers,
    planned: list.map((each) => buildPlannedServers(
      each,
      maxServers,
      replacements.get(each.dataCentre) ?? 0,
    )),
    replacementServers,
    state: {
      grownMs: replacementServers > orderedCount ? nowMs : state.grownMs,
      replacements,
      samples,
      startedMs,
      surplusSinceMs,
    },
  };
}
