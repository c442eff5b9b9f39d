/**
 * State of one reader of the configuration stream, computed by a pure reducer from its events:
 * entries from the log or a relay, states from peers, and gaps of expired entries. All readers have
 * the same state at the same offset, whichever events led to it, and no event moves a reader to an
 * earlier offset.
 */
import type * as Log from '@berylyoke/log';
import * as ConfigRecords from './ConfigRecords.js';
import * as ConfigRules from './ConfigRules.js';
import * as ConfigSnapshots from './ConfigSnapshots.js';
import * as ConfigState from './ConfigState.js';

/** State of a reader; `pending` holds entries that cannot be applied until the gap is closed. */
export interface ConfigReader {
  readonly config: ConfigState.ConfigState;
  /** Entries below this offset have expired in the log. */
  readonly firstOffset: number;
  readonly pending: readonly Log.LogEntry[];
}

/** Entries that directly follow `afterOffset`, received from the log or from a relay. */
export interface EntriesEvent {
  readonly _tag: 'entries';
  readonly afterOffset: number;
  readonly entries: readonly Log.LogEntry[];
}

/** Entries below `firstOffset` have expired in the log. */
export interface GapEvent {
  readonly _tag: 'gap';
  readonly firstOffset: number;
}

/** The state of a peer, encoded as a snapshot body. */
export interface PeerStateEvent {
  readonly _tag: 'peer-state';
  readonly body: unknown;
}

/** Event that changes the state of a reader. */
export type ReaderEvent = EntriesEvent | GapEvent | PeerStateEvent;

/** State of a reader before its first event. */
export const initialConfigReader: ConfigReader = {
  config: ConfigState.initialConfigState, firstOffset: 0, pending: [],
};

/** True while entries between the state and the first retained entry of the log are missing. */
export function isInGap({ config, firstOffset }: ConfigReader): boolean {
  return config.offset < firstOffset - 1;
}

type Reducer<Tag extends ReaderEvent['_tag']> = (
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

/**
 * Finds the snapshot with the highest covered offset above `minOffset`. A snapshot that claims to
 * cover its own entry or later ones is ignored.
 */
function findSnapshot(
  entries: readonly Log.LogEntry[],
  minOffset: number,
): ConfigState.ConfigState | undefined {
  return entries
    .flatMap(({ offset, records }) => records
      .filter(({ kind }) => kind === ConfigRecords.CONFIG_KINDS.snapshot)
      .map(({ body }) => ({ body, covered: ConfigSnapshots.getCoveredOffset(body), offset })))
    .filter(({ covered, offset }) => covered > minOffset && covered < offset)
    .map(({ body }) => ConfigSnapshots.parseSnapshot(body))
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

const reduceEntries: Reducer<'entries'> = (reader, { afterOffset, entries }, rules) => {
  // A reader that starts from a snapshot within the page also need not apply most of its entries.
  const adopted = adoptState(
    reader,
    findSnapshot(entries, rules.getSnapshotLowerBound(reader.config)),
    rules,
  );
  if (rules.canApplyAfter(adopted.config, afterOffset)) {
    return applyPending(applyEntries(adopted, entries, rules), rules);
  }
  // Entries from the log after a gap are kept until a snapshot closes the gap. Entries from a relay
  // that skip some entries are dropped, because the relay sends them again after the missing ones.
  const continuesGap = afterOffset === adopted.firstOffset - 1
    || adopted.pending.some(({ offset }) => offset === afterOffset);
  if (!continuesGap || !rules.canKeepPending()) return applyPending(adopted, rules);
  return applyPending({ ...adopted, pending: [...adopted.pending, ...entries] }, rules);
};

const reduceGap: Reducer<'gap'> = (reader, { firstOffset }) => {
  if (firstOffset <= reader.firstOffset) return reader;
  // Pending entries below the new first offset would be followed by a gap.
  return { ...reader, firstOffset, pending: [] };
};

const reducePeerState: Reducer<'peer-state'> = (reader, { body }, rules) => (
  applyPending(adoptState(reader, ConfigSnapshots.parseSnapshot(body), rules), rules)
);

const REDUCERS: { readonly [Tag in ReaderEvent['_tag']]: Reducer<Tag> } = {
  entries: reduceEntries,
  gap: reduceGap,
  'peer-state': reducePeerState,
};

/** Applies one event to a reader. */
export function reduceReader(
  reader: ConfigReader,
  event: ReaderEvent,
  rules: ConfigRules.ConfigRules = ConfigRules.CONFIG_RULES,
): ConfigReader {
  const reduce = REDUCERS[event._tag] as Reducer<ReaderEvent['_tag']>;
  return reduce(reader, event, rules);
}
