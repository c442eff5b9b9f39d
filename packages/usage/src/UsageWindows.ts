/**
 * Fold of the stream `usage`. Counters merge by their greatest value per source, so repetitions and
 * any order count once. Seals form a chain: each names the seal before it, and the first seal that
 * names the newest one wins. Two seals can therefore never account for the same late counters.
 */
import * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import * as Either from 'effect/Either';
import * as HashMap from 'effect/HashMap';
import * as HashSet from 'effect/HashSet';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import * as UsageAmounts from './UsageAmounts.js';
import * as PeerCounters from './PeerCounters.js';
import * as UsageRecords from './UsageRecords.js';

/** Bounds of the fold. All daemons use the same. */
export interface UsageLimits {
  readonly windowMs: Core.Millis;
  /** Windows before the newest sealed one for which late counters still count. */
  readonly allowedLateWindows: number;
}

/** Counters of one window. */
export interface WindowCounters {
  readonly sources: HashMap.HashMap<string, UsageAmounts.AccountUsage>;
  /**
   * Use by account that no seal has accounted for. A persistent map: adding a record of 20 accounts
   * to a plain object of 2,300 took 4.3 ms.
   */
  readonly unaccounted: HashMap.HashMap<string, UsageAmounts.UsageAmounts>;
}

/** A seal that won. */
export interface Seal {
  readonly window: number;
  readonly recordId: string;
  readonly timestampMs: Core.Millis;
  readonly parts: readonly UsageRecords.SealPart[];
}

/** State after the entries up to `offset`. */
export interface UsageState {
  readonly limits: UsageLimits;
  /** Offset of the last entry that was applied; -1 before the first one. */
  readonly offset: number;
  readonly nowMs: Core.Millis;
  readonly windows: HashMap.HashMap<number, WindowCounters>;
  /** Windows with use that no seal has accounted for. */
  readonly unsealed: HashSet.HashSet<number>;
  /** Newest seal that won; undefined before the first one, or while the chain is not known. */
  readonly last: Seal | undefined;
  /** Seals that won and are not known to be reported, oldest first. */
  readonly unreported: readonly Seal[];
  /** Seals read after a gap, by record id, until another one names one of them: it has won. */
  readonly candidates: ReadonlyMap<string, Seal>;
  /** Timestamp from which on every entry was read, after a gap. */
  readonly covered: Core.Millis | 'complete' | 'unread';
  /** Timestamp of the gap or of the newest seal record since, while the chain is not known. */
  readonly quietSinceMs: Core.Millis;
  /** Greatest fencing token of a seal that won. */
  readonly fence: number;
  /** Counters that came too late for any correction. */
  readonly ignoredCounters: number;
  /** Records of a known kind that did not decode. */
  readonly skipped: number;
}

/** Seals that await confirmation by the chain. */
const MAX_CANDIDATES = 1_000;

/** Creates the state before the first entry. */
export function createUsageState(limits: UsageLimits): UsageState {
  return {
    candidates: new Map(),
    covered: 'complete',
    fence: -1,
    ignoredCounters: 0,
    last: undefined,
    limits,
    nowMs: 0,
    offset: -1,
    quietSinceMs: 0,
    skipped: 0,
    unreported: [],
    unsealed: HashSet.empty(),
    windows: HashMap.empty(),
  };
}

const EMPTY_COUNTERS: WindowCounters = {
  sources: HashMap.empty(), unaccounted: HashMap.empty(),
};

function getCounters(state: UsageState, window: number): WindowCounters {
  return Option.getOrElse(HashMap.get(state.windows, window), () => EMPTY_COUNTERS);
}

function getRestartMs({ allowedLateWindows, windowMs }: UsageLimits): Core.Millis {
  return allowedLateWindows * windowMs;
}

/** Tells whether late counters of a window still count. */
function isOpen({ last, limits }: UsageState, window: number): boolean {
  return last === undefined || window > last.window - getRestartMs(limits);
}

function applyCounters(
  state: UsageState,
  { accounts, source, window }: UsageRecords.UsageCounters,
): UsageState {
  if (!isOpen(state, window)) return { ...state, ignoredCounters: state.ignoredCounters + 1 };
  const counters = getCounters(state, window);
  const key = PeerCounters.formatSource(source);
  const before = Option.getOrElse(HashMap.get(counters.sources, key), () => ({}));
  const after = UsageAmounts.joinFigures(before, accounts);
  const added = UsageAmounts.computeExcess(after, before);
  if (UsageAmounts.isEmptyFigures(added)) return state;
  return {
    ...state,
    unsealed: HashSet.add(state.unsealed, window),
    windows: HashMap.set(state.windows, window, {
      sources: HashMap.set(counters.sources, key, after),
      unaccounted: Object.entries(added).reduce((sums, [account, figures]) => (
        HashMap.modifyAt(sums, account, (known) => Option.some(
          UsageAmounts.addFigures(
            Option.getOrElse(known, () => UsageAmounts.ZERO_FIGURES),
            figures,
          ),
        ))
      ), counters.unaccounted),
    }),
  };
}

