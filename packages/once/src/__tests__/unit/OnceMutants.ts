/** Deliberately weakened rules. The properties must catch each of them. */
import type * as Log from '@berylyoke/log';
import * as HashMap from 'effect/HashMap';
import * as Option from 'effect/Option';
import * as ClaimCall from '../../ClaimCall.js';
import * as ClaimTable from '../../ClaimTable.js';
import * as OnceModel from './OnceModel.js';
import * as OnceRecords from '../../OnceRecords.js';

/** A weakened rule and the violation that shows it. */
export interface OnceMutant {
  readonly rule: string;
  readonly violation: RegExp;
  readonly rules: Partial<OnceModel.OnceRules>;
}

type RecordRule = (
  table: ClaimTable.ClaimTable,
  record: Log.LogRecord,
) => readonly Log.LogRecord[];

/** Applies each record of an entry after a rule has replaced it by others. */
function withRecords(rule: RecordRule): OnceModel.OnceRules['reduceClaims'] {
  return (table, entry) => {
    if (entry.offset <= table.offset) return table;
    const start = ClaimTable.reduceClaims(table, { ...entry, records: [] });
    return entry.records.reduce((current, record) => ClaimTable.reduceClaims(
      { ...current, offset: entry.offset - 1 },
      { ...entry, records: rule(current, record) },
    ), start);
  };
}

function getClaim(
  table: ClaimTable.ClaimTable,
  keyDigest: string,
): ClaimTable.StandingClaim | undefined {
  return Option.getOrUndefined(HashMap.get(table.keys, keyDigest))?.[0];
}

const { claim, release, result } = OnceRecords.ONCE_KINDS;

const buildRelease = (keyDigest: string, holder: ClaimTable.StandingClaim): Log.LogRecord => ({
  body: { claimId: holder.claimId, keyDigest },
  kind: release,
  recordId: 'mutant',
  writer: holder.writer,
});

