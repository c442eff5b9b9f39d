import { describe, expect, test } from 'vitest';
import * as Scheduling from '../../index.js';

const TERMS: Scheduling.EngineTerms = { concurrentRequests: 32, memoryTokens: 544_821 };
const IDLE: Scheduling.EngineLoad = { heldTokens: 0, pendingPromptTokens: 0, requests: 0 };
const RATE: Scheduling.EngineRate = { baseMs: 50, placeMs: 800, tokensPerMs: 60 };
const LARGE: Scheduling.EngineDemand = { heldTokens: 17_139, uncachedTokens: 17_020 };

function buildEngine(
  load: Partial<Scheduling.EngineLoad> = {},
  slowdown = 1,
): Scheduling.EngineState {
  return { load: { ...IDLE, ...load }, slowdown, terms: TERMS };
}

describe('the predicted time to the first token', () => {
  test('a burst of large prompts: the tokens before a prompt delay it, its own are no wait', () => {
    const idle = Scheduling.predictFirstToken(buildEngine(), LARGE, RATE);
    expect(idle.ownMs).toBeCloseTo(50 + 17_020 / 60, 3);
    expect(idle.waitMs).toBe(0);
    const busy = Scheduling.predictFirstToken(
      buildEngine({ pendingPromptTokens: 34_040, requests: 2 }),
      LARGE,
      RATE,
    );
    expect(busy.ownMs).toBe(idle.ownMs);
    expect(busy.waitMs).toBeCloseTo(34_040 / 60 + 2 * 4, 3);
  });

  test('two in three servers slow: a slow server takes longer for the same tokens', () => {
    const load = { pendingPromptTokens: 6_000, requests: 1 };
    const [fast, slow] = [1, 2.4].map((slowdown) => (
      Scheduling.predictFirstToken(buildEngine(load, slowdown), LARGE, RATE)
    )) as [Scheduling.FirstTokenPrediction, Scheduling.FirstTokenPrediction];
    expect(slow.ownMs).toBeCloseTo(2.4 * fast.ownMs, 3);
    expect(slow.waitMs).toBeCloseTo(2.4 * fast.waitMs, 3);
    // What is observed there is compared with the nominal time, or its slowdown would count twice.
    expect(slow.nominalMs).toBeCloseTo(fast.ownMs + fast.waitMs, 3);
  });

  test('capacity halves: a request waits for a place where all are taken', () => {
    const wait = (requests: number): number => (
      Scheduling.predictFirstToken(buildEngine({ requests }), LARGE, RATE).waitMs - requests * 4
    );
    expect(wait(31)).toBe(0);
    expect(wait(32)).toBeCloseTo(800 / 32, 3);
    expect(wait(47)).toBeCloseTo((16 * 800) / 32, 3);
  });

  test('an engine crashes under more tokens than fit: it has no room for them', () => {
    const engine = buildEngine({ heldTokens: 530_000, requests: 31 });
    const { hasRoom, roomWaitMs } = Scheduling.predictFirstToken(engine, LARGE, RATE);
    expect(hasRoom).toBe(false);
    expect(roomWaitMs).toBeCloseTo(800 / 32, 3);
    const small = { heldTokens: 1_460, uncachedTokens: 1_460 };
    expect(Scheduling.predictFirstToken(engine, small, RATE)).toMatchObject({
      hasRoom: true, roomWaitMs: 0,
    });
  });

  test('a full queue: an engine has no room beyond twice its concurrent requests', () => {
    const rooms = [63, 64].map((requests) => (
      Scheduling.predictFirstToken(buildEngine({ requests }), LARGE, RATE).hasRoom
    ));
    expect(rooms).toEqual([true, false]);
  });

  test('a server that answered nothing sensible counts within the bounds of slowdowns', () => {
    const { ownMs } = Scheduling.predictFirstToken(buildEngine({}, 1e6), LARGE, RATE);
    expect(ownMs).toBeCloseTo(10 * (50 + 17_020 / 60), 3);
  });
});

