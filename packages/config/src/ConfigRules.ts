/**
 * Rules of the configuration reducers, one function each. They are passed as a table so that tests
 * can replace one rule at a time and show that a property test detects the change.
 */
import * as HashMap from 'effect/HashMap';
import type * as ConfigState from './ConfigState.js';

/** Decisions of the configuration reducers. */
export interface ConfigRules {
  /** Whether a valid edit based on `baseVersion` is accepted. */
  readonly isBaseCurrent: (state: ConfigState.ConfigState, baseVersion: number) => boolean;
  /** Whether the record has already been applied or rejected. */
  readonly isDuplicate: (state: ConfigState.ConfigState, recordId: string) => boolean;
  /** Whether a key with this id may be issued. */
  readonly canIssue: (state: ConfigState.ConfigState, keyId: string) => boolean;
  /** Whether a withdrawal is recorded for a key whose issue was not seen. */
  readonly canWithdrawUnknown: () => boolean;
  /** Whether a state from a snapshot or a peer replaces the state of the reader. */
  readonly canAdopt: (
    own: ConfigState.ConfigState,
    other: ConfigState.ConfigState,
  ) => boolean;
  /** Offset that the covered offset of a snapshot has to exceed, or it is not decoded. */
  readonly getSnapshotLowerBound: (own: ConfigState.ConfigState) => number;
  /** Whether entries that follow `afterOffset` can be applied to the state without a gap. */
  readonly canApplyAfter: (state: ConfigState.ConfigState, afterOffset: number) => boolean;
  /** Whether entries after a gap are kept until a snapshot closes it. */
  readonly canKeepPending: () => boolean;
}

/** The rules used in production. */
export const CONFIG_RULES: ConfigRules = {
  canAdopt: (own, other) => other.offset > own.offset,
  canApplyAfter: (state, afterOffset) => state.offset >= afterOffset,
  canIssue: (state, keyId) => !HashMap.has(state.keys, keyId),
  canKeepPending: () => true,
  canWithdrawUnknown: () => true,
  getSnapshotLowerBound: (own) => own.offset,
  isBaseCurrent: (state, baseVersion) => baseVersion === state.version,
  isDuplicate: (state, recordId) => state.seen.includes(recordId),
};
