import * as FastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import * as Scheduling from '../../index.js';
import { checkProperty } from './checkProperty.js';

function buildView(
  serverId: string,
  fields: Partial<Scheduling.ServerView> = {},
): Scheduling.ServerView {
  return {
    adapters: [],
    dataCentre: 'dc0',
    kind: 'dear',
    models: ['m'],
    roundTripMs: 1,
    role: 'mixed',
    serverId,
    slots: 4,
    state: 'live',
    ...fields,
  };
}

function buildRequest(
  requestId: string,
  fields: Partial<Scheduling.ChoiceRequest> = {},
): Scheduling.ChoiceRequest {
  return {
    model: 'm', phase: 'whole', promptTokens: 100, requestId, ...fields,
  };
}

/** Creates a random source that repeats the given numbers. */
function createDraws(values: readonly number[]): () => number {
  let index = 0;
  return () => {
    index += 1;
    return values[index % values.length] ?? 0;
  };
}

const views = FastCheck.array(FastCheck.record({
  isEjected: FastCheck.boolean(),
  models: FastCheck.subarray(['m', 'n']),
  slots: FastCheck.integer({ max: 8, min: 1 }),
  state: FastCheck.constantFrom('live' as const, 'leaving' as const, 'loading' as const),
}), { maxLength: 8, minLength: 1 });

const EJECTED = {
  consecutiveFailures: 0, ejections: 1, status: 'ejected' as const, successes: 0, untilMs: 9,
};

type ChooserFactory = () => Scheduling.ServerChooser;

checkProperty<ChooserFactory>('server selection', {
  build: (implementation) => FastCheck.property(
    views,
    FastCheck.array(FastCheck.double({ max: 0.999, min: 0, noNaN: true }), { minLength: 1 }),
    (servers, draws) => {
      const chooser = implementation();
      const serverViews = servers.map(({ models, slots, state }, index) => (
        buildView(`s${index}`, { models, slots, state })
      ));
      chooser.setServers(serverViews, 0.5);
      chooser.setOutliers({
        memberCount: servers.length,
        servers: new Map(servers.flatMap(({ isEjected }, index) => (
          isEjected ? [[`s${index}`, EJECTED]] : []
        ))),
      });
      const random = createDraws(draws);
      const inFlight = new Map<string, number>();
      const usable = serverViews.filter(({ models, state }, index) => (
        models.includes('m') && state === 'live' && servers[index]?.isEjected === false
      ));
      const slotCount = usable.reduce((sum, { slots }) => sum + Math.ceil(slots / 2), 0);
      return Array.from({ length: 40 }, (_, index) => index).every((index) => {
        const request = buildRequest(`r${index}`, { prefix: { hash: index % 3, tokens: 50 } });
        return chooser.chooseServer(request, index, random).caseOf({
          Left: () => index >= slotCount,
          Right: (choice) => {
            chooser.recordDispatch(request, choice, index);
            const count = (inFlight.get(choice.serverId) ?? 0) + 1;
            inFlight.set(choice.serverId, count);
            const view = usable.find(({ serverId }) => serverId === choice.serverId);
            return view !== undefined && count <= Math.ceil(view.slots / 2);
          },
        });
      });
    },
  ),
  guardsAgainst: 'choosing an ejected or leaving server, one without the model, or too many slots',
  mutants: {
    'ejection is ignored': () => ({
      ...Scheduling.createServerChooser(), setOutliers: () => undefined,
    }),
    'leaving servers count as live': () => {
      const chooser = Scheduling.createServerChooser();
      return {
        ...chooser,
        setServers: (serverViews, share) => chooser.setServers(
          serverViews.map((view) => ({ ...view, state: 'live' as const })),
          share,
        ),
      };
    },
    'the slot share of the daemon is ignored': () => {
      const chooser = Scheduling.createServerChooser();
      return { ...chooser, setServers: (serverViews) => chooser.setServers(serverViews, 1) };
    },
  },
  implementation: () => Scheduling.createServerChooser(),
});

