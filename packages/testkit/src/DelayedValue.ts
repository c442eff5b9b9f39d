/** A value that observers see with a lag, as the platform's reports are seen. */

interface Version<T> {
  readonly atMs: number;
  readonly value: T;
}

/** A lagging value. */
export interface DelayedValue<T> {
  readonly set: (value: T) => void;
  /** Value as it was `lagMs` ago. */
  readonly get: () => T;
}

/** Creates a value whose `get` lags by `lagMs` milliseconds. */
export function createDelayedValue<T>(initial: T, lagMs: number): DelayedValue<T> {
  let visible = initial;
  let pending: readonly Version<T>[] = [];
  const advance = (): void => {
    const limitMs = performance.now() - lagMs;
    pending.filter(({ atMs }) => atMs <= limitMs).forEach(({ value }) => {
      visible = value;
    });
    pending = pending.filter(({ atMs }) => atMs > limitMs);
  };
  return {
    get: () => {
      advance();
      return visible;
    },
    set: (value) => {
      advance();
      pending = [...pending, { atMs: performance.now(), value }];
    },
  };
}
