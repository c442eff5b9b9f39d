/** Digests under which calls are claimed, and the shard that a claim belongs to. */
import * as Core from '@berylyoke/core';
import * as crypto from 'node:crypto';

/** A call that must run at most once. `account` is empty on open routes. */
export interface KeyedCall {
  readonly account: string;
  readonly route: string;
  readonly idempotencyKey: string;
  /** Method and query, which a repeat has to send alike, as well as the body. */
  readonly parameters: string;
  readonly body: Uint8Array;
}

/** Digests of a call and its shard. */
export interface ClaimKey {
  readonly keyDigest: string;
  readonly bodyDigest: string;
  readonly shard: number;
}

/** Chooses the shard of a key. All daemons must use the same number of shards. */
export function chooseShard(keyDigest: string, shards: number): number {
  return Core.hashText(keyDigest) % shards;
}

/** Computes the digests of a call; neither the key nor the body can be read from them. */
export function computeClaimKey(call: KeyedCall, shards: number): ClaimKey {
  // JSON keeps the three parts apart whatever characters they hold.
  const keyDigest = crypto.createHash('sha256')
    .update(JSON.stringify([call.account, call.route, call.idempotencyKey]))
    .digest('base64url');
  const bodyDigest = crypto.createHash('sha256')
    .update(JSON.stringify(call.parameters))
    .update(call.body)
    .digest('base64url');
  return { bodyDigest, keyDigest, shard: chooseShard(keyDigest, shards) };
}