function applyPart(
  state: UsageState,
  { accounts, window }: UsageRecords.SealPart,
): UsageState {
  const counters = getCounters(state, window);
  const unaccounted = Object.entries(accounts).reduce((sums, [account, figures]) => (
    HashMap.modifyAt(sums, account, (known) => Option.flatMap(known, (sum) => {
      const rest = UsageAmounts.subtractFigures(sum, figures);
      return UsageAmounts.isZeroFigures(rest) ? Option.none() : Option.some(rest);
    }))
  ), counters.unaccounted);
  return {
    ...state,
    unsealed: HashMap.isEmpty(unaccounted)
      ? HashSet.remove(state.unsealed, window)
      : state.unsealed,
    windows: HashMap.set(state.windows, window, { ...counters, unaccounted }),
  };
}

function addSeal(state: UsageState, seal: Seal): UsageState {
  const sealed = {
    ...seal.parts.reduce(applyPart, state),
    last: seal,
    unreported: [...state.unreported, seal],
  };
  const closed = [...HashMap.keys(sealed.windows)].filter((window) => !isOpen(sealed, window));
  return {
    ...sealed,
    unsealed: closed.reduce((kept, window) => HashSet.remove(kept, window), sealed.unsealed),
    windows: HashMap.removeMany(sealed.windows, closed),
  };
}

/** Tells whether a chain may begin anew at a time, since no seal can be recent. */
export function canRestart(state: UsageState, timeMs: Core.Millis): boolean {
  const restartMs = getRestartMs(state.limits);
  if (state.last !== undefined) return timeMs - state.last.timestampMs >= restartMs;
  if (state.covered === 'complete') return true;
  return state.covered !== 'unread' && timeMs - state.quietSinceMs >= restartMs;
}

function isVeryFirst({ covered, last }: UsageState): boolean {
  return covered === 'complete' && last === undefined;
}

/** Latest window that a lost seal may have sealed when a chain begins anew. */
function getRestartFloor(state: UsageState, timeMs: Core.Millis): number {
  return isVeryFirst(state) ? -Infinity : timeMs - getRestartMs(state.limits);
}

/** Leaves out the windows that a lost or unproven seal may have accounted for. */
function withRestart(state: UsageState, timeMs: Core.Millis): UsageState {
  const { covered, last } = state;
  if (last !== undefined || covered === 'complete' || covered === 'unread') return state;
  return { ...state, covered: Math.max(covered, getRestartFloor(state, timeMs)) };
}

function applySeal(
  state: UsageState,
  {
    base, fence, parts, plannedMs, window,
  }: UsageRecords.UsageSeal,
  entry: Log.LogEntry,
  { recordId }: Log.LogRecord,
): UsageState {
  if (state.last !== undefined && window <= state.last.window) return state;
  // A reporter whose clock is ahead would otherwise make every window before its own a late one.
  if (window > entry.timestampMs) return state;
  if (fence < state.fence) return state;
  const seal: Seal = {
    parts, recordId, timestampMs: state.nowMs, window,
  };
  const isNext = state.last !== undefined && state.last.recordId === base;
  // A seal that was planned before the gap may be the repetition of a lost one.
  const isAfterGap = state.covered === 'complete' || plannedMs > Number(state.covered);
  // Its reporter had read the newest seal: one that lags may not break the chain.
  const isFirst = base === UsageRecords.NO_SEAL && canRestart(state, state.nowMs)
    && window > getRestartFloor(state, state.nowMs)
    && (isVeryFirst(state) || plannedMs > (state.last?.timestampMs ?? state.quietSinceMs));
  if (isNext) return { ...addSeal(state, seal), fence };
  if (isFirst) {
    return { ...addSeal(withRestart(state, state.nowMs), seal), candidates: new Map(), fence };
  }
  if (state.last !== undefined || state.covered === 'complete') return state;
  const seen = { ...state, quietSinceMs: state.nowMs };
  // Readers that know the chain may have taken this seal for the beginning of a new one.
  if (base === UsageRecords.NO_SEAL) {
    return { ...seen, candidates: new Map(), covered: state.nowMs };
  }
  if (!isAfterGap) return seen;
  // Only a seal that won is ever named as a base, and the first seal that names it wins.
  const named = state.candidates.get(base);
  if (named !== undefined) {
    return { ...addSeal(addSeal(state, named), seal), candidates: new Map(), fence };
  }
  if (state.candidates.size >= MAX_CANDIDATES) return seen;
  return { ...seen, candidates: new Map(state.candidates).set(recordId, seal) };
}

