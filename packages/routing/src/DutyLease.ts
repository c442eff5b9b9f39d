/**
 * Lease of the duties over a log whose appends take a condition: an append that names the end of
 * the log takes effect only where nobody else appended since. The offset of a claim is its fencing
 * token. A holder counts its term from before it sent the append, an observer from when it read the
 * record, so a holder's belief ends before anyone else may claim. Sealed figures of usage windows
 * are records of the same log; the first seal of a window is the only one that is ever reported.
 */
import type * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';
import * as ClockReading from './ClockReading.js';

/** Record of the duties log. `nonce` identifies the process and the append. */
export const DutyRecord = Schema.Struct({
  /** Daemons that handed over counts lately, as the holder saw it. */
  daemonCount: Schema.optional(Schema.Number),
  /** Absent in a claim: its offset becomes the fencing token. */
  fence: Schema.optional(Schema.Number),
  holder: Schema.String,
  kind: Schema.Literal('claim', 'release', 'renewal', 'seal'),
  nonce: Schema.String,
  /** Addresses of the daemons that read the store for others, by data centre. */
  relays: Schema.optional(Schema.Record({
    key: Schema.String, value: Schema.Array(Schema.String),
  })),
  seal: Schema.optional(Schema.Struct({
    counts: Schema.Record({ key: Schema.String, value: Schema.Number }),
    window: Schema.Number,
  })),
  termMs: Schema.Number,
  /** Writer's estimate of the true time, in Unix milliseconds. */
  writtenMs: Schema.Number,
});

/** Record of the duties log. */
export type DutyRecord = typeof DutyRecord.Type;

/** Sealed figures of a usage window. */
export type Seal = NonNullable<DutyRecord['seal']>;

/** What a process knows of the duties log. */
export interface DutyState {
  /** Offset of the next record. */
  readonly end: number;
  readonly holder: string | undefined;
  readonly fence: number | undefined;
  readonly termMs: Core.Millis;
  /** Nonce of the newest claim, renewal or seal of the holder. */
  readonly nonce: string | undefined;
  readonly observedAt: ClockReading.ClockReading | undefined;
  readonly daemonCount: number | undefined;
  readonly relays: NonNullable<DutyRecord['relays']>;
  /** When the holder wrote its newest record, by its estimate of the true time. */
  readonly writtenMs: Core.Millis | undefined;
  readonly seals: ReadonlyMap<number, Seal>;
}

/** State before the first record. */
export const INITIAL_DUTY_STATE: DutyState = {
  daemonCount: undefined,
  end: 0,
  fence: undefined,
  holder: undefined,
  nonce: undefined,
  observedAt: undefined,
  relays: {},
  seals: new Map(),
  termMs: 0,
  writtenMs: undefined,
};

/** Seals that are remembered; older windows are too late for a report. */
const MAX_SEALS = 24;

/** Time by which an observer waits longer than the term, for clocks of different speed. */
export const LEASE_MARGIN_MS = 300;

function addSeal(seals: DutyState['seals'], seal: Seal): DutyState['seals'] {
  if (seals.has(seal.window)) return seals;
  const kept = [...seals].sort(([a], [b]) => a - b).slice(1 - MAX_SEALS);
  return new Map([...kept, [seal.window, seal]]);
}

/** Applies one record, in log order. A record of a former holder has no effect. */
export function applyDutyRecord(
  state: DutyState,
  offset: number,
  record: DutyRecord,
  readAt: ClockReading.ClockReading,
): DutyState {
  const next = { ...state, end: offset + 1 };
  if (record.kind === 'claim') {
    return {
      ...next,
      fence: offset,
      holder: record.holder,
      nonce: record.nonce,
      observedAt: readAt,
      termMs: record.termMs,
      writtenMs: record.writtenMs,
    };
  }
  // After a gap the first renewal tells who holds the lease.
  if (state.fence !== undefined && record.fence !== state.fence) return next;
  if (record.kind === 'release') return { ...next, fence: record.fence, holder: undefined };
  return {
    ...next,
    daemonCount: record.daemonCount ?? state.daemonCount,
    fence: record.fence,
    holder: record.holder,
    nonce: record.nonce,
    observedAt: readAt,
    relays: record.relays ?? state.relays,
    seals: record.seal === undefined ? state.seals : addSeal(state.seals, record.seal),
    termMs: record.termMs,
    writtenMs: record.writtenMs,
  };
}

/** Applies a gap in the log: what was read before it says nothing about the holder of now. */
export function applyDutyGap(
  state: DutyState,
  first: number,
  readAt: ClockReading.ClockReading,
): DutyState {
  return {
    ...state, end: first, fence: undefined, holder: undefined, observedAt: readAt,
  };
}

/** Checks whether a process may claim the lease now. */
export function canClaim(state: DutyState, now: ClockReading.ClockReading): boolean {
  if (state.observedAt === undefined) return true;
  if (state.holder === undefined && state.fence !== undefined) return true;
  const passedMs = now.monotonicMs - state.observedAt.monotonicMs;
  return passedMs > state.termMs + LEASE_MARGIN_MS;
}

/** Right of this process to act, from an append that took effect. */
export interface HeldLease {
  readonly fence: number;
  /** Clocks before the append was sent. */
  readonly sentAt: ClockReading.ClockReading;
  readonly termMs: Core.Millis;
}

/** Computes the time for which the authority still holds; 0 after a suspension. */
export function computeRemainingTerm(
  heldLease: HeldLease | undefined,
  now: ClockReading.ClockReading,
): Core.Millis {
  if (heldLease === undefined || ClockReading.hasDrifted(heldLease.sentAt, now)) return 0;
  const passedMs = now.monotonicMs - heldLease.sentAt.monotonicMs;
  return Math.max(0, heldLease.termMs - LEASE_MARGIN_MS - passedMs);
}
