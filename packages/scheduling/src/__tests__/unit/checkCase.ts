/** Checks a property on the real rule and on weakened rules that it has to catch. */
import * as FastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';

/** Fixed, so that a verdict does not change from run to run. */
const RUN = { numRuns: 200, seed: 20_261_204 };

/** A property over some rule, the real rule, and rules that have to fail it. */
export interface Case<R> {
  readonly guardsAgainst: string;
  readonly build: (rule: R) => FastCheck.IProperty<unknown> | FastCheck.IRawProperty<unknown>;
  readonly rule: R;
  readonly mutants: Readonly<Record<string, R>>;
}

/** Registers the tests of one property. */
export function checkCase<R>(name: string, {
  build, guardsAgainst, mutants, rule,
}: Case<R>): void {
  describe(name, () => {
    it(`holds: guards against ${guardsAgainst}`, () => {
      FastCheck.assert(build(rule) as FastCheck.IRawProperty<unknown>, RUN);
    });
    it.each(Object.keys(mutants))('catches the mutant: %s', (mutant) => {
      const property = build(mutants[mutant] as R) as FastCheck.IRawProperty<unknown>;
      expect(FastCheck.check(property, RUN)).toMatchObject({ failed: true });
    });
  });
}
