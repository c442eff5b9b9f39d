/**
 * Model of daemons that count usage, a log, heartbeats between peers, and reporters. Any daemon may
 * act as the reporter at any time, which is a stricter test than the lease would allow.
 */
import type * as Log from '@berylyoke/log';
import * as FastCheck from 'fast-check';
import * as LocalCounters from '../../LocalCounters.js';
import * as UsageAmounts from '../../UsageAmounts.js';
import * as PeerCounters from '../../PeerCounters.js';
import * as UsageRecords from '../../UsageRecords.js';
import * as UsageWindows from '../../UsageWindows.js';

/** The rules under test; a mutant replaces one of them. */
export interface UsageRules {
  readonly recordUsage: typeof LocalCounters.recordUsage;
  readonly listUnwritten: typeof LocalCounters.listUnwritten;
  readonly applyHeartbeat: typeof PeerCounters.applyHeartbeat;
  readonly reduceUsage: typeof UsageWindows.reduceUsage;
  readonly reduceUsageGap: typeof UsageWindows.reduceUsageGap;
  readonly planSeal: typeof UsageWindows.planSeal;
  /** Lists the reports that a reporter sends in a state. */
  readonly listReports: (
    state: UsageWindows.UsageState,
    wallMs: number,
  ) => readonly { readonly window: number; readonly figures: UsageAmounts.AccountUsage }[];
}

/** The unchanged rules of the implementation. */
export const USAGE_RULES: UsageRules = {
  applyHeartbeat: PeerCounters.applyHeartbeat,
  listReports: (state) => state.unreportedSeals.map((seal) => (
    { figures: UsageWindows.computeReportedUsage(seal), window: seal.window }
  )),
  listUnwritten: LocalCounters.listUnwritten,
  planSeal: UsageWindows.planSeal,
  recordUsage: LocalCounters.recordUsage,
  reduceUsage: UsageWindows.reduceUsage,
  reduceUsageGap: UsageWindows.reduceUsageGap,
};

/** One step of a schedule. `from` selects a record in flight, modulo their number. */
export type UsageStep = { readonly _tag: 'Count';
  readonly daemon: number;
  readonly account: number;
  readonly requests: number; }
  | { readonly _tag: 'Flush'; readonly daemon: number }
  | { readonly _tag: 'Deliver';
    readonly from: number;
    readonly count: number;
    readonly keep: boolean; }
  | { readonly _tag: 'Read'; readonly daemon: number; readonly count: number }
  | { readonly _tag: 'Beat';
    readonly daemon: number;
    readonly peer: number;
    readonly late: boolean; }
  | { readonly _tag: 'Crash'; readonly daemon: number; readonly keep: boolean }
  | { readonly _tag: 'Lose'; readonly daemon: number }
  | { readonly _tag: 'Seal'; readonly daemon: number }
  | { readonly _tag: 'Report'; readonly daemon: number }
  | { readonly _tag: 'Pass'; readonly byMs: number }
  /** The log drops its entries that are older than `keptMs`. */
  | { readonly _tag: 'Retain'; readonly keptMs: number };

const DAEMON_COUNT = 3;
const WINDOW_MS = 100;
const GRACE_MS = 10;
const ALL = 1_000;
/** Accepts late counters of all windows. */
const losslessLimits: UsageWindows.UsageLimits = { allowedLateWindows: 1_000, windowMs: WINDOW_MS };
/** For logs that drop entries: few late windows are accepted, so that new chains can start. */
const lossyLimits: UsageWindows.UsageLimits = { allowedLateWindows: 5, windowMs: WINDOW_MS };

const daemonIndex = FastCheck.nat({ max: DAEMON_COUNT - 1 });
const startIndex = FastCheck.nat({ max: 7 });

