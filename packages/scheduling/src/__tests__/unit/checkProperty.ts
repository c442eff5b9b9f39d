/**
 * Property tests with mutants: a property must hold for the real implementation and fail for every
 * mutant, a deliberately broken implementation. This shows that the property detects such faults.
 */
import * as FastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';

/** The seed is fixed so that results are reproducible. */
const RUN_OPTIONS = { numRuns: 200, seed: 20_261_204 };

/** A property, the implementation for which it must hold, and mutants for which it must fail. */
export interface PropertyCase<R> {
  readonly guardsAgainst: string;
  readonly build: (
    implementation: R,
  ) => FastCheck.IProperty<unknown> | FastCheck.IRawProperty<unknown>;
  readonly implementation: R;
  readonly mutants: Readonly<Record<string, R>>;
}

/** Registers one test for the implementation and one for each mutant. */
export function checkProperty<R>(name: string, {
  build, guardsAgainst, mutants, implementation,
}: PropertyCase<R>): void {
  describe(name, () => {
    it(`holds: guards against ${guardsAgainst}`, () => {
      FastCheck.assert(build(implementation) as FastCheck.IRawProperty<unknown>, RUN_OPTIONS);
    });
    it.each(Object.keys(mutants))('catches the mutant: %s', (mutant) => {
      const property = build(mutants[mutant] as R) as FastCheck.IRawProperty<unknown>;
      expect(FastCheck.check(property, RUN_OPTIONS)).toMatchObject({ failed: true });
    });
  });
}
