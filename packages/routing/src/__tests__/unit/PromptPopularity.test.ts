import * as Core from '@berylyoke/core';
import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const TOKENS_PER_MS = 60;

/** Engines for the next request for a part that each daemon asks for some times a second. */
function countEngines(perSecond: number, tokens: number, daemonCount: number): number {
  const popularity = Routing.createPromptPopularity();
  const count = Math.ceil(30 * perSecond);
  Array.from({ length: count }, (_, index) => (
    popularity.observe(1, tokens, ((index + 1) * 1_000) / perSecond)
  ));
  const nextMs = ((count + 1) * 1_000) / perSecond;
  return popularity.countEngines(1, daemonCount, TOKENS_PER_MS, nextMs);
}

/** Load pattern: one template of a chat, 40 requests a second from 64 daemons together. */
describe('a popular prompt part', () => {
  test('is shared by as many engines as can read it beside other work', () => {
    // 40 requests of 1,900 tokens are 76,000 tokens a second, a quarter of an engine 15,000.
    const engines = countEngines(40 / 64, 1_900, 64);
    expect(engines).toBeGreaterThanOrEqual(5);
    expect(engines).toBeLessThanOrEqual(8);
  });

  test('that hardly anybody asks for stays at one engine', () => {
    expect(countEngines(0.1 / 8, 17_000, 8)).toBe(1);
  });

  test('goes back to one engine when it is out of fashion', () => {
    const popularity = Routing.createPromptPopularity();
    Array.from({ length: 100 }, (_, index) => popularity.observe(1, 2_000, index * 100));
    expect(popularity.countEngines(1, 64, TOKENS_PER_MS, 10_000)).toBeGreaterThan(10);
    expect(popularity.countEngines(1, 64, TOKENS_PER_MS, 70_000)).toBe(1);
  });

  test('is forgotten beyond the bound of parts', () => {
    const popularity = Routing.createPromptPopularity();
    popularity.observe(1, 1e6, 0);
    Array.from({ length: 4_096 }, (_, index) => popularity.observe(index + 2, 1, 0));
    expect(popularity.countEngines(1, 64, TOKENS_PER_MS, 0)).toBe(1);
  });

  test('no engine gets more than its share from 64 daemons that choose alone', () => {
    const engines = Array.from({ length: 25 }, (_, index) => `e${index}`);
    const prompt: Routing.Prompt = {
      inputTokens: 2_368,
      maxOutputTokens: 20,
      parts: [{ id: 'template', tokens: 568 }, { id: 'own', tokens: 1_800 }],
    };
    const part = Core.hashText('template');
    const counts = new Map<string, number>();
    let randoms = 0;
    Array.from({ length: 64 }, (_, daemon) => {
      const popularity = Routing.createPromptPopularity();
      return Array.from({ length: 30 }, (__, index) => {
        const nowMs = index * 1_600;
        const pick = Routing.pickServer(engines.map((id) => ({
          cachedTokens: 0,
          dataCentre: 'a',
          delayMs: 0,
          failureShare: 0.02,
          id,
          inFlight: 0,
          isFull: false,
          isSuspect: false,
          slowdown: 1,
          waitingTokens: 0,
        })), prompt, 0, {
          daemonCount: 64,
          dataCentre: 'a',
          preferredCount: popularity.countEngines(part, 64, TOKENS_PER_MS, nowMs),
          random: () => {
            randoms += 1;
            return (Core.hashText(`${daemon} ${randoms}`) % 1_000) / 1_000;
          },
        });
        popularity.observe(part, 1_914, nowMs);
        if (index >= 10) counts.set(pick?.id ?? '', (counts.get(pick?.id ?? '') ?? 0) + 1);
        return pick;
      });
    });
    const total = [...counts.values()].reduce((sum, each) => sum + each, 0);
    expect(Math.max(...counts.values()) / total).toBeLessThan(0.4);
  });
});
