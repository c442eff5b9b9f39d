import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const createActivity = (
  extra: Partial<Routing.ServerActivity> = {},
): Routing.ServerActivity => ({
  lastActivityMs: 0, inFlight: 2, meanResponseMs: undefined, activeStreams: 0, ...extra,
});

describe('silence of a server', () => {
  test('shows while streams run and none of them has an event for half a second', () => {
    const streaming = createActivity({ activeStreams: 2 });
    expect(Routing.isSilent(streaming, 500)).toBe(false);
    expect(Routing.isSilent(streaming, 501)).toBe(true);
    expect(Routing.isSilent({ ...streaming, lastActivityMs: 400 }, 501)).toBe(false);
  });

  test('is no sign where an engine reads long prompts and nothing streams', () => {
    expect(Routing.isSilent(createActivity(), 3_000)).toBe(false);
  });

  test('of a plain service is measured by its usual answers', () => {
    expect(Routing.isSilent(createActivity({ meanResponseMs: 20 }), 300)).toBe(false);
    expect(Routing.isSilent(createActivity({ meanResponseMs: 20 }), 301)).toBe(true);
    expect(Routing.isSilent(createActivity({ meanResponseMs: 90 }), 700)).toBe(false);
  });

  test('does not count while nothing is under way', () => {
    expect(Routing.isSilent(createActivity({ inFlight: 0, meanResponseMs: 20 }), 60_000))
      .toBe(false);
  });
});
