import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const CONTEXT: Routing.PickContext = { daemonCount: 8, dataCentre: 'a', random: () => 0.5 };

function createCandidate(id: string, extra: Partial<Routing.Candidate> = {}): Routing.Candidate {
  return {
    cachedTokens: 0,
    dataCentre: 'a',
    delayMs: 0,
    failureRate: 0.02,
    id,
    inFlight: 0,
    isAtCapacity: false,
    isSuspect: false,
    slowdown: 1,
    pendingPromptTokens: 0,
    ...extra,
  };
}

function createPrompt(shared: string): Routing.Prompt {
  return {
    inputTokens: 17_020,
    maxOutputTokens: 120,
    parts: [{ id: shared, tokens: 13_300 }, { id: `${shared}-own`, tokens: 3_720 }],
  };
}

const SERVERS = Array.from({ length: 12 }, (_, index) => createCandidate(`s${index}`));

describe('picking of a server', () => {
  test('requests that share a long prefix concentrate on one server while it keeps up', () => {
    const ids = ['x', 'y', 'z'].map((shared) => new Set(Array.from({ length: 20 }, () => (
      Routing.pickServer(SERVERS, createPrompt(shared), 20, { ...CONTEXT, random: Math.random })?.id
    ))));
    ids.forEach((chosen) => expect(chosen.size).toBe(1));
  });

  test('a popular prompt spreads once its server has a backlog of prefill', () => {
    const first = Routing.pickServer(SERVERS, createPrompt('hot'), 20, CONTEXT)?.id;
    const loaded = SERVERS.map((server) => (
      server.id === first ? { ...server, inFlight: 30, pendingPromptTokens: 60_000 } : server
    ));
    expect(Routing.pickServer(loaded, createPrompt('hot'), 20, CONTEXT)?.id).not.toBe(first);
  });

  test('a queue caused by other daemons is avoided because of its observed delay', () => {
    const first = Routing.pickServer(SERVERS, createPrompt('x'), 20, CONTEXT)?.id;
    const delayed = SERVERS.map((server) => (
      server.id === first ? { ...server, delayMs: 2_000 } : server
    ));
    expect(Routing.pickServer(delayed, createPrompt('x'), 20, CONTEXT)?.id).not.toBe(first);
  });

  test('a burst of long prompts is not sent to the servers of short prompts', () => {
    const reserved = Routing.selectReservedServers(SERVERS.map(({ id }) => id));
    expect(reserved.size).toBe(3);
    const quick: Routing.Prompt = {
      inputTokens: 1_460, maxOutputTokens: 170, parts: [{ id: 'q', tokens: 350 }],
    };
    Array.from({ length: 50 }, (_, index) => {
      const long = Routing.pickServer(SERVERS, createPrompt(`long-${index}`), 20, CONTEXT);
      expect(reserved.has(long?.id ?? '')).toBe(false);
      const short = Routing.pickServer(SERVERS, quick, 20, { ...CONTEXT, random: Math.random });
      return expect(reserved.has(short?.id ?? '')).toBe(true);
    });
  });

  test('a burst of short prompts spreads to unreserved servers as well', () => {
    const reserved = Routing.selectReservedServers(SERVERS.map(({ id }) => id));
    const loaded = SERVERS.map((server) => (
      reserved.has(server.id) ? { ...server, delayMs: 400 } : server
    ));
    const quick = { inputTokens: 1_460, maxOutputTokens: 170, parts: [] };
    const chosen = Routing.pickServer(loaded, quick, 20, CONTEXT);
    expect(reserved.has(chosen?.id ?? '')).toBe(false);
  });

  test('a small pool reserves no server', () => {
    expect(Routing.selectReservedServers(['a', 'b', 'c']).size).toBe(0);
  });

  test('a server that fails some of its requests is avoided while others have little load', () => {
    const failing = createCandidate('grey', { failureRate: 0.4 });
    const busy = createCandidate('busy', { inFlight: 3 });
    expect(Routing.pickServer([failing, busy], undefined, 20, CONTEXT)?.id).toBe('busy');
  });

  test('suspects are picked only if no other server is left', () => {
    const suspect = createCandidate('suspect', { isSuspect: true });
    const slow = createCandidate('slow', { inFlight: 5, slowdown: 9 });
    expect(Routing.pickServer([suspect, slow], undefined, 20, CONTEXT)?.id).toBe('slow');
    expect(Routing.pickServer([suspect], undefined, 20, CONTEXT)?.id).toBe('suspect');
    expect(Routing.pickServer([], undefined, 20, CONTEXT)).toBeUndefined();
  });
});

describe('failure rate', () => {
  test('several failures count clearly more than one, and decay with time', () => {
    const observe = (outcomes: boolean[]): Routing.FailureRate => outcomes.reduce(
      (share, isFailure, index) => Routing.observeOutcome(share, isFailure, index * 100),
      Routing.INITIAL_FAILURE_RATE,
    );
    const one = Routing.estimateFailureRate(observe([false, false, true, false, false]), 500);
    const several = Routing.estimateFailureRate(observe([true, false, true, false, true]), 500);
    expect(one).toBeLessThan(0.2);
    expect(several).toBeGreaterThan(0.35);
    expect(Routing.estimateFailureRate(observe([true, false, true, false, true]), 60_000))
      .toBeLessThan(0.05);
  });
});
