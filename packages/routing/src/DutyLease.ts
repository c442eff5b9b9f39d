/**
 * Lease of the duties, kept in a log with conditional appends: an append that names the expected
 * end of the log takes effect only if no other record was appended in the meantime. The position of
 * a claim is its fencing token. The claim states it, because a log that returns from an older copy
 * has the same record at a position of a later generation.
 *
 * The holder measures its term from before it sent the append, and an observer from when it read
 * the record. The holder therefore considers its lease expired before any observer may claim it.
 *
 * The sealed counts of usage windows are records of the same log. Only the first seal of a window
 * counts, so every report of a window has the same counts.
 *
 * The log may delete records before a process has read them. A process then does not know which
 * windows were sealed in the gap, and takes every window that could have been sealed by then for
 * sealed. Each record states the sealed windows that its writer knows, and a conditional append
 * proves that the writer knew the whole log before it. The next record that is read therefore
 * replaces what was assumed of the gap.
 */
import type * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';
import * as ClockReading from './ClockReading.js';
import * as LogPosition from './LogPosition.js';

/** Schema of a record of the duties log. `nonce` identifies the append and its process. */
export const DutyRecord = Schema.Struct({
  /**
   * First window of whose counts the holder has read everything that was handed over. The counts
   * log deleted older counts before the holder read them, so daemons hand them over again.
   */
  countsFrom: Schema.optional(Schema.Finite),
  /** Number of daemons that handed over counts recently, as known to the holder. */
  daemonCount: Schema.optional(Schema.Finite),
  /** Fencing token of the holder. A claim of an earlier version has none: its position is it. */
  fence: Schema.optional(Schema.Finite),
  holder: Schema.String,
  kind: Schema.Literal('claim', 'release', 'renewal', 'seal'),
  nonce: Schema.String,
  /** Addresses of the relays, which read the store for other daemons, by data centre. */
  relays: Schema.optional(Schema.Record({
    key: Schema.String, value: Schema.Array(Schema.String),
  })),
  /** First window that may be sealed; seals of earlier ones may have been lost with the log. */
  sealFrom: Schema.optional(Schema.Finite),
  /** Sealed windows from `sealFrom` on. A record of an earlier version states none. */
  sealedWindows: Schema.optional(Schema.Array(Schema.Finite)),
  seal: Schema.optional(Schema.Struct({
    counts: Schema.Record({ key: Schema.String, value: Schema.Finite }),
    window: Schema.Finite,
  })),
  termMs: Schema.Finite,
  /** Time of writing by the writer's estimate of the true time, in Unix milliseconds. */
  writtenMs: Schema.Finite,
});

/** Record of the duties log. */
export type DutyRecord = typeof DutyRecord.Type;

/** Sealed counts of a usage window, by client account. */
export type Seal = NonNullable<DutyRecord['seal']>;

/** State of the lease as a process has read it from the duties log. */
export interface DutyState {
  /** Offset of the next record. */
  readonly end: number;
  readonly holder: string | undefined;
  readonly fence: number | undefined;
  readonly termMs: Core.Millis;
  /** Nonce of the newest claim, renewal or seal of the holder. */
  readonly nonce: string | undefined;
  /** Clock reading at which this process read the newest record of the holder. */
  readonly observedAt: ClockReading.ClockReading | undefined;
  readonly daemonCount: number | undefined;
  readonly relays: NonNullable<DutyRecord['relays']>;
  /** Time at which the holder wrote its newest record, by its estimate of the true time. */
  readonly writtenMs: Core.Millis | undefined;
  readonly seals: ReadonlyMap<number, Seal>;
  /** First window that may be sealed. */
  readonly sealFrom: number;
  /** Windows that are sealed with counts that this process may not know. */
  readonly sealedWindows: ReadonlySet<number>;
  /** Whether records are missing and no later record has stated the sealed windows yet. */
  readonly hasGap: boolean;
}

