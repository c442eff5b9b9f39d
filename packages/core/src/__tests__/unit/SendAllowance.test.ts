/** Guards against servers that send without progress for ever, and against sound ones cut off. */
import { describe, expect, test } from 'vitest';
import * as SendAllowance from '../../SendAllowance.js';

const MAX_EVENT_BYTES = 1_000_000;

/** Charges chunks of `size` bytes of which nothing is progress; returns how many are allowed. */
function countAllowedChunks(size: number, earns: boolean): number {
  const allowance = SendAllowance.createSendAllowance(MAX_EVENT_BYTES);
  const framingBytes = 6;
  let count = 0;
  while (!allowance.isExhausted() && count < 1_000_000) {
    allowance.spendBytes(size + framingBytes);
    allowance.spendPieces(1);
    if (earns) allowance.earn(size);
    count += 1;
  }
  return count;
}

describe('the allowance of a server', () => {
  test('covers one event of the largest size in chunks of a hundred bytes', () => {
    expect(countAllowedChunks(100, false) * 100).toBeGreaterThan(MAX_EVENT_BYTES);
  });

  test('ends soon for chunks of one byte, in a stream and in a plain body', () => {
    expect(countAllowedChunks(1, false)).toBeLessThan(50_000);
    expect(countAllowedChunks(1, true)).toBeLessThan(50_000);
  });

  test('does not end for a plain body in chunks of a hundred bytes', () => {
    expect(countAllowedChunks(100, true)).toBe(1_000_000);
  });

  test('is restored by progress', () => {
    const allowance = SendAllowance.createSendAllowance(MAX_EVENT_BYTES);
    allowance.spendBytes(10 * MAX_EVENT_BYTES);
    expect(allowance.isExhausted()).toBe(true);
    allowance.reset();
    expect(allowance.isExhausted()).toBe(false);
  });

  test('can be lowered for an answer that nobody needs', () => {
    const allowance = SendAllowance.createSendAllowance(MAX_EVENT_BYTES);
    allowance.limit(100);
    allowance.spendBytes(101);
    expect(allowance.isExhausted()).toBe(true);
  });
});
