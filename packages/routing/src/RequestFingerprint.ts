/**
 * Names a request by what its server gets to run, so that daemons recognise it when it comes again
 * under another request id. Repeats of a request share the fingerprint; requests of other client
 * accounts never do.
 */
import * as Digest from './Digest.js';
import type * as RequestHead from './RequestHead.js';
import type * as RoutingConfig from './RoutingConfig.js';

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
  return Digest.hashFields([account?.name, method, host, path, partIds], body);
}
