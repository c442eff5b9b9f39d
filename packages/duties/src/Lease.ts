/**
 * State of one lease as a fold over the records of the duties stream. Every reader that knows the
 * state reaches the same verdict on each record, because a verdict depends on the log alone.
 *
 * After a gap a reader does not know which record is the newest accepted one. A claim, renewal or
 * release that names a record proves that a reader with the full state had accepted that record,
 * so the first such record whose named one is retained makes the state known again. When nobody is
 * left who knows the state, a reset claim replaces every record before it; it is accepted when the
 * log holds no record of the lease between the offset that it names and itself, a condition that
 * readers with and without the state can check alike.
 */
import type * as Core from '@berylyoke/core';
import type * as DutyRecords from './DutyRecords.js';

/** Offset that stands for no record. */
export const NO_OFFSET = -1;

/** Records kept while the state is unknown; a renewal ends that state long before. */
const MAX_TENTATIVE_RECORDS = 1_024;

/** State of one lease. Offsets are those of the duties stream; durations are milliseconds. */
export interface LeaseState {
  /** False between a gap and the next record that makes the state known. */
  readonly known: boolean;
  /** Newest accepted claim, renewal or release. */
  readonly newest: number;
  /** Holder by the log; undefined before the first claim and after a release. */
  readonly holder: Core.Writer | undefined;
  /** Fencing token of the last holder. */
  readonly fence: number | undefined;
  readonly termMs: Core.Millis;
  readonly orderDeadlineMs: Core.Millis;
  /** Last record of the lease whatever its verdict, or the offset before the first one read. */
  readonly lastRead: number;
  /** Records read while the state is unknown. */
  readonly tentative: readonly DutyRecords.LeaseRecord[];
}

/** Conditions under which a record is accepted. */
export interface FoldRules {
  readonly isClaimAccepted: (state: LeaseState, record: DutyRecords.LeaseRecord) => boolean;
  /** Whether a reader may take a record for the newest one without a proof. */
  readonly isTrustedAfterGap: (record: DutyRecords.LeaseRecord) => boolean;
}

/** State before the first record of the stream. */
export const INITIAL_LEASE_STATE: LeaseState = {
  fence: undefined,
  holder: undefined,
  known: true,
  lastRead: NO_OFFSET,
  newest: NO_OFFSET,
  orderDeadlineMs: 0,
  tentative: [],
  termMs: 0,
};

/** Compares two writers; a restart of a daemon is another writer. */
export function isSameWriter(a: Core.Writer | undefined, b: Core.Writer): boolean {
  return a !== undefined && a.daemonId === b.daemonId && a.incarnation === b.incarnation;
}

function isByHolder(state: LeaseState, { body, writer }: DutyRecords.LeaseRecord): boolean {
  return isSameWriter(state.holder, writer) && body.fence === state.fence;
}

function isReset(record: DutyRecords.LeaseRecord): boolean {
  return record.kind === 'claim' && record.body.reset;
}

/** The rules of the design page: the first claim that names the newest accepted record wins. */
export const FOLD_RULES: FoldRules = {
  isClaimAccepted: (state, record) => {
    if (isReset(record)) return state.lastRead <= record.body.replaces;
    if (record.body.replaces !== state.newest) return false;
    // A claim without a fence changes the lease's holder; a renewal or release needs the holder.
    return (record.kind === 'claim' && record.body.fence === null) || isByHolder(state, record);
  },
  isTrustedAfterGap: () => false,
};

function applyAccepted(state: LeaseState, record: DutyRecords.LeaseRecord): LeaseState {
  const common = {
    ...state, known: true, lastRead: record.offset, newest: record.offset, tentative: [],
  };
  if (record.kind === 'release') {
    return { ...common, fence: record.body.fence, holder: undefined };
  }
  const { fence, orderDeadlineMs, termMs } = record.body;
  return {
    ...common, fence: fence ?? record.offset, holder: record.writer, orderDeadlineMs, termMs,
  };
}

function applyKnown(
  state: LeaseState,
  record: DutyRecords.LeaseRecord,
  rules: FoldRules,
): LeaseState {
  const isAccepted = record.body.replaces < record.offset && rules.isClaimAccepted(state, record);
  return isAccepted ? applyAccepted(state, record) : { ...state, lastRead: record.offset };
}

function applyUnknown(
  state: LeaseState,
  record: DutyRecords.LeaseRecord,
  rules: FoldRules,
): LeaseState {
  const tentative = [...state.tentative, record].slice(-MAX_TENTATIVE_RECORDS);
  const next = { ...state, lastRead: record.offset, tentative };
  if (record.body.replaces >= record.offset) return next;
  if (isReset(record)) {
    return state.lastRead <= record.body.replaces ? applyAccepted(state, record) : next;
  }
  if (rules.isTrustedAfterGap(record)) return applyAccepted(state, record);
  const index = tentative.findIndex(({ offset }) => offset === record.body.replaces);
  const named = tentative[index];
  if (named === undefined) return next;
  return tentative.slice(index + 1).reduce(
    (later, each) => applyKnown(later, each, rules),
    applyAccepted(state, named),
  );
}

/** Applies one record of the lease, in log order. */
export function applyLeaseRecord(
  state: LeaseState,
  record: DutyRecords.LeaseRecord,
  rules: FoldRules = FOLD_RULES,
): LeaseState {
  return (state.known ? applyKnown : applyUnknown)(state, record, rules);
}

/** Applies a gap: records below `first` were not read. */
export function applyLeaseGap(state: LeaseState, first: number): LeaseState {
  return {
    ...state, known: false, lastRead: Math.max(state.lastRead, first - 1), tentative: [],
  };
}
