import { expect, test } from 'vitest';
import * as StopPolicy from '../../StopPolicy.js';

// Guards against an order that is cut at the end of a planned stop.
test.each([
  {
    canPassOn: true, kind: 'once', limitMs: 600, stopMs: Infinity,
  },
  {
    canPassOn: true, kind: 'once', limitMs: 600, stopMs: 800,
  },
  {
    canPassOn: false, kind: 'once', limitMs: 600, stopMs: 799,
  },
  {
    canPassOn: true, kind: 'repeatable', limitMs: 6_000, stopMs: 1_200,
  },
  {
    canPassOn: false, kind: 'repeatable', limitMs: 6_000, stopMs: 1_199,
  },
  {
    canPassOn: true, kind: 'stream', limitMs: 12_000, stopMs: 1_200,
  },
  {
    canPassOn: false, kind: 'stream', limitMs: 12_000, stopMs: 1_199,
  },
  {
    canPassOn: true, kind: 'stream', limitMs: 100, stopMs: 300,
  },
] as const)('$kind with $limitMs ms left and $stopMs ms to the stop: $canPassOn', ({
  canPassOn, kind, limitMs, stopMs,
}) => {
  expect(StopPolicy.canPassOn({ kind, targetMs: 500 }, limitMs, stopMs)).toBe(canPassOn);
});
