import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const rank = (account: number | undefined, route: number): number => (
  Routing.rankRequest({ name: 'shop', priority: account }, { priority: route })
);

describe('rank of a request', () => {
  test('the priority of the account has precedence over that of the route', () => {
    expect(rank(0, 2)).toBeLessThan(rank(1, 0));
  });

  test('long generations of an account do not precede its interactive requests', () => {
    expect(rank(1, 0)).toBeLessThan(rank(1, 2));
  });

  test('an account without a priority has that of the route', () => {
    expect(rank(undefined, 0)).toBeLessThan(rank(undefined, 1));
    expect(rank(undefined, 1)).toBeLessThan(rank(2, 0));
    expect(rank(9, 9)).toBe(9);
  });
});
