/** Random identifiers of requests, records and processes. */
import * as crypto from 'node:crypto';
import type * as Clock from './Clock.js';

/** Size of a request or record id; with 96 random bits, collisions are negligible. */
const ID_BYTES = 12;

/** Random bytes are generated in batches: one call per id took 2 % of the time of a request. */
const POOL_BYTES = ID_BYTES * 256;

let pool = Buffer.alloc(0);

/** Creates an identifier that is unique across processes, as 24 hexadecimal digits. */
export function createId(): string {
  if (pool.length === 0) pool = crypto.randomBytes(POOL_BYTES);
  const id = pool.toString('hex', 0, ID_BYTES);
  pool = pool.subarray(ID_BYTES);
  return id;
}

/** Creates the incarnation of a process that starts now; see the Incarnation schema. */
export function createIncarnation(clock: Clock.Clock): string {
  return `${clock.readWall()}-${crypto.randomBytes(4).toString('hex')}`;
}
