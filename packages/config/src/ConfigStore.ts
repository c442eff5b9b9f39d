/**
 * The configuration in force in one process, with what fed it and when. Decisions are those of
 * `ConfigReader` and `Isolation`; the store holds their state and tells listeners of changes.
 */
import type * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import * as ConfigReader from './ConfigReader.js';
import * as ConfigRecords from './ConfigRecords.js';
import * as ConfigSnapshots from './ConfigSnapshots.js';
import type * as ConfigState from './ConfigState.js';
import * as Isolation from './Isolation.js';

/** Receives the new state and the one before, in the turn in which it took effect. */
export type ConfigListener = (
  state: ConfigState.ConfigState,
  previous: ConfigState.ConfigState,
) => void;

/** Entries kept for peers that are some entries behind; others get the whole state. */
const RECENT_ENTRIES = 256;

/** Recent entries in offset order that directly follow `afterOffset`. */
export interface RecentEntries {
  readonly afterOffset: number;
  readonly entries: readonly Log.LogEntry[];
}

/**
 * Copies an entry without snapshots. A snapshot of 10,000 keys has 1.5 MB, and a peer that gets the
 * entries has no use for it.
 */
function withoutSnapshots(entry: Log.LogEntry): Log.LogEntry {
  return {
    ...entry,
    records: entry.records.filter(({ kind }) => kind !== ConfigRecords.CONFIG_KINDS.snapshot),
  };
}

/** Configuration of a process. */
export interface ConfigStore {
  readonly getState: () => ConfigState.ConfigState;
  readonly getReader: () => ConfigReader.ConfigReader;
  /** Steps the reader and tells the listeners when the state changed. */
  readonly applyEvent: (event: ConfigReader.ReaderEvent) => void;
  /** Calls the listener after each change of state until undone. */
  readonly registerListener: (listener: ConfigListener) => Core.Cleanup;
  /** Records that the own state held everything that the log held at `contactMs`. */
  readonly recordContact: (contactMs: Core.Millis) => void;
  /** Records a peer's contact, already converted to the clock of this process. */
  readonly recordPeerContact: (peer: string, contact: Isolation.LogContact) => void;
  /** Gets the newest contact that the state covers, own or vouched for. */
  readonly getContact: () => Isolation.LogContact | undefined;
  /** Gets the time of the newest contact with the log itself, without peers. */
  readonly getOwnContactMs: () => Core.Millis | undefined;
  /** True once a state was read that is not missing entries. */
  readonly isReady: () => boolean;
  /** Decides whether keyed requests are accepted at this moment. */
  readonly checkIsolation: () => Isolation.IsolationAnswer;
  /** Lists the entries after an offset; undefined when some are no longer held. */
  readonly listEntriesAfter: (offset: number) => RecentEntries | undefined;
  readonly getLastSnapshot: () => ConfigSnapshots.SnapshotSeen | undefined;
}

/** Creates a store in the state before the first entry. */
export function createConfigStore(clock: Core.Clock, isolationMs: Core.Millis): ConfigStore {
  const listeners = new Set<ConfigListener>();
  const vouched = new Map<string, Isolation.LogContact>();
  let reader = ConfigReader.initialConfigReader;
  let recent: RecentEntries = { afterOffset: -1, entries: [] };
  let own: Isolation.LogContact | undefined;
  let effective: Isolation.LogContact | undefined;
  let lastSnapshot: ConfigSnapshots.SnapshotSeen | undefined;

  const updateContact = (): void => {
    effective = Isolation.chooseContact(
      reader.config.offset,
      [effective, own, ...vouched.values()],
    );
  };

  const recordRecent = (
    before: ConfigState.ConfigState,
    event: ConfigReader.ReaderEvent,
  ): void => {
    const { offset } = reader.config;
    if (offset === before.offset) return;
    const added = event._tag === 'entries' && event.afterOffset <= before.offset
      ? event.entries.filter((entry) => entry.offset > before.offset).map(withoutSnapshots)
      : [];
    if (added[added.length - 1]?.offset !== offset) {
      recent = { afterOffset: offset, entries: [] };
      return;
    }
    const entries = [...recent.entries, ...added];
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
      own: effective,
      vouched: [],
    }),
    getContact: () => effective,
    getLastSnapshot: () => lastSnapshot,
    getOwnContactMs: () => own?.contactMs,
    getReader: () => reader,
    getState: () => reader.config,
    isReady: () => effective !== undefined
      || (reader.config.offset >= 0 && !ConfigReader.isInGap(reader)),
    listEntriesAfter: (offset) => (offset < recent.afterOffset ? undefined : {
      afterOffset: offset, entries: recent.entries.filter((entry) => entry.offset > offset),
    }),
    recordContact: (contactMs) => {
      if (own !== undefined && contactMs <= own.contactMs) return;
      own = { contactMs, offset: reader.config.offset };
      updateContact();
    },
    recordPeerContact: (peer, contact) => {
      vouched.set(peer, contact);
      updateContact();
      // A contact that already counts need not be kept; this bounds the table.
      if (contact.offset <= reader.config.offset) vouched.delete(peer);
    },
    registerListener: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
}
