/**
 * Orders the planned number of servers of each kind in each data centre, and tracks the orders that
 * were sent and their answers. The numbers are planned by the scheduling package.
 */
import type * as Core from '@berylyoke/core';
import * as Scheduling from '@berylyoke/scheduling';
import * as util from 'node:util';
import type * as Ports from './Ports.js';
import type * as RoutingConfig from './RoutingConfig.js';
import type * as ServerTable from './ServerTable.js';

/**
 * Delay in milliseconds before an order that failed for lack of stock is sent again. It doubles
 * with each failure.
 */
export const STOCK_RETRY_MS = 2_000;

/** Longest delay in milliseconds before an order that failed for lack of stock is sent again. */
export const MAX_STOCK_RETRY_MS = 8_000;

/** Boot time of a server in milliseconds where the configuration states none. */
const DEFAULT_BOOT_MS = 4_000;

/** Time in milliseconds after the boot time within which the entry of a server is read. */
const BOOT_MARGIN_MS = 2_000;

/** Kind of server of a service in a data centre, to which an order applies. */
export type OrderTarget = Pick<Ports.ServerOrder, 'dataCentre' | 'isReclaimable' | 'service'>;

/** Servers of one kind that have an entry. */
interface ListedServers {
  readonly ready: number;
  readonly leaving: number;
}

/** Servers of and demand for one service, from which its orders are planned. */
export interface OrderInput {
  readonly service: RoutingConfig.Service;
  readonly servers: readonly ServerTable.BackendServer[];
  /** Prompt tokens per second that callers request, over all daemons; determines the base plan. */
  readonly tokensPerSecond: number;
  /** Newest measured demand; undefined if it is not known. */
  readonly demand: Scheduling.MeasuredDemand | undefined;
}

/** What is known of the orders for one target. */
interface OrderRecord extends ListedServers {
  /** Count of the newest accepted order. */
  readonly acceptedCount: number | undefined;
  readonly acceptedMs: Core.Millis;
  /** Time of the newest accepted order with a larger count than the one before it. */
  readonly increasedMs: Core.Millis;
  /** Largest count of the orders since then whose outcome is not known. */
  readonly unconfirmedCount: number;
  /** Unsuccessful answers in a row that named a lack of stock. */
  readonly failures: number;
  readonly retryAtMs: Core.Millis;
  /** Count of the order that failed last for lack of stock; 0 if the last answer was another. */
  readonly failedCount: number;
  /** Time at which a ready server was last seen to be gone. */
  readonly lostMs: Core.Millis;
  readonly bootMs: Core.Millis;
}

const EMPTY_RECORD: OrderRecord = {
  acceptedCount: undefined,
  acceptedMs: -Infinity,
  bootMs: DEFAULT_BOOT_MS,
  failedCount: 0,
  failures: 0,
  increasedMs: -Infinity,
  leaving: 0,
  lostMs: -Infinity,
  ready: 0,
  retryAtMs: -Infinity,
  unconfirmedCount: 0,
};

/** Tracks the orders that were sent and their answers. */
export interface OrderTracker {
  /** Records the servers that have an entry; to be called before each plan. */
  readonly observeServers: (
    target: OrderTarget, listed: ListedServers, bootMs: Core.Millis, nowMs: Core.Millis,
  ) => void;
  /** Returns the servers of a target, with those that are starting by its accepted order. */
  readonly getServers: (target: OrderTarget, nowMs: Core.Millis) => Scheduling.KindServers;
  /** Returns the count that the platform last accepted; undefined before. */
  readonly getAcceptedCount: (target: OrderTarget) => number | undefined;
  /**
   * Selects the wanted orders that must be sent now: new, changed, or due to be sent again. An
   * accepted order whose servers are missing is sent again if `isShort` says so of its service.
   */
  readonly selectDue: (
    wanted: readonly Ports.ServerOrder[],
    nowMs: Core.Millis,
    isShort?: (service: string) => boolean,
  ) => readonly Ports.ServerOrder[];
  readonly recordAnswer: (
    order: Ports.ServerOrder, answer: Ports.DutyAnswer, nowMs: Core.Millis,
  ) => void;
}

