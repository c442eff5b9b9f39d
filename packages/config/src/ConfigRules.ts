/**
 * Rules of the configuration fold, one predicate each. They are gathered in a table so that the
 * tests can weaken one at a time and show that a property notices it.
 */
import * as HashMap from 'effect/HashMap';
import type * as ConfigState from './ConfigState.js';

/** Decisions of the fold. */
export interface ConfigRules {
  /** Whether an edit that was made from `baseVersion` takes effect, if it is valid. */
  readonly isInTurn: (state: ConfigState.ConfigState, baseVersion: number) => boolean;
  /** Whether a record was applied or rejected before. */
  readonly isRepeated: (state: ConfigState.ConfigState, recordId: string) => boolean;
  /** Whether a key of this id may be issued. */
  readonly canIssue: (state: ConfigState.ConfigState, keyId: string) => boolean;
  /** Whether a withdrawal is recorded although the issue was not seen. */
  readonly canWithdrawUnknown: () => boolean;
  /** Whether a state from a snapshot or a peer replaces the reader's own. */
  readonly canAdopt: (
    own: ConfigState.ConfigState,
    other: ConfigState.ConfigState,
  ) => boolean;
  /** Whether entries that follow `afterOffset` continue the state without a hole. */
  readonly canFollow: (state: ConfigState.ConfigState, afterOffset: number) => boolean;
  /** Whether entries behind a gap are kept until a snapshot closes it. */
  readonly canKeep: () => boolean;
}

/** The rules in force. */
export const CONFIG_RULES: ConfigRules = {
  canAdopt: (own, other) => other.offset > own.offset,
  canFollow: (state, afterOffset) => state.offset >= afterOffset,
  canIssue: (state, keyId) => !HashMap.has(state.keys, keyId),
  canKeep: () => true,
  canWithdrawUnknown: () => true,
  isInTurn: (state, baseVersion) => baseVersion === state.version,
  isRepeated: (state, recordId) => state.seen.includes(recordId),
};
