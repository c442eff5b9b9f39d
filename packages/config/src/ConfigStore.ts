/**
 * Holds the current configuration of a process and its contacts with the log, and notifies
 * listeners of changes. The rules are in `ConfigReader` and `Isolation`.
 */
import type * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import * as ConfigReader from './ConfigReader.js';
import * as ConfigRecords from './ConfigRecords.js';
import * as ConfigSnapshots from './ConfigSnapshots.js';
import type * as ConfigState from './ConfigState.js';
import * as Isolation from './Isolation.js';

/** Receives the new and the previous state, synchronously with the change. */
export type ConfigListener = (
  state: ConfigState.ConfigState,
  previous: ConfigState.ConfigState,
) => void;

/** Entries kept for peers that lag behind; peers that lag further receive the complete state. */
const RECENT_ENTRIES = 256;

/** Recent entries in offset order that directly follow `afterOffset`. */
export interface RecentEntries {
  readonly afterOffset: number;
  readonly entries: readonly Log.LogEntry[];
}

/**
 * Copies an entry without its snapshot records. A snapshot of 10,000 keys has 1.5 MB, and a peer
 * that receives the entries does not need it.
 */
function removeSnapshots(entry: Log.LogEntry): Log.LogEntry {
  return {
    ...entry,
    records: entry.records.filter(({ kind }) => kind !== ConfigRecords.CONFIG_KINDS.snapshot),
  };
}

/** Current configuration of a process. */
export interface ConfigStore {
  readonly getState: () => ConfigState.ConfigState;
  readonly getReader: () => ConfigReader.ConfigReader;
  /** Applies an event to the reader and notifies the listeners if the state changed. */
  readonly applyEvent: (event: ConfigReader.ReaderEvent) => void;
  /** Calls the listener after each change of the state until the returned function is called. */
  readonly registerListener: (listener: ConfigListener) => Core.Cleanup;
  /** Records that the current state contains everything that the log contained at `contactMs`. */
  readonly recordContact: (contactMs: Core.Millis) => void;
  /** Records a peer's contact with the log, converted to the monotonic clock of this process. */
  readonly recordPeerContact: (peer: string, contact: Isolation.LogContact) => void;
  /** Gets the newest contact that the state covers, direct or reported by a peer. */
  readonly getContact: () => Isolation.LogContact | undefined;
  /** Gets the time of the newest direct contact with the log, on the monotonic clock. */
  readonly getOwnContactMs: () => Core.Millis | undefined;
  /** True once the state has no missing entries. */
  readonly isReady: () => boolean;
  /** Decides whether requests with a key are accepted at this time. */
  readonly checkIsolation: () => Isolation.IsolationAnswer;
  /** Lists the entries after an offset; undefined if some of them are no longer kept. */
  readonly listEntriesAfter: (offset: number) => RecentEntries | undefined;
  readonly getLastSnapshot: () => ConfigSnapshots.ObservedSnapshot | undefined;
}

/** Creates a store with the initial state. */
export function createConfigStore(clock: Core.Clock, isolationMs: Core.Millis): ConfigStore {
  const listeners = new Set<ConfigListener>();
  const peerContacts = new Map<string, Isolation.LogContact>();
  let reader = ConfigReader.initialConfigReader;
  let recent: RecentEntries = { afterOffset: -1, entries: [] };
  let ownContact: Isolation.LogContact | undefined;
  let newestContact: Isolation.LogContact | undefined;
  let lastSnapshot: ConfigSnapshots.ObservedSnapshot | undefined;

  const updateContact = (): void => {
    newestContact = Isolation.chooseContact(
      reader.config.offset,
      [newestContact, ownContact, ...peerContacts.values()],
    );
  };

  const recordRecent = (
    before: ConfigState.ConfigState,
    event: ConfigReader.ReaderEvent,
  ): void => {
    const { offset } = reader.config;
    if (offset === before.offset) return;
    const addedEntries = event._tag === 'entries' && event.afterOffset <= before.offset
      ? event.entries.filter((entry) => entry.offset > before.offset).map(removeSnapshots)
      : [];
    if (addedEntries[addedEntries.length - 1]?.offset !== offset) {
      recent = { afterOffset: offset, entries: [] };
      return;
    }
    const entries = [...recent.entries, ...addedEntries];
    const excess = Math.max(0, entries.length - RECENT_ENTRIES);
    recent = {
      afterOffset: entries[excess - 1]?.offset ?? recent.afterOffset,
      entries: entries.slice(excess),
    };
  };

  const recordSnapshots = (event: ConfigReader.ReaderEvent): void => {
    if (event._tag !== 'entries') return;
    const covered = event.entries
      .flatMap(({ records }) => records)
      .filter(({ kind }) => kind === ConfigRecords.CONFIG_KINDS.snapshot)
      .map(({ body }) => ConfigSnapshots.getCoveredOffset(body));
    const newest = Math.max(-1, ...covered);
    if (newest <= (lastSnapshot?.coveredOffset ?? -1)) return;
    lastSnapshot = { coveredOffset: newest, seenMs: clock.readMonotonic() };
  };

  return {
    applyEvent: (event) => {
      const before = reader.config;
      reader = ConfigReader.reduceReader(reader, event);
      recordSnapshots(event);
      if (reader.config === before) return;
      recordRecent(before, event);
      updateContact();
      const current = reader.config;
      listeners.forEach((listener) => listener(current, before));
    },
    checkIsolation: () => Isolation.checkIsolation({
      configOffset: reader.config.offset,
      isolationMs,
      nowMs: clock.readMonotonic(),
      ownContact: newestContact,
      peerContacts: [],
    }),
    getContact: () => newestContact,
    getLastSnapshot: () => lastSnapshot,
    getOwnContactMs: () => ownContact?.contactMs,
    getReader: () => reader,
    getState: () => reader.config,
    isReady: () => newestContact !== undefined
      || (reader.config.offset >= 0 && !ConfigReader.isInGap(reader)),
    listEntriesAfter: (offset) => (offset < recent.afterOffset ? undefined : {
      afterOffset: offset, entries: recent.entries.filter((entry) => entry.offset > offset),
    }),
    recordContact: (contactMs) => {
      if (ownContact !== undefined && contactMs <= ownContact.contactMs) return;
      ownContact = { contactMs, offset: reader.config.offset };
      updateContact();
    },
    recordPeerContact: (peer, contact) => {
      peerContacts.set(peer, contact);
      updateContact();
      // A covered contact is already considered; deleting it bounds the size of the map.
      if (contact.offset <= reader.config.offset) peerContacts.delete(peer);
    },
    registerListener: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
}
