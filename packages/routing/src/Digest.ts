/** Digests that name requests and streams in records that daemons share. */
import * as crypto from 'node:crypto';

/** Bytes of a digest that are kept; enough that no two share them by chance. */
const DIGEST_BYTES = 16;

/** Computes the digest of fields, and of a body if there is one, in base64url. */
export function hashFields(fields: readonly unknown[], body: Buffer = Buffer.alloc(0)): string {
  return crypto.createHash('sha256')
    .update(JSON.stringify(fields))
    .update(body)
    .digest()
    .subarray(0, DIGEST_BYTES)
    .toString('base64url');
}
