/**
 * Claims of calls with an idempotency key, at the edge: appends claims, reads them back, and hands
 * out the right to send. The log client's group commit batches what is appended here.
 */
import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Duration from 'effect/Duration';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import * as Schedule from 'effect/Schedule';
import * as ClaimCall from './ClaimCall.js';
import * as ClaimKey from './ClaimKey.js';
import type * as ClaimLimits from './ClaimLimits.js';
import * as ClaimRefusals from './ClaimRefusals.js';
import * as ClaimTable from './ClaimTable.js';
import * as OnceRecords from './OnceRecords.js';

/** Answer of a backend server; `body` is undefined when the caller did not keep all of it. */
export interface FinishedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
}

/** The answer of an earlier attempt. */
export interface ReplayedAnswer {
  readonly _tag: 'Replay';
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Right to send a call once. The holder calls `release`, `finish` or `finishUnknown`, once. */
export interface SendPermit {
  readonly _tag: 'Permit';
  readonly claimId: string;
  /**
   * Asks for the right in the event-loop turn of the first write. On false nothing may be sent; the
   * claim was released and the call is refused as not run.
   */
  readonly requestSend: () => boolean;
  /** Gives the claim up; has no effect once `requestSend` has returned true. */
  readonly release: () => void;
  /**
   * Records the answer. Ends when the record was read back, with true, or after `resultWaitMs`,
   * with false; in the second case the append goes on and the answer is given without it, since
   * the call has run and holding its answer back would not undo that.
   */
  readonly finish: (answer: FinishedAnswer) => Effect.Effect<boolean>;
  /** Records that the call was sent and no whole answer arrived; bounded as `finish`. */
  readonly finishUnknown: () => Effect.Effect<boolean>;
}

/** Counts since the start, for metrics. */
export interface ClaimCounts {
  readonly permits: number;
  readonly replays: number;
  readonly refusals: Readonly<Partial<Record<ClaimRefusals.ClaimRefusalReason, number>>>;
  /** Releases and results that wait for the log. */
  readonly pendingRecords: number;
  /** Releases and results that were given up because too many waited. */
  readonly droppedRecords: number;
  /** Claims and releases that the tables hold. */
  readonly claims: number;
  readonly storedBytes: number;
  readonly skippedRecords: number;
}

/** Claims of one daemon. */
export interface ClaimService {
  readonly claim: (
    call: ClaimKey.KeyedCall,
  ) => Effect.Effect<ReplayedAnswer | SendPermit, ClaimRefusals.ClaimRefusal>;
  readonly getCounts: () => ClaimCounts;
  /** Waits until no release or result waits for the log, at most `timeoutMs`. */
  readonly drain: (timeoutMs: Core.Millis) => Effect.Effect<boolean>;
  readonly close: Core.Cleanup;
}

/** What the service works with. */
export interface ClaimServiceOptions {
  readonly log: Log.LogClient;
  readonly clock: Core.Clock;
  readonly limits: ClaimLimits.ClaimLimits;
  /** Tells that an incarnation has ended, by what membership knows. */
  readonly isGone: (writer: Core.Writer) => boolean;
}

/** Headers that are stored with an answer. */
const STORED_HEADERS = new Set([
  'content-language', 'content-type', 'etag', 'location', 'retry-after',
]);
/** Wait before a release or result is appended again, in milliseconds. */
const REPEAT_MS = 500;
/** Checks whether pending records are written while draining, in milliseconds. */
const DRAIN_POLL_MS = 20;

type Claimed = Effect.Effect<ReplayedAnswer | SendPermit, ClaimRefusals.ClaimRefusal>;

type ActionHandler<Action> = (
  action: Action,
  runNext: (actions: readonly ClaimCall.CallAction[]) => Claimed,
) => Claimed | undefined;

type ActionHandlers = {
  readonly [Tag in ClaimCall.CallAction['_tag']]?: ActionHandler<
    Extract<ClaimCall.CallAction, { readonly _tag: Tag }>
  >;
};

interface Shard {
  readonly stream: string;
  table: ClaimTable.ClaimTable;
  readonly watchers: Map<string, Set<() => void>>;
}

function isRecordOfKey(body: unknown): body is { readonly keyDigest: string } {
  return typeof body === 'object' && body !== null
    && 'keyDigest' in body && typeof body.keyDigest === 'string';
}

function applyEntry(shard: Shard, entry: Log.LogEntry): void {
  Object.assign(shard, { table: ClaimTable.reduceClaims(shard.table, entry) });
  entry.records.forEach(({ body }) => {
    if (isRecordOfKey(body)) shard.watchers.get(body.keyDigest)?.forEach((wake) => wake());
  });
}

function waitForChange(
  shard: Shard,
  keyDigest: string,
  timeoutMs: Core.Millis,
): Effect.Effect<void> {
  return Effect.async<void>((resume) => {
    const wake = (): void => resume(Effect.void);
    const watchers = shard.watchers.get(keyDigest) ?? new Set();
    shard.watchers.set(keyDigest, watchers.add(wake));
    const timer = setTimeout(wake, timeoutMs);
    const removeWatcher = (): void => {
      clearTimeout(timer);
      watchers.delete(wake);
      if (watchers.size === 0 && shard.watchers.get(keyDigest) === watchers) {
        shard.watchers.delete(keyDigest);
      }
    };
    return Effect.sync(removeWatcher);
  });
}

/** Builds the record of an answer: allow-listed headers, and the body when it fits. */
export function buildStoredAnswer(
  { body, headers, status }: FinishedAnswer,
  bodyBytes: number,
): OnceRecords.StoredAnswer {
  const kept = body !== undefined && body.length <= bodyBytes;
  return {
    _tag: 'StoredAnswer',
    body: kept ? Buffer.from(body).toString('base64') : null,
    headers: Object.fromEntries(
      Object.entries(headers).filter(([name]) => STORED_HEADERS.has(name.toLowerCase())),
    ),
    status,
  };
}

/** Creates the service; it reads every shard from the first retained entry on. */
export function createClaimService(
  {
    clock, isGone, limits, log,
  }: ClaimServiceOptions,
): ClaimService {
  let permits = 0;
  let replays = 0;
  let dropped = 0;
  const refusals = new Map<ClaimRefusals.ClaimRefusalReason, number>();
  const pending = new Set<Fiber.RuntimeFiber<unknown, unknown>>();

  const shards: readonly Shard[] = Array.from({ length: limits.shards }, (_, index) => ({
    stream: Log.getOnceStream(index),
    table: ClaimTable.createClaimTable({
      storedBodyBytes: limits.storedBodyBytesPerShard, windowMs: limits.windowMs,
    }),
    watchers: new Map(),
  }));
  const undo = Core.mergeCleanups(...shards.map((shard) => log.registerReader(shard.stream, 0, {
    onEntry: (entry) => applyEntry(shard, entry),
    onGap: (first) => {
      Object.assign(shard, { table: ClaimTable.reduceGap(shard.table, first) });
    },
  })));

  const refuse = (reason: ClaimRefusals.ClaimRefusalReason) => Effect.suspend(() => {
    refusals.set(reason, (refusals.get(reason) ?? 0) + 1);
    return Effect.fail(ClaimRefusals.createClaimRefusal(reason));
  });

  // An own earlier incarnation has ended, since this one runs under the same daemon id.
  const isEnded = (writer: Core.Writer): boolean => isGone(writer)
    || (writer.daemonId === log.writer.daemonId
      && writer.incarnation !== log.writer.incarnation);

  const getStanding = (shard: Shard, key: ClaimKey.ClaimKey): ClaimTable.Standing => (
    ClaimTable.getStanding(shard.table, key.keyDigest, key.bodyDigest, isEnded)
  );

  /** Appends until the record was read back; the record id stays, so readers see it once. */
  const appendDurably = (
    shard: Shard,
    kind: string,
    body: unknown,
  ): Fiber.RuntimeFiber<unknown, unknown> | undefined => {
    if (pending.size >= limits.pendingRecords) {
      dropped += 1;
      return undefined;
    }
    const record = Log.createRecord(log.writer, kind, body);
    const fiber = Effect.runFork(
      log.appendAndReadBack(shard.stream, record).pipe(
        Effect.retry(Schedule.spaced(Duration.millis(REPEAT_MS))),
      ),
    );
    pending.add(fiber);
    fiber.addObserver(() => pending.delete(fiber));
    return fiber;
  };

  const appendRelease = (shard: Shard, key: ClaimKey.ClaimKey, claimId: string): void => {
    const body: OnceRecords.OnceRelease = { claimId, keyDigest: key.keyDigest };
    appendDurably(shard, OnceRecords.ONCE_KINDS.release, body);
  };

  const appendResult = (
    shard: Shard,
    body: OnceRecords.OnceResult,
  ): Effect.Effect<boolean> => Effect.suspend(() => {
    const fiber = appendDurably(shard, OnceRecords.ONCE_KINDS.result, body);
    if (fiber === undefined) return Effect.succeed(false);
    return Fiber.await(fiber).pipe(
      Effect.as(true),
      Effect.timeoutTo({
        duration: Duration.millis(limits.resultWaitMs),
        onSuccess: () => true,
        onTimeout: () => false,
      }),
    );
  });

  const checkReady = (shard: Shard): ClaimRefusals.ClaimRefusalReason | undefined => {
    const { caughtUp, lastContactMs } = log.getStatus(shard.stream);
    const silentMs = clock.readMonotonic() - (lastContactMs ?? -Infinity);
    if (silentMs > limits.contactMs) return 'log-unavailable';
    if (!caughtUp) return 'behind';
    return ClaimTable.countClaims(shard.table) >= limits.claimsPerShard ? 'table-full' : undefined;
  };

  const createPermit = (
    shard: Shard,
    key: ClaimKey.ClaimKey,
    claimId: string,
    step: (event: ClaimCall.CallEvent) => readonly ClaimCall.CallAction[],
  ): SendPermit => {
    const run = (event: ClaimCall.CallEvent): readonly ClaimCall.CallAction[] => {
      const actions = step(event);
      if (actions.some(({ _tag }) => _tag === 'AppendRelease')) {
        appendRelease(shard, key, claimId);
      }
      return actions;
    };
    const finishWith = (outcome: OnceRecords.Outcome): Effect.Effect<boolean> => (
      Effect.suspend(() => (
        run({ _tag: 'Finished', outcome }).some(({ _tag }) => _tag === 'AppendResult')
          ? appendResult(shard, { claimId, keyDigest: key.keyDigest, outcome })
          : Effect.succeed(false)
      ))
    );
    return {
      _tag: 'Permit',
      claimId,
      finish: (answer) => finishWith(buildStoredAnswer(answer, limits.bodyBytes)),
      finishUnknown: () => finishWith({ _tag: 'UnknownOutcome' }),
      release: () => {
        run({ _tag: 'Abandoned' });
      },
      requestSend: () => run({ _tag: 'SendRequested' }).some(({ _tag }) => _tag === 'Send'),
    };
  };

  const replay = (answer: OnceRecords.StoredAnswer): Claimed => Effect.suspend(() => {
    if (answer.body === null) return refuse('answer-not-kept');
    replays += 1;
    return Effect.succeed({
      _tag: 'Replay' as const,
      body: Buffer.from(answer.body, 'base64'),
      headers: answer.headers,
      status: answer.status,
    });
  });

  const claimOnce = (key: ClaimKey.ClaimKey, untilMs: Core.Millis): Claimed => (
    Effect.suspend(() => {
      const shard = shards[key.shard];
      Core.invariant(shard !== undefined, 'The shard of a key is one of the configured shards.');
      const claimId = Core.createId();
      let call = ClaimCall.createClaimCall(limits.sendWithinMs);
      // A claim that was never sent to the log needs no release.
      let canAppear = true;
      const step = (event: ClaimCall.CallEvent): readonly ClaimCall.CallAction[] => {
        const next = ClaimCall.reduceCall(call, event, clock.readMonotonic());
        call = next.call;
        return next.actions;
      };

      const waitForHolder = (): Claimed => {
        const leftMs = untilMs - clock.readMonotonic();
        if (leftMs <= 0) return refuse('held');
        if (getStanding(shard, key)._tag !== 'Held') return claimOnce(key, untilMs);
        return waitForChange(shard, key.keyDigest, leftMs).pipe(
          Effect.zipRight(Effect.suspend(() => claimOnce(key, untilMs))),
        );
      };

      const appendClaim = (): Effect.Effect<readonly ClaimCall.CallAction[]> => {
        const body: OnceRecords.OnceClaim = {
          bodyDigest: key.bodyDigest, claimId, keyDigest: key.keyDigest,
        };
        const record = Log.createRecord(log.writer, OnceRecords.ONCE_KINDS.claim, body);
        return log.appendAndReadBack(shard.stream, record, { timeoutMs: limits.readBackMs }).pipe(
          Effect.map((): ClaimCall.CallEvent => {
            // Without the whole window an earlier claim of the key may have been missed.
            if (!ClaimTable.isComplete(shard.table)) return { _tag: 'ReadBackTimedOut' };
            return {
              _tag: 'ReadBack',
              holds: ClaimTable.isHolder(shard.table, key.keyDigest, claimId),
              standing: getStanding(shard, key),
            };
          }),
          Effect.catchAll(({ sent }) => Effect.sync((): ClaimCall.CallEvent => {
            canAppear = sent !== false;
            return { _tag: 'ReadBackTimedOut' };
          })),
          Effect.map(step),
          Effect.onInterrupt(() => Effect.sync(() => {
            if (step({ _tag: 'Abandoned' }).some(({ _tag }) => _tag === 'AppendRelease')) {
              appendRelease(shard, key, claimId);
            }
          })),
        );
      };

      const handlers: ActionHandlers = {
        AppendClaim: (_, runNext) => {
          const reason = checkReady(shard);
          return reason === undefined
            ? Effect.flatMap(appendClaim(), runNext)
            : refuse(reason);
        },
        AppendRelease: () => {
          if (canAppear) appendRelease(shard, key, claimId);
          return undefined;
        },
        Permit: () => {
          permits += 1;
          return Effect.succeed(createPermit(shard, key, claimId, step));
        },
        Refuse: ({ reason }) => refuse(
          reason === 'not-read-back' && !ClaimTable.isComplete(shard.table) ? 'behind' : reason,
        ),
        Replay: ({ answer }) => replay(answer),
        WaitForHolder: waitForHolder,
      };

      const runActions = (actions: readonly ClaimCall.CallAction[]): Claimed => {
        const results = actions.flatMap((action) => {
          const handle = handlers[action._tag] as ActionHandler<ClaimCall.CallAction> | undefined;
          const result = handle?.(action, runActions);
          return result === undefined ? [] : [result];
        });
        return results[0] ?? refuse('abandoned');
      };

      return runActions(step({ _tag: 'Started', standing: getStanding(shard, key) }));
    })
  );

  return {
    claim: (call) => Effect.suspend(() => claimOnce(
      ClaimKey.computeClaimKey(call, limits.shards),
      clock.readMonotonic() + limits.holderWaitMs,
    )),
    close: () => {
      undo();
      pending.forEach((fiber) => Effect.runFork(Fiber.interrupt(fiber)));
    },
    drain: (timeoutMs) => Effect.sync(() => pending.size === 0).pipe(
      Effect.repeat({
        schedule: Schedule.spaced(Duration.millis(DRAIN_POLL_MS)), until: (isEmpty) => isEmpty,
      }),
      Effect.timeoutTo({
        duration: Duration.millis(timeoutMs), onSuccess: () => true, onTimeout: () => false,
      }),
    ),
    getCounts: () => ({
      droppedRecords: dropped,
      claims: shards.reduce((sum, { table }) => sum + ClaimTable.countClaims(table), 0),
      pendingRecords: pending.size,
      permits,
      refusals: Object.fromEntries(refusals),
      replays,
      skippedRecords: shards.reduce((sum, { table }) => sum + table.skipped, 0),
      storedBytes: shards.reduce((sum, { table }) => sum + table.storedBytes, 0),
    }),
  };
}
