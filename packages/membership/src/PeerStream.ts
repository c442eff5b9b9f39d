/** Messages between daemons, and the port through which the membership service uses streams. */
import type * as Core from '@berylyoke/core';
import type * as Member from './Member.js';
import type * as MembershipState from './MembershipState.js';

/** Age and log offset of the newest log contact that the sender's configuration covers. */
export interface LogContactReport {
  readonly ageMs: Core.Millis;
  readonly offset: number;
}

/**
 * Configuration update: either the log entries that directly follow `afterOffset`, or a full
 * snapshot in `state`. Both are JSON; the one that is absent is empty.
 */
export interface ConfigUpdate {
  readonly afterOffset: number;
  readonly entries: Uint8Array;
  readonly state: Uint8Array;
}

/** A message between two daemons. */
export interface PeerMessage
  extends MembershipState.HeartbeatReport, MembershipState.MembershipUpdate {
  /** Sequence of the newest message received on this stream; 0 before the first. */
  readonly acknowledged: number;
  readonly contact: LogContactReport | undefined;
  /** Offset of the sender's configuration; -1 before the first entry. */
  readonly configOffset: number;
  readonly config: ConfigUpdate | undefined;
}

/** Local end of a stream to a peer. */
export interface PeerStream {
  readonly send: (message: PeerMessage) => void;
  readonly close: () => void;
}

/**
 * Callbacks of a stream. `onClose` is called once, also when this side closes the stream. Neither
 * callback runs before the function that returned the stream has returned.
 */
export interface PeerStreamHandlers {
  readonly onMessage: (message: PeerMessage) => void;
  readonly onClose: () => void;
}

/** Accepts a stream that a peer opened. */
export type AcceptStream = (peerStream: PeerStream) => PeerStreamHandlers;

/** Opens streams to peers. */
export interface PeerTransport {
  /** Opens a stream on a separate connection. A failure to connect is reported by `onClose`. */
  readonly open: (address: string, handlers: PeerStreamHandlers) => PeerStream;
}

/** Checks the daemon id and incarnation of a sender; messages without valid ones are ignored. */
export function isValidSender({ daemonId, incarnation }: Member.Member): boolean {
  return daemonId !== '' && /^[0-9]+-[0-9a-f]+$/.test(incarnation);
}
