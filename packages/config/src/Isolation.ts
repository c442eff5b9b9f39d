/**
 * Decides whether a daemon may accept requests that carry a key. A daemon without recent contact
 * with the log may miss withdrawals of keys. A contact means that everything the log contained at
 * `contactMs` is in the configuration at `offset`. A contact reported by a peer counts only once
 * this daemon's configuration has reached that offset, because the daemon may not yet have received
 * the entries that the peer has read.
 */
import type * as Core from '@berylyoke/core';

/** Contact with the log, direct or reported by a peer, on the monotonic clock of this process. */
export interface LogContact {
  readonly contactMs: Core.Millis;
  readonly offset: number;
}

/** Input of the isolation rule; `peerContacts` holds the contacts that peers reported. */
export interface IsolationInput {
  readonly configOffset: number;
  readonly ownContact: LogContact | undefined;
  readonly peerContacts: readonly LogContact[];
  readonly isolationMs: Core.Millis;
  readonly nowMs: Core.Millis;
}

/** Requests with a key are accepted until `untilMs`. */
export interface Connected {
  readonly _tag: 'Connected';
  readonly untilMs: Core.Millis;
}

/** Requests with a key are refused since `sinceMs`; undefined if there was never a contact. */
export interface Isolated {
  readonly _tag: 'Isolated';
  readonly sinceMs: Core.Millis | undefined;
}

export type IsolationAnswer = Connected | Isolated;

/** Chooses the newest contact that the configuration covers. */
export function chooseContact(
  configOffset: number,
  contacts: readonly (LogContact | undefined)[],
): LogContact | undefined {
  return contacts.reduce((best, contact) => {
    if (contact === undefined || contact.offset > configOffset) return best;
    return best === undefined || contact.contactMs > best.contactMs ? contact : best;
  }, undefined);
}

/** Decides whether requests with a key are accepted at `nowMs`. */
export function checkIsolation({
  configOffset, isolationMs, nowMs, ownContact, peerContacts,
}: IsolationInput): IsolationAnswer {
  const contact = chooseContact(configOffset, [ownContact, ...peerContacts]);
  if (contact === undefined) return { _tag: 'Isolated', sinceMs: undefined };
  const untilMs = contact.contactMs + isolationMs;
  return nowMs < untilMs
    ? { _tag: 'Connected', untilMs }
    : { _tag: 'Isolated', sinceMs: untilMs };
}

/**
 * Converts a peer's contact to the monotonic clock of this process. The age is subtracted from the
 * time at which this process sent the message that the peer acknowledges, not from the arrival of
 * the acknowledgement, so that a delayed message cannot make a contact appear newer than it is.
 */
export function toLocalContact(
  acknowledgedSentMs: Core.Millis,
  ageMs: Core.Millis,
  offset: number,
): LogContact {
  return { contactMs: acknowledgedSentMs - Math.max(0, ageMs), offset };
}
