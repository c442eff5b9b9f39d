/**
 * Model of daemons that count, a log, heartbeats between peers, and reporters. Any daemon may act
 * as the reporter at any time, which is harder than what the lease allows.
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
  readonly recordUse: typeof LocalCounters.recordUsage;
  readonly listUnwritten: typeof LocalCounters.listUnwritten;
  readonly applyHeartbeat: typeof PeerCounters.applyHeartbeat;
  readonly reduceUsage: typeof UsageWindows.reduceUsage;
  readonly reduceUsageGap: typeof UsageWindows.reduceUsageGap;
  readonly planSeal: typeof UsageWindows.planSeal;
  /** Reports that a reporter sends now, from its state. */
  readonly listReports: (
    state: UsageWindows.UsageState,
    wallMs: number,
  ) => readonly { readonly window: number; readonly figures: UsageAmounts.AccountUsage }[];
}

/** The rules as they are. */
export const USAGE_RULES: UsageRules = {
  applyHeartbeat: PeerCounters.applyHeartbeat,
  listReports: (state) => state.unreported.map((seal) => (
    { figures: UsageWindows.computeReport(seal), window: seal.window }
  )),
  listUnwritten: LocalCounters.listUnwritten,
  planSeal: UsageWindows.planSeal,
  recordUse: LocalCounters.recordUsage,
  reduceUsage: UsageWindows.reduceUsage,
  reduceUsageGap: UsageWindows.reduceUsageGap,
};

/** One step of a schedule. Numbers select among what exists, modulo its size. */
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

const DAEMONS = 3;
const WINDOW_MS = 100;
const GRACE_MS = 10;
const MANY = 1_000;
/** Late counters always count. */
const limits: UsageWindows.UsageLimits = { allowedLateWindows: 1_000, windowMs: WINDOW_MS };
/** Windows close soon, and a chain may begin anew, while the log drops entries. */
const lossyLimits: UsageWindows.UsageLimits = { allowedLateWindows: 5, windowMs: WINDOW_MS };