/** State before the first record. */
export const INITIAL_DUTY_STATE: DutyState = {
  daemonCount: undefined,
  end: 0,
  fence: undefined,
  hasGap: false,
  holder: undefined,
  nonce: undefined,
  observedAt: undefined,
  relays: {},
  sealFrom: 0,
  sealedWindows: new Set(),
  seals: new Map(),
  termMs: 0,
  writtenMs: undefined,
};

/** Maximum number of seals that are kept; older windows are too late for a report. */
const MAX_SEALS = 24;

/**
 * Time by which the holder shortens the lease term and observers extend it, in milliseconds. It
 * allows for clocks that run at different speeds.
 */
export const LEASE_MARGIN_MS = 300;

/** Checks whether a window is sealed, or may be by what was read. */
export function isSealed({ sealedWindows, sealFrom, seals }: DutyState, window: number): boolean {
  return window < sealFrom || seals.has(window) || sealedWindows.has(window);
}

/** Lists the windows from `sealFrom` on that are known to be sealed, oldest first. */
export function listSealedWindows(
  { sealedWindows, sealFrom, seals }: DutyState,
): readonly number[] {
  return [...new Set([...seals.keys(), ...sealedWindows])]
    .filter((window) => window >= sealFrom)
    .sort((a, b) => a - b);
}

/** Builds what a record of this process states about the sealed windows. */
export function buildSealStatement(
  state: DutyState,
): Pick<DutyRecord, 'sealedWindows' | 'sealFrom'> {
  return { sealedWindows: listSealedWindows(state), sealFrom: state.sealFrom };
}

/** Adds a seal. Windows whose seals are dropped for it count as sealed by `sealFrom`. */
function addSeal(state: DutyState, seal: Seal): DutyState {
  if (state.seals.has(seal.window)) return state;
  const seals = [...state.seals, [seal.window, seal] as const].sort(([a], [b]) => a - b);
  const windows = listSealedWindows({ ...state, seals: new Map(seals) });
  const sealFrom = windows.at(-MAX_SEALS) ?? state.sealFrom;
  return {
    ...state,
    sealFrom,
    sealedWindows: new Set([...state.sealedWindows].filter((window) => window >= sealFrom)),
    seals: new Map(seals.slice(-MAX_SEALS)),
  };
}

/** What is known of the windows that are sealed, apart from the seals themselves. */
type SealKnowledge = Pick<DutyState, 'hasGap' | 'sealedWindows' | 'sealFrom'>;

/**
 * Chooses what is known of the sealed windows after a record. The holder of this generation of the
 * log knows it best: its seals were not lost, or it claimed after the others noticed the return.
 */
function chooseSealKnowledge(
  state: DutyState,
  position: number,
  {
    fence, kind, sealedWindows, sealFrom,
  }: DutyRecord,
): SealKnowledge {
  const known = { hasGap: state.hasGap, sealedWindows: state.sealedWindows };
  if (sealFrom === undefined) return { ...known, sealFrom: state.sealFrom };
  const isOfGeneration = fence !== undefined
    && LogPosition.getGeneration(fence) === LogPosition.getGeneration(position);
  // A record without sealed windows is of an earlier version, whose writer ignores its own gaps.
  const isComplete = isOfGeneration && sealedWindows !== undefined;
  if (isComplete && (kind === 'claim' || state.hasGap)) {
    return { hasGap: false, sealedWindows: new Set(sealedWindows), sealFrom };
  }
  const isTrusted = kind === 'claim' && isOfGeneration && !state.hasGap;
  return { ...known, sealFrom: isTrusted ? sealFrom : Math.max(sealFrom, state.sealFrom) };
}

