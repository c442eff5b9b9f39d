/** Guards against a sound answer that is ended because another one holds all the memory. */
import { describe, expect, test } from 'vitest';
import * as ByteBudget from '../../ByteBudget.js';

const MAX_BYTES = 100;

function setUp(): {
  readonly open: (name: string) => ByteBudget.HeldBytes; readonly evicted: string[];
} {
  const budget = ByteBudget.createByteBudget(MAX_BYTES);
  const evicted: string[] = [];
  return { evicted, open: (name) => budget.open(() => evicted.push(name)) };
}

describe('a budget of held bytes', () => {
  test('ends the answer that holds most when another one exceeds it', () => {
    const { evicted, open } = setUp();
    const [large, middle, small] = ['large', 'middle', 'small'].map(open);
    expect(large?.set(60)).toBe(true);
    expect(middle?.set(35)).toBe(true);
    expect(small?.set(10)).toBe(true);
    expect(evicted).toEqual(['large']);
    expect(small?.set(65)).toBe(true);
    expect(evicted).toEqual(['large']);
  });

  test('refuses bytes of the answer that holds most itself', () => {
    const { evicted, open } = setUp();
    const [large, small] = ['large', 'small'].map(open);
    expect(small?.set(10)).toBe(true);
    expect(large?.set(90)).toBe(true);
    expect(large?.set(91)).toBe(false);
    expect(large?.set(90)).toBe(true);
    expect(evicted).toEqual([]);
  });

  test('ends as many answers as needed', () => {
    const { evicted, open } = setUp();
    const [first, second, third] = ['first', 'second', 'third'].map(open);
    first?.set(40);
    second?.set(50);
    expect(third?.set(95)).toBe(false);
    expect(evicted).toEqual([]);
    expect(third?.set(45)).toBe(true);
    expect(evicted).toEqual(['second']);
  });

  test('has room again when an answer is closed, once', () => {
    const { evicted, open } = setUp();
    const [first, second] = ['first', 'second'].map(open);
    first?.set(80);
    first?.close();
    first?.close();
    expect(second?.set(100)).toBe(true);
    expect(evicted).toEqual([]);
  });
});
