import * as Core from '@berylyoke/core';
import { describe, expect, test } from 'vitest';
import * as DefectHandler from '../../DefectHandler.js';

function setUp(): {
  handle: DefectHandler.DefectHandler;
  counts: { defects: number; ends: number };
} {
  const counts = { defects: 0, ends: 0 };
  return {
    counts,
    handle: DefectHandler.createDefectHandler({
      clock: Core.systemClock,
      endProcess: () => {
        counts.ends += 1;
      },
      logger: Core.createLogger('silent', {}),
      onDefect: () => {
        counts.defects += 1;
      },
    }),
  };
}

describe('an unexpected error', () => {
  test('is counted and does not end the process', () => {
    const { counts, handle } = setUp();
    handle(new TypeError('unexpected'), 'r1');
    handle('no error at all');
    expect(counts).toEqual({ defects: 2, ends: 0 });
  });

  test('ends the process where shared state is broken', () => {
    const { counts, handle } = setUp();
    handle(new Core.InvariantError('counts never fall'));
    expect(counts.ends).toBe(1);
  });

  // Guards against a daemon that lives on and fails everything it does.
  test('ends the process when one follows another', () => {
    const { counts, handle } = setUp();
    Array.from({ length: 20 }, () => handle(new Error('again')));
    expect(counts.ends).toBe(1);
  });
});
