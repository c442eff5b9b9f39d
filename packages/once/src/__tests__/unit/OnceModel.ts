/**
 * Model of daemons, a log and a backend server for the claim machines. A schedule is a list of
 * steps; every interleaving of lost, late and repeated appends, pauses, crashes and restarts is
 * some schedule. A pause is a daemon that no step names for a while.
 */
import * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import * as Equal from 'effect/Equal';
import * as FastCheck from 'fast-check';
import * as HashMap from 'effect/HashMap';
import * as ClaimCall from '../../ClaimCall.js';
import * as ClaimTable from '../../ClaimTable.js';
import * as OnceRecords from '../../OnceRecords.js';

/** The rules under test; a mutant replaces one of them. */
export interface OnceRules {
  readonly reduceClaims: typeof ClaimTable.reduceClaims;
  readonly reduceGap: typeof ClaimTable.reduceGap;
  readonly getStanding: typeof ClaimTable.getStanding;
  readonly reduceCall: typeof ClaimCall.reduceCall;
}

/** The rules as they are. */
export const ONCE_RULES: OnceRules = {
  getStanding: ClaimTable.getStanding,
  reduceCall: ClaimCall.reduceCall,
  reduceClaims: ClaimTable.reduceClaims,
  reduceGap: ClaimTable.reduceGap,
};

/** One step of a schedule. Numbers select among what exists, modulo its size. */
export type OnceStep = { readonly _tag: 'Request';
  readonly daemon: number;
  readonly key: number;
  readonly body: number; }
  /** Appends in flight take effect as one entry; `keep` leaves them to take effect again. */
  | { readonly _tag: 'Deliver';
    readonly from: number;
    readonly count: number;
    readonly keep: boolean;
    readonly answered: boolean; }
  | { readonly _tag: 'Read'; readonly daemon: number; readonly count: number }
  | { readonly _tag: 'TimeOut'; readonly call: number }
  | { readonly _tag: 'Send'; readonly call: number }
  | { readonly _tag: 'Finish'; readonly call: number; readonly known: boolean }
  | { readonly _tag: 'Abandon'; readonly call: number }
  | { readonly _tag: 'Crash'; readonly daemon: number; readonly keep: boolean }
  | { readonly _tag: 'Pass'; readonly byMs: number }
  /** The log drops its entries that are older than `keptMs`. */
  | { readonly _tag: 'Retain'; readonly keptMs: number };

const DAEMONS = 3;
const KEYS = 2;
const WINDOW_MS = 1_000;
const SEND_WITHIN_MS = 200;
const MANY = 1_000;

const tables = { storedBodyBytes: 1_000, windowMs: WINDOW_MS };
const small = FastCheck.nat({ max: 7 });

const requestStep = FastCheck.record({
  _tag: FastCheck.constant('Request' as const),
  body: FastCheck.nat({ max: 1 }),
  daemon: FastCheck.nat({ max: DAEMONS - 1 }),
  key: FastCheck.nat({ max: KEYS - 1 }),
});
const deliverStep = FastCheck.record({
  _tag: FastCheck.constant('Deliver' as const),
  answered: FastCheck.boolean(),
  count: FastCheck.integer({ max: 3, min: 1 }),
  from: small,
  keep: FastCheck.boolean(),
});
const readStep = FastCheck.record({
  _tag: FastCheck.constant('Read' as const),
  count: FastCheck.integer({ max: 6, min: 1 }),
  daemon: small,
});
const callStep = FastCheck.record({
  _tag: FastCheck.constantFrom('Send' as const, 'TimeOut' as const, 'Abandon' as const),
  call: small,
});
const finishStep = FastCheck.record({
  _tag: FastCheck.constant('Finish' as const),
  call: small,
  known: FastCheck.boolean(),
});
const crashStep = FastCheck.record({
  _tag: FastCheck.constant('Crash' as const),
  daemon: small,
  keep: FastCheck.boolean(),
});
const passStep = FastCheck.record({
  _tag: FastCheck.constant('Pass' as const),
  byMs: FastCheck.constantFrom(1, 50, 150, 300, 600, 1_100),
});
const retainStep = FastCheck.record({
  _tag: FastCheck.constant('Retain' as const),
  keptMs: FastCheck.constantFrom(0, 300, WINDOW_MS),
});

