/**
 * Rendezvous (highest random weight) hashing: every process that knows the same candidates ranks
 * them alike for a key, and the loss of one candidate moves only the keys that it held.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Hashes a text to an unsigned 32-bit number. */
export function hashText(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/** Ranks candidates for a key, the preferred one first. Equal weights fall back to the name. */
export function rankCandidates(key: string, candidates: readonly string[]): readonly string[] {
  const seed = hashText(key);
  return candidates
    .map((name) => ({ name, weight: hashText(name, seed) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}
