import { describe, expect, test } from 'vitest';
import * as Scheduling from '../../index.js';

const NO_SERVERS: Scheduling.KindServers = {
  canAsk: true,
  hadNone: false,
  increasedMs: -Infinity,
  isOverdue: false,
  leaving: 0,
  ordered: 0,
  ready: 0,
  starting: 0,
};

function createInput(
  tokensPerSecond: number | undefined,
  readyReclaimable = 5,
): Scheduling.CapacityInput {
  return {
    baseTokensPerSecond: 0,
    concurrentRequests: 10,
    dataCentres: ['a', 'b'].map((dataCentre, index) => ({
      dataCentre,
      lasting: { ...NO_SERVERS, ordered: 1 - index, ready: 1 - index },
      price: 1 + index,
      reclaimable: {
        ...NO_SERVERS,
        hadNone: index === 1 && readyReclaimable === 0,
        ready: index === 0 ? 5 : readyReclaimable,
      },
    })),
    demand: tokensPerSecond === undefined ? undefined : { requests: undefined, tokensPerSecond },
    maxServers: 8,
    minServers: 1,
  };
}

describe('servers that the demand needs', () => {
  // Guards against a need without the requests that engines hold for long.
  test('are the larger of those for the prompt tokens and those for the requests', () => {
    expect(Scheduling.computeNeededServers({ requests: 0, tokensPerSecond: 50_000 }, 10)).toBe(3);
    expect(Scheduling.computeNeededServers({ requests: 36, tokensPerSecond: 50_000 }, 10)).toBe(6);
  });

  test('are those for the prompt tokens where requests or their limit are not known', () => {
    const tokensPerSecond = 50_000;
    expect(Scheduling.computeNeededServers({ requests: undefined, tokensPerSecond }, 10)).toBe(3);
    expect(Scheduling.computeNeededServers({ requests: 1_000, tokensPerSecond }, 0)).toBe(3);
  });

  // Guards against orders that follow each pause of a load in bursts.
  test('rise at once with a burst, and fall 10 s after it', () => {
    const plan = (state: Scheduling.CapacityState, servers: number, nowMs: number) => (
      Scheduling.planCapacity(state, createInput(servers * 24_000), nowMs)
    );
    const idle = plan(Scheduling.INITIAL_CAPACITY_STATE, 1, 0);
    const burst = plan(idle.state, 9, 300);
    const pause = plan(burst.state, 2, 10_200);
    const end = plan(pause.state, 2, 10_300);
    expect([idle, burst, pause, end].map(({ neededServers }) => neededServers))
      .toEqual([1, 9, 9, 2]);
  });

  // Guards against a replacement that is given up when counts are missing for a moment.
  test('are those of the last known demand for 10 s, and are not known afterwards', () => {
    const known = Scheduling.planCapacity(
      Scheduling.INITIAL_CAPACITY_STATE,
      createInput(9 * 24_000, 0),
      0,
    );
    const missing = Scheduling.planCapacity(known.state, createInput(undefined, 0), 9_900);
    const unknown = Scheduling.planCapacity(missing.state, createInput(undefined, 0), 10_000);
    expect([known, missing, unknown].map(({ neededServers }) => neededServers))
      .toEqual([9, 9, undefined]);
    expect(known.replacementServers).toBe(3);
    expect(missing.replacementServers).toBe(3);
  });
});
