/** Seeded draws of the bench. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Draws of one stream. */
export interface Draws {
  /** Uniform in [0, 1). */
  readonly uniform: () => number;
  readonly exponential: (mean: number) => number;
  /** Log-normal with the given mean; the shape is that of answer lengths, with a long tail. */
  readonly logNormal: (mean: number) => number;
  readonly pick: <T>(items: readonly T[], getShare: (item: T) => number) => T;
}

const SIGMA = 0.7;

/** Creates draws from a seed. */
export function createDraws(seed: number): Draws {
  const generator = xoroshiro128plus(seed);
  const uniform = (): number => uniformFloat64(generator);
  return {
    exponential: (mean) => -mean * Math.log(1 - uniform()),
    logNormal: (mean) => {
      const normal = Math.sqrt(-2 * Math.log(1 - uniform())) * Math.cos(2 * Math.PI * uniform());
      return mean * Math.exp(SIGMA * normal - SIGMA ** 2 / 2);
    },
    pick: (items, getShare) => {
      const total = items.reduce((sum, item) => sum + getShare(item), 0);
      let rest = uniform() * total;
      const found = items.find((item) => {
        rest -= getShare(item);
        return rest < 0;
      });
      return found ?? items[items.length - 1] as typeof items[number];
    },
    uniform,
  };
}