describe('the learned rate of a service', () => {
  /** Observes first tokens of servers with the given rates in turn. */
  const learnRate = (
    ratesByServer: readonly number[],
    baseMs: number,
    count = 400,
  ): Scheduling.EngineRate => {
    const estimate = Scheduling.createEngineRateEstimate();
    Array.from({ length: count }, (_, index) => {
      const server = index % ratesByServer.length;
      const uncachedTokens = [1_460, 9_190, 17_020][index % 7 % 3] as number;
      const load = { ...IDLE, pendingPromptTokens: (index % 5) * 3_000, requests: index % 4 };
      return estimate.observeFirstToken({
        load,
        observedMs: baseMs + Scheduling.computeBatchDelay(load)
          + (uncachedTokens + load.pendingPromptTokens) / (ratesByServer[server] as number),
        server: `s${server}`,
        uncachedTokens,
      });
    });
    return estimate.getRate();
  };

  test('is the default without an observation', () => {
    expect(Scheduling.createEngineRateEstimate().getRate()).toEqual({
      baseMs: 90, placeMs: 800, tokensPerMs: 60,
    });
  });

  test.each([[61.8, 30], [157, 60], [20, 90]])('engines that read %d tokens per ms', (
    tokensPerMs,
    baseMs,
  ) => {
    const rate = learnRate([tokensPerMs], baseMs);
    expect(rate.tokensPerMs / tokensPerMs).toBeGreaterThan(0.8);
    expect(rate.tokensPerMs / tokensPerMs).toBeLessThan(1.25);
    expect(Math.abs(rate.baseMs - baseMs)).toBeLessThan(30);
  });

  test('two in three servers slow: the nominal rate is theirs, not a mean', () => {
    const { tokensPerMs } = learnRate([110, 267, 110], 50);
    expect(tokensPerMs).toBeGreaterThan(85);
    expect(tokensPerMs).toBeLessThan(140);
  });

  test('an overload that the sums do not show yet: queues don\'t pass for a slow rate', () => {
    const estimate = Scheduling.createEngineRateEstimate();
    Array.from({ length: 50 }, (_, index) => estimate.observeFirstToken({
      load: { ...IDLE, pendingPromptTokens: 20_000 },
      observedMs: 9_000,
      server: `s${index}`,
      uncachedTokens: 1_460,
    }));
    expect(estimate.getRate().tokensPerMs).toBe(60);
  });

  test('sums are stale in a burst: what the fleet sent since then counts as pending', () => {
    const estimate = Scheduling.createEngineRateEstimate();
    const fleet = { ageMs: 1_500, daemons: 60, engines: 20 };
    estimate.recordSend(15_000, 0);
    // 60 daemons that send 10 tokens per ms are 30 for each of 20 engines, which read 60.
    expect(estimate.predictGrowth(fleet, 0)).toBe(0);
    estimate.recordSend(30_000, 0);
    expect(estimate.predictGrowth(fleet, 0)).toBeCloseTo((90 - 60) * 1_500, 3);
    expect(estimate.predictGrowth(fleet, 3_000)).toBe(0);
  });

  test('one observation does not replace the default rate', () => {
    const estimate = Scheduling.createEngineRateEstimate();
    estimate.observeFirstToken({
      load: IDLE, observedMs: 4_000, server: 's', uncachedTokens: 10_000,
    });
    expect(estimate.getRate().tokensPerMs).toBe(60);
  });

  test('observations that are no numbers change nothing', () => {
    const estimate = Scheduling.createEngineRateEstimate();
    const before = estimate.getRate();
    estimate.observeFirstToken({
      load: IDLE, observedMs: NaN, server: 's', uncachedTokens: 10_000,
    });
    estimate.observePlace(NaN);
    expect(estimate.getRate()).toEqual(before);
  });

  test('the time in a place follows the answers', () => {
    const estimate = Scheduling.createEngineRateEstimate();
    Array.from({ length: 40 }, () => estimate.observePlace(300));
    expect(estimate.getRate().placeMs).toBeCloseTo(300, 0);
  });
});
