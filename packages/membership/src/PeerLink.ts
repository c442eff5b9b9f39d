/** Streams between daemons as the membership service uses them, whatever carries them. */
import type * as Core from '@berylyoke/core';
import type * as Member from './Member.js';
import type * as MembershipState from './MembershipState.js';

/** The newest contact with the log that the sender's configuration covers. */
export interface StatedContact {
  readonly ageMs: Core.Millis;
  readonly offset: number;
}

/** Entries that directly follow `afterOffset`, or a whole state; each as JSON, empty if absent. */
export interface ConfigUpdate {
  readonly afterOffset: number;
  readonly entries: Uint8Array;
  readonly state: Uint8Array;
}

/** A message of the protocol. */
export interface PeerMessage extends MembershipState.Report, MembershipState.Statements {
  readonly acknowledged: number;
  readonly contact: StatedContact | undefined;
  readonly configOffset: number;
  readonly config: ConfigUpdate | undefined;
}

/** One end of a stream. */
export interface PeerLink {
  readonly send: (message: PeerMessage) => void;
  readonly close: () => void;
}

/**
 * What happens on a stream. `onClose` is called once, also after the own `close`. Neither is called
 * before the function that hands out the stream has returned.
 */
export interface PeerLinkHandlers {
  readonly onMessage: (message: PeerMessage) => void;
  readonly onClose: () => void;
}

/** Accepts a stream that a peer opened. */
export type AcceptLink = (link: PeerLink) => PeerLinkHandlers;

/** Carrier of streams. */
export interface PeerTransport {
  /** Opens a stream on a connection of its own. A failure to connect shows as `onClose`. */
  readonly open: (address: string, handlers: PeerLinkHandlers) => PeerLink;
}

/** Checks of a statement that a peer sent; one that does not name a daemon is ignored. */
export function isNamed({ daemonId, incarnation }: Member.Member): boolean {
  return daemonId !== '' && /^[0-9]+-[0-9a-f]+$/.test(incarnation);
}