/** The table of mutants. */
export const ONCE_MUTANTS: readonly OnceMutant[] = [
  {
    rule: 'decide on the answer of the append and not on the read-back',
    rules: {
      reduceCall: (call, event, nowMs) => ClaimCall.reduceCall(call, event._tag === 'AppendAnswered'
        ? { _tag: 'ReadBack', holds: true, standing: { _tag: 'Free' } }
        : event, nowMs),
    },
    violation: /ran twice/,
  },
  {
    rule: 'take the last claim',
    rules: {
      reduceClaims: withRecords((table, record) => {
        const body = record.body as OnceRecords.OnceClaim;
        const holder = getClaim(table, body.keyDigest);
        return record.kind === claim && holder !== undefined && holder.claimId !== body.claimId
          ? [buildRelease(body.keyDigest, holder), record]
          : [record];
      }),
    },
    violation: /ran twice/,
  },
  {
    rule: 'ignore a release that comes before its claim',
    rules: {
      reduceClaims: withRecords((table, record) => {
        const body = record.body as OnceRecords.OnceRelease;
        const known = getClaim(table, body.keyDigest)?.claimId === body.claimId;
        return record.kind === release && !known ? [] : [record];
      }),
    },
    violation: /holds its key for good/,
  },
  {
    rule: 'forget a release once it has taken effect, so that a repeated claim wins again',
    rules: {
      reduceClaims: withRecords((table, record) => {
        Object.assign(table, {
          released: HashMap.filter(table.released, (_, claimId) => (
            record.kind !== claim
            || (record.body as OnceRecords.OnceClaim).claimId !== claimId
          )),
        });
        return [record];
      }),
    },
    violation: /holds its key for good/,
  },
  {
    rule: 'release nothing after a read-back that timed out',
    rules: {
      reduceCall: (call, event, nowMs) => {
        const step = ClaimCall.reduceCall(call, event, nowMs);
        return event._tag === 'ReadBackTimedOut'
          ? { ...step, actions: step.actions.filter(({ _tag }) => _tag !== 'AppendRelease') }
          : step;
      },
    },
    violation: /holds its key for good/,
  },
  {
    rule: 'run a claim that is read back after its time-out',
    rules: {
      reduceCall: (call, event, nowMs) => ClaimCall.reduceCall(
        event._tag === 'ReadBack' && call.phase === 'ended' && event.holds
          ? { ...call, claimedMs: nowMs, phase: 'claiming' }
          : call,
        event,
        nowMs,
      ),
    },
    violation: /refused as not run and ran/,
  },
  {
    rule: 'release a call that was sent',
    rules: {
      reduceCall: (call, event, nowMs) => ClaimCall.reduceCall(
        event._tag === 'Abandoned' && call.phase === 'sent'
          ? { ...call, phase: 'permitted' }
          : call,
        event,
        nowMs,
      ),
    },
    violation: /ran twice|refused as not run and ran/,
  },
  {
    rule: 'send without regard to the time since the claim',
    rules: {
      reduceCall: (call, event, nowMs) => (
        ClaimCall.reduceCall({ ...call, claimedMs: nowMs }, event, nowMs)
      ),
    },
    violation: /ran twice/,
  },
  {
    rule: 'take the key of a daemon that is gone for free',
    rules: {
      getStanding: (table, keyDigest, bodyDigest, isGone) => {
        const holder = getClaim(table, keyDigest);
        return holder !== undefined && holder.outcome === undefined && isGone(holder.writer)
          ? { _tag: 'Free' }
          : ClaimTable.getStanding(table, keyDigest, bodyDigest, isGone);
      },
      reduceClaims: withRecords((table, record) => {
        const body = record.body as OnceRecords.OnceClaim;
        const holder = getClaim(table, body.keyDigest);
        return record.kind === claim && holder !== undefined && holder.outcome === undefined
          && holder.writer.daemonId === record.writer.daemonId
          && holder.writer.incarnation !== record.writer.incarnation
          ? [buildRelease(body.keyDigest, holder), record]
          : [record];
      }),
    },
    violation: /ran twice/,
  },
  {
    rule: 'compare no body before the stored answer is given',
    rules: {
      getStanding: (table, keyDigest, bodyDigest, isGone) => ClaimTable.getStanding(
        table,
        keyDigest,
        getClaim(table, keyDigest)?.bodyDigest ?? bodyDigest,
        isGone,
      ),
    },
    violation: /answer of another call/,
  },
  {
    rule: 'accept a result for a claim that no longer holds the key',
    rules: {
      reduceClaims: withRecords((table, record) => {
        const body = record.body as OnceRecords.OnceResult;
        const holder = getClaim(table, body.keyDigest);
        return record.kind === result && holder !== undefined
          ? [{ ...record, body: { ...body, claimId: holder.claimId }, writer: holder.writer }]
          : [record];
      }),
    },
    violation: /answer of another call/,
  },
  {
    rule: 'decide although a part of the window was not read',
    rules: {
      reduceGap: (table, first) => ({ ...ClaimTable.reduceGap(table, first), covered: 'complete' }),
    },
    violation: /ran twice/,
  },
  {
    rule: 'let a void claim go before its release',
    rules: {
      reduceClaims: withRecords((table, record) => {
        const body = record.body as OnceRecords.OnceClaim;
        return record.kind === claim && (getClaim(table, body.keyDigest)?.claimId
          ?? body.claimId) !== body.claimId ? [] : [record];
      }),
    },
    violation: /ran twice|holds its key for good/,
  },
  {
    rule: 'release no void claim',
    rules: {
      reduceCall: (call, event, nowMs) => {
        const step = ClaimCall.reduceCall(call, event, nowMs);
        return event._tag === 'ReadBack' && !event.holds
          ? { ...step, actions: step.actions.filter(({ _tag }) => _tag !== 'AppendRelease') }
          : step;
      },
    },
    violation: /holds its key for good/,
  },
  {
    rule: 'expire claims by a window of half the length',
    rules: {
      reduceClaims: (table, entry) => ({
        ...ClaimTable.reduceClaims({
          ...table, limits: { ...table.limits, windowMs: table.limits.windowMs / 2 },
        }, entry),
        limits: table.limits,
      }),
    },
    violation: /ran twice/,
  },
];
