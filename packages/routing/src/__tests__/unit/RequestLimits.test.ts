import { describe, expect, test } from 'vitest';
import * as RequestLimits from '../../RequestLimits.js';

const incarnation = { bornMs: 5, id: 'i-1' };
const createNotice = (requestsPerS: number): RequestLimits.LimitNotice => (
  { _tag: 'Limited', requestsPerS }
);
const UNLIMITED: RequestLimits.LimitNotice = { _tag: 'Unlimited' };

describe('announced request limits', () => {
  test('a limit lasts until a response to a later request states none', () => {
    const limits = RequestLimits.createRequestLimits();
    expect(limits.observeResponse(incarnation, createNotice(2), 10, 20))
      .toEqual({ previousPerS: undefined });
    expect(limits.observeResponse(incarnation, createNotice(2), 15, 30)).toBeUndefined();
    expect(limits.observeResponse(incarnation, createNotice(3), 15, 40))
      .toEqual({ previousPerS: 2 });
    expect(limits.getLimit(incarnation)).toBe(3);
    expect(limits.observeResponse(incarnation, UNLIMITED, 50, 60)).toEqual({ previousPerS: 3 });
    expect(limits.getLimit(incarnation)).toBeUndefined();
    expect(limits.countLimited()).toBe(0);
  });

  // Guards against a response on a slow connection that removes a limit announced after it.
  test('a response to a request sent before the announcement does not remove the limit', () => {
    const limits = RequestLimits.createRequestLimits();
    limits.observeResponse(incarnation, createNotice(2), 10, 20);
    expect(limits.observeResponse(incarnation, UNLIMITED, 19, 30)).toBeUndefined();
    expect(limits.getLimit(incarnation)).toBe(2);
  });

  test('a limit applies to one incarnation, and a malformed one changes nothing', () => {
    const limits = RequestLimits.createRequestLimits();
    limits.observeResponse(incarnation, createNotice(2), 10, 20);
    limits.observeResponse(incarnation, { _tag: 'Malformed', text: 'few' }, 30, 40);
    expect(limits.getLimit(incarnation)).toBe(2);
    expect(limits.getLimit({ ...incarnation, bornMs: 6 })).toBeUndefined();
  });

  // Guards against unlimited growth of memory as servers are replaced over months.
  test('the oldest entries are evicted beyond the maximum', () => {
    const limits = RequestLimits.createRequestLimits(2);
    ['a', 'b', 'c'].forEach((id) => (
      limits.observeResponse({ bornMs: 0, id }, createNotice(1), 0, 0)
    ));
    expect(['a', 'b', 'c'].map((id) => limits.getLimit({ bornMs: 0, id })))
      .toEqual([undefined, 1, 1]);
  });
});

describe('parsing of a request limit', () => {
  test.each([
    ['1', 1], ['0.5', 0.5], [' 2.25 ', 2.25], ['0', 0], ['1e9', 1_000_000], ['5e-1', 0.5],
  ])('%s', (text, requestsPerS) => {
    expect(RequestLimits.parseLimitNotice(text)).toEqual({ _tag: 'Limited', requestsPerS });
  });

  test.each(['', '-1', 'few', '1, 2', 'NaN', 'Infinity', '.'])('malformed: %j', (text) => {
    expect(RequestLimits.parseLimitNotice(text)).toEqual({ _tag: 'Malformed', text });
  });

  test('a response without the header states no limit', () => {
    expect(RequestLimits.parseLimitNotice(undefined)).toEqual({ _tag: 'Unlimited' });
  });
});
