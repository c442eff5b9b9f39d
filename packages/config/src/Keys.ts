/**
 * API keys of callers. A key has the form `byk_<keyId>_<secret>`. Of the secret, only a SHA-256
 * digest leaves the command line that issues the key; the log stores that digest.
 */
import * as crypto from 'node:crypto';

const KEY_PATTERN = /^byk_([a-z0-9]{6,32})_([A-Za-z0-9_-]{20,64})$/;
const SECRET_BYTES = 24;
const KEY_ID_BYTES = 6;

/** The parts of a key that a caller sent. */
export interface ParsedKey {
  readonly keyId: string;
  readonly secret: string;
}

/** A new key; `key` is given to the caller and is not stored. */
export interface IssuedKey {
  readonly key: string;
  readonly keyId: string;
  readonly digest: string;
}

/** Hashes a secret with SHA-256; returns the hexadecimal digest that the log stores. */
export function hashSecret(secret: string): string {
  return crypto.createHash('sha256').update(secret).digest('hex');
}

/** Parses a key; returns undefined if its format is invalid. */
export function parseKey(key: string): ParsedKey | undefined {
  const match = KEY_PATTERN.exec(key);
  if (match === null) return undefined;
  const [, keyId = '', secret = ''] = match;
  return { keyId, secret };
}

/** Compares a secret with a digest in constant time. */
export function isSecretOf(digest: string, secret: string): boolean {
  const expected = Buffer.from(digest, 'hex');
  const found = Buffer.from(hashSecret(secret), 'hex');
  return expected.length === found.length && crypto.timingSafeEqual(expected, found);
}

/** Creates a key with 192 bits of randomness. */
export function createKey(): IssuedKey {
  const keyId = crypto.randomBytes(KEY_ID_BYTES).toString('hex');
  const secret = crypto.randomBytes(SECRET_BYTES).toString('base64url');
  return { digest: hashSecret(secret), key: `byk_${keyId}_${secret}`, keyId };
}
