/**
 * Guards against bytes of servers that occupy the event loop: many connections with long reads at
 * the same moment must leave time for other work between their slices.
 */
import { describe, expect, test } from 'vitest';
import * as ReadPacer from '../../ReadPacer.js';

/** Time that each slice of these tests takes. */
const SLICE_MS = 3;

function waitForTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Creates a pacer whose clock only moves while slices are processed. */
function createSlowPacer(): { queueSlice: (name: string) => void; readonly order: string[] } {
  let nowMs = 0;
  const order: string[] = [];
  const pacer = ReadPacer.createReadPacer({ readMonotonic: () => nowMs });
  return {
    order,
    queueSlice: (name) => pacer.queueSlice(() => {
      nowMs += SLICE_MS;
      order.push(name);
    }),
  };
}

describe('slices that wait', () => {
  test('are processed in several turns if they take long', async () => {
    const { order, queueSlice } = createSlowPacer();
    ['a', 'b', 'c', 'd', 'e'].forEach(queueSlice);
    expect(order).toEqual([]);
    await waitForTurn();
    expect(order).toEqual(['a', 'b']);
    await waitForTurn();
    expect(order).toEqual(['a', 'b', 'c', 'd']);
    await waitForTurn();
    expect(order).toEqual(['a', 'b', 'c', 'd', 'e']);
  });

  test('are processed before those of connections that had their share', async () => {
    const { order, queueSlice } = createSlowPacer();
    ['a', 'b', 'c'].forEach(queueSlice);
    await waitForTurn();
    queueSlice('a');
    await waitForTurn();
    expect(order).toEqual(['a', 'b', 'c', 'a']);
  });

  test('are processed if one of them throws', async () => {
    const order: string[] = [];
    const pacer = ReadPacer.createReadPacer({ readMonotonic: () => 0 });
    const errors: unknown[] = [];
    const handleError = (error: unknown): number => errors.push(error);
    const listeners = process.listeners('uncaughtException');
    process.removeAllListeners('uncaughtException');
    process.on('uncaughtException', handleError);
    pacer.queueSlice(() => {
      throw new TypeError('unexpected');
    });
    pacer.queueSlice(() => order.push('after'));
    await waitForTurn();
    await waitForTurn();
    process.off('uncaughtException', handleError);
    listeners.forEach((listener) => process.on('uncaughtException', listener));
    expect(errors).toHaveLength(1);
    expect(order).toEqual(['after']);
  });
});