const daemonIndex = FastCheck.nat({ max: DAEMONS - 1 });
const small = FastCheck.nat({ max: 7 });

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
  count: FastCheck.constantFrom(1, 2, MANY),
  from: small,
  keep: FastCheck.boolean(),
});
const readStep = FastCheck.record({
  _tag: FastCheck.constant('Read' as const),
  count: FastCheck.constantFrom(1, 2, MANY),
  daemon: daemonIndex,
});
const beatStep = FastCheck.record({
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
const loseStep = FastCheck.record({
  _tag: FastCheck.constant('Lose' as const),
  daemon: daemonIndex,
});
const passStep = FastCheck.record({
  _tag: FastCheck.constant('Pass' as const),
  byMs: FastCheck.constantFrom(5, 40, 110, 300),
});

const retainStep = FastCheck.record({
  _tag: FastCheck.constant('Retain' as const),
  keptMs: FastCheck.constantFrom(0, 100, 400),
});

/** A window is counted, sealed and reported without a fault: reaches deep states sooner. */
const roundSteps: FastCheck.Arbitrary<UsageStep[]> = FastCheck.record({
  daemon: daemonIndex, keep: FastCheck.boolean(),
}).map(({ daemon, keep }) => [
  { _tag: 'Flush', daemon },
  {
    _tag: 'Deliver', count: MANY, from: 0, keep,
  },
  { _tag: 'Read', count: MANY, daemon },
  { _tag: 'Pass', byMs: 110 },
  { _tag: 'Seal', daemon },
  {
    _tag: 'Deliver', count: MANY, from: 0, keep: false,
  },
  { _tag: 'Read', count: MANY, daemon },
  { _tag: 'Report', daemon },
]);

const toSteps = <Step extends UsageStep>(
  step: FastCheck.Arbitrary<Step>,
): FastCheck.Arbitrary<UsageStep[]> => step.map((found) => [found]);

const createSchedule = (
  ...added: readonly FastCheck.WeightedArbitrary<UsageStep[]>[]
): FastCheck.Arbitrary<UsageStep[]> => FastCheck.array(
  FastCheck.oneof<FastCheck.WeightedArbitrary<UsageStep[]>[]>(
    { arbitrary: toSteps(countStep), weight: 5 },
    { arbitrary: toSteps(daemonStep), weight: 7 },
    { arbitrary: toSteps(deliverStep), weight: 6 },
    { arbitrary: toSteps(readStep), weight: 5 },
    { arbitrary: toSteps(beatStep), weight: 3 },
    { arbitrary: toSteps(crashStep), weight: 1 },
    { arbitrary: toSteps(loseStep), weight: 1 },
    { arbitrary: toSteps(passStep), weight: 4 },
    ...added,
  ),
  { maxLength: 60, minLength: 1, size: 'max' },
).map((steps) => steps.flat());

/** Schedules in which the log keeps every entry. */
export const usageSchedule = createSchedule();
/** Schedules in which the log also drops entries, so that counts may be lost but never doubled. */
export const lossySchedule = createSchedule(
  { arbitrary: toSteps(retainStep), weight: 2 },
  { arbitrary: roundSteps, weight: 6 },
);

interface Daemon {
  incarnation: number;
  book: LocalCounters.LocalCounters;
  peers: PeerCounters.PeerCounters;
  state: UsageWindows.UsageState;
  next: number;
  sequence: number;
  /** All that this incarnation counted, and how much of it a live peer knew at the last beat. */
  counted: UsageAmounts.AccountUsage;
  safe: { readonly peer: number; readonly figures: UsageAmounts.AccountUsage } | undefined;
  /** Heartbeat messages that may still arrive. */
  lateBeats: { readonly peer: number; readonly bytes: Uint8Array }[];
}

interface Ended {
  readonly source: { readonly daemonId: string; readonly incarnation: string };
  readonly counted: UsageAmounts.AccountUsage;
  safe: Daemon['safe'];
}

/** Runs a schedule and returns each broken promise as a sentence. */
export function findUsageViolations(rules: UsageRules, steps: readonly UsageStep[]): string[] {
  let nowMs = 10 * WINDOW_MS;
  let records = 0;
  let first = 0;
  const isLossy = steps.some(({ _tag }) => _tag === 'Retain');
  let inFlight: { readonly daemon: number; readonly record: Log.LogRecord }[] = [];
  const log: Log.LogEntry[] = [];
  const ended: Ended[] = [];
  const reports = new Map<number, Set<string>>();
  const violations: string[] = [];

  const toSource = (daemon: number, incarnation: number) => (
    { daemonId: `d${daemon}`, incarnation: String(incarnation) }
  );
  const createDaemon = (index: number, incarnation: number): Daemon => ({
    book: LocalCounters.createLocalCounters(toSource(index, incarnation)),
    counted: {},
    incarnation,
    lateBeats: [],
    next: 0,
    peers: new Map(),
    safe: undefined,
    sequence: 0,
    state: UsageWindows.createUsageState(isLossy ? lossyLimits : limits),
  });
  const daemons = Array.from({ length: DAEMONS }, (_, index) => createDaemon(index, 0));
  const getDaemon = (index: number): Daemon => daemons[index] as Daemon;

  const append = (daemon: number, kind: string, body: unknown): void => {
    records += 1;
    const writer = toSource(daemon, getDaemon(daemon).incarnation);
    inFlight.push({
      daemon,
      record: {
        body, kind, recordId: `r${records}`, writer,
      },
    });
  };
  const deliver = (chosen: readonly { readonly record: Log.LogRecord }[]): void => {
    if (chosen.length === 0) return;
    log.push({
      offset: log.length, records: chosen.map(({ record }) => record), timestampMs: nowMs,
    });
  };
  const read = (index: number, count: number): void => {
    const daemon = getDaemon(index);
    if (daemon.next < first) {
      daemon.state = rules.reduceUsageGap(daemon.state, first);
      daemon.next = first;
    }
    log.slice(daemon.next, daemon.next + count).forEach((entry) => {
      daemon.state = rules.reduceUsage(daemon.state, entry);
      daemon.next = entry.offset + 1;
      entry.records.forEach(({ body, kind, writer }) => {
        const isOwn = writer.daemonId === `d${index}`
          && writer.incarnation === String(daemon.incarnation);
        if (!isOwn || kind !== UsageRecords.USAGE_KINDS.counters) return;
        const counters = body as UsageRecords.UsageCounters;
        if (counters.source.daemonId !== writer.daemonId) return;
        if (counters.source.incarnation !== writer.incarnation) return;
        daemon.book = LocalCounters.applyWritten(daemon.book, counters);
      });
    });
  };
  const flush = (index: number): void => rules.listUnwritten(getDaemon(index).book)
    .forEach((counters) => append(index, UsageRecords.USAGE_KINDS.counters, counters));
  const lose = (index: number): void => ended.forEach(({ source }) => {
    const daemon = getDaemon(index);
    const { counters, peers } = PeerCounters.removePeer(daemon.peers, source);
    daemon.peers = peers;
    counters.forEach((found) => append(index, UsageRecords.USAGE_KINDS.counters, found));
  });
  const seal = (index: number): void => {
    const planned = rules.planSeal(getDaemon(index).state, nowMs, GRACE_MS, 0);
    if (planned !== undefined) append(index, UsageRecords.USAGE_KINDS.seal, planned);
  };
  const report = (index: number): void => rules.listReports(getDaemon(index).state, nowMs)
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
        rules.listUnwritten(daemon.book),
        daemon.sequence,
      );
      if (late) {
        daemon.lateBeats.push({ bytes, peer });
        return;
      }
      const { source } = daemon.book;
      const receive = (to: number, found: Uint8Array): void => {
        const receiver = getDaemon(to);
        receiver.peers = rules.applyHeartbeat(receiver.peers, source, found);
      };
      receive(peer, bytes);
      daemon.safe = { figures: daemon.counted, peer };
      // Earlier heartbeats that were held up arrive after the newest one.
      daemon.lateBeats.splice(0).forEach((beat) => receive(beat.peer, beat.bytes));
    },
    Count: ({ account, daemon: index, requests }) => {
      const daemon = getDaemon(index);
      const use = { inputTokens: requests * 3, outputTokens: requests * 7, requests };
      const window = LocalCounters.getWindow(nowMs, WINDOW_MS);
      daemon.book = rules.recordUse(daemon.book, window, `a${account}`, use);
      daemon.counted = UsageAmounts.sumFigures(daemon.counted, { [`a${account}`]: use });
    },
    Crash: ({ daemon: index, keep }) => {
      const daemon = getDaemon(index);
      ended.push({ counted: daemon.counted, safe: daemon.safe, source: daemon.book.source });
      [...daemons, ...ended].forEach((found) => {
        if (found.safe?.peer === index) Object.assign(found, { safe: undefined });
      });
      if (!keep) inFlight = inFlight.filter((found) => found.daemon !== index);
      daemons[index] = createDaemon(index, daemon.incarnation + 1);
    },
    Deliver: ({ count, from, keep }) => {
      const start = from % Math.max(1, inFlight.length);
      const chosen = inFlight.slice(start, start + count);
      if (!keep) inFlight = inFlight.filter((found) => !chosen.includes(found));
      deliver(chosen);
    },
    Flush: ({ daemon }) => flush(daemon),
    Lose: ({ daemon }) => lose(daemon),
    Pass: ({ byMs }) => {
      nowMs += byMs;
    },
    Read: ({ count, daemon }) => read(daemon, count),
    Report: ({ daemon }) => report(daemon),
    Retain: ({ keptMs }) => {
      const kept = log.findIndex(({ timestampMs }) => timestampMs > nowMs - keptMs);
      first = Math.max(first, kept < 0 ? log.length : kept);
    },
    Seal: ({ daemon }) => seal(daemon),
  };
  steps.forEach((found) => (handlers[found._tag] as (step: UsageStep) => void)(found));

  // The end: losses are noticed, everything arrives, and one reporter seals all that is left.
  const settle = (): void => {
    const rest = inFlight;
    inFlight = [];
    rest.forEach((found) => deliver([found]));
    daemons.forEach((_, index) => read(index, MANY));
  };
  daemons.forEach((_, index) => lose(index));
  daemons.forEach((_, index) => flush(index));
  settle();
  const rounds = Math.ceil(nowMs / WINDOW_MS);
  nowMs += 2 * WINDOW_MS;
  Array.from({ length: rounds }).forEach(() => {
    seal(0);
    settle();
    report(0);
  });
  daemons.forEach((_, index) => report(index));

  reports.forEach((figures, window) => {
    if (figures.size > 1) violations.push(`window ${window} was reported with two figures`);
  });
  const sealed = [...reports.values()].map((figures) => JSON.parse([...figures][0] as string))
    .reduce<UsageAmounts.AccountUsage>(UsageAmounts.sumFigures, {});
  const all = [...daemons, ...ended];
  const counted = all.map((found) => found.counted)
    .reduce<UsageAmounts.AccountUsage>(UsageAmounts.sumFigures, {});
  const least = [
    ...daemons.map((found) => found.counted),
    ...ended.map(({ safe }) => safe?.figures ?? {}),
  ].reduce<UsageAmounts.AccountUsage>(UsageAmounts.sumFigures, {});
  if (!UsageAmounts.isEmptyFigures(UsageAmounts.computeExcess(sealed, counted))) {
    violations.push('more was reported than counted');
  }
  if (!isLossy && !UsageAmounts.isEmptyFigures(UsageAmounts.computeExcess(least, sealed))) {
    violations.push('less was reported than counted and known to a peer');
  }
  return violations;
}
