/** Random identifiers made at the edges of the program. */
import * as crypto from 'node:crypto';
import type * as Clock from './Clock.js';

/** Bytes of randomness in a request or record id: 96 bits make a collision negligible. */
const ID_BYTES = 12;

/** Creates an identifier that no other process will create. */
export function createId(): string {
  return crypto.randomBytes(ID_BYTES).toString('hex');
}

/** Creates the incarnation of a process that starts now. */
export function createIncarnation(clock: Clock.Clock): string {
  return `${clock.readWall()}-${crypto.randomBytes(4).toString('hex')}`;
}
