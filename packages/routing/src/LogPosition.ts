/**
 * Positions in a log that may return from an older copy and then gives out offsets again. The log
 * states its generation, which rises with each return. A position combines generation and offset in
 * one number, so that every position of a later generation is greater than those of earlier ones.
 */

/** Number of offsets of one generation. */
const OFFSETS_PER_GENERATION = 2 ** 36;

/** Highest generation whose positions a double represents exactly. */
export const MAX_GENERATION = 2 ** 17 - 1;

/** Creates the position of an offset. */
export function createPosition(generation: number, offset: number): number {
  return generation * OFFSETS_PER_GENERATION + offset;
}

/** Gets the generation of the log in which a position was read. */
export function getGeneration(position: number): number {
  return Math.floor(position / OFFSETS_PER_GENERATION);
}

/** Gets the offset of a position. */
export function getOffset(position: number): number {
  return position % OFFSETS_PER_GENERATION;
}

/** Formats a position for the log, as `GENERATION:OFFSET`. */
export function formatPosition(position: number): string {
  return `${getGeneration(position)}:${getOffset(position)}`;
}
