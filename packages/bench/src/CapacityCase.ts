/** One slope of the capacity table: what is varied, what is measured and how. */

/** A case with the sizes at which it is measured. */
export interface CapacityCase {
  readonly name: string;
  /** What the size counts, such as `accounts`. */
  readonly sizeUnit: string;
  /** Unit of the cost, such as `µs of processor time for each edit`. */
  readonly costUnit: string;
  readonly sizes: readonly number[];
  /** Measures the cost once at a size. */
  readonly measure: (size: number) => Promise<number>;
}

/** Measures processor time of this process, in microseconds, for each of `count` repetitions. */
export async function measureProcessorMicros(
  count: number,
  run: () => Promise<void> | void,
): Promise<number> {
  const before = process.cpuUsage();
  await run();
  const used = process.cpuUsage(before);
  return (used.user + used.system) / count;
}

/** Measures wall time in milliseconds. */
export async function measureMillis(run: () => Promise<void>): Promise<number> {
  const startedMs = performance.now();
  await run();
  return performance.now() - startedMs;
}

/** Measures the heap that a value holds, in bytes; needs `--expose-gc`. */
export async function measureHeapBytes(build: () => unknown): Promise<number> {
  const collect = globalThis.gc ?? ((): void => undefined);
  collect();
  const before = process.memoryUsage().heapUsed;
  const held = build();
  collect();
  const bytes = process.memoryUsage().heapUsed - before;
  // Keeps the value reachable until after the second reading.
  return held === undefined ? Number.NaN : bytes;
}
