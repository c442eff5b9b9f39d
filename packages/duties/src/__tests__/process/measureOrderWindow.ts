/**
 * Measures the time between the last check of the lease and the return of the call that writes an
 * order: `npm run measure:order-window -- --orders N`. Only a pause that begins in this window can
 * deliver an order of a former holder to an interface that ignores fencing tokens. Prints one JSON
 * line; times are microseconds.
 */
import * as Testkit from '@berylyoke/testkit';
import * as Effect from 'effect/Effect';
import * as util from 'node:util';
import * as HttpOrders from '../../HttpOrders.js';

const { values } = util.parseArgs({ options: { orders: { default: '2000', type: 'string' } } });
const count = Number(values.orders);
const US_PER_MS = 1_000;

const fake = await Testkit.startFakeOrdering();
const port = HttpOrders.createHttpOrdering(fake.url);
const windowsUs: number[] = [];

const sendOrder = (index: number) => {
  let checkedMs = 0;
  return port.sendOrder({
    deadlineMs: 10_000,
    fence: 1,
    order: {
      action: 'start', count: 1, dataCentre: 'dc1', kind: 'cheap', model: 'm1',
    },
    orderId: `order-${index}`,
    sender: { daemonId: 'd1', incarnation: '1-a' },
  }, {
    canSend: () => {
      checkedMs = performance.now();
      return true;
    },
    isLeaseHeld: () => {
      windowsUs.push((performance.now() - checkedMs) * US_PER_MS);
      return true;
    },
  });
};

await Effect.runPromise(Effect.forEach(
  Array.from({ length: count }, (_, index) => index),
  sendOrder,
  { discard: true },
));
await fake.close();
const sortedUs = [...windowsUs].sort((a, b) => a - b);
const getQuantile = (part: number): number => (
  Math.round(sortedUs[Math.min(sortedUs.length - 1, Math.floor(part * sortedUs.length))] ?? 0)
);
process.stdout.write(`${JSON.stringify({
  maxUs: getQuantile(1), orders: count, p50Us: getQuantile(0.5), p99Us: getQuantile(0.99),
})}\n`);
