/** Checks of conditions that only a programming error can break. */

/** A condition that the program relies on does not hold. */
export class InvariantError extends Error {
  readonly _tag = 'InvariantError';
}

/**
 * Fails loudly when a condition of the program itself is broken.
 *
 * @throws InvariantError with the given sentence
 */
export function invariant(condition: unknown, sentence: string): asserts condition {
  if (!condition) throw new InvariantError(sentence);
}
