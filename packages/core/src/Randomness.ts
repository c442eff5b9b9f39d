/** Random identifiers made at the edges of the program. */
import * as crypto from 'node:crypto';
import type * as Clock from './Clock.js';

/** Bytes of randomness in a request or record id: 96 bits make a collision negligible. */
const ID_BYTES = 12;

/** Bytes drawn at once: a draw for each id took 2 % of the time of a relayed request. */
const POOL_BYTES = ID_BYTES * 256;

let pool = Buffer.alloc(0);

/** Creates an identifier that no other process will create. */
export function createId(): string {
  if (pool.length === 0) pool = crypto.randomBytes(POOL_BYTES);
  const id = pool.toString('hex', 0, ID_BYTES);
  pool = pool.subarray(ID_BYTES);
  return id;
}

/** Creates the incarnation of a process that starts now. */
export function createIncarnation(clock: Clock.Clock): string {
  return `${clock.readWall()}-${crypto.randomBytes(4).toString('hex')}`;
}
