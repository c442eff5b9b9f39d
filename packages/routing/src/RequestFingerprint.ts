/**
 * Names a request by what its server gets to run, so that daemons recognise it when it comes again
 * under another request id. Repeats of a request share the fingerprint; requests of other client
 * accounts never do.
 */
import * as crypto from 'node:crypto';
import type * as RequestHead from './RequestHead.js';
import type * as RoutingConfig from './RoutingConfig.js';

/** Bytes of the digest that are kept; enough that two requests do not share them by chance. */
const FINGERPRINT_BYTES = 16;

/** A request whose body was read. */
export interface IdentifiedRequest {
  /** Account of the caller; undefined on routes that are open to all. */
  readonly account: RoutingConfig.ClientAccount | undefined;
  readonly body: Buffer;
  readonly head: Pick<RequestHead.RequestHead, 'host' | 'method' | 'path' | 'prompt'>;
}

/** Computes the fingerprint of a request, in base64url. */
export function hashRequest({ account, body, head }: IdentifiedRequest): string {
  const {
    host, method, path, prompt,
  } = head;
  const partIds = prompt?.parts.map(({ id }) => id);
  return crypto.createHash('sha256')
    .update(JSON.stringify([account?.name, method, host, path, partIds]))
    .update(body)
    .digest()
    .subarray(0, FINGERPRINT_BYTES)
    .toString('base64url');
}
