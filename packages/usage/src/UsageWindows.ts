/**
 * State of the usage windows, computed from the stream `usage`. Counters of a source merge by
 * taking the greatest value, so repeated or reordered records do not count twice. Accepted seals
 * form a chain: the `base` of each seal is the record id of the seal before it, and only the first
 * seal whose base is the newest accepted one is accepted. Two accepted seals therefore never
 * contain the same late counters.
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

/** Limits of the windows. They have to be the same on all daemons. */
export interface UsageLimits {
  readonly windowMs: Core.Millis;
  /** Number of windows up to the newest sealed one for which late counters are accepted. */
  readonly allowedLateWindows: number;
}

/** Counters of one window. */
export interface WindowCounters {
  readonly countersBySource: HashMap.HashMap<string, UsageAmounts.AccountUsage>;
  /**
   * Usage by account that no accepted seal contains. This is a persistent map, because adding a
   * record of 20 accounts to a plain object of 2,300 accounts took 4.3 ms.
   */
  readonly unsealedUsage: HashMap.HashMap<string, UsageAmounts.UsageAmounts>;
}

/** A seal record; an accepted one, unless it is a candidate. */
export interface Seal {
  readonly window: number;
  readonly recordId: string;
  readonly timestampMs: Core.Millis;
  readonly parts: readonly UsageRecords.SealPart[];
}

/** State after applying the entries up to `offset`. */
export interface UsageState {
  readonly limits: UsageLimits;
  /** Offset of the last entry that was applied; -1 before the first one. */
  readonly offset: number;
  readonly nowMs: Core.Millis;
  readonly windows: HashMap.HashMap<number, WindowCounters>;
  /** Windows with usage that no accepted seal contains. */
  readonly unsealedWindows: HashSet.HashSet<number>;
  /** Newest accepted seal; undefined before the first one or while the chain is not known. */
  readonly lastSeal: Seal | undefined;
  /** Accepted seals that are not known to be reported, oldest first. */
  readonly unreportedSeals: readonly Seal[];
  /**
   * Seals that were read after a gap, by record id. One of them is known to be accepted once it is
   * the base of another seal.
   */
  readonly candidateSeals: ReadonlyMap<string, Seal>;
  /**
   * Log timestamp from which on all entries were read; 'complete' if no entry was missed, 'unread'
   * between a gap and the first entry after it.
   */
  readonly coveredFromMs: Core.Millis | 'complete' | 'unread';
  /** While the chain is not known: timestamp of the gap, or of the newest seal record since. */
  readonly lastSealReadMs: Core.Millis;
  /** Greatest fencing token of an accepted seal. */
  readonly fence: number;
  /** Number of counter records that came too late for a correction. */
  readonly ignoredCounters: number;
  /** Number of records of a known kind that did not decode. */
  readonly skippedRecords: number;
}

/** Maximum number of candidate seals. */
const MAX_CANDIDATE_SEALS = 1_000;

/** Creates the state before the first entry. */
export function createUsageState(limits: UsageLimits): UsageState {
  return {
    candidateSeals: new Map(),
    coveredFromMs: 'complete',
    fence: -1,
    ignoredCounters: 0,
    lastSeal: undefined,
    limits,
    nowMs: 0,
    offset: -1,
    lastSealReadMs: 0,
    skippedRecords: 0,
    unreportedSeals: [],
    unsealedWindows: HashSet.empty(),
    windows: HashMap.empty(),
  };
}

const EMPTY_COUNTERS: WindowCounters = {
  countersBySource: HashMap.empty(), unsealedUsage: HashMap.empty(),
};

function getWindowCounters(state: UsageState, window: number): WindowCounters {
  return Option.getOrElse(HashMap.get(state.windows, window), () => EMPTY_COUNTERS);
}

function getAllowedLatenessMs({ allowedLateWindows, windowMs }: UsageLimits): Core.Millis {
  return allowedLateWindows * windowMs;
}

