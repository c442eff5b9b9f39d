/**
 * A value whose updates become visible after a delay. The fakes use it for reports of the platform,
 * which are out of date when a client reads them.
 */

interface TimedValue<T> {
  readonly setAtMs: number;
  readonly value: T;
}

/** A value with delayed updates. */
export interface DelayedValue<T> {
  readonly set: (value: T) => void;
  /** Returns the value that was set last before the delay. */
  readonly get: () => T;
}

/** Creates a value whose updates become visible after `lagMs` milliseconds. */
export function createDelayedValue<T>(initial: T, lagMs: number): DelayedValue<T> {
  let visible = initial;
  let pending: readonly TimedValue<T>[] = [];
  const applyDueValues = (): void => {
    const visibleUntilMs = performance.now() - lagMs;
    pending.filter(({ setAtMs }) => setAtMs <= visibleUntilMs).forEach(({ value }) => {
      visible = value;
    });
    pending = pending.filter(({ setAtMs }) => setAtMs > visibleUntilMs);
  };
  return {
    get: () => {
      applyDueValues();
      return visible;
    },
    set: (value) => {
      applyDueValues();
      pending = [...pending, { setAtMs: performance.now(), value }];
    },
  };
}