describe('ServerChooser', () => {
  it('keeps a prefix on one server until the load of that server exceeds the bound', () => {
    const chooser = Scheduling.createServerChooser();
    chooser.setServers(['s0', 's1', 's2', 's3'].map((id) => buildView(id, { slots: 8 })), 1);
    const random = createDraws([0.1, 0.4, 0.6, 0.9]);
    const chosen = Array.from({ length: 20 }, (_, index) => {
      const request = buildRequest(`r${index}`, {
        prefix: { hash: 7, tokens: 900 }, promptTokens: 1_000,
      });
      const choice = chooser.chooseServer(request, index, random).unsafeCoerce();
      chooser.recordDispatch(request, choice, index);
      return choice.serverId;
    });
    const first = chosen.filter((id) => id === chosen[0]).length;
    expect(chosen.slice(0, 3)).toEqual([chosen[0], chosen[0], chosen[0]]);
    // Requests that all share one prefix must not all go to the same server.
    expect(first).toBeLessThan(20);
    expect(new Set(chosen).size).toBeGreaterThan(1);
  });

  it('does not count its own requests twice when a late load report arrives', () => {
    const chooser = Scheduling.createServerChooser();
    chooser.setServers([buildView('s0', { slots: 8 })], 1);
    [0, 10, 20].forEach((nowMs) => {
      const request = buildRequest(`r${nowMs}`);
      const choice = chooser.chooseServer(request, nowMs, () => 0).unsafeCoerce();
      chooser.recordDispatch(request, choice, nowMs);
    });
    // At 15 ms two own requests were running, so three of the five reported are from other daemons.
    chooser.recordReport({ inFlight: 5, serverId: 's0', sampledMs: 15 });
    chooser.recordReport({ inFlight: 9, serverId: 's0', sampledMs: 5 });
    expect(chooser.listEstimates()).toMatchObject([{ othersInFlight: 3, ownInFlight: 3 }]);
  });

  it('avoids a server whose first token is overdue before the request fails', () => {
    const chooser = Scheduling.createServerChooser();
    chooser.setServers([buildView('s0'), buildView('s1')], 1);
    const random = createDraws([0.1, 0.6]);
    const first = buildRequest('r0');
    const choice = chooser.chooseServer(first, 0, random).unsafeCoerce();
    chooser.recordDispatch(first, choice, 0);
    const next = chooser.chooseServer(buildRequest('r1'), 5_000, random).unsafeCoerce();
    expect(next.serverId).not.toBe(choice.serverId);
  });
});

describe('CacheIndex', () => {
  it('halves hints from before an event gap and drops hints of a cleared cache', () => {
    const index = Scheduling.createCacheIndex();
    const stored = {
      _tag: 'Stored' as const, prefixHash: 1, sequence: 1, serverId: 's', tokens: 100,
    };
    index.recordEvent(stored, 0);
    expect(index.estimateCachedTokens('s', 1, 0)).toBe(100);
    index.recordEvent({ ...stored, prefixHash: 2, sequence: 5 }, 0);
    expect(index.estimateCachedTokens('s', 1, 0)).toBe(50);
    index.recordEvent({ _tag: 'Cleared', sequence: 6, serverId: 's' }, 0);
    expect(index.estimateCachedTokens('s', 1, 0)).toBe(0);
    // An event from before the `Cleared` event arrives late and must be ignored.
    index.recordEvent({ ...stored, sequence: 4 }, 0);
    expect(index.estimateCachedTokens('s', 1, 0)).toBe(0);
  });
});

describe('LengthEstimates', () => {
  it('falls back from account to class to prior, and follows a change in answer lengths', () => {
    const estimates = Scheduling.createLengthEstimates();
    expect(estimates.estimateLength('c', 'a').source).toBe('prior');
    Array.from({ length: 30 }, () => estimates.recordLength('c', 'a', 100));
    expect(estimates.estimateLength('c', 'b').source).toBe('class');
    expect(estimates.estimateLength('c', 'a').medianTokens).toBeGreaterThanOrEqual(100);
    expect(estimates.estimateLength('c', 'a').medianTokens).toBeLessThan(110);
    Array.from({ length: 2_000 }, () => estimates.recordLength('c', 'a', 1_000));
    expect(estimates.estimateLength('c', 'a').medianTokens).toBeGreaterThan(900);
    expect(estimates.estimateLength('c', 'a', 50).pessimisticTokens).toBe(50);
  });

  it('charges exactly the delivered tokens in total, regardless of the estimate', () => {
    FastCheck.assert(FastCheck.property(
      FastCheck.nat(500),
      FastCheck.array(FastCheck.nat(200)),
      (estimate, chunks) => {
        const start = { charge: Scheduling.createTokenCharge(estimate), total: estimate };
        const { charge, total } = chunks.reduce((state, tokens) => {
          const step = Scheduling.addDeliveredTokens(state.charge, tokens);
          return { charge: step.charge, total: state.total + step.deltaTokens };
        }, start);
        const closed = Scheduling.closeTokenCharge(charge);
        return total + closed.deltaTokens === chunks.reduce((sum, tokens) => sum + tokens, 0);
      },
    ), { seed: 1 });
  });
});
