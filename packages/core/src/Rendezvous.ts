/**
 * Rendezvous (highest random weight) hashing. For a key, all processes with the same set of
 * candidates compute the same ranking, and the loss of a candidate moves only the keys assigned to
 * it.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Hashes a text to an unsigned 32-bit number, the same in every process. */
export function hashText(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/** Ranks candidates for a key, the preferred one first. Ties in weight are broken by name. */
export function rankCandidates(key: string, candidates: readonly string[]): readonly string[] {
  const seed = hashText(key);
  return candidates
    .map((name) => ({ name, weight: hashText(name, seed) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}
