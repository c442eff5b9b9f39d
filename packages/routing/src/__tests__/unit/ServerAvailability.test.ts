import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as ServerAvailability from '../../ServerAvailability.js';

const life = { bornMs: 5, id: 'i-1' };
const plain: ServerAvailability.AvailabilityNotice = { isLeaving: false, pauseMs: undefined };

describe('what servers say in their answers', () => {
  test('a server that leaves takes nothing more in this life', () => {
    const notices = ServerAvailability.createServerAvailability();
    notices.observeResponse(life, { ...plain, isLeaving: true }, 0);
    notices.observeResponse(life, plain, 1);
    expect(notices.canAcceptRequests(life, 1e9)).toBe(false);
    expect(notices.canAcceptRequests({ ...life, bornMs: 6 }, 1)).toBe(true);
  });

  test('a shorter pause does not end a longer one', () => {
    const notices = ServerAvailability.createServerAvailability();
    notices.observeResponse(life, { ...plain, pauseMs: 1_000 }, 0);
    notices.observeResponse(life, { ...plain, pauseMs: 100 }, 10);
    expect(notices.canAcceptRequests(life, 999)).toBe(false);
    expect(notices.computeWait([life], 400)).toBe(600);
    expect(notices.canAcceptRequests(life, 1_000)).toBe(true);
  });

  test('there is no wait for servers that take requests or that leave', () => {
    const notices = ServerAvailability.createServerAvailability();
    const leaving = { bornMs: 0, id: 'i-2' };
    notices.observeResponse(leaving, { ...plain, isLeaving: true }, 0);
    expect(notices.computeWait([leaving], 0)).toBeUndefined();
    notices.observeResponse(life, { ...plain, pauseMs: 50 }, 0);
    expect(notices.computeWait([leaving, life], 0)).toBe(50);
    expect(notices.computeWait([leaving, life, { bornMs: 0, id: 'i-3' }], 0)).toBe(0);
  });

  // Guards against growth without bound where servers come and go for months.
  test('the oldest notices are forgotten beyond the bound', () => {
    const notices = ServerAvailability.createServerAvailability(2);
    ['a', 'b', 'c'].forEach((id) => (
      notices.observeResponse({ bornMs: 0, id }, { ...plain, isLeaving: true }, 0)
    ));
    expect(['a', 'b', 'c'].map((id) => notices.canAcceptRequests({ bornMs: 0, id }, 0)))
      .toEqual([true, false, false]);
  });

  test('nothing is sent inside any pause, in any order of answers', () => {
    const answer = fc.record({
      id: fc.constantFrom('a', 'b'),
      pauseMs: fc.option(fc.nat(500), { nil: undefined }),
      stepMs: fc.nat(300),
    });
    fc.assert(fc.property(fc.array(answer, { maxLength: 20 }), (answers) => {
      const notices = ServerAvailability.createServerAvailability();
      const until = new Map<string, number>();
      let nowMs = 0;
      answers.forEach(({ id, pauseMs, stepMs }) => {
        nowMs += stepMs;
        notices.observeResponse({ bornMs: 0, id }, { isLeaving: false, pauseMs }, nowMs);
        until.set(id, Math.max(until.get(id) ?? 0, nowMs + (pauseMs ?? 0)));
        until.forEach((untilMs, each) => (
          expect(notices.canAcceptRequests({ bornMs: 0, id: each }, nowMs)).toBe(nowMs >= untilMs)
        ));
      });
    }));
  });
});

describe('the time that a server names', () => {
  test.each([
    ['2', 2_000], ['0.25', 250], ['0', 0], ['-1', undefined], ['soon', undefined],
    ['', undefined], ['1e9', ServerAvailability.MAX_RETRY_AFTER_MS], [undefined, undefined],
  ])('%s', (text, pauseMs) => {
    expect(ServerAvailability.parseRetryAfter(text)).toBe(pauseMs);
  });
});
