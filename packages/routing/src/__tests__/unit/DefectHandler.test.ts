import * as Core from '@berylyoke/core';
import { describe, expect, test } from 'vitest';
import * as DefectHandler from '../../DefectHandler.js';

function setUp(): { handle: DefectHandler.DefectHandler; calls: { errors: number; ends: number } } {
  const calls = { errors: 0, ends: 0 };
  return {
    calls,
    handle: DefectHandler.createDefectHandler({
      clock: Core.systemClock,
      endProcess: () => {
        calls.ends += 1;
      },
      logger: Core.createLogger('silent', {}),
      onDefect: () => {
        calls.errors += 1;
      },
    }),
  };
}

describe('an unexpected error', () => {
  test('is counted and does not end the process', () => {
    const { calls, handle } = setUp();
    handle(new TypeError('unexpected'), 'r1');
    handle('no error at all');
    expect(calls).toEqual({ errors: 2, ends: 0 });
  });

  test('ends the process where shared state is broken', () => {
    const { calls, handle } = setUp();
    handle(new Core.InvariantError('counts never fall'));
    expect(calls.ends).toBe(1);
  });

  // Guards against a daemon that lives on and fails everything it does.
  test('ends the process when one follows another', () => {
    const { calls, handle } = setUp();
    Array.from({ length: 20 }, () => handle(new Error('again')));
    expect(calls.ends).toBe(1);
  });
});