function formatTarget({ dataCentre, isReclaimable, service }: OrderTarget): string {
  return `${service}/${dataCentre}/${isReclaimable ? 'reclaimable' : 'lasting'}`;
}

/** Checks whether the servers of an accepted order are late. */
function isLate({ acceptedMs, bootMs }: OrderRecord, nowMs: Core.Millis): boolean {
  return nowMs - acceptedMs >= bootMs + BOOT_MARGIN_MS;
}

/** Checks whether an accepted order must be sent again, because its servers are missing. */
function isRepeatDue(record: OrderRecord, count: number, nowMs: Core.Millis): boolean {
  // The platform may count leaving servers, so it would accept the order and start none.
  if (record.ready >= count || record.leaving > 0) return false;
  return record.lostMs > record.acceptedMs || isLate(record, nowMs);
}

/** Creates an empty tracker for one lease holder; a new holder sends every order again. */
export function createOrderTracker(): OrderTracker {
  const records = new Map<string, OrderRecord>();
  const getRecord = (target: OrderTarget): OrderRecord => (
    records.get(formatTarget(target)) ?? EMPTY_RECORD
  );
  const setRecord = (target: OrderTarget, change: Partial<OrderRecord>): void => {
    records.set(formatTarget(target), { ...getRecord(target), ...change });
  };
  return {
    getAcceptedCount: (target) => getRecord(target).acceptedCount,
    getServers: (target, nowMs) => {
      const record = getRecord(target);
      const { acceptedCount = 0, leaving, ready } = record;
      const isMissing = ready < acceptedCount;
      // A server that was lost since the order was accepted may have been one that it started.
      const isStarting = isMissing && !isLate(record, nowMs) && record.lostMs <= record.acceptedMs;
      return {
        canAsk: record.retryAtMs <= nowMs,
        hadNone: record.failures > 0,
        increasedMs: record.increasedMs,
        isOverdue: isMissing && !isStarting,
        leaving,
        ordered: Math.max(acceptedCount, record.unconfirmedCount),
        ready,
        starting: isStarting ? acceptedCount - ready : 0,
      };
    },
    observeServers: (target, listed, bootMs, nowMs) => {
      const { ready } = getRecord(target);
      setRecord(target, {
        ...listed,
        bootMs,
        ...listed.ready < ready ? { lostMs: nowMs } : {},
        // New servers show that there is stock again.
        ...listed.ready > ready ? { failures: 0, retryAtMs: -Infinity } : {},
      });
    },
    recordAnswer: (order, answer, nowMs) => {
      const {
        acceptedCount = 0, failures, increasedMs, ready, unconfirmedCount,
      } = getRecord(order);
      if (answer === 'accepted') {
        // An order for no more than what exists does not show whether there is stock.
        const hasStock = order.count > ready;
        setRecord(order, {
          acceptedCount: order.count,
          acceptedMs: nowMs,
          failedCount: 0,
          increasedMs: order.count > acceptedCount ? nowMs : increasedMs,
          unconfirmedCount: 0,
          ...hasStock ? { failures: 0, retryAtMs: -Infinity } : {},
        });
        return;
      }
      if (answer === 'unknown') {
        setRecord(order, {
          failedCount: 0,
          retryAtMs: nowMs + STOCK_RETRY_MS,
          unconfirmedCount: Math.max(unconfirmedCount, order.count),
        });
        return;
      }
      const delayMs = Math.min(MAX_STOCK_RETRY_MS, STOCK_RETRY_MS * 2 ** failures);
      setRecord(order, {
        failedCount: order.count,
        failures: failures + 1,
        retryAtMs: nowMs + delayMs,
        unconfirmedCount: 0,
      });
    },
    selectDue: (wanted, nowMs, isShort = () => false) => wanted.filter((order) => {
      const record = getRecord(order);
      if (record.acceptedCount === order.count) {
        return isShort(order.service) && record.retryAtMs <= nowMs
          && isRepeatDue(record, order.count, nowMs);
      }
      // An order for no more than what exists needs no stock.
      const isReduction = order.count <= record.ready && order.count < record.failedCount;
      return isReduction || record.retryAtMs <= nowMs;
    }),
  };
}

