import * as FastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import * as Scheduling from '../../index.js';
import { checkProperty } from './checkProperty.js';

const DATA_CENTRES = ['dc0', 'dc1', 'dc2', 'dc3'];

function buildOffers(cheapStock: number): readonly Scheduling.Offer[] {
  return DATA_CENTRES.flatMap((dataCentre) => [
    {
      dataCentre, kind: 'cheap' as const, maxServers: cheapStock, priceCents: 30,
    },
    {
      dataCentre, kind: 'dear' as const, maxServers: 40, priceCents: 100,
    },
  ]);
}

function buildDemand(total: number, mustHold: number): Scheduling.ModelDemand {
  return {
    model: 'm',
    mustHoldTokensPerSecond: mustHold * 100,
    serverTokensPerSecond: 125,
    tokensPerSecond: total * 100,
  };
}

const allocationLists = FastCheck.tuple(...DATA_CENTRES.flatMap((dataCentre) => (
  (['cheap', 'dear'] as const).map((kind) => FastCheck.record({
    dataCentre: FastCheck.constant(dataCentre),
    kind: FastCheck.constant(kind),
    servers: FastCheck.nat(6),
    starting: FastCheck.nat(3),
  }))
)));

type PurchasePlanner = typeof Scheduling.planPurchases;

checkProperty<PurchasePlanner>('purchase orders', {
  build: (implementation) => FastCheck.property(
    allocationLists,
    FastCheck.integer({ max: 15, min: 1 }),
    FastCheck.integer({ max: 15, min: 1 }),
    (current, a, b) => {
      const demand = buildDemand(Math.max(a, b), Math.min(a, b));
      const { orders } = implementation(
        { surplusSinceMs: 0 },
        demand,
        buildOffers(8),
        current,
        400_000,
      );
      const applyOrders = (
        tag: 'Start' | 'Stop',
        direction: number,
      ) => current.map((allocation) => ({
        ...allocation,
        servers: allocation.servers + direction * orders
          .filter(({ _tag, dataCentre, kind }) => (
            _tag === tag && dataCentre === allocation.dataCentre && kind === allocation.kind
          ))
          .reduce((sum, { count }) => sum + count, 0),
      }));
      const isEnough = (list: readonly Scheduling.ServerAllocation[]): boolean => (
        list.reduce((sum, { servers }) => sum + servers, 0) >= Math.max(a, b)
        && Scheduling.findWorstLoss(list).servers >= Math.min(a, b)
      );
      const started = applyOrders('Start', 1)
        .map((allocation) => ({
          ...allocation, servers: allocation.servers + allocation.starting,
        }));
      const hasStops = orders.some(({ _tag }) => _tag === 'Stop');
      return isEnough(started) && (!hasStops || isEnough(applyOrders('Stop', -1)));
    },
  ),
  guardsAgainst: 'stopping a server before its replacement runs, and starting too few servers',
  mutants: {
    'starting servers count as running': (state, demand, offers, current, ...rest) => (
      Scheduling.planPurchases(state, demand, offers, current.map((allocation) => ({
        ...allocation, servers: allocation.servers + allocation.starting, starting: 0,
      })), ...rest)
    ),
    'the loss of a data centre is ignored': (state, demand, ...rest) => (
      Scheduling.planPurchases(state, { ...demand, mustHoldTokensPerSecond: 0 }, ...rest)
    ),
  },
  implementation: Scheduling.planPurchases,
});

describe('Purchases', () => {
  it('spreads cheap servers so that enough remain after the loss of a data centre', () => {
    const mix = Scheduling.planMix(buildOffers(8), { afterLoss: 6, total: 8 });
    // Two cheap servers in each of four data centres: six of eight remain after any loss.
    expect(mix).toMatchObject({ costCents: 240, missingAfterLoss: 0, missingServers: 0 });
    expect(mix.allocations.filter(({ kind }) => kind === 'cheap').map(({ servers }) => servers))
      .toEqual([2, 2, 2, 2]);
  });

  it('stops servers only after the surplus has lasted, at most a quarter at a time', () => {
    const current = buildOffers(8).map(({ dataCentre, kind }) => ({
      dataCentre, kind, servers: kind === 'cheap' ? 4 : 0, starting: 0,
    }));
    const demand = buildDemand(8, 6);
    const first = Scheduling.planPurchases(
      Scheduling.initialPurchaseState,
      demand,
      buildOffers(8),
      current,
      0,
    );
    expect(first).toMatchObject({ orders: [], reason: { _tag: 'Hold', surplusServers: 8 } });
    const later = Scheduling.planPurchases(first.state, demand, buildOffers(8), current, 300_000);
    expect(later.orders.every(({ _tag }) => _tag === 'Stop')).toBe(true);
    expect(later.orders.reduce((sum, { count }) => sum + count, 0)).toBe(4);
  });

  it('reports the missing servers and the reason when there is no stock', () => {
    const offers = buildOffers(0).map((offer) => ({ ...offer, maxServers: 0 }));
    const plan = Scheduling.planPurchases(
      Scheduling.initialPurchaseState,
      buildDemand(3, 2),
      offers,
      [],
      0,
    );
    expect(plan).toMatchObject({
      mix: { missingAfterLoss: 2, missingServers: 3 }, reason: { _tag: 'OutOfStock' },
    });
  });

  it('extrapolates a steady rise in demand over the start time of a server', () => {
    const forecast = Array.from({ length: 600 }, (_, second) => second)
      .reduce((state, second) => (
        Scheduling.observeDemand(state, 100 + second, second * 1_000)
      ), Scheduling.initialDemandForecast);
    const expected = Scheduling.estimateDemand(forecast, 60_000);
    expect(expected).toBeGreaterThan(740);
    expect(expected).toBeLessThan(780);
  });

  it('orders model loads by demand within the rate limit of the weight store', () => {
    const wanted = [1, 3, 2].map((demand) => ({
      demandTokensPerSecond: demand, model: 'm', serverId: `s${demand}`,
    }));
    const plan = Scheduling.planModelLoads({ credit: 0, updatedMs: 0 }, wanted, 4, 30_000);
    expect(plan.orders.map(({ serverId }) => serverId)).toEqual(['s3', 's2']);
    expect(plan.waiting.map(({ serverId }) => serverId)).toEqual(['s1']);
    expect(plan.budget.credit).toBe(0);
  });
});
