import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const rank = (account: number | undefined, route: number): number => (
  Routing.rankRequest({ name: 'shop', priority: account }, { priority: route })
);

describe('rank of a request', () => {
  test('the account goes before the route', () => {
    expect(rank(0, 2)).toBeLessThan(rank(1, 0));
  });

  test('a burst of long drafts of one account does not go before its quick answers', () => {
    expect(rank(1, 0)).toBeLessThan(rank(1, 2));
  });

  test('an account without a priority takes that of the route', () => {
    expect(rank(undefined, 0)).toBeLessThan(rank(undefined, 1));
    expect(rank(undefined, 1)).toBeLessThan(rank(2, 0));
    expect(rank(9, 9)).toBe(9);
  });
});
