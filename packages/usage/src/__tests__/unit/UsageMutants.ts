/** Deliberately weakened rules. The properties must catch each of them. */
import type * as Log from '@berylyoke/log';
import * as HashMap from 'effect/HashMap';
import * as HashSet from 'effect/HashSet';
import * as LocalCounters from '../../LocalCounters.js';
import * as UsageAmounts from '../../UsageAmounts.js';
import * as PeerCounters from '../../PeerCounters.js';
import type * as UsageModel from './UsageModel.js';
import * as UsageRecords from '../../UsageRecords.js';
import * as UsageWindows from '../../UsageWindows.js';

/** A weakened rule and the violation that shows it. */
export interface UsageMutant {
  readonly rule: string;
  readonly violation: RegExp;
  readonly rules: Partial<UsageModel.UsageRules>;
  /** The log drops entries. */
  readonly isLossy?: boolean;
}

/** Replaces the bodies of one kind of record before the fold sees them. */
function withBodies<Body>(
  kind: string,
  replace: (body: Body, state: UsageWindows.UsageState, entry: Log.LogEntry) => Body | undefined,
): UsageModel.UsageRules['reduceUsage'] {
  return (state, entry) => {
    if (entry.offset <= state.offset) return state;
    const start = UsageWindows.reduceUsage(state, { ...entry, records: [] });
    return entry.records.reduce((current, record) => {
      const body = record.kind === kind
        ? replace(record.body as Body, current, entry)
        : record.body;
      return UsageWindows.reduceUsage(
        { ...current, offset: entry.offset - 1 },
        { ...entry, records: body === undefined ? [] : [{ ...record, body }] },
      );
    }, start);
  };
}

const { counters, seal } = UsageRecords.USAGE_KINDS;

/** The table of mutants. */
export const USAGE_MUTANTS: readonly UsageMutant[] = [
  {
    rule: 'send a report from the local sum and not from a seal',
    rules: {
      listReports: (state, wallMs) => {
        const planned = UsageWindows.planSeal(state, wallMs, 0, 0);
        return planned === undefined ? [] : [{
          figures: planned.parts.reduce<UsageAmounts.AccountUsage>(
            (sum, { accounts }) => UsageAmounts.sumFigures(sum, accounts),
            {},
          ),
          window: planned.window,
        }];
      },
    },
    violation: /two figures/,
  },
  {
    rule: 'let the last seal of a window win',
    rules: {
      reduceUsage: withBodies<UsageRecords.UsageSeal>(seal, (body, state) => {
        if (state.last?.window === body.window) {
          Object.assign(state, { last: { ...state.last, window: -1 } });
          return { ...body, base: state.last?.recordId ?? '' };
        }
        return body;
      }),
    },
    violation: /two figures/,
  },
  {
    rule: 'accept a seal that does not name the newest one',
    rules: {
      reduceUsage: withBodies<UsageRecords.UsageSeal>(seal, (body, state) => (
        { ...body, base: state.last?.recordId ?? '' }
      )),
    },
    violation: /more was reported than counted/,
  },
  {
    rule: 'add counters in place of taking the greatest',
    rules: {
      reduceUsage: withBodies<UsageRecords.UsageCounters>(counters, (body, state, entry) => ({
        ...body,
        source: { daemonId: `${body.source.daemonId}-${entry.offset}`, incarnation: 'x' },
      })),
    },
    violation: /more was reported than counted/,
  },
  {
    rule: 'leave the incarnation out of the source of counters',
    rules: {
      reduceUsage: withBodies<UsageRecords.UsageCounters>(counters, (body) => (
        { ...body, source: { ...body.source, incarnation: 'x' } }
      )),
    },
    violation: /less was reported/,
  },
  {
    rule: 'append what is new in place of cumulative counters',
    rules: {
      listUnwritten: (book) => LocalCounters.listUnwritten(book).map((found) => ({
        ...found,
        accounts: UsageAmounts.computeExcess(
          found.accounts,
          Object.fromEntries(book.windows.get(found.window)?.written ?? []),
        ),
      })),
    },
    violation: /less was reported/,
  },
  {
    rule: 'ignore counters that come after the seal of their window',
    rules: {
      reduceUsage: withBodies<UsageRecords.UsageCounters>(counters, (body, { last }) => (
        last !== undefined && body.window <= last.window ? undefined : body
      )),
    },
    violation: /less was reported/,
  },
  {
    rule: 'account for no correction, so that it is made again',
    rules: {
      reduceUsage: (state, entry) => {
        const next = UsageWindows.reduceUsage(state, entry);
        const { last } = next;
        if (last === undefined || last === state.last) return next;
        const corrected = last.parts.map(({ window }) => window)
          .filter((window) => window !== last.window);
        return corrected.reduce((current, window) => ({
          ...current,
          unsealed: HashSet.add(current.unsealed, window),
          windows: HashMap.set(current.windows, window, HashMap.unsafeGet(state.windows, window)),
        }), next);
      },
    },
    violation: /more was reported than counted/,
  },
  {
    rule: 'leave corrections out of a seal',
    rules: {
      planSeal: (state, wallMs, graceMs, fence) => {
        const planned = UsageWindows.planSeal(state, wallMs, graceMs, fence);
        return planned === undefined ? undefined : {
          ...planned, parts: planned.parts.filter(({ window }) => window === planned.window),
        };
      },
    },
    violation: /less was reported/,
  },
  {
    isLossy: true,
    rule: 'go on after a gap as if nothing had been lost',
    rules: {
      reduceUsageGap: (state, first) => (
        { ...UsageWindows.reduceUsageGap(state, first), covered: 'complete' }
      ),
    },
    violation: /two figures|more was reported than counted/,
  },
  {
    isLossy: true,
    rule: 'take up the chain after a gap from any seal',
    rules: {
      reduceUsage: (state, entry) => {
        const next = UsageWindows.reduceUsage(state, entry);
        const [named] = next.candidates.values();
        return named === undefined
          ? next
          : {
            ...next, candidates: new Map(), last: named, unreported: [named],
          };
      },
    },
    violation: /two figures|more was reported than counted/,
  },
  {
    isLossy: true,
    rule: 'correct windows of which a part was lost',
    rules: {
      reduceUsage: (state, entry) => {
        const next = UsageWindows.reduceUsage(state, entry);
        return next.last === undefined ? next : { ...next, covered: 'complete' };
      },
    },
    violation: /more was reported than counted/,
  },
  {
    rule: 'take an older heartbeat in place of a newer one',
    rules: {
      applyHeartbeat: (peers, source, bytes) => {
        const { peers: others } = PeerCounters.removePeer(peers, source);
        return PeerCounters.applyHeartbeat(others, source, bytes);
      },
    },
    violation: /less was reported/,
  },
  {
    rule: 'keep no counters of peers',
    rules: { applyHeartbeat: (peers) => peers },
    violation: /less was reported/,
  },
];
