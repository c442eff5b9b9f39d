import { describe, expect, test } from 'vitest';
import * as PathHarness from '../support/PathHarness.js';
import * as Routing from '../../index.js';

const { createRoute } = PathHarness;

describe('matching of routes', () => {
  const table = Routing.buildRouteTable([
    createRoute({ name: 'short' }), createRoute({ name: 'long', pathPrefix: '/a/b/' }),
  ]);

  test('the longest prefix wins; host case, port and query are ignored', () => {
    expect(Routing.findRoute(table, 'Shop.example:80', '/a/b/c?x=/a/')?.name).toBe('long');
    expect(Routing.findRoute(table, 'shop.example', '/a/c')?.name).toBe('short');
  });

  test('another host or a path that only resembles the prefix has no route', () => {
    expect(Routing.findRoute(table, 'other.example', '/a/c')).toBeUndefined();
    expect(Routing.findRoute(table, 'shop.example', '/ab')).toBeUndefined();
  });

  test('a traffic split follows the weights and is stable for a request id', () => {
    const route = createRoute({
      shares: [{ service: 'old', weight: 90 }, { service: 'new', weight: 10 }],
    });
    const chosen = Array.from({ length: 2_000 }, (_, id) => (
      Routing.chooseService(route, `request-${id}`)
    ));
    expect(chosen.filter((name) => name === 'new').length).toBeGreaterThan(100);
    expect(chosen.filter((name) => name === 'new').length).toBeLessThan(300);
    expect(Routing.chooseService(route, 'request-1')).toBe(chosen[1]);
    const moved = createRoute({
      shares: [{ service: 'old', weight: 0 }, { service: 'new', weight: 10 }],
    });
    expect(Routing.chooseService(moved, 'request-1')).toBe('new');
  });
});

describe('retry policy', () => {
  const createState = (
    route: Routing.Route,
    extra: Partial<Routing.AttemptState> = {},
  ): Routing.AttemptState => ({
    canContinue: true,
    isHeadSent: false,
    remainingMs: 1_000,
    mayHaveRun: false,
    undelivered: 0,
    route,
    sends: 1,
    ...extra,
  });
  const choose = (
    kind: Routing.FailureKind,
    state: Routing.AttemptState,
    hasBudget = true,
  ): Routing.NextStep => Routing.chooseNextStep(kind, state, () => hasBudget);

  test('a request that may run only once is never retried after it may have run', () => {
    const state = createState(createRoute(), { mayHaveRun: true });
    expect(choose('broken', state)).toEqual({ _tag: 'Refuse', code: 'outcome_unknown' });
    expect(choose('failed', state)._tag).toBe('Refuse');
  });

  test('a refusal says "not run" only if no attempt may have run the request', () => {
    const route = createRoute({ maxAttempts: 1 });
    expect(choose('not-run', createState(route))).toEqual({ _tag: 'Refuse', code: 'not_run' });
    expect(choose('not-run', createState(route, { mayHaveRun: true })))
      .toEqual({ _tag: 'Refuse', code: 'outcome_unknown' });
  });

  test('a request that did not run is retried within the attempt limit of its route', () => {
    expect(choose('not-run', createState(createRoute()))._tag).toBe('Retry');
    expect(choose('not-run', createState(createRoute(), { sends: 2 }))._tag).toBe('Refuse');
  });

  test('a retry needs the shared retry budget, except after an attempt that was not sent', () => {
    const route = createRoute({ kind: 'repeatable' });
    expect(choose('broken', createState(route), false)._tag).toBe('Refuse');
    expect(choose('not-sent', createState(route), false)._tag).toBe('Retry');
  });

  test('a broken stream is retried if its route is resumable, and aborted otherwise', () => {
    const plain = createRoute({ kind: 'stream' });
    const resumable = createRoute({ isResumable: true, kind: 'stream' });
    const broken = { isHeadSent: true, mayHaveRun: true };
    expect(choose('broken', createState(plain, broken))).toEqual({ _tag: 'Cut' });
    expect(choose('broken', createState(resumable, broken))._tag).toBe('Retry');
  });
});

describe('framing of stream events', () => {
  const push = (text: string[]): string[] => {
    const framer = Routing.createEventFramer(1_000);
    return text.flatMap((part) => (
      framer.push(Buffer.from(part)).events
        .map(({ bytes, id }) => `${id}:${bytes.toString().length}`)
    ));
  };

  test('a partial event is held back until it is complete', () => {
    expect(push(['id: 1\ndata: a\n', '\nid: 2\nda'])).toEqual(['1:15']);
    expect(push(['id: 1\r\ndata: a\r\n\r', '\n'])).toEqual(['1:18']);
  });

  test('events without an id are returned as well', () => {
    expect(push(['data: a\n\n: note\n\n'])).toEqual(['undefined:9', 'undefined:8']);
  });
});

describe('request headers', () => {
  const names = { ...PathHarness.HEADER_NAMES, systemOnly: ['x-hold'] };

  test('the key, system headers and hop-by-hop headers are not forwarded', () => {
    expect(Routing.selectRequestHeaders([
      'Authorization', 'Bearer k', 'X-Account', 'forged', 'X-Hold', 'h', 'Connection', 'x-own',
      'X-Own', '1', 'X-Id', 'r1', 'Host', 'shop', 'Transfer-Encoding', 'chunked',
    ], names)).toEqual(['X-Id', 'r1', 'Host', 'shop']);
  });

  test('a prompt is parsed from its headers; without them there is no prompt', () => {
    expect(Routing.parsePrompt('5c1e:800, 91bd:410', '1460,80')).toEqual({
      inputTokens: 1_460,
      maxOutputTokens: 80,
      parts: [{ id: '5c1e', tokens: 800 }, { id: '91bd', tokens: 410 }],
    });
    expect(Routing.parsePrompt(undefined, undefined)).toBeUndefined();
  });
});