/** An attempt that goes through without a fault up to some point: reaches deep states sooner. */
const attemptSteps: FastCheck.Arbitrary<OnceStep[]> = FastCheck.tuple(
  requestStep,
  FastCheck.integer({ max: 6, min: 2 }),
).map(([request, length]) => [
  request,
  {
    _tag: 'Deliver' as const, answered: true, count: MANY, from: 0, keep: false,
  },
  { _tag: 'Read' as const, count: MANY, daemon: request.daemon },
  { _tag: 'Send' as const, call: 0 },
  { _tag: 'Finish' as const, call: 0, known: true },
  {
    _tag: 'Deliver' as const, answered: true, count: MANY, from: 0, keep: false,
  },
].slice(0, length));

const toSteps = <Step extends OnceStep>(
  step: FastCheck.Arbitrary<Step>,
): FastCheck.Arbitrary<OnceStep[]> => step.map((found) => [found]);

/** Schedules. Times are chosen so that claims expire while others are new. */
export const onceSchedule: FastCheck.Arbitrary<OnceStep[]> = FastCheck.array(FastCheck.oneof(
  { arbitrary: toSteps(requestStep), weight: 5 },
  { arbitrary: toSteps(deliverStep), weight: 6 },
  { arbitrary: toSteps(readStep), weight: 6 },
  { arbitrary: toSteps(callStep), weight: 5 },
  { arbitrary: toSteps(finishStep), weight: 2 },
  { arbitrary: toSteps(crashStep), weight: 1 },
  { arbitrary: toSteps(passStep), weight: 3 },
  { arbitrary: toSteps(retainStep), weight: 1 },
  { arbitrary: attemptSteps, weight: 3 },
), { maxLength: 40, minLength: 1, size: 'max' }).map((steps) => steps.flat());

interface Attempt {
  readonly claimId: string;
  readonly keyDigest: string;
  readonly bodyDigest: string;
  readonly daemon: number;
  readonly incarnation: string;
  call: ClaimCall.ClaimCall;
  refusal: ClaimCall.RefusalReason | undefined;
  replayed: OnceRecords.StoredAnswer | undefined;
}

interface Daemon {
  incarnation: number;
  table: ClaimTable.ClaimTable;
  next: number;
}

interface Append {
  readonly record: Log.LogRecord;
  readonly attempt: Attempt;
}

interface Execution {
  readonly attempt: Attempt;
  readonly atMs: number;
}

const toDigest = (text: string): string => text.padEnd(43, '_');
const toWriter = (daemon: number, incarnation: number | string): Core.Writer => (
  { daemonId: `d${daemon}`, incarnation: String(incarnation) }
);

const toComparable = ({ keys }: ClaimTable.ClaimTable): HashMap.HashMap<string, string> => (
  HashMap.map(keys, (claims) => JSON.stringify(claims))
);