/** Applies one record; records come in log order. A record of a former holder has no effect. */
export function applyDutyRecord(
  state: DutyState,
  offset: number,
  record: DutyRecord,
  readAt: ClockReading.ClockReading,
): DutyState {
  const next = { ...state, ...chooseSealKnowledge(state, offset, record), end: offset + 1 };
  if (record.kind === 'claim') {
    return {
      ...next,
      fence: record.fence ?? offset,
      holder: record.holder,
      nonce: record.nonce,
      observedAt: readAt,
      termMs: record.termMs,
      writtenMs: record.writtenMs,
    };
  }
  // The fencing token is unknown after a gap; renewals then show who holds the lease. A late append
  // of a former holder may come first, so that a greater token shows a later claim in the gap.
  if (state.fence !== undefined && (record.fence ?? -1) < state.fence) return next;
  if (record.kind === 'release') return { ...next, fence: record.fence, holder: undefined };
  return {
    ...record.seal === undefined ? next : addSeal(next, record.seal),
    daemonCount: record.daemonCount ?? state.daemonCount,
    fence: record.fence,
    holder: record.holder,
    nonce: record.nonce,
    observedAt: readAt,
    relays: record.relays ?? state.relays,
    termMs: record.termMs,
    writtenMs: record.writtenMs,
  };
}

/**
 * Applies a gap in the log. Records from before the gap do not show who holds the lease now. A
 * daemon that claimed it in the gap may hold it for a whole term, `termMs` if no longer one is
 * known.
 */
export function applyDutyGap(
  state: DutyState,
  first: number,
  readAt: ClockReading.ClockReading,
  termMs: Core.Millis,
): DutyState {
  return {
    ...state,
    end: first,
    fence: undefined,
    hasGap: true,
    holder: undefined,
    observedAt: readAt,
    termMs: Math.max(termMs, state.termMs),
  };
}

/**
 * Checks whether a process may claim the lease now: the log has no record, the lease was released,
 * or a term and a margin have passed without a new record of the holder.
 */
export function canClaim(state: DutyState, now: ClockReading.ClockReading): boolean {
  if (state.observedAt === undefined) return true;
  if (state.holder === undefined && state.fence !== undefined) return true;
  const passedMs = now.monotonicMs - state.observedAt.monotonicMs;
  return passedMs > state.termMs + LEASE_MARGIN_MS;
}

/** Lease that this process holds by its newest append that took effect. */
export interface HeldLease {
  readonly fence: number;
  /** Clock reading before the append was sent. */
  readonly sentAt: ClockReading.ClockReading;
  readonly termMs: Core.Millis;
}

/** Checks whether the lease was claimed since the log returned from an older copy. */
export function hasHolderOfGeneration({ end, fence }: DutyState): boolean {
  return fence !== undefined
    && LogPosition.getGeneration(fence) === LogPosition.getGeneration(end);
}

/**
 * Checks whether the holder of before the log returned from an older copy may claim the lease at
 * once: within a term of its newest append nobody else can have claimed it, and nobody has claimed
 * it since the return.
 */
export function canReclaim(
  state: DutyState,
  newestLease: HeldLease | undefined,
  now: ClockReading.ClockReading,
): boolean {
  if (newestLease === undefined || ClockReading.hasDrifted(newestLease.sentAt, now)) return false;
  const generation = LogPosition.getGeneration(state.end);
  return now.monotonicMs - newestLease.sentAt.monotonicMs < newestLease.termMs
    && LogPosition.getGeneration(newestLease.fence) !== generation
    && !hasHolderOfGeneration(state);
}

/**
 * Computes the time for which this process still holds the lease, in milliseconds; 0 without a
 * lease, and after a suspension of the VM or a step of the time of day.
 */
export function computeRemainingTerm(
  heldLease: HeldLease | undefined,
  now: ClockReading.ClockReading,
): Core.Millis {
  if (heldLease === undefined || ClockReading.hasDrifted(heldLease.sentAt, now)) return 0;
  const passedMs = now.monotonicMs - heldLease.sentAt.monotonicMs;
  return Math.max(0, heldLease.termMs - LEASE_MARGIN_MS - passedMs);
}
