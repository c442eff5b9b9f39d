import * as Core from '@berylyoke/core';
import { describe, expect, test } from 'vitest';
import * as LogRateLimiter from '../../LogRateLimiter.js';

describe('budget of log lines', () => {
  test('a flood of lines is bounded, and the next line tells how many are missing', () => {
    const clock = Core.createManualClock();
    const budget = LogRateLimiter.createLogRateLimiter(clock, 10);
    const taken = Array.from({ length: 100 }, () => budget.take());
    expect(taken.filter((suppressed) => suppressed !== undefined)).toHaveLength(10);
    clock.advance(100);
    expect(budget.take()).toBe(90);
    clock.advance(1_000);
    expect(budget.take()).toBe(0);
  });
});