/** Servers, demand and plan of one service, as they are logged. */
export interface OrderDecision {
  readonly service: string;
  readonly plan: Scheduling.CapacityPlan;
  readonly servers: readonly Scheduling.DataCentreServers[];
  readonly orders: readonly Ports.ServerOrder[];
}

/** Describes a plan for the log; data centres without a replacement are listed as well. */
export function describeDecision(
  { plan, servers, service }: OrderDecision,
): Readonly<Record<string, unknown>> {
  const describeKind = (
    {
      hadNone, leaving, ready, starting,
    }: Scheduling.KindServers,
    count: number | undefined,
  ): Readonly<Record<string, unknown>> => ({
    count, hadNone, leaving, ready, starting,
  });
  return {
    dataCentres: Object.fromEntries(servers.map(({ dataCentre, lasting, reclaimable }) => {
      const planned = plan.planned.find((each) => each.dataCentre === dataCentre);
      return [dataCentre, {
        lasting: describeKind(lasting, planned?.lasting),
        reclaimable: describeKind(reclaimable, planned?.reclaimable),
      }];
    })),
    missingServers: plan.missingServers,
    neededServers: plan.neededServers,
    replacementServers: plan.replacementServers,
    service,
  };
}

/** Plans and tracks the orders of one lease holder. */
export interface OrderPlanner {
  /**
   * Plans the orders of all services and selects those that must be sent now, the most urgent one
   * first. Without `isDemandKnown`, no order is for fewer servers than there are.
   */
  readonly planDue: (
    inputs: readonly OrderInput[], nowMs: Core.Millis, isDemandKnown?: boolean,
  ) => readonly Ports.ServerOrder[];
  readonly recordAnswer: OrderTracker['recordAnswer'];
  /** Lists the newest plan of each service. */
  readonly listPlans: () => readonly OrderDecision[];
  /** Removes and returns the plans that changed since they were last taken. */
  readonly takeChanges: () => readonly OrderDecision[];
}

function countListed(
  servers: readonly ServerTable.BackendServer[],
  target: OrderTarget,
): ListedServers {
  const listed = servers.filter((server) => (
    server.service === target.service && server.dataCentre === target.dataCentre
    && server.isReclaimable === target.isReclaimable
  ));
  const ready = listed.filter(({ state }) => state === 'ready').length;
  return { leaving: listed.length - ready, ready };
}

/** Returns the smallest stated number of concurrent requests of a server; 0 if none states one. */
function findConcurrentRequests(
  servers: readonly ServerTable.BackendServer[],
  service: string,
): number {
  const slots = servers.filter((server) => server.service === service && server.slots > 0)
    .map((server) => server.slots);
  return slots.length === 0 ? 0 : Math.min(...slots);
}

/**
 * Checks whether an increase must wait for the reduction of the other kind, because both together
 * would exceed the maximum of the data centre.
 */
function mustWait(
  tracker: OrderTracker,
  order: Ports.ServerOrder,
  orders: readonly Ports.ServerOrder[],
  maxServers: number,
  nowMs: Core.Millis,
): boolean {
  const { ready } = tracker.getServers(order, nowMs);
  if (order.count <= (tracker.getAcceptedCount(order) ?? ready)) return false;
  const other = orders.find(({ dataCentre, isReclaimable }) => (
    dataCentre === order.dataCentre && isReclaimable !== order.isReclaimable
  ));
  if (other === undefined) return false;
  const { ordered, ready: otherReady } = tracker.getServers(other, nowMs);
  const standing = tracker.getAcceptedCount(other) === undefined
    ? Math.max(ordered, other.count, otherReady)
    : ordered;
  return standing + order.count > maxServers;
}

