import { describe, expect, test } from 'vitest';
import * as Clock from '../../Clock.js';
import * as DefectHandler from '../../DefectHandler.js';
import * as Invariant from '../../Invariant.js';
import * as Logging from '../../Logging.js';

interface Calls {
  readonly causes: DefectHandler.DefectCause[];
  ends: number;
}

function setUp(): { readonly handle: DefectHandler.DefectHandler; readonly calls: Calls } {
  const calls: Calls = { causes: [], ends: 0 };
  return {
    calls,
    handle: DefectHandler.createDefectHandler({
      clock: Clock.systemClock,
      endProcess: () => {
        calls.ends += 1;
      },
      logger: Logging.createLogger('silent', {}),
      onDefect: (cause) => calls.causes.push(cause),
    }),
  };
}

describe('an unexpected error', () => {
  test('is counted and does not end the process', () => {
    const { calls, handle } = setUp();
    handle(new TypeError('unexpected'), 'r1');
    handle('no error at all');
    expect(calls).toEqual({ causes: ['request', 'background'], ends: 0 });
  });

  test('ends the process if an invariant of shared state is violated', () => {
    const { calls, handle } = setUp();
    handle(new Invariant.InvariantError('counts never fall'));
    expect(calls.ends).toBe(1);
  });

  // Guards against a daemon that keeps running although what keeps its state current has ended.
  test('ends the process if errors outside of requests are frequent', () => {
    const { calls, handle } = setUp();
    Array.from({ length: 19 }, () => handle(new Error('again')));
    expect(calls.ends).toBe(0);
    handle(new Error('again'));
    expect(calls.ends).toBe(1);
  });

  // Guards against a caller or a server that ends a daemon by sending what throws again and again.
  test('ends no process by the number of requests that fail', () => {
    const { calls, handle } = setUp();
    Array.from({ length: 1_000 }, (_, index) => handle(new TypeError('again'), `r${index}`));
    Array.from({ length: 1_000 }, () => handle(new TypeError('again'), ''));
    expect(calls.ends).toBe(0);
  });

  test('ends the process if a request finds that an invariant is violated', () => {
    const { calls, handle } = setUp();
    handle(new Invariant.InvariantError('counts never fall'), 'r1');
    expect(calls).toEqual({ causes: ['invariant'], ends: 1 });
  });
});
