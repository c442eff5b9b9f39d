import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const MAX_CALLS = 100;

describe('counts of a fleet', () => {
  // Guards against a holder that reads without a pause, and does not renew its lease, while the
  // store deletes counts faster than it reads them.
  test('a log whose first records are deleted at each read is read again only once', async () => {
    let calls = 0;
    const fleetCounts = Routing.createFleetCounts({
      countsLog: {
        read: (from) => Effect.suspend(() => {
          calls += 1;
          return calls < MAX_CALLS
            ? Effect.fail(new Routing.HistoryLost({ first: from + 1 }))
            : Effect.succeed({ next: from, records: [] });
        }),
      },
      logger: Core.createLogger('silent', {}),
      trueTime: Routing.createTrueTime(() => Routing.readClocks(Core.createManualClock())),
      windowMs: 5_000,
    });
    expect(await fleetCounts.read()).toBe(false);
    expect(calls).toBe(2);
    expect(fleetCounts.getReadTime()).toBe(-Infinity);
  });
});