function applyReported(
  state: UsageState,
  { sealId }: UsageRecords.UsageReported,
): UsageState {
  return { ...state, unreported: state.unreported.filter(({ recordId }) => recordId !== sealId) };
}

type RecordHandler = (
  state: UsageState,
  record: Log.LogRecord,
  entry: Log.LogEntry,
) => UsageState;

function withBody<A, I>(
  schema: Schema.Schema<A, I>,
  apply: (
    state: UsageState,
    body: A,
    entry: Log.LogEntry,
    record: Log.LogRecord,
  ) => UsageState,
): RecordHandler {
  const decode = Schema.decodeUnknownEither(schema);
  return (state, record, entry) => {
    const body = decode(record.body);
    return Either.isLeft(body)
      ? { ...state, skipped: state.skipped + 1 }
      : apply(state, body.right, entry, record);
  };
}

const HANDLERS: Readonly<Record<string, RecordHandler>> = {
  [UsageRecords.USAGE_KINDS.counters]: withBody(UsageRecords.UsageCounters, applyCounters),
  [UsageRecords.USAGE_KINDS.reported]: withBody(UsageRecords.UsageReported, applyReported),
  [UsageRecords.USAGE_KINDS.seal]: withBody(UsageRecords.UsageSeal, applySeal),
};

/** Steps the state by one entry. Entries that were applied before change nothing. */
export function reduceUsage(state: UsageState, entry: Log.LogEntry): UsageState {
  if (entry.offset <= state.offset) return state;
  const nowMs = Math.max(state.nowMs, entry.timestampMs);
  const covered = state.covered === 'unread' ? nowMs : state.covered;
  const quietSinceMs = state.covered === 'unread' ? nowMs : state.quietSinceMs;
  const next = entry.records.reduce<UsageState>((current, record) => (
    HANDLERS[record.kind]?.(current, record, entry) ?? current
  ), {
    ...state, covered, nowMs, quietSinceMs,
  });
  return { ...next, offset: entry.offset };
}

/**
 * Steps the state by the loss of entries before `first`. Nothing that was read is kept, because a
 * lost seal may have accounted for it.
 */
export function reduceUsageGap(state: UsageState, first: number): UsageState {
  if (first <= state.offset + 1) return state;
  return {
    ...createUsageState(state.limits), covered: 'unread', nowMs: state.nowMs, offset: first - 1,
  };
}

/** Tells whether every record of a window was read; clocks may differ by one window. */
function isWhole({ covered, limits }: UsageState, window: number): boolean {
  if (covered === 'complete') return true;
  return covered !== 'unread' && window - limits.windowMs >= covered;
}

/** Computes the use of a window that no seal has accounted for. */
export function computeUnaccounted(state: UsageState, window: number): UsageAmounts.AccountUsage {
  if (!isWhole(state, window)) return {};
  return UsageAmounts.sortFigures(Object.fromEntries(getCounters(state, window).unaccounted));
}

/** Computes what is reported for a sealed window: its own use and the corrections. */
export function computeReport({ parts }: Seal): UsageAmounts.AccountUsage {
  return UsageAmounts.sortFigures(parts.reduce<UsageAmounts.AccountUsage>(
    (sum, { accounts }) => UsageAmounts.sumFigures(sum, accounts),
    {},
  ));
}

/**
 * Plans the next seal: the oldest window with counters that has ended, or else the newest one that
 * has ended, which carries corrections only or keeps the chain alive. Undefined when no window has
 * ended since the last seal, or when the chain is not known.
 */
export function planSeal(
  state: UsageState,
  wallMs: Core.Millis,
  graceMs: Core.Millis,
  fence: number,
): UsageRecords.UsageSeal | undefined {
  const { last, limits } = state;
  if (last === undefined && !canRestart(state, wallMs)) return undefined;
  // Readers could not tell the seal from the repetition of one before the gap.
  if (!isVeryFirst(state) && last === undefined && state.nowMs <= state.quietSinceMs) {
    return undefined;
  }
  const known = withRestart(state, wallMs);
  const newest = (Math.floor((wallMs - graceMs) / limits.windowMs) - 1) * limits.windowMs;
  const sealed = last?.window ?? getRestartFloor(state, wallMs);
  if (newest <= sealed) return undefined;
  const unaccounted = [...state.unsealed]
    .filter((window) => window <= newest)
    .map((window) => ({ accounts: computeUnaccounted(known, window), window }))
    .filter(({ accounts }) => !UsageAmounts.isEmptyFigures(accounts))
    .sort((a, b) => a.window - b.window);
  const window = unaccounted.find((part) => part.window > sealed)?.window ?? newest;
  return {
    base: last?.recordId ?? UsageRecords.NO_SEAL,
    fence,
    parts: unaccounted.filter((part) => part.window <= window),
    plannedMs: state.nowMs,
    window,
  };
}