const countStep = FastCheck.record({
  _tag: FastCheck.constant('Count' as const),
  account: FastCheck.nat({ max: 1 }),
  daemon: daemonIndex,
  requests: FastCheck.integer({ max: 5, min: 1 }),
});
const daemonStep = FastCheck.record({
  _tag: FastCheck.constantFrom('Flush' as const, 'Seal' as const, 'Report' as const),
  daemon: daemonIndex,
});
const deliverStep = FastCheck.record({
  _tag: FastCheck.constant('Deliver' as const),
  count: FastCheck.constantFrom(1, 2, ALL),
  from: startIndex,
  keep: FastCheck.boolean(),
});
const readStep = FastCheck.record({
  _tag: FastCheck.constant('Read' as const),
  count: FastCheck.constantFrom(1, 2, ALL),
  daemon: daemonIndex,
});
const heartbeatStep = FastCheck.record({
  _tag: FastCheck.constant('Beat' as const),
  daemon: daemonIndex,
  late: FastCheck.boolean(),
  peer: daemonIndex,
});
const crashStep = FastCheck.record({
  _tag: FastCheck.constant('Crash' as const),
  daemon: daemonIndex,
  keep: FastCheck.boolean(),
});
const lostPeersStep = FastCheck.record({
  _tag: FastCheck.constant('Lose' as const),
  daemon: daemonIndex,
});
const advanceClockStep = FastCheck.record({
  _tag: FastCheck.constant('Pass' as const),
  byMs: FastCheck.constantFrom(5, 40, 110, 300),
});

const retainStep = FastCheck.record({
  _tag: FastCheck.constant('Retain' as const),
  keptMs: FastCheck.constantFrom(0, 100, 400),
});

/** Flushes, seals and reports a window without a fault, to reach states with long chains. */
const faultlessSteps: FastCheck.Arbitrary<UsageStep[]> = FastCheck.record({
  daemon: daemonIndex, keep: FastCheck.boolean(),
}).map(({ daemon, keep }) => [
  { _tag: 'Flush', daemon },
  {
    _tag: 'Deliver', count: ALL, from: 0, keep,
  },
  { _tag: 'Read', count: ALL, daemon },
  { _tag: 'Pass', byMs: 110 },
  { _tag: 'Seal', daemon },
  {
    _tag: 'Deliver', count: ALL, from: 0, keep: false,
  },
  { _tag: 'Read', count: ALL, daemon },
  { _tag: 'Report', daemon },
]);

const wrapStep = <Step extends UsageStep>(
  step: FastCheck.Arbitrary<Step>,
): FastCheck.Arbitrary<UsageStep[]> => step.map((found) => [found]);

const createSchedule = (
  ...added: readonly FastCheck.WeightedArbitrary<UsageStep[]>[]
): FastCheck.Arbitrary<UsageStep[]> => FastCheck.array(
  FastCheck.oneof<FastCheck.WeightedArbitrary<UsageStep[]>[]>(
    { arbitrary: wrapStep(countStep), weight: 5 },
    { arbitrary: wrapStep(daemonStep), weight: 7 },
    { arbitrary: wrapStep(deliverStep), weight: 6 },
    { arbitrary: wrapStep(readStep), weight: 5 },
    { arbitrary: wrapStep(heartbeatStep), weight: 3 },
    { arbitrary: wrapStep(crashStep), weight: 1 },
    { arbitrary: wrapStep(lostPeersStep), weight: 1 },
    { arbitrary: wrapStep(advanceClockStep), weight: 4 },
    ...added,
  ),
  { maxLength: 60, minLength: 1, size: 'max' },
).map((steps) => steps.flat());

/** Schedules in which the log keeps every entry. */
export const usageSchedule = createSchedule();
/** Schedules in which the log also drops entries, so that usage may be lost but not doubled. */
export const lossySchedule = createSchedule(
  { arbitrary: wrapStep(retainStep), weight: 2 },
  { arbitrary: faultlessSteps, weight: 6 },
);

interface Daemon {
  incarnation: number;
  localCounters: LocalCounters.LocalCounters;
  peerCounters: PeerCounters.PeerCounters;
  state: UsageWindows.UsageState;
  nextOffset: number;
  sequence: number;
  /** Usage counted by this incarnation, and how much of it a live peer got by heartbeat. */
  counted: UsageAmounts.AccountUsage;
  knownToPeer: { readonly peer: number; readonly figures: UsageAmounts.AccountUsage } | undefined;
  /** Delayed heartbeats, which may still arrive. */
  delayedHeartbeats: { readonly peer: number; readonly bytes: Uint8Array }[];
}

interface EndedIncarnation {
  readonly source: { readonly daemonId: string; readonly incarnation: string };
  readonly counted: UsageAmounts.AccountUsage;
  knownToPeer: Daemon['knownToPeer'];
}

