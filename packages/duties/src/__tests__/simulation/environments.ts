/** Generators of environments in which each kind of fault is absent, rare or frequent. */
import * as fc from 'fast-check';
import * as LeaseSimulation from './LeaseSimulation.js';

const rare = fc.oneof(fc.constant(0), fc.integer({ max: 60, min: 0 }));
const frequent = fc.oneof(fc.constant(0), fc.integer({ max: 500, min: 0 }));

/** Environments in which the guarantees of the lease have to hold. */
export const environment: fc.Arbitrary<LeaseSimulation.Environment> = fc.record({
  choices: fc.array(fc.integer({ max: LeaseSimulation.CHOICE_RANGE - 1, min: 0 }), {
    maxLength: 997, minLength: 100, size: 'max',
  }),
  drifts: fc.array(fc.oneof(
    fc.constant(LeaseSimulation.CHOICE_RANGE),
    fc.constant(-LeaseSimulation.CHOICE_RANGE),
    fc.integer({ max: LeaseSimulation.CHOICE_RANGE, min: -LeaseSimulation.CHOICE_RANGE }),
  ), { maxLength: 4, minLength: 4 }),
  duplicate: frequent,
  loss: frequent,
  outage: rare,
  pause: rare,
  processes: fc.integer({ max: 4, min: 2 }),
  restart: rare,
  retained: fc.oneof(fc.constant(0), fc.integer({ max: 8, min: 1 })),
  slow: frequent,
  stop: fc.oneof(fc.constant(0), fc.integer({ max: 10, min: 0 })),
  suspend: frequent,
});
