import { expect, test } from 'vitest';
import * as Routing from '../../index.js';

const MIB = 1_048_576;
const CALLERS = { bodyIdleMs: 10_000, maxRequestsAhead: 32 };
const VM = { cores: 1, cpuShare: 1 };

// Guards against limits that a single request within the operator's limits would reach.
test('a body of 4 MiB has room on the smallest VM', () => {
  const settings = { callers: CALLERS, vm: { ...VM, maxDescriptors: 2_212, memoryMb: 210 } };
  expect(Routing.computeIngressLimits(settings, 4 * MIB).maxBytes)
    .toBeGreaterThanOrEqual(8 * MIB);
  const low = { callers: { ...CALLERS, maxHeldBytes: MIB }, vm: VM };
  expect(Routing.computeIngressLimits(low, 4 * MIB).maxBytes).toBe(8 * MIB);
});

// Guards against listeners that together accept more connections than the VM has descriptors.
test('the connections of all listeners leave descriptors for files and servers', () => {
  const settings = { callers: CALLERS, vm: { ...VM, maxDescriptors: 2_212, memoryMb: 210 } };
  const status = Routing.computeStatusLimits(settings).maxConnections;
  const sum = Routing.computeIngressLimits(settings).maxConnections
    + Routing.computePeerLimits(settings).maxConnections + 2 * status;
  expect(sum).toBeLessThan(2_212 - 200 - 300);
});

test('limits without settings and size of the VM are the defaults', () => {
  const limits = Routing.computeIngressLimits({ callers: CALLERS, vm: VM });
  expect(limits).toMatchObject({ maxBytes: 24 * MIB, maxConnections: 4_000 });
});

test('the settings win over the size of the VM', () => {
  const callers = { ...CALLERS, maxConnections: 50, maxHeldBytes: 30 * MIB };
  const vm = { ...VM, maxDescriptors: 2_212, memoryMb: 602 };
  expect(Routing.computeIngressLimits({ callers, vm }))
    .toMatchObject({ maxBytes: 30 * MIB, maxConnections: 50 });
});
