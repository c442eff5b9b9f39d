import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as ServerAvailability from '../../ServerAvailability.js';

const incarnation = { bornMs: 5, id: 'i-1' };
const noNotice: ServerAvailability.AvailabilityNotice = { isLeaving: false, pauseMs: undefined };

describe('announced availability of servers', () => {
  test('a server that is shutting down gets no request until it has restarted', () => {
    const availability = ServerAvailability.createServerAvailability();
    availability.observeResponse(incarnation, { ...noNotice, isLeaving: true }, 0);
    availability.observeResponse(incarnation, noNotice, 1);
    expect(availability.canAcceptRequests(incarnation, 1e9)).toBe(false);
    expect(availability.canAcceptRequests({ ...incarnation, bornMs: 6 }, 1)).toBe(true);
  });

  test('a shorter Retry-After does not end a longer one', () => {
    const availability = ServerAvailability.createServerAvailability();
    availability.observeResponse(incarnation, { ...noNotice, pauseMs: 1_000 }, 0);
    availability.observeResponse(incarnation, { ...noNotice, pauseMs: 100 }, 10);
    expect(availability.canAcceptRequests(incarnation, 999)).toBe(false);
    expect(availability.computeWait(incarnation, 400)).toBe(600);
    expect(availability.canAcceptRequests(incarnation, 1_000)).toBe(true);
  });

  test('the wait is infinite during a shutdown, and 0 for an available server', () => {
    const availability = ServerAvailability.createServerAvailability();
    const leaving = { bornMs: 0, id: 'i-2' };
    availability.observeResponse(leaving, { ...noNotice, isLeaving: true }, 0);
    expect(availability.computeWait(leaving, 0)).toBe(Infinity);
    availability.observeResponse(incarnation, { ...noNotice, pauseMs: 50 }, 0);
    expect(availability.computeWait(incarnation, 0)).toBe(50);
    expect(availability.computeWait({ bornMs: 0, id: 'i-3' }, 0)).toBe(0);
  });

  // Guards against unlimited growth of memory as servers are replaced over months.
  test('the oldest entries are evicted beyond the limit', () => {
    const availability = ServerAvailability.createServerAvailability(2);
    ['a', 'b', 'c'].forEach((id) => (
      availability.observeResponse({ bornMs: 0, id }, { ...noNotice, isLeaving: true }, 0)
    ));
    expect(['a', 'b', 'c'].map((id) => availability.canAcceptRequests({ bornMs: 0, id }, 0)))
      .toEqual([true, false, false]);
  });

  test('no request is sent within any Retry-After time, in any order of responses', () => {
    const response = fc.record({
      id: fc.constantFrom('a', 'b'),
      pauseMs: fc.option(fc.nat(500), { nil: undefined }),
      stepMs: fc.nat(300),
    });
    fc.assert(fc.property(fc.array(response, { maxLength: 20 }), (responses) => {
      const availability = ServerAvailability.createServerAvailability();
      const until = new Map<string, number>();
      let nowMs = 0;
      responses.forEach(({ id, pauseMs, stepMs }) => {
        nowMs += stepMs;
        availability.observeResponse({ bornMs: 0, id }, { isLeaving: false, pauseMs }, nowMs);
        until.set(id, Math.max(until.get(id) ?? 0, nowMs + (pauseMs ?? 0)));
        until.forEach((untilMs, each) => (
          expect(availability.canAcceptRequests({ bornMs: 0, id: each }, nowMs))
            .toBe(nowMs >= untilMs)
        ));
      });
    }));
  });
});

describe('parsing of Retry-After', () => {
  test.each([
    ['2', 2_000], ['0.25', 250], ['0', 0], ['-1', undefined], ['soon', undefined],
    ['', undefined], ['1e9', ServerAvailability.MAX_RETRY_AFTER_MS], [undefined, undefined],
  ])('%s', (text, pauseMs) => {
    expect(ServerAvailability.parseRetryAfter(text)).toBe(pauseMs);
  });
});