/** Tells whether late counters of a window are still accepted. */
function canCorrect({ lastSeal, limits }: UsageState, window: number): boolean {
  return lastSeal === undefined || window > lastSeal.window - getAllowedLatenessMs(limits);
}

function applyCounters(
  state: UsageState,
  { accounts, source, window }: UsageRecords.UsageCounters,
): UsageState {
  if (!canCorrect(state, window)) return { ...state, ignoredCounters: state.ignoredCounters + 1 };
  const counters = getWindowCounters(state, window);
  const key = PeerCounters.formatSource(source);
  const before = Option.getOrElse(HashMap.get(counters.countersBySource, key), () => ({}));
  const after = UsageAmounts.joinAccountUsage(before, accounts);
  const increase = UsageAmounts.computeExcess(after, before);
  if (UsageAmounts.isEmptyAccountUsage(increase)) return state;
  return {
    ...state,
    unsealedWindows: HashSet.add(state.unsealedWindows, window),
    windows: HashMap.set(state.windows, window, {
      countersBySource: HashMap.set(counters.countersBySource, key, after),
      unsealedUsage: Object.entries(increase).reduce((sums, [account, figures]) => (
        HashMap.modifyAt(sums, account, (known) => Option.some(
          UsageAmounts.addUsage(
            Option.getOrElse(known, () => UsageAmounts.ZERO_USAGE),
            figures,
          ),
        ))
      ), counters.unsealedUsage),
    }),
  };
}

function applySealPart(
  state: UsageState,
  { accounts, window }: UsageRecords.SealPart,
): UsageState {
  const counters = getWindowCounters(state, window);
  const unsealedUsage = Object.entries(accounts).reduce((sums, [account, figures]) => (
    HashMap.modifyAt(sums, account, (known) => Option.flatMap(known, (sum) => {
      const remaining = UsageAmounts.subtractUsage(sum, figures);
      return UsageAmounts.isZeroUsage(remaining) ? Option.none() : Option.some(remaining);
    }))
  ), counters.unsealedUsage);
  return {
    ...state,
    unsealedWindows: HashMap.isEmpty(unsealedUsage)
      ? HashSet.remove(state.unsealedWindows, window)
      : state.unsealedWindows,
    windows: HashMap.set(state.windows, window, { ...counters, unsealedUsage }),
  };
}

function applyAcceptedSeal(state: UsageState, seal: Seal): UsageState {
  const sealed = {
    ...seal.parts.reduce(applySealPart, state),
    lastSeal: seal,
    unreportedSeals: [...state.unreportedSeals, seal],
  };
  const closedWindows = [...HashMap.keys(sealed.windows)]
    .filter((window) => !canCorrect(sealed, window));
  return {
    ...sealed,
    unsealedWindows: closedWindows.reduce(
      (kept, window) => HashSet.remove(kept, window),
      sealed.unsealedWindows,
    ),
    windows: HashMap.removeMany(sealed.windows, closedWindows),
  };
}

/** Tells whether a new chain may start, as the last seal is older than the allowed lateness. */
export function canStartChain(state: UsageState, timeMs: Core.Millis): boolean {
  const allowedLatenessMs = getAllowedLatenessMs(state.limits);
  if (state.lastSeal !== undefined) return timeMs - state.lastSeal.timestampMs >= allowedLatenessMs;
  if (state.coveredFromMs === 'complete') return true;
  return state.coveredFromMs !== 'unread' && timeMs - state.lastSealReadMs >= allowedLatenessMs;
}

function isFirstChain({ coveredFromMs, lastSeal }: UsageState): boolean {
  return coveredFromMs === 'complete' && lastSeal === undefined;
}

/** Gets the latest window that an unread seal may have sealed when a new chain starts. */
function getChainStartFloor(state: UsageState, timeMs: Core.Millis): number {
  return isFirstChain(state) ? -Infinity : timeMs - getAllowedLatenessMs(state.limits);
}

