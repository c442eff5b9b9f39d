/**
 * Counters from heartbeats that peers had not read back from the log yet. When a peer is lost, each
 * daemon that has its last heartbeat appends them. Repeated appends of cumulative counters do no
 * harm.
 */
import type * as Core from '@berylyoke/core';
import * as Either from 'effect/Either';
import * as Schema from 'effect/Schema';
import * as UsageRecords from './UsageRecords.js';

/** Maximum size of a message, in bytes. A heartbeat is meant to take a few kilobytes. */
const MAX_MESSAGE_BYTES = 64 * 1024;
/** Maximum number of peers; a relay gets heartbeats from the daemons of one data centre. */
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

/** Counters of the last heartbeat of each peer incarnation, by formatted source. */
export type PeerCounters = ReadonlyMap<string, PeerMessage>;

/** Formats the identity of an incarnation as a map key. */
export function formatSource({ daemonId, incarnation }: Core.Writer): string {
  return `${daemonId}/${incarnation}`;
}

/** Encodes unwritten counters for a heartbeat. `sequence` increases with each heartbeat. */
export function encodeCounters(
  counters: readonly UsageRecords.UsageCounters[],
  sequence: number,
): Uint8Array {
  return Buffer.from(encodeMessage({ counters, sequence }));
}

/**
 * Replaces the counters of a peer by those of its newest heartbeat. Counters that the newer
 * heartbeat omits were read back from the log. Ignores messages that do not decode, that have
 * counters of another source, that are older than the known one, or that exceed a limit.
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
  const previous = peers.get(key);
  if (previous === undefined && peers.size >= MAX_PEERS) return peers;
  if (previous !== undefined && previous.sequence >= sequence) return peers;
  return new Map(peers).set(key, message.right);
}

/** Removes a lost peer and returns its counters, which the caller has to append. */
export function removePeer(
  peers: PeerCounters,
  source: Core.Writer,
): { readonly peers: PeerCounters; readonly counters: readonly UsageRecords.UsageCounters[] } {
  const key = formatSource(source);
  const remainingPeers = new Map(peers);
  remainingPeers.delete(key);
  return { counters: peers.get(key)?.counters ?? [], peers: remainingPeers };
}
