/**
 * Names the traits of a request under which servers may crash: the parts of its prompt that other
 * requests may share, and the fingerprint that only its repeats share.
 */

/** Part ids contain no colon (RequestHead), so no caller can name the fingerprint of a request. */
const FINGERPRINT_PREFIX = 'request:';

/** What a trait stands for. */
export type TraitKind = 'fingerprint' | 'promptPart';

/** A trait with its kind. */
export interface ParsedTrait {
  readonly kind: TraitKind;
  /** Fingerprint of a request, or id of a prompt part. */
  readonly id: string;
}

/** Lists the traits of a request, for use as keys of crash reports. */
export function listTraits(
  sharedPartIds: readonly string[],
  fingerprint: string,
): readonly string[] {
  return [...sharedPartIds, `${FINGERPRINT_PREFIX}${fingerprint}`];
}

/** Parses a trait of `listTraits`. */
export function parseTrait(trait: string): ParsedTrait {
  return trait.startsWith(FINGERPRINT_PREFIX)
    ? { id: trait.slice(FINGERPRINT_PREFIX.length), kind: 'fingerprint' }
    : { id: trait, kind: 'promptPart' };
}
