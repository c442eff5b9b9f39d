import { expect, test } from 'vitest';
import * as ColdLimits from '../../ColdLimits.js';

const SERVER: ColdLimits.ColdServer = { incarnation: { bornMs: 0, id: 's' }, requestsPerS: 6 };
const STEP_MS = 50;
const TRAFFIC_MS = 10_000;
const IDLE_MS = 5_000;

/** Most requests that a cold server may get within a second. */
const MAX_REQUESTS = 1.5 * SERVER.requestsPerS + 5;

// Guards against daemons that each use up the rate alone, or use permits saved while idle at once.
test.each([1, 8, 91, 195, 2_600])('%i daemons keep to the rate of a cold server', (count) => {
  const daemons = Array.from({ length: count }, (_, index) => ColdLimits.createColdLimits({
    getShare: () => 0.7 / count, random: () => (index + 0.5) / count,
  }));
  const sentMs: number[] = [];
  daemons.forEach((limits) => limits.computeWait(SERVER, 0));
  Array.from({ length: TRAFFIC_MS / STEP_MS }, (_, step) => IDLE_MS + step * STEP_MS)
    .forEach((nowMs) => daemons.forEach((limits) => {
      if (limits.computeWait(SERVER, nowMs) > 0) return;
      limits.recordSend(SERVER, nowMs);
      sentMs.push(nowMs);
    }));
  const counts = sentMs.map((fromMs) => (
    sentMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1_000).length
  ));
  expect(Math.max(...counts)).toBeLessThanOrEqual(MAX_REQUESTS);
  // Under steady demand the fleet uses at least half of the rate.
  expect(sentMs.length).toBeGreaterThan((SERVER.requestsPerS * TRAFFIC_MS) / 1_000 / 2);
});
