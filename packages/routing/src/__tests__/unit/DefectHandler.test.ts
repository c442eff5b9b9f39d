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

  test('ends the process if an invariant of shared state is violated', () => {
    const { calls, handle } = setUp();
    handle(new Core.InvariantError('counts never fall'));
    expect(calls.ends).toBe(1);
  });

  // Guards against a daemon that keeps running although all that it does fails.
  test('ends the process if errors are frequent', () => {
    const { calls, handle } = setUp();
    Array.from({ length: 20 }, () => handle(new Error('again')));
    expect(calls.ends).toBe(1);
  });
});
