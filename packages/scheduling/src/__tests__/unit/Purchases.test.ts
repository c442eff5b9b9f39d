import * as FastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import * as Scheduling from '../../index.js';
import { checkCase } from './checkCase.js';

const CENTRES = ['dc0', 'dc1', 'dc2', 'dc3'];

function buildOffers(cheapStock: number): readonly Scheduling.Offer[] {
  return CENTRES.flatMap((dataCentre) => [
    {
      dataCentre, kind: 'cheap' as const, maxServers: cheapStock, priceCents: 30,
    },
    {
      dataCentre, kind: 'dear' as const, maxServers: 40, priceCents: 100,
    },
  ]);
}

function buildDemand(total: number, mustHold: number): Scheduling.Demand {
  return {
    model: 'm',
    mustHoldTokensPerSecond: mustHold * 100,
    serverTokensPerSecond: 125,
    tokensPerSecond: total * 100,
  };
}

const stands = FastCheck.tuple(...CENTRES.flatMap((dataCentre) => (
  (['cheap', 'dear'] as const).map((kind) => FastCheck.record({
    dataCentre: FastCheck.constant(dataCentre),
    kind: FastCheck.constant(kind),
    servers: FastCheck.nat(6),
    starting: FastCheck.nat(3),
  }))
)));

type PlanRule = typeof Scheduling.planPurchases;

checkCase<PlanRule>('stops and starts', {
  build: (rule) => FastCheck.property(
    stands,
    FastCheck.integer({ max: 15, min: 1 }),
    FastCheck.integer({ max: 15, min: 1 }),
    (current, a, b) => {
      const demand = buildDemand(Math.max(a, b), Math.min(a, b));
      const { orders } = rule(
        { surplusSinceMs: 0 },
        demand,
        buildOffers(8),
        current,
        400_000,
      );
      const apply = (tag: 'Start' | 'Stop', sign: number) => current.map((stand) => ({
        ...stand,
        servers: stand.servers + sign * orders
          .filter(({ _tag, dataCentre, kind }) => (
            _tag === tag && dataCentre === stand.dataCentre && kind === stand.kind
          ))
          .reduce((sum, { count }) => sum + count, 0),
      }));
      const isEnough = (list: readonly Scheduling.Stand[]): boolean => (
        list.reduce((sum, { servers }) => sum + servers, 0) >= Math.max(a, b)
        && Scheduling.findWorstLoss(list).servers >= Math.min(a, b)
      );
      const started = apply('Start', 1)
        .map((stand) => ({ ...stand, servers: stand.servers + stand.starting }));
      const hasStops = orders.some(({ _tag }) => _tag === 'Stop');
      return isEnough(started) && (!hasStops || isEnough(apply('Stop', -1)));
    },
  ),
  guardsAgainst: 'a stop before its replacement runs, and a start that leaves too little',
  mutants: {
    'starting servers count as running': (state, demand, offers, current, ...rest) => (
      Scheduling.planPurchases(state, demand, offers, current.map((stand) => ({
        ...stand, servers: stand.servers + stand.starting, starting: 0,
      })), ...rest)
    ),
    'the loss is not considered': (state, demand, ...rest) => (
      Scheduling.planPurchases(state, { ...demand, mustHoldTokensPerSecond: 0 }, ...rest)
    ),
  },
  rule: Scheduling.planPurchases,
});

describe('Purchases', () => {
  it('prefers cheap servers spread over data centres, with enough left after a loss', () => {
    const mix = Scheduling.planMix(buildOffers(8), { afterLoss: 6, total: 8 });
    // Eight cheap servers, two in each of four data centres: six remain after any loss.
    expect(mix).toMatchObject({ costCents: 240, missingAfterLoss: 0, missingServers: 0 });
    expect(mix.stands.filter(({ kind }) => kind === 'cheap').map(({ servers }) => servers))
      .toEqual([2, 2, 2, 2]);
  });

  it('stops only after the surplus has lasted, and not for a small saving', () => {
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

  it('says what is missing when there is no stock', () => {
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

  it('forecasts a steady rise for the time at which a server is ready', () => {
    const forecast = Array.from({ length: 600 }, (_, second) => second)
      .reduce((state, second) => (
        Scheduling.observeDemand(state, 100 + second, second * 1_000)
      ), Scheduling.initialDemandForecast);
    const expected = Scheduling.estimateDemand(forecast, 60_000);
    expect(expected).toBeGreaterThan(740);
    expect(expected).toBeLessThan(780);
  });

  it('orders loads by demand within the rate of the weight store', () => {
    const wanted = [1, 3, 2].map((demand) => ({
      demandTokensPerSecond: demand, model: 'm', serverId: `s${demand}`,
    }));
    const plan = Scheduling.planLoads({ credit: 0, updatedMs: 0 }, wanted, 4, 30_000);
    expect(plan.orders.map(({ serverId }) => serverId)).toEqual(['s3', 's2']);
    expect(plan.waiting.map(({ serverId }) => serverId)).toEqual(['s1']);
    expect(plan.budget.credit).toBe(0);
  });
});