/** Excludes the windows that a lost or unconfirmed seal may contain. */
function limitCoverage(state: UsageState, timeMs: Core.Millis): UsageState {
  const { coveredFromMs, lastSeal } = state;
  if (lastSeal !== undefined || coveredFromMs === 'complete'
    || coveredFromMs === 'unread') return state;
  return { ...state, coveredFromMs: Math.max(coveredFromMs, getChainStartFloor(state, timeMs)) };
}

function applySeal(
  state: UsageState,
  {
    base, fence, parts, plannedMs, window,
  }: UsageRecords.UsageSeal,
  entry: Log.LogEntry,
  { recordId }: Log.LogRecord,
): UsageState {
  if (state.lastSeal !== undefined && window <= state.lastSeal.window) return state;
  // Otherwise a reporter whose clock is ahead would make all windows before its own late.
  if (window > entry.timestampMs) return state;
  if (fence < state.fence) return state;
  const seal: Seal = {
    parts, recordId, timestampMs: state.nowMs, window,
  };
  const isChainSuccessor = state.lastSeal !== undefined && state.lastSeal.recordId === base;
  // A seal that was planned before the gap may be a repetition of one in the gap.
  const isPlannedAfterGap = state.coveredFromMs === 'complete'
    || plannedMs > Number(state.coveredFromMs);
  // The reporter must have read the newest seal, so that a lagging reporter cannot break the chain.
  const isChainStart = base === UsageRecords.NO_SEAL && canStartChain(state, state.nowMs)
    && window > getChainStartFloor(state, state.nowMs)
    && (isFirstChain(state) || plannedMs > (state.lastSeal?.timestampMs ?? state.lastSealReadMs));
  if (isChainSuccessor) return { ...applyAcceptedSeal(state, seal), fence };
  if (isChainStart) {
    return {
      ...applyAcceptedSeal(limitCoverage(state, state.nowMs), seal),
      candidateSeals: new Map(),
      fence,
    };
  }
  if (state.lastSeal !== undefined || state.coveredFromMs === 'complete') return state;
  const pending = { ...state, lastSealReadMs: state.nowMs };
  // Readers that know the chain may have accepted this seal as the start of a new one.
  if (base === UsageRecords.NO_SEAL) {
    return { ...pending, candidateSeals: new Map(), coveredFromMs: state.nowMs };
  }
  if (!isPlannedAfterGap) return pending;
  // Only an accepted seal is ever used as a base, and the first seal with that base is accepted.
  const baseSeal = state.candidateSeals.get(base);
  if (baseSeal !== undefined) {
    return {
      ...applyAcceptedSeal(applyAcceptedSeal(state, baseSeal), seal),
      candidateSeals: new Map(),
      fence,
    };
  }
  if (state.candidateSeals.size >= MAX_CANDIDATE_SEALS) return pending;
  return { ...pending, candidateSeals: new Map(state.candidateSeals).set(recordId, seal) };
}

function applyReported(
  state: UsageState,
  { sealId }: UsageRecords.UsageReported,
): UsageState {
  return {
    ...state,
    unreportedSeals: state.unreportedSeals.filter(({ recordId }) => recordId !== sealId),
  };
}

type RecordHandler = (
  state: UsageState,
  record: Log.LogRecord,
  entry: Log.LogEntry,
) => UsageState;

function createHandler<A, I>(
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
      ? { ...state, skippedRecords: state.skippedRecords + 1 }
      : apply(state, body.right, entry, record);
  };
}

const HANDLERS: Readonly<Record<string, RecordHandler>> = {
  [UsageRecords.USAGE_KINDS.counters]: createHandler(UsageRecords.UsageCounters, applyCounters),
  [UsageRecords.USAGE_KINDS.reported]: createHandler(UsageRecords.UsageReported, applyReported),
  [UsageRecords.USAGE_KINDS.seal]: createHandler(UsageRecords.UsageSeal, applySeal),
};

