/** Least-squares fit of a cost against a size. */

/** One measured point. */
export interface Point {
  readonly size: number;
  readonly cost: number;
}

/** Fit `cost = base + slope × size`; `residual` is the largest deviation as a share of the cost. */
export interface Fit {
  readonly slope: number;
  readonly base: number;
  readonly residual: number;
}

/** Computes the fit of at least two points with different sizes. */
export function computeFit(points: readonly Point[]): Fit {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanCost = points.reduce((sum, { cost }) => sum + cost, 0) / count;
  const covariance = points.reduce((sum, { cost, size }) => (
    sum + (size - meanSize) * (cost - meanCost)
  ), 0);
  const variance = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  const slope = covariance / variance;
  const base = meanCost - slope * meanSize;
  const residual = Math.max(...points.map(({ cost, size }) => (
    Math.abs(cost - base - slope * size) / Math.max(Math.abs(cost), Number.EPSILON)
  )));
  return { base, residual, slope };
}

/** Gets the median of measured values. */
export function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}
