/**
 * State of one lease, computed from the records of the duties stream in log order. Whether a record
 * is accepted depends on the log alone, so every reader that knows the state decides alike.
 *
 * After a gap in the log a reader does not know which record was accepted last. The `replaces`
 * field of a claim, renewal or release holds the offset of the record that its writer considered
 * the newest accepted one, which proves that a reader with the full state had accepted that record.
 * The state is therefore known again at the first record whose `replaces` refers to a retained
 * record.
 *
 * If no process knows the state any more, a reset claim replaces all records before it. It is
 * accepted if the log has no record of the lease between the offset in `replaces` and the claim.
 * Readers can check this whether or not they know the state.
 */
import type * as Core from '@berylyoke/core';
import type * as DutyRecords from './DutyRecords.js';

/** Offset value that means "no record". */
export const NO_OFFSET = -1;

/**
 * Maximum number of records kept while the state is unknown. A renewal makes the state known long
 * before this limit is reached.
 */
const MAX_UNVERIFIED_RECORDS = 1_024;

/** State of one lease. Offsets refer to the duties stream; durations are milliseconds. */
export interface LeaseState {
  /** False from a gap until a record makes the state known again. */
  readonly known: boolean;
  /** Offset of the newest accepted claim, renewal or release. */
  readonly newestOffset: number;
  /** Holder according to the log; undefined before the first claim and after a release. */
  readonly holder: Core.Writer | undefined;
  /** Fencing token of the current or last holder. */
  readonly fence: number | undefined;
  readonly termMs: Core.Millis;
  readonly orderDeadlineMs: Core.Millis;
  /**
   * Offset of the last record of the lease that was read, accepted or not; after a gap, the offset
   * before the first retained record.
   */
  readonly lastReadOffset: number;
  /** Records that were read while the state is unknown. */
  readonly unverified: readonly DutyRecords.LeaseRecord[];
}

/** Conditions under which a record of a lease is accepted. */
export interface AcceptanceRules {
  readonly isRecordAccepted: (state: LeaseState, record: DutyRecords.LeaseRecord) => boolean;
  /** Whether a reader with unknown state may accept a record although no later one refers to it. */
  readonly isTrustedAfterGap: (record: DutyRecords.LeaseRecord) => boolean;
}

/** State before the first record of the stream. */
export const INITIAL_LEASE_STATE: LeaseState = {
  fence: undefined,
  holder: undefined,
  known: true,
  lastReadOffset: NO_OFFSET,
  newestOffset: NO_OFFSET,
  orderDeadlineMs: 0,
  unverified: [],
  termMs: 0,
};

/** Compares two writers. A restarted daemon counts as a different writer. */
export function isSameWriter(a: Core.Writer | undefined, b: Core.Writer): boolean {
  return a !== undefined && a.daemonId === b.daemonId && a.incarnation === b.incarnation;
}

function isWrittenByHolder(state: LeaseState, { body, writer }: DutyRecords.LeaseRecord): boolean {
  return isSameWriter(state.holder, writer) && body.fence === state.fence;
}

function isReset(record: DutyRecords.LeaseRecord): boolean {
  return record.kind === 'claim' && record.body.reset;
}

/** The first claim whose `replaces` is the offset of the newest accepted record is accepted. */
export const ACCEPTANCE_RULES: AcceptanceRules = {
  isRecordAccepted: (state, record) => {
    if (isReset(record)) return state.lastReadOffset <= record.body.replaces;
    if (record.body.replaces !== state.newestOffset) return false;
    // A claim without a fencing token takes the lease over; only the holder may renew or release.
    return (record.kind === 'claim' && record.body.fence === null)
      || isWrittenByHolder(state, record);
  },
  isTrustedAfterGap: () => false,
};

function applyAcceptedRecord(state: LeaseState, record: DutyRecords.LeaseRecord): LeaseState {
  const common = {
    ...state,
    known: true,
    lastReadOffset: record.offset,
    newestOffset: record.offset,
    unverified: [],
  };
  if (record.kind === 'release') {
    return { ...common, fence: record.body.fence, holder: undefined };
  }
  const { fence, orderDeadlineMs, termMs } = record.body;
  return {
    ...common, fence: fence ?? record.offset, holder: record.writer, orderDeadlineMs, termMs,
  };
}

function applyToKnownState(
  state: LeaseState,
  record: DutyRecords.LeaseRecord,
  rules: AcceptanceRules,
): LeaseState {
  const isAccepted = record.body.replaces < record.offset && rules.isRecordAccepted(state, record);
  return isAccepted
    ? applyAcceptedRecord(state, record)
    : { ...state, lastReadOffset: record.offset };
}

function applyToUnknownState(
  state: LeaseState,
  record: DutyRecords.LeaseRecord,
  rules: AcceptanceRules,
): LeaseState {
  const unverified = [...state.unverified, record].slice(-MAX_UNVERIFIED_RECORDS);
  const next = { ...state, lastReadOffset: record.offset, unverified };
  if (record.body.replaces >= record.offset) return next;
  if (isReset(record)) {
    return state.lastReadOffset <= record.body.replaces ? applyAcceptedRecord(state, record) : next;
  }
  if (rules.isTrustedAfterGap(record)) return applyAcceptedRecord(state, record);
  const predecessorIndex = unverified.findIndex(({ offset }) => offset === record.body.replaces);
  const predecessor = unverified[predecessorIndex];
  if (predecessor === undefined) return next;
  return unverified.slice(predecessorIndex + 1).reduce(
    (current, laterRecord) => applyToKnownState(current, laterRecord, rules),
    applyAcceptedRecord(state, predecessor),
  );
}

/** Applies one record of the lease, in log order. */
export function applyLeaseRecord(
  state: LeaseState,
  record: DutyRecords.LeaseRecord,
  rules: AcceptanceRules = ACCEPTANCE_RULES,
): LeaseState {
  return (state.known ? applyToKnownState : applyToUnknownState)(state, record, rules);
}

/** Applies a gap in the log: records with offsets below `first` are lost to this reader. */
export function applyLeaseGap(state: LeaseState, first: number): LeaseState {
  return {
    ...state,
    known: false,
    lastReadOffset: Math.max(state.lastReadOffset, first - 1),
    unverified: [],
  };
}
