import * as Core from '@berylyoke/core';
import { describe, expect, test } from 'vitest';
import * as LogRateLimiter from '../../LogRateLimiter.js';

describe('rate limit of log lines', () => {
  test('a burst of lines is limited, and the next line carries the number of missing ones', () => {
    const clock = Core.createManualClock();
    const limiter = LogRateLimiter.createLogRateLimiter(clock, 10);
    const results = Array.from({ length: 100 }, () => limiter.take());
    expect(results.filter((suppressed) => suppressed !== undefined)).toHaveLength(10);
    clock.advance(100);
    expect(limiter.take()).toBe(90);
    clock.advance(1_000);
    expect(limiter.take()).toBe(0);
  });
});
