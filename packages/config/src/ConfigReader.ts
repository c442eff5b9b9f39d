/**
 * State of one reader of the configuration stream, as a pure fold over what reaches it: entries
 * from the log, entries and states from peers, and the report that entries have expired. The state
 * at an offset is the same for all readers, whichever way they came to it, and no event moves a
 * reader back.
 */
import type * as Log from '@berylyoke/log';
import * as ConfigRecords from './ConfigRecords.js';
import * as ConfigRules from './ConfigRules.js';
import * as ConfigSnapshots from './ConfigSnapshots.js';
import * as ConfigState from './ConfigState.js';

/** A reader: `pending` holds entries that cannot be applied before the gap is closed. */
export interface ConfigReader {
  readonly config: ConfigState.ConfigState;
  /** Entries below this offset have expired in the log. */
  readonly firstOffset: number;
  readonly pending: readonly Log.LogEntry[];
}

/** Entries that directly follow `afterOffset` in the log; from the log itself or a relay. */
export interface EntriesEvent {
  readonly _tag: 'entries';
  readonly afterOffset: number;
  readonly entries: readonly Log.LogEntry[];
}

/** The log retains entries from `firstOffset` on only. */
export interface GapEvent {
  readonly _tag: 'gap';
  readonly firstOffset: number;
}

/** The state of a peer, in the form of a snapshot. */
export interface PeerStateEvent {
  readonly _tag: 'peer-state';
  readonly body: unknown;
}

/** What reaches a reader. */
export type ReaderEvent = EntriesEvent | GapEvent | PeerStateEvent;

/** A reader that has seen nothing. */
export const initialConfigReader: ConfigReader = {
  config: ConfigState.initialConfigState, firstOffset: 0, pending: [],
};

/** True while entries are missing between the state and what the log retains. */
export function isInGap({ config, firstOffset }: ConfigReader): boolean {
  return config.offset < firstOffset - 1;
}

type Reduce<Tag extends ReaderEvent['_tag']> = (
  reader: ConfigReader,
  event: Extract<ReaderEvent, { readonly _tag: Tag }>,
  rules: ConfigRules.ConfigRules,
) => ConfigReader;

function adoptState(
  reader: ConfigReader,
  other: ConfigState.ConfigState | undefined,
  rules: ConfigRules.ConfigRules,
): ConfigReader {
  if (other === undefined || !rules.canAdopt(reader.config, other)) return reader;
  return { ...reader, config: other };
}

/** Finds the newest snapshot; one that claims to cover its own entry or later ones is ignored. */
function findSnapshot(entries: readonly Log.LogEntry[]): ConfigState.ConfigState | undefined {
  return entries
    .flatMap(({ offset, records }) => records
      .filter(({ kind }) => kind === ConfigRecords.CONFIG_KINDS.snapshot)
      .map(({ body }) => ({ offset, state: ConfigSnapshots.parseSnapshot(body) })))
    .map(({ offset, state }) => (state !== undefined && state.offset < offset ? state : undefined))
    .reduce((best, state) => (
      state !== undefined && state.offset > (best?.offset ?? -1) ? state : best
    ), undefined);
}

function applyEntries(
  reader: ConfigReader,
  entries: readonly Log.LogEntry[],
  rules: ConfigRules.ConfigRules,
): ConfigReader {
  return {
    ...reader,
    config: entries.reduce((state, entry) => (
      ConfigState.reduceConfig(state, entry, rules)
    ), reader.config),
  };
}

function applyPending(reader: ConfigReader, rules: ConfigRules.ConfigRules): ConfigReader {
  if (reader.pending.length === 0 || isInGap(reader)) return reader;
  return applyEntries({ ...reader, pending: [] }, reader.pending, rules);
}

const reduceEntries: Reduce<'entries'> = (reader, { afterOffset, entries }, rules) => {
  // Starting from a snapshot inside the page also spares a booting reader most of the fold.
  const adopted = adoptState(reader, findSnapshot(entries), rules);
  if (rules.canFollow(adopted.config, afterOffset)) {
    return applyPending(applyEntries(adopted, entries, rules), rules);
  }
  // Entries of the log after a gap are kept for the next snapshot. Entries of a relay that are
  // ahead of this reader are dropped: the relay sends them again after the missing ones.
  const continuesGap = afterOffset === adopted.firstOffset - 1
    || adopted.pending.some(({ offset }) => offset === afterOffset);
  if (!continuesGap || !rules.canKeep()) return applyPending(adopted, rules);
  return applyPending({ ...adopted, pending: [...adopted.pending, ...entries] }, rules);
};

const reduceGap: Reduce<'gap'> = (reader, { firstOffset }) => {
  if (firstOffset <= reader.firstOffset) return reader;
  // Kept entries below the new first offset would leave a hole after them.
  return { ...reader, firstOffset, pending: [] };
};

const reducePeerState: Reduce<'peer-state'> = (reader, { body }, rules) => (
  applyPending(adoptState(reader, ConfigSnapshots.parseSnapshot(body), rules), rules)
);

const REDUCERS: { readonly [Tag in ReaderEvent['_tag']]: Reduce<Tag> } = {
  entries: reduceEntries,
  gap: reduceGap,
  'peer-state': reducePeerState,
};

/** Steps a reader by one event. */
export function reduceReader(
  reader: ConfigReader,
  event: ReaderEvent,
  rules: ConfigRules.ConfigRules = ConfigRules.CONFIG_RULES,
): ConfigReader {
  const reduce = REDUCERS[event._tag] as Reduce<ReaderEvent['_tag']>;
  return reduce(reader, event, rules);
}
