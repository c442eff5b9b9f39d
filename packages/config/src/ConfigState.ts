/**
 * Reducer of the configuration stream. All readers of the same entries compute the same state: the
 * first valid edit of a base version is accepted, and all readers reject later edits of that base.
 * Snapshot records are ignored here, because they add nothing for a reader that has seen every
 * entry; `ConfigReader` uses them.
 */
import type * as Log from '@berylyoke/log';
import * as Either from 'effect/Either';
import * as HashMap from 'effect/HashMap';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import * as ConfigRecords from './ConfigRecords.js';
import * as ConfigRules from './ConfigRules.js';
import * as Lists from './Lists.js';
import * as ListsChange from './ListsChange.js';

/** State of a key. A withdrawn key is kept, so that it cannot be issued again. */
export interface KeyState {
  readonly account: string;
  readonly digest: string;
  readonly withdrawn: boolean;
}

export type EditOutcome = ConfigRecords.EditOutcome;

/**
 * Configuration after the entries up to `offset`. Keys are in a persistent map: copying a plain map
 * took 4.9 ms for each issued key at 20,000 keys, and made reading the whole stream quadratic.
 */
export interface ConfigState {
  /** Number of accepted edits; 0 before the first one. */
  readonly version: number;
  readonly lists: Lists.Lists;
  readonly keys: HashMap.HashMap<string, KeyState>;
  /** Offset of the last entry that was applied; -1 before the first one. */
  readonly offset: number;
  /** The most recent edits, oldest first. */
  readonly history: readonly EditOutcome[];
  /** Ids of the most recent records, oldest first; a record with one of them is ignored. */
  readonly seen: readonly string[];
}

/** Number of edits that `config history` can show. */
const HISTORY_EDITS = 100;

/**
 * Number of record ids kept to detect duplicates. Writers retry an append for some seconds; at
 * 14,000 changes a day this number of records covers 1.7 hours.
 */
const SEEN_RECORD_IDS = 1_024;

/** State before the first entry. */
export const initialConfigState: ConfigState = {
  history: [],
  keys: HashMap.empty(),
  lists: {
    accounts: [], classes: [], models: [], plans: [], routes: [],
  },
  offset: -1,
  seen: [],
  version: 0,
};

/** Finds a key by its id; also finds withdrawn keys. */
export function findKey(state: ConfigState, keyId: string): KeyState | undefined {
  return Option.getOrUndefined(HashMap.get(state.keys, keyId));
}

/** Counts all keys, including withdrawn ones. */
export function countKeys(state: ConfigState): number {
  return HashMap.size(state.keys);
}

type RecordHandler = (
  state: ConfigState,
  record: Log.LogRecord,
  entry: Log.LogEntry,
  rules: ConfigRules.ConfigRules,
) => ConfigState;

const decodeEdit = Schema.decodeUnknownEither(ConfigRecords.ConfigEdit);
const decodeIssue = Schema.decodeUnknownEither(ConfigRecords.KeyIssue);
const decodeWithdraw = Schema.decodeUnknownEither(ConfigRecords.KeyWithdraw);

function getEditedLists(state: ConfigState, edit: ConfigRecords.ConfigEdit): Lists.Lists {
  return 'lists' in edit ? edit.lists : ListsChange.applyListsChange(state.lists, edit.change);
}

interface EditDecision {
  readonly reason: ConfigRecords.EditReason;
  readonly lists: Lists.Lists;
}

function decideEdit(
  state: ConfigState,
  edit: Either.Either<ConfigRecords.ConfigEdit, unknown>,
  rules: ConfigRules.ConfigRules,
): EditDecision {
  const { lists } = state;
  if (Either.isLeft(edit)) return { lists, reason: 'invalid' };
  if (!rules.isBaseCurrent(state, edit.right.baseVersion)) return { lists, reason: 'stale-base' };
  const edited = getEditedLists(state, edit.right);
  if (Lists.checkReferences(edited).length > 0) return { lists, reason: 'invalid' };
  return { lists: edited, reason: 'accepted' };
}

const applyEdit: RecordHandler = (state, record, entry, rules) => {
  const edit = decodeEdit(record.body);
  const { lists, reason } = decideEdit(state, edit, rules);
  const accepted = reason === 'accepted';
  const outcome: EditOutcome = {
    accepted,
    baseVersion: Either.isRight(edit) ? edit.right.baseVersion : -1,
    offset: entry.offset,
    reason,
    recordId: record.recordId,
    timestampMs: entry.timestampMs,
    writer: record.writer.daemonId,
  };
  const history = [...state.history, outcome].slice(-HISTORY_EDITS);
  return {
    ...state, history, lists, version: accepted ? state.version + 1 : state.version,
  };
};

const applyIssue: RecordHandler = (state, record, _, rules) => {
  const issue = decodeIssue(record.body);
  if (Either.isLeft(issue) || !rules.canIssue(state, issue.right.keyId)) return state;
  const { account, digest, keyId } = issue.right;
  return {
    ...state, keys: HashMap.set(state.keys, keyId, { account, digest, withdrawn: false }),
  };
};

const applyWithdraw: RecordHandler = (state, record, _, rules) => {
  const withdraw = decodeWithdraw(record.body);
  if (Either.isLeft(withdraw)) return state;
  const { keyId } = withdraw.right;
  const existing = findKey(state, keyId);
  if (existing === undefined && !rules.canWithdrawUnknown()) return state;
  return {
    ...state,
    keys: HashMap.set(state.keys, keyId, {
      account: '', digest: '', ...existing, withdrawn: true,
    }),
  };
};

const HANDLERS: Readonly<Record<string, RecordHandler>> = {
  [ConfigRecords.CONFIG_KINDS.edit]: applyEdit,
  [ConfigRecords.CONFIG_KINDS.keyIssue]: applyIssue,
  [ConfigRecords.CONFIG_KINDS.keyWithdraw]: applyWithdraw,
};

function applyRecord(
  state: ConfigState,
  record: Log.LogRecord,
  entry: Log.LogEntry,
  rules: ConfigRules.ConfigRules,
): ConfigState {
  const handler = HANDLERS[record.kind];
  if (handler === undefined || rules.isDuplicate(state, record.recordId)) return state;
  const next = handler(state, record, entry, rules);
  return { ...next, seen: [...next.seen, record.recordId].slice(-SEEN_RECORD_IDS) };
}

/** Applies one entry to the state. An entry that was already applied is ignored. */
export function reduceConfig(
  state: ConfigState,
  entry: Log.LogEntry,
  rules: ConfigRules.ConfigRules = ConfigRules.CONFIG_RULES,
): ConfigState {
  if (entry.offset <= state.offset) return state;
  const next = entry.records.reduce<ConfigState>((current, record) => (
    applyRecord(current, record, entry, rules)
  ), state);
  return { ...next, offset: entry.offset };
}
