import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const createActivity = (
  extra: Partial<Routing.ServerActivity> = {},
): Routing.ServerActivity => ({
  lastActivityMs: 0, inFlight: 2, meanResponseMs: undefined, activeStreams: 0, ...extra,
});

describe('detection of a silent server', () => {
  test('a server is silent if none of its active streams has a byte for half a second', () => {
    const streaming = createActivity({ activeStreams: 2 });
    expect(Routing.isSilent(streaming, 500)).toBe(false);
    expect(Routing.isSilent(streaming, 501)).toBe(true);
    expect(Routing.isSilent({ ...streaming, lastActivityMs: 400 }, 501)).toBe(false);
  });

  test('an engine that prefills long prompts without an active stream is not silent', () => {
    expect(Routing.isSilent(createActivity(), 3_000)).toBe(false);
  });

  test('without streams, the limit depends on the mean response time', () => {
    expect(Routing.isSilent(createActivity({ meanResponseMs: 20 }), 300)).toBe(false);
    expect(Routing.isSilent(createActivity({ meanResponseMs: 20 }), 301)).toBe(true);
    expect(Routing.isSilent(createActivity({ meanResponseMs: 90 }), 700)).toBe(false);
  });

  test('a server without requests in progress is not silent', () => {
    expect(Routing.isSilent(createActivity({ inFlight: 0, meanResponseMs: 20 }), 60_000))
      .toBe(false);
  });
});