/** Runs a schedule and returns each broken promise as a sentence. */
export function findOnceViolations(rules: OnceRules, steps: readonly OnceStep[]): string[] {
  let nowMs = 10_000;
  let attempts = 0;
  let records = 0;
  let first = 0;
  let calls: Attempt[] = [];
  let inFlight: Append[] = [];
  const log: Log.LogEntry[] = [];
  const executions: Execution[] = [];
  const violations: string[] = [];
  const daemons: Daemon[] = Array.from({ length: DAEMONS }, () => (
    { incarnation: 0, next: 0, table: ClaimTable.createClaimTable(tables) }
  ));

  const getDaemon = (index: number): Daemon => daemons[index % DAEMONS] as Daemon;
  const isLive = ({ daemon, incarnation }: Attempt): boolean => (
    String(getDaemon(daemon).incarnation) === incarnation
  );
  const isGone = ({ daemonId, incarnation }: Core.Writer): boolean => (
    String(getDaemon(Number(daemonId.slice(1))).incarnation) !== incarnation
  );

  const append = (attempt: Attempt, kind: string, body: unknown): void => {
    records += 1;
    const record = {
      body, kind, recordId: `r${records}`, writer: toWriter(attempt.daemon, attempt.incarnation),
    };
    inFlight.push({ attempt, record });
  };

  const handleAction = (attempt: Attempt, action: ClaimCall.CallAction): void => {
    const { bodyDigest, claimId, keyDigest } = attempt;
    const { claim, release, result } = OnceRecords.ONCE_KINDS;
    const handlers: Readonly<Record<ClaimCall.CallAction['_tag'], () => void>> = {
      AppendClaim: () => append(attempt, claim, { bodyDigest, claimId, keyDigest }),
      AppendRelease: () => append(attempt, release, { claimId, keyDigest }),
      AppendResult: () => append(attempt, result, {
        claimId, keyDigest, outcome: 'outcome' in action ? action.outcome : undefined,
      }),
      Permit: () => undefined,
      Refuse: () => {
        Object.assign(attempt, { refusal: 'reason' in action ? action.reason : undefined });
      },
      Replay: () => {
        Object.assign(attempt, { replayed: 'answer' in action ? action.answer : undefined });
      },
      Send: () => executions.push({ atMs: nowMs, attempt }),
      WaitForHolder: () => undefined,
    };
    handlers[action._tag]();
  };

  const step = (attempt: Attempt, event: ClaimCall.CallEvent): void => {
    const { actions, call } = rules.reduceCall(attempt.call, event, nowMs);
    Object.assign(attempt, { call });
    actions.forEach((action) => handleAction(attempt, action));
  };

  const getStanding = (attempt: Attempt): ClaimTable.Standing => rules.getStanding(
    getDaemon(attempt.daemon).table,
    attempt.keyDigest,
    attempt.bodyDigest,
    isGone,
  );

  const handleReadBack = (attempt: Attempt): void => {
    const { table } = getDaemon(attempt.daemon);
    if (!ClaimTable.isComplete(table)) {
      step(attempt, { _tag: 'ReadBackTimedOut' });
      return;
    }
    step(attempt, {
      _tag: 'ReadBack',
      holds: ClaimTable.isHolder(table, attempt.keyDigest, attempt.claimId),
      standing: getStanding(attempt),
    });
  };

  const read = (daemon: Daemon, count: number): void => {
    if (daemon.next < first) {
      Object.assign(daemon, { next: first, table: rules.reduceGap(daemon.table, first) });
    }
    log.slice(daemon.next, daemon.next + count).forEach((entry) => {
      Object.assign(daemon, {
        next: entry.offset + 1, table: rules.reduceClaims(daemon.table, entry),
      });
      const ids = new Set(entry.records
        .filter(({ kind }) => kind === OnceRecords.ONCE_KINDS.claim)
        .map(({ body }) => (body as OnceRecords.OnceClaim).claimId));
      calls.filter((attempt) => ids.has(attempt.claimId) && isLive(attempt)
        && getDaemon(attempt.daemon) === daemon).forEach(handleReadBack);
    });
  };

  const deliver = (chosen: readonly Append[], answered: boolean): void => {
    if (chosen.length === 0) return;
    log.push({
      offset: log.length, records: chosen.map(({ record }) => record), timestampMs: nowMs,
    });
    chosen.filter(({ attempt }) => answered && isLive(attempt))
      .forEach(({ attempt }) => step(attempt, { _tag: 'AppendAnswered' }));
  };

  const withCall = (index: number, event: ClaimCall.CallEvent): void => {
    const live = calls.filter(isLive);
    const attempt = live[live.length - 1 - (index % Math.max(1, live.length))];
    if (attempt !== undefined) step(attempt, event);
  };

  type Handlers = {
    readonly [Tag in OnceStep['_tag']]: (
      found: Extract<OnceStep, { readonly _tag: Tag }>,
    ) => void;
  };
  const handlers: Handlers = {
    Abandon: ({ call }) => withCall(call, { _tag: 'Abandoned' }),
    Crash: ({ daemon, keep }) => {
      const found = getDaemon(daemon);
      const index = daemons.indexOf(found);
      if (!keep) inFlight = inFlight.filter(({ attempt }) => attempt.daemon !== index);
      Object.assign(found, {
        incarnation: found.incarnation + 1,
        next: 0,
        table: ClaimTable.createClaimTable(tables),
      });
    },
    Deliver: ({
      answered, count, from, keep,
    }) => {
      const start = from % Math.max(1, inFlight.length);
      const chosen = inFlight.slice(start, start + count);
      if (!keep) inFlight = inFlight.filter((found) => !chosen.includes(found));
      deliver(chosen, answered);
    },
    Finish: ({ call, known }) => {
      const live = calls.filter(isLive);
      const attempt = live[live.length - 1 - (call % Math.max(1, live.length))];
      if (attempt === undefined) return;
      step(attempt, {
        _tag: 'Finished',
        outcome: known
          ? {
            _tag: 'StoredAnswer', body: null, headers: { etag: attempt.claimId }, status: 201,
          }
          : { _tag: 'UnknownOutcome' },
      });
    },
    Pass: ({ byMs }) => {
      nowMs += byMs;
    },
    Read: ({ count, daemon }) => read(getDaemon(daemon), count),
    Request: ({ body, daemon, key }) => {
      attempts += 1;
      const attempt: Attempt = {
        bodyDigest: toDigest(`body${body}`),
        call: ClaimCall.createClaimCall(SEND_WITHIN_MS),
        claimId: `c${attempts}`,
        daemon: daemon % DAEMONS,
        incarnation: String(getDaemon(daemon).incarnation),
        keyDigest: toDigest(`key${key}`),
        refusal: undefined,
        replayed: undefined,
      };
      calls = [...calls, attempt];
      step(attempt, { _tag: 'Started', standing: getStanding(attempt) });
    },
    Retain: ({ keptMs }) => {
      const kept = log.findIndex(({ timestampMs }) => timestampMs > nowMs - keptMs);
      first = Math.max(first, kept < 0 ? log.length : kept);
    },
    Send: ({ call }) => withCall(call, { _tag: 'SendRequested' }),
    TimeOut: ({ call }) => withCall(call, { _tag: 'ReadBackTimedOut' }),
  };
  steps.forEach((found) => (handlers[found._tag] as (step: OnceStep) => void)(found));

  // Everything in flight arrives and everything is read; twice, for releases that this causes.
  const settle = (): void => {
    const rest = inFlight;
    inFlight = [];
    rest.forEach((found) => deliver([found], false));
    daemons.forEach((daemon) => read(daemon, log.length));
  };
  settle();
  settle();

  executions.forEach((later, index) => executions.slice(0, index).forEach((earlier) => {
    if (earlier.attempt.keyDigest !== later.attempt.keyDigest) return;
    if (later.atMs - earlier.atMs < WINDOW_MS - SEND_WITHIN_MS) {
      violations.push(`a key ran twice: ${earlier.attempt.claimId}, ${later.attempt.claimId}`);
    }
  }));
  const sent = new Map(executions.map(({ attempt }) => [attempt.claimId, attempt]));
  calls.forEach(({
    bodyDigest, claimId, keyDigest, refusal, replayed,
  }) => {
    if (refusal !== undefined && sent.has(claimId)) {
      violations.push(`${claimId} was refused as not run and ran`);
    }
    const source = replayed === undefined ? undefined : sent.get(replayed.headers.etag ?? '');
    if (replayed !== undefined
      && (source?.keyDigest !== keyDigest || source.bodyDigest !== bodyDigest)) {
      violations.push(`${claimId} got the answer of another call`);
    }
  });
  const holding = new Set(calls.filter(({ call }) => call.phase !== 'ended')
    .map(({ claimId }) => claimId));
  const findTimes = (kind: string, claimId: string): readonly number[] => log
    .filter(({ records: found }) => found.some((record) => (
      record.kind === kind && (record.body as OnceRecords.OnceRelease).claimId === claimId
    )))
    .map(({ timestampMs }) => timestampMs);
  const whole = daemons.filter(({ table }) => table.covered === 'complete');
  whole.forEach(({ table }) => {
    [...HashMap.values(table.keys)].flat().forEach(({ claimId, outcome, writer }) => {
      if (outcome !== undefined || holding.has(claimId) || isGone(writer)) return;
      // A release is remembered for a window; a claim that appears later than that stands until
      // it expires, which is safe and rare.
      const [releasedMs = Infinity] = findTimes(OnceRecords.ONCE_KINDS.release, claimId);
      const lastMs = Math.max(...findTimes(OnceRecords.ONCE_KINDS.claim, claimId));
      if (lastMs - releasedMs >= WINDOW_MS) return;
      violations.push(`${claimId} has ended and holds its key for good`);
    });
  });
  whole.slice(1).forEach(({ table }) => {
    if (!Equal.equals(toComparable(table), toComparable((whole[0] as Daemon).table))) {
      violations.push('two readers of the same entries differ');
    }
  });
  return violations;
}
