/**
 * Counters that peers have not appended yet, as their heartbeats carry them. When a peer is lost,
 * whoever holds its last heartbeat appends them; several holders may do so.
 */
import type * as Core from '@berylyoke/core';
import * as Either from 'effect/Either';
import * as Schema from 'effect/Schema';
import * as UsageRecords from './UsageRecords.js';

/** Largest message that is kept, in bytes; a heartbeat has a budget of a few kilobytes. */
const MAX_MESSAGE_BYTES = 64 * 1024;
/** Peers whose counters are kept: a relay hears the daemons of one data centre. */
const MAX_PEERS = 1_024;

const Message = Schema.parseJson(Schema.Struct({
  counters: Schema.Array(UsageRecords.UsageCounters),
  sequence: Schema.Int,
}));
const decodeMessage = Schema.decodeUnknownEither(Message);
const encodeMessage = Schema.encodeSync(Message);

interface PeerMessage {
  readonly sequence: number;
  readonly counters: readonly UsageRecords.UsageCounters[];
}

/** Last heartbeat's counters of each peer incarnation. */
export type PeerCounters = ReadonlyMap<string, PeerMessage>;

/** Formats the identity of an incarnation. */
export function formatSource({ daemonId, incarnation }: Core.Writer): string {
  return `${daemonId}/${incarnation}`;
}

/** Encodes unwritten counters for a heartbeat. `sequence` grows with each one. */
export function encodeCounters(
  counters: readonly UsageRecords.UsageCounters[],
  sequence: number,
): Uint8Array {
  return Buffer.from(encodeMessage({ counters, sequence }));
}

/**
 * Takes the counters of a peer's heartbeat in place of the ones before: what is missing from a
 * later heartbeat was read back from the log. Bytes that do not decode, that name another source
 * or that exceed a bound change nothing.
 */
export function applyHeartbeat(
  peers: PeerCounters,
  source: Core.Writer,
  bytes: Uint8Array,
): PeerCounters {
  if (bytes.length > MAX_MESSAGE_BYTES) return peers;
  const message = decodeMessage(Buffer.from(bytes).toString('utf8'));
  if (Either.isLeft(message)) return peers;
  const key = formatSource(source);
  const { counters, sequence } = message.right;
  if (counters.some((found) => formatSource(found.source) !== key)) return peers;
  const known = peers.get(key);
  if (known === undefined && peers.size >= MAX_PEERS) return peers;
  if (known !== undefined && known.sequence >= sequence) return peers;
  return new Map(peers).set(key, message.right);
}

/** Takes out the counters of a lost peer, to be appended. */
export function removePeer(
  peers: PeerCounters,
  source: Core.Writer,
): { readonly peers: PeerCounters; readonly counters: readonly UsageRecords.UsageCounters[] } {
  const key = formatSource(source);
  const rest = new Map(peers);
  rest.delete(key);
  return { counters: peers.get(key)?.counters ?? [], peers: rest };
}