/** Runs a schedule and returns a sentence for each broken guarantee. */
export function findUsageViolations(rules: UsageRules, steps: readonly UsageStep[]): string[] {
  let nowMs = 10 * WINDOW_MS;
  let recordCount = 0;
  let firstRetainedOffset = 0;
  const isLossy = steps.some(({ _tag }) => _tag === 'Retain');
  let inFlight: { readonly daemon: number; readonly record: Log.LogRecord }[] = [];
  const log: Log.LogEntry[] = [];
  const endedIncarnations: EndedIncarnation[] = [];
  const reports = new Map<number, Set<string>>();
  const violations: string[] = [];

  const toSource = (daemon: number, incarnation: number) => (
    { daemonId: `d${daemon}`, incarnation: String(incarnation) }
  );
  const createDaemon = (index: number, incarnation: number): Daemon => ({
    localCounters: LocalCounters.createLocalCounters(toSource(index, incarnation)),
    counted: {},
    incarnation,
    delayedHeartbeats: [],
    nextOffset: 0,
    peerCounters: new Map(),
    knownToPeer: undefined,
    sequence: 0,
    state: UsageWindows.createUsageState(isLossy ? lossyLimits : losslessLimits),
  });
  const daemons = Array.from({ length: DAEMON_COUNT }, (_, index) => createDaemon(index, 0));
  const getDaemon = (index: number): Daemon => daemons[index] as Daemon;

  const addInFlight = (daemon: number, kind: string, body: unknown): void => {
    recordCount += 1;
    const writer = toSource(daemon, getDaemon(daemon).incarnation);
    inFlight.push({
      daemon,
      record: {
        body, kind, recordId: `r${recordCount}`, writer,
      },
    });
  };
  const appendToLog = (chosen: readonly { readonly record: Log.LogRecord }[]): void => {
    if (chosen.length === 0) return;
    log.push({
      offset: log.length, records: chosen.map(({ record }) => record), timestampMs: nowMs,
    });
  };
  const read = (index: number, count: number): void => {
    const daemon = getDaemon(index);
    if (daemon.nextOffset < firstRetainedOffset) {
      daemon.state = rules.reduceUsageGap(daemon.state, firstRetainedOffset);
      daemon.nextOffset = firstRetainedOffset;
    }
    log.slice(daemon.nextOffset, daemon.nextOffset + count).forEach((entry) => {
      daemon.state = rules.reduceUsage(daemon.state, entry);
      daemon.nextOffset = entry.offset + 1;
      entry.records.forEach(({ body, kind, writer }) => {
        const isOwn = writer.daemonId === `d${index}`
          && writer.incarnation === String(daemon.incarnation);
        if (!isOwn || kind !== UsageRecords.USAGE_KINDS.counters) return;
        const counters = body as UsageRecords.UsageCounters;
        if (counters.source.daemonId !== writer.daemonId) return;
        if (counters.source.incarnation !== writer.incarnation) return;
        daemon.localCounters = LocalCounters.applyWritten(daemon.localCounters, counters);
      });
    });
  };
  const flush = (index: number): void => rules.listUnwritten(getDaemon(index).localCounters)
    .forEach((counters) => addInFlight(index, UsageRecords.USAGE_KINDS.counters, counters));
  const appendLostPeers = (index: number): void => endedIncarnations.forEach(({ source }) => {
    const daemon = getDaemon(index);
    const { counters, peers } = PeerCounters.removePeer(daemon.peerCounters, source);
    daemon.peerCounters = peers;
    counters.forEach((found) => addInFlight(index, UsageRecords.USAGE_KINDS.counters, found));
  });
  const appendSeal = (index: number): void => {
    const planned = rules.planSeal(getDaemon(index).state, nowMs, GRACE_MS, 0);
    if (planned !== undefined) addInFlight(index, UsageRecords.USAGE_KINDS.seal, planned);
  };
  const addReports = (index: number): void => rules.listReports(getDaemon(index).state, nowMs)
    .forEach(({ figures, window }) => {
      const known = reports.get(window) ?? new Set();
      reports.set(window, known.add(JSON.stringify(figures)));
    });

  type Handlers = {
    readonly [Tag in UsageStep['_tag']]: (
      found: Extract<UsageStep, { readonly _tag: Tag }>,
    ) => void;
  };
  const handlers: Handlers = {
    Beat: ({ daemon: index, late, peer }) => {
      const daemon = getDaemon(index);
      if (peer === index) return;
      daemon.sequence += 1;
      const bytes = PeerCounters.encodeCounters(
        rules.listUnwritten(daemon.localCounters),
        daemon.sequence,
      );
      if (late) {
        daemon.delayedHeartbeats.push({ bytes, peer });
        return;
      }
      const { source } = daemon.localCounters;
      const receive = (to: number, found: Uint8Array): void => {
        const receiver = getDaemon(to);
        receiver.peerCounters = rules.applyHeartbeat(receiver.peerCounters, source, found);
      };
      receive(peer, bytes);
      daemon.knownToPeer = { figures: daemon.counted, peer };
      // Delayed earlier heartbeats arrive after the newest one.
      daemon.delayedHeartbeats.splice(0).forEach((beat) => receive(beat.peer, beat.bytes));
    },
    Count: ({ account, daemon: index, requests }) => {
      const daemon = getDaemon(index);
      const use = { inputTokens: requests * 3, outputTokens: requests * 7, requests };
      const window = LocalCounters.getWindow(nowMs, WINDOW_MS);
      daemon.localCounters = rules.recordUsage(daemon.localCounters, window, `a${account}`, use);
      daemon.counted = UsageAmounts.sumAccountUsage(daemon.counted, { [`a${account}`]: use });
    },
    Crash: ({ daemon: index, keep }) => {
      const daemon = getDaemon(index);
      endedIncarnations.push({
        counted: daemon.counted,
        knownToPeer: daemon.knownToPeer,
        source: daemon.localCounters.source,
      });
      [...daemons, ...endedIncarnations].forEach((found) => {
        if (found.knownToPeer?.peer === index) Object.assign(found, { knownToPeer: undefined });
      });
      if (!keep) inFlight = inFlight.filter((found) => found.daemon !== index);
      daemons[index] = createDaemon(index, daemon.incarnation + 1);
    },
    Deliver: ({ count, from, keep }) => {
      const start = from % Math.max(1, inFlight.length);
      const chosen = inFlight.slice(start, start + count);
      if (!keep) inFlight = inFlight.filter((found) => !chosen.includes(found));
      appendToLog(chosen);
    },
    Flush: ({ daemon }) => flush(daemon),
    Lose: ({ daemon }) => appendLostPeers(daemon),
    Pass: ({ byMs }) => {
      nowMs += byMs;
    },
    Read: ({ count, daemon }) => read(daemon, count),
    Report: ({ daemon }) => addReports(daemon),
    Retain: ({ keptMs }) => {
      const kept = log.findIndex(({ timestampMs }) => timestampMs > nowMs - keptMs);
      firstRetainedOffset = Math.max(firstRetainedOffset, kept < 0 ? log.length : kept);
    },
    Seal: ({ daemon }) => appendSeal(daemon),
  };
  steps.forEach((found) => (handlers[found._tag] as (step: UsageStep) => void)(found));

  // Finally all lost peers are detected, all records arrive, and daemon 0 seals the rest.
  const deliverAndReadAll = (): void => {
    const rest = inFlight;
    inFlight = [];
    rest.forEach((found) => appendToLog([found]));
    daemons.forEach((_, index) => read(index, ALL));
  };
  daemons.forEach((_, index) => appendLostPeers(index));
  daemons.forEach((_, index) => flush(index));
  deliverAndReadAll();
  const rounds = Math.ceil(nowMs / WINDOW_MS);
  nowMs += 2 * WINDOW_MS;
  Array.from({ length: rounds }).forEach(() => {
    appendSeal(0);
    deliverAndReadAll();
    addReports(0);
  });
  daemons.forEach((_, index) => addReports(index));

  reports.forEach((figures, window) => {
    if (figures.size > 1) violations.push(`window ${window} was reported with two figures`);
  });
  const sealed = [...reports.values()].map((figures) => JSON.parse([...figures][0] as string))
    .reduce<UsageAmounts.AccountUsage>(UsageAmounts.sumAccountUsage, {});
  const all = [...daemons, ...endedIncarnations];
  const counted = all.map((found) => found.counted)
    .reduce<UsageAmounts.AccountUsage>(UsageAmounts.sumAccountUsage, {});
  const minExpected = [
    ...daemons.map((found) => found.counted),
    ...endedIncarnations.map(({ knownToPeer }) => knownToPeer?.figures ?? {}),
  ].reduce<UsageAmounts.AccountUsage>(UsageAmounts.sumAccountUsage, {});
  if (!UsageAmounts.isEmptyAccountUsage(UsageAmounts.computeExcess(sealed, counted))) {
    violations.push('more was reported than counted');
  }
  if (!isLossy
    && !UsageAmounts.isEmptyAccountUsage(UsageAmounts.computeExcess(minExpected, sealed))) {
    violations.push('less was reported than counted and known to a peer');
  }
  return violations;
}