/** Creates the planner of one lease holder; a new holder plans from the list of servers alone. */
export function createOrderPlanner(): OrderPlanner {
  const tracker = createOrderTracker();
  const decisionsByService = new Map<string, OrderDecision>();
  const takenOrders = new Map<string, readonly Ports.ServerOrder[]>();
  const planService = (
    {
      demand, servers, service, tokensPerSecond,
    }: OrderInput,
    { maxServers, minServers, ...purchase }: RoutingConfig.PurchaseTerms,
    nowMs: Core.Millis,
  ): OrderDecision => {
    const observe = (dataCentre: string, isReclaimable: boolean): Scheduling.KindServers => {
      const target = { dataCentre, isReclaimable, service: service.name };
      const bootMs = purchase.bootMs ?? DEFAULT_BOOT_MS;
      tracker.observeServers(target, countListed(servers, target), bootMs, nowMs);
      return tracker.getServers(target, nowMs);
    };
    const dataCentres = [...purchase.prices].map(([dataCentre, price]) => ({
      dataCentre,
      lasting: observe(dataCentre, false),
      price,
      reclaimable: observe(dataCentre, true),
    }));
    const plan = Scheduling.planCapacity(
      decisionsByService.get(service.name)?.plan.state ?? Scheduling.INITIAL_CAPACITY_STATE,
      {
        baseTokensPerSecond: tokensPerSecond,
        concurrentRequests: findConcurrentRequests(servers, service.name),
        dataCentres,
        demand,
        maxServers,
        minServers,
      },
      nowMs,
    );
    const orders = plan.planned.flatMap(({ dataCentre, lasting, reclaimable }) => {
      const order = { dataCentre, service: service.name };
      return [
        { ...order, count: reclaimable, isReclaimable: true },
        { ...order, count: lasting, isReclaimable: false },
      ];
    });
    return {
      orders, plan, servers: dataCentres, service: service.name,
    };
  };
  /** Ranks orders: first those that make room, then reclaimable servers, then lasting ones. */
  const rankOrder = (order: Ports.ServerOrder, nowMs: Core.Millis): number => {
    if (order.count <= tracker.getServers(order, nowMs).ready) return 0;
    return order.isReclaimable ? 1 : 2;
  };
  return {
    listPlans: () => [...decisionsByService.values()],
    planDue: (inputs, nowMs, isDemandKnown = true) => {
      const due = inputs.flatMap((input) => {
        const { purchase } = input.service;
        if (purchase === undefined) return [];
        const decision = planService(input, purchase, nowMs);
        decisionsByService.set(decision.service, decision);
        const { orders, plan } = decision;
        return tracker.selectDue(orders, nowMs, () => plan.isShort)
          .filter((order) => !mustWait(tracker, order, orders, purchase.maxServers, nowMs))
          .filter((order) => (
            isDemandKnown || order.count >= tracker.getServers(order, nowMs).ready
          ));
      });
      return due.sort((a, b) => rankOrder(a, nowMs) - rankOrder(b, nowMs));
    },
    recordAnswer: tracker.recordAnswer,
    takeChanges: () => {
      const changed = [...decisionsByService.values()].filter(({ orders, service }) => (
        !util.isDeepStrictEqual(orders, takenOrders.get(service))
      ));
      changed.forEach(({ orders, service }) => takenOrders.set(service, orders));
      return changed;
    },
  };
}

/** Plans the orders of a service without earlier plans; none if its pool has a fixed size. */
export function planOrders(
  input: Omit<OrderInput, 'demand'>,
): readonly Ports.ServerOrder[] {
  const planner = createOrderPlanner();
  const demand = { requests: undefined, tokensPerSecond: input.tokensPerSecond };
  planner.planDue([{ ...input, demand }], 0);
  return planner.listPlans().flatMap(({ orders }) => orders);
}