/** Applies one entry. Entries that were applied before change nothing. */
export function reduceUsage(state: UsageState, entry: Log.LogEntry): UsageState {
  if (entry.offset <= state.offset) return state;
  const nowMs = Math.max(state.nowMs, entry.timestampMs);
  const coveredFromMs = state.coveredFromMs === 'unread' ? nowMs : state.coveredFromMs;
  const lastSealReadMs = state.coveredFromMs === 'unread' ? nowMs : state.lastSealReadMs;
  const next = entry.records.reduce<UsageState>((current, record) => (
    HANDLERS[record.kind]?.(current, record, entry) ?? current
  ), {
    ...state, coveredFromMs, nowMs, lastSealReadMs,
  });
  return { ...next, offset: entry.offset };
}

/**
 * Applies a gap: entries before offset `first` are lost to this reader. Discards all counters,
 * because a lost seal may contain them.
 */
export function reduceUsageGap(state: UsageState, first: number): UsageState {
  if (first <= state.offset + 1) return state;
  return {
    ...createUsageState(state.limits),
    coveredFromMs: 'unread',
    nowMs: state.nowMs,
    offset: first - 1,
  };
}

/** Tells whether all records of a window were read. Allows for clocks that differ by a window. */
function isFullyRead({ coveredFromMs, limits }: UsageState, window: number): boolean {
  if (coveredFromMs === 'complete') return true;
  return coveredFromMs !== 'unread' && window - limits.windowMs >= coveredFromMs;
}

/** Computes the usage of a window that no accepted seal contains. */
export function computeUnsealedUsage(state: UsageState, window: number): UsageAmounts.AccountUsage {
  if (!isFullyRead(state, window)) return {};
  return UsageAmounts.sortAccountUsage(
    Object.fromEntries(getWindowCounters(state, window).unsealedUsage),
  );
}

/** Computes the usage to report for a sealed window: its own and that of the corrections. */
export function computeReportedUsage({ parts }: Seal): UsageAmounts.AccountUsage {
  return UsageAmounts.sortAccountUsage(parts.reduce<UsageAmounts.AccountUsage>(
    (sum, { accounts }) => UsageAmounts.sumAccountUsage(sum, accounts),
    {},
  ));
}

/**
 * Plans the next seal. It is for the oldest ended window with counters that was not sealed yet. If
 * there is none, it is for the newest ended window and has only corrections, or no content and just
 * extends the chain. Undefined if no window has ended since the last seal or if the chain is not
 * known.
 */
export function planSeal(
  state: UsageState,
  wallMs: Core.Millis,
  graceMs: Core.Millis,
  fence: number,
): UsageRecords.UsageSeal | undefined {
  const { lastSeal, limits } = state;
  if (lastSeal === undefined && !canStartChain(state, wallMs)) return undefined;
  // Readers could not distinguish the seal from a repetition of one before the gap.
  if (!isFirstChain(state) && lastSeal === undefined && state.nowMs <= state.lastSealReadMs) {
    return undefined;
  }
  const limitedState = limitCoverage(state, wallMs);
  const newestEndedWindow = (Math.floor((wallMs - graceMs) / limits.windowMs) - 1)
    * limits.windowMs;
  const lastSealedWindow = lastSeal?.window ?? getChainStartFloor(state, wallMs);
  if (newestEndedWindow <= lastSealedWindow) return undefined;
  const unsealedParts = [...state.unsealedWindows]
    .filter((window) => window <= newestEndedWindow)
    .map((window) => ({ accounts: computeUnsealedUsage(limitedState, window), window }))
    .filter(({ accounts }) => !UsageAmounts.isEmptyAccountUsage(accounts))
    .sort((a, b) => a.window - b.window);
  const window = unsealedParts.find((part) => part.window > lastSealedWindow)?.window
    ?? newestEndedWindow;
  return {
    base: lastSeal?.recordId ?? UsageRecords.NO_SEAL,
    fence,
    parts: unsealedParts.filter((part) => part.window <= window),
    plannedMs: state.nowMs,
    window,
  };
}
