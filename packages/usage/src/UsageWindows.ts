/**
 * Fold of the stream `usage`. Counters merge by their greatest value per source, so repetitions and
 * any order count once. Seals form a chain: each names the seal before it, and the first seal that
 * names the newest one wins. Two seals can therefore never account for the same late counters.
 */
import * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import * as Either from 'effect/Either';
import * as HashMap from 'effect/HashMap';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import * as Figures from './Figures.js';
import * as PeerCounters from './PeerCounters.js';
import * as UsageRecords from './UsageRecords.js';

/** Bounds of the fold. All daemons use the same. */
export interface UsageLimits {
  readonly windowMs: Core.Millis;
  /** Windows before the newest sealed one for which late counters still count. */
  readonly lateWindows: number;
}

/** Counters of one window. */
export interface WindowCounters {
  readonly sources: HashMap.HashMap<string, Figures.AccountFigures>;
  readonly total: Figures.AccountFigures;
  /** Sum of what seals have accounted for. */
  readonly accounted: Figures.AccountFigures;
}

/** A seal that won. */
export interface Seal {
  readonly window: number;
  readonly offset: number;
  readonly timestampMs: Core.Millis;
  readonly parts: readonly UsageRecords.SealPart[];
  readonly reported: boolean;
}

/** State after the entries up to `offset`. */
export interface UsageState {
  readonly limits: UsageLimits;
  /** Offset of the last entry that was applied; -1 before the first one. */
  readonly offset: number;
  readonly nowMs: Core.Millis;
  readonly windows: HashMap.HashMap<number, WindowCounters>;
  /** Newest seal that won; undefined before the first one, or while the chain is not known. */
  readonly last: Seal | undefined;
  /** Seals that won and are not known to be reported, oldest first. */
  readonly unreported: readonly Seal[];
  /** Seals read after a gap, by offset, until one of them names another and proves it a winner. */
  readonly candidates: ReadonlyMap<number, Seal>;
  /** Timestamp from which on every entry was read, after a gap. */
  readonly covered: Core.Millis | 'complete' | 'unread';
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
    skipped: 0,
    unreported: [],
    windows: HashMap.empty(),
  };
}

const EMPTY_COUNTERS: WindowCounters = { accounted: {}, sources: HashMap.empty(), total: {} };

function getCounters(state: UsageState, window: number): WindowCounters {
  return Option.getOrElse(HashMap.get(state.windows, window), () => EMPTY_COUNTERS);
}

function getRestartMs({ lateWindows, windowMs }: UsageLimits): Core.Millis {
  return lateWindows * windowMs;
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
  const after = Figures.joinFigures(before, accounts);
  return {
    ...state,
    windows: HashMap.set(state.windows, window, {
      ...counters,
      sources: HashMap.set(counters.sources, key, after),
      total: Figures.sumFigures(counters.total, Figures.computeExcess(after, before)),
    }),
  };
}

function applyPart(
  windows: UsageState['windows'],
  { accounts, window }: UsageRecords.SealPart,
): UsageState['windows'] {
  const counters = Option.getOrElse(HashMap.get(windows, window), () => EMPTY_COUNTERS);
  return HashMap.set(windows, window, {
    ...counters, accounted: Figures.sumFigures(counters.accounted, accounts),
  });
}

function addSeal(state: UsageState, seal: Seal): UsageState {
  const sealed = {
    ...state,
    last: seal,
    unreported: [...state.unreported, seal],
    windows: seal.parts.reduce(applyPart, state.windows),
  };
  return {
    ...sealed, windows: HashMap.filter(sealed.windows, (_, window) => isOpen(sealed, window)),
  };
}

/** Tells whether a chain may begin anew at a time, since no seal can be recent. */
export function canRestart(state: UsageState, timeMs: Core.Millis): boolean {
  const restartMs = getRestartMs(state.limits);
  if (state.last !== undefined) return timeMs - state.last.timestampMs >= restartMs;
  if (state.covered === 'complete') return true;
  return state.covered !== 'unread' && state.candidates.size === 0
    && timeMs - state.covered >= restartMs;
}

function applySeal(
  state: UsageState,
  {
    base, fence, parts, window,
  }: UsageRecords.UsageSeal,
  entry: Log.LogEntry,
): UsageState {
  if (state.last !== undefined && window <= state.last.window) return state;
  // A reporter whose clock is ahead would otherwise make every window before its own a late one.
  if (window > entry.timestampMs) return state;
  if (fence < state.fence) return state;
  const seal: Seal = {
    offset: entry.offset, parts, reported: false, timestampMs: state.nowMs, window,
  };
  const isNext = state.last !== undefined && state.last.offset === base;
  if (isNext || (base === -1 && canRestart(state, state.nowMs))) {
    return { ...addSeal(state, seal), candidates: new Map(), fence };
  }
  if (state.last !== undefined || state.covered === 'complete') return state;
  // Only a seal that won is ever named as a base, and the first seal that names it wins.
  const named = state.candidates.get(base);
  if (named !== undefined) {
    return { ...addSeal(addSeal(state, named), seal), candidates: new Map(), fence };
  }
  if (state.candidates.size >= MAX_CANDIDATES) return state;
  return { ...state, candidates: new Map(state.candidates).set(entry.offset, seal) };
}

function applyReported(
  state: UsageState,
  { sealOffset }: UsageRecords.UsageReported,
): UsageState {
  return { ...state, unreported: state.unreported.filter(({ offset }) => offset !== sealOffset) };
}

type RecordHandler = (
  state: UsageState,
  record: Log.LogRecord,
  entry: Log.LogEntry,
) => UsageState;

function withBody<A, I>(
  schema: Schema.Schema<A, I>,
  apply: (state: UsageState, body: A, entry: Log.LogEntry) => UsageState,
): RecordHandler {
  const decode = Schema.decodeUnknownEither(schema);
  return (state, record, entry) => {
    const body = decode(record.body);
    return Either.isLeft(body)
      ? { ...state, skipped: state.skipped + 1 }
      : apply(state, body.right, entry);
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
  const next = entry.records.reduce<UsageState>((current, record) => (
    HANDLERS[record.kind]?.(current, record, entry) ?? current
  ), { ...state, covered, nowMs });
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
export function computeUnaccounted(state: UsageState, window: number): Figures.AccountFigures {
  if (!isWhole(state, window)) return {};
  const { accounted, total } = getCounters(state, window);
  return Figures.computeExcess(total, accounted);
}

/** Computes what is reported for a sealed window: its own use and the corrections. */
export function computeReport({ parts }: Seal): Figures.AccountFigures {
  return parts.reduce<Figures.AccountFigures>(
    (sum, { accounts }) => Figures.sumFigures(sum, accounts),
    {},
  );
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
  const newest = (Math.floor((wallMs - graceMs) / limits.windowMs) - 1) * limits.windowMs;
  const sealed = last?.window ?? -Infinity;
  if (newest <= sealed) return undefined;
  const unaccounted = [...HashMap.keys(state.windows)]
    .filter((window) => window <= newest)
    .map((window) => ({ accounts: computeUnaccounted(state, window), window }))
    .filter(({ accounts }) => !Figures.isEmptyFigures(accounts))
    .sort((a, b) => a.window - b.window);
  const window = unaccounted.find((part) => part.window > sealed)?.window ?? newest;
  return {
    base: last?.offset ?? -1,
    fence,
    parts: unaccounted.filter((part) => part.window <= window),
    window,
  };
}
