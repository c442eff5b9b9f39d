/** Bodies of the records in the streams `once-<shard>`. */
import * as Schema from 'effect/Schema';

/** Kinds of the claim streams. */
export const ONCE_KINDS = {
  claim: 'once.claim',
  release: 'once.release',
  result: 'once.result',
} as const;

/** SHA-256 in base64url. */
const Digest = Schema.String.pipe(Schema.pattern(/^[A-Za-z0-9_-]{43}$/));

/** Asks for the right to run the call that `keyDigest` names. */
export const OnceClaim = Schema.Struct({
  /** Digest of client account, route and idempotency key. */
  keyDigest: Digest,
  bodyDigest: Digest,
  claimId: Schema.String,
});
export type OnceClaim = typeof OnceClaim.Type;

/** Gives a claim up. Written only while no byte of the call was sent. */
export const OnceRelease = Schema.Struct({ keyDigest: Digest, claimId: Schema.String });
export type OnceRelease = typeof OnceRelease.Type;

/** Answer of the call, as a repeat gets it. */
export const StoredAnswer = Schema.Struct({
  _tag: Schema.Literal('StoredAnswer'),
  status: Schema.Int,
  headers: Schema.Record({ key: Schema.String, value: Schema.String }),
  /** Base64; null when the body exceeded the bound and was not kept. */
  body: Schema.NullOr(Schema.String),
});
export type StoredAnswer = typeof StoredAnswer.Type;

/** The call was sent and no whole answer arrived. */
export const UnknownOutcome = Schema.Struct({ _tag: Schema.Literal('UnknownOutcome') });
export type UnknownOutcome = typeof UnknownOutcome.Type;

/** Outcome of a call that was sent. */
export const Outcome = Schema.Union(StoredAnswer, UnknownOutcome);
export type Outcome = typeof Outcome.Type;

/** What became of the call that the winning claim ran. */
export const OnceResult = Schema.Struct({
  keyDigest: Digest, claimId: Schema.String, outcome: Outcome,
});
export type OnceResult = typeof OnceResult.Type;
