import * as Scheduling from '@berylyoke/scheduling';
import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const RATE: Scheduling.EngineRate = { baseMs: 50, placeMs: 500, tokensPerMs: 60 };
const TERMS: Routing.EngineTerms = { concurrentRequests: 12, memoryTokens: 829_755 };

function createContext(seed = 1): Routing.PickContext {
  let state = seed;
  return {
    daemonCount: 76,
    dataCentre: 'a',
    random: () => {
      state = (state * 16_807) % 2_147_483_647;
      return state / 2_147_483_647;
    },
  };
}

function createEngine(id: string, {
  load = {}, slowdown = 1, ...extra
}: {
  readonly load?: Partial<Routing.LoadAmounts>;
  readonly slowdown?: number;
  readonly isSuspect?: boolean;
  readonly cachedTokens?: number;
} = {}): Routing.EngineCandidate {
  return {
    cachedTokens: 0,
    dataCentre: 'a',
    delayMs: 0,
    engine: {
      load: {
        ageMs: 0, heldTokens: 0, pendingPromptTokens: 0, requests: 0, ...load,
      },
      slowdown,
      terms: TERMS,
    },
    failureRate: 0.02,
    id,
    inFlight: 0,
    isAtCapacity: false,
    isSuspect: false,
    pendingPromptTokens: 0,
    slowdown: 1,
    ...extra,
  };
}

const PLAIN: Routing.Prompt = { inputTokens: 9_190, maxOutputTokens: 60, parts: [] };

function countPicks(
  engines: readonly Routing.EngineCandidate[],
  count: number,
  prompt = PLAIN,
): ReadonlyMap<string, number> {
  const context = createContext(7);
  const picks = new Map<string, number>();
  Array.from({ length: count }, () => {
    const { id = '' } = Routing.pickEngine(engines, prompt, RATE, context) ?? {};
    return picks.set(id, (picks.get(id) ?? 0) + 1);
  });
  return picks;
}

describe('picking of an engine by the load of the fleet', () => {
  test('sums are the same for all daemons: the least loaded engine does not get everything', () => {
    const engines = Array.from({ length: 40 }, (_, index) => createEngine(`s${index}`, {
      load: { pendingPromptTokens: index === 17 ? 0 : 12_000, requests: 2 },
    }));
    const picks = countPicks(engines, 1_000);
    const most = Math.max(...picks.values());
    // A fair share is 25, and of the unreserved engines 33.
    expect(most).toBeLessThan(6 * 25);
    expect(picks.size).toBeGreaterThan(20);
  });

  test('two in three servers slow: the fast ones get more than their share', () => {
    const engines = Array.from({ length: 30 }, (_, index) => (
      createEngine(`s${index}`, { slowdown: index % 3 === 0 ? 0.41 : 1 })
    ));
    const fast = [...countPicks(engines, 1_000)]
      .filter(([id]) => Number(id.slice(1)) % 3 === 0)
      .reduce((sum, [, count]) => sum + count, 0);
    // They have 0.55 of the capacity. A share far above it would overload them with stale sums.
    expect(fast).toBeGreaterThan(450);
    expect(fast).toBeLessThan(650);
  });

  test('an engine without room for the tokens of a request is not picked', () => {
    const engines = [
      createEngine('full', { load: { heldTokens: 825_000, requests: 2 } }),
      createEngine('queue', { load: { requests: 24 } }),
      createEngine('busy', { load: { pendingPromptTokens: 90_000, requests: 20 } }),
    ];
    expect([...countPicks(engines, 50).keys()]).toEqual(['busy']);
  });

  test('no engine has room: the pick says so', () => {
    const engines = [createEngine('a', { load: { requests: 24 } })];
    const pick = Routing.pickEngine(engines, PLAIN, RATE, createContext());
    expect(pick?.engine.prediction.hasRoom).toBe(false);
    expect(Routing.pickEngine([], PLAIN, RATE, createContext())).toBeUndefined();
  });

  test('a suspect engine is not picked because it is idle', () => {
    const engines = [
      createEngine('suspect', { isSuspect: true }),
      createEngine('busy', { load: { pendingPromptTokens: 30_000, requests: 9 } }),
    ];
    expect([...countPicks(engines, 50).keys()]).toEqual(['busy']);
  });

  test('an engine with the shared prefix is among those compared', () => {
    const engines = Array.from({ length: 60 }, (_, index) => (
      createEngine(`s${index}`, { cachedTokens: index === 9 ? 13_300 : 0 })
    ));
    const prompt: Routing.Prompt = {
      inputTokens: 17_020,
      maxOutputTokens: 120,
      parts: [{ id: 'x', tokens: 13_300 }, { id: 'x-own', tokens: 3_720 }],
    };
    const reserved = Routing.selectReservedServers(engines.map(({ id }) => id));
    expect(reserved.has('s9')).toBe(false);
    expect([...countPicks(engines, 50, prompt).keys()]).toEqual(['s9']);
    const pick = Routing.pickEngine(engines, prompt, RATE, createContext());
    expect(pick).toMatchObject({ cachedTokens: 13_300, engine: { uncachedTokens: 3_720 } });
  });

  test('the predicted wait leaves out the penalty of a misplaced prompt', () => {
    const engines = Array.from({ length: 8 }, (_, index) => createEngine(`s${index}`, {
      load: { pendingPromptTokens: 6_000, requests: 1 },
    }));
    const pick = Routing.pickEngine(engines, PLAIN, RATE, createContext());
    expect(pick?.engine.prediction.waitMs).toBeCloseTo(104, 3);
  });
});
