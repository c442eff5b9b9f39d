/**
 * When a daemon may still accept requests that carry a key. A contact states that everything the
 * log held at `contactMs` is contained in the configuration at `offset`. A contact vouched for by a
 * peer counts only once the own configuration has reached that offset, because a peer that hears
 * the log does not help a daemon that has not received what the peer heard.
 */
import type * as Core from '@berylyoke/core';

/** Contact with the log, own or vouched for, on the monotonic clock of this process. */
export interface LogContact {
  readonly contactMs: Core.Millis;
  readonly offset: number;
}

/** What the rule looks at. `vouched` holds the contacts of peers. */
export interface IsolationInput {
  readonly configOffset: number;
  readonly own: LogContact | undefined;
  readonly vouched: readonly LogContact[];
  readonly isolationMs: Core.Millis;
  readonly nowMs: Core.Millis;
}

/** Keyed requests are accepted until `untilMs`. */
export interface Connected {
  readonly _tag: 'Connected';
  readonly untilMs: Core.Millis;
}

/** Keyed requests are refused since `sinceMs`; undefined when there never was a contact. */
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

/** Decides whether keyed requests are accepted now. */
export function checkIsolation({
  configOffset, isolationMs, nowMs, own, vouched,
}: IsolationInput): IsolationAnswer {
  const contact = chooseContact(configOffset, [own, ...vouched]);
  if (contact === undefined) return { _tag: 'Isolated', sinceMs: undefined };
  const untilMs = contact.contactMs + isolationMs;
  return nowMs < untilMs
    ? { _tag: 'Connected', untilMs }
    : { _tag: 'Isolated', sinceMs: untilMs };
}

/**
 * Converts a peer's contact to this process's clock. The age is counted from the time at which this
 * process sent the message that the peer acknowledges, not from the arrival of the answer, so that
 * a message that was held up on its way cannot make a contact look younger than it is.
 */
export function toLocalContact(
  acknowledgedSentMs: Core.Millis,
  ageMs: Core.Millis,
  offset: number,
): LogContact {
  return { contactMs: acknowledgedSentMs - Math.max(0, ageMs), offset };
}
