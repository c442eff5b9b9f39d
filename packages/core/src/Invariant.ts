/** Assertions of conditions that only a programming error can violate. */

/** An asserted condition does not hold, which is a programming error. */
export class InvariantError extends Error {
  readonly _tag = 'InvariantError';
}

/**
 * Asserts a condition that holds unless the program has a bug.
 *
 * @throws InvariantError with the given message when the condition is falsy
 */
export function invariant(condition: unknown, message: string): asserts condition {
  if (!condition) throw new InvariantError(message);
}
