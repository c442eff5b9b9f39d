/** Runs one lease of this process over the log: reads, claims, renews and releases. */
import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Effect from 'effect/Effect';
import * as DutyRecords from './DutyRecords.js';
import * as Lease from './Lease.js';
import * as LeaseHolder from './LeaseHolder.js';

/** Ticks in the largest tolerated event-loop gap and in the renewal interval. */
const TICKS_PER_INTERVAL = 4;
/** Part of the term after which an unread claim or renewal is given up. */
const GIVE_UP_PART = 1 / 2;

/** What a lease service needs. */
export interface LeaseServiceOptions {
  readonly log: Log.LogClient;
  readonly clock: Core.Clock;
  readonly lease: DutyRecords.LeaseName;
  readonly timing: LeaseHolder.LeaseTiming;
  /** Whether this process should claim a free lease; a holder renews whatever the answer is. */
  readonly isCandidate?: () => boolean;
  readonly logger?: Core.Logger;
}

/** Lease as an operator sees it. */
export interface LeaseStatus {
  readonly lease: DutyRecords.LeaseName;
  readonly holder: Core.Writer | undefined;
  readonly fence: number | undefined;
  /** False after a gap, until a record of the holder makes the state known again. */
  readonly known: boolean;
  readonly isHeldHere: boolean;
  readonly remainingMs: Core.Millis;
  /** Event-loop gaps after which the belief was dropped. */
  readonly pauses: number;
}

/** Told when the authority begins, ends or changes its fencing token. */
export type LeaseListener = (authority: LeaseHolder.LeaseAuthority | undefined) => void;

/** One lease of this process. */
export interface LeaseService {
  /** Reads the clock on each call; undefined when this process must not act. */
  readonly getAuthority: () => LeaseHolder.LeaseAuthority | undefined;
  /** Whether an order with this fencing token may be written to a connection in this turn. */
  readonly canSendOrder: (fence: number) => boolean;
  readonly getFold: () => Lease.LeaseState;
  readonly getStatus: () => LeaseStatus;
  readonly registerListener: (listener: LeaseListener) => Core.Cleanup;
  /** Planned stop: ends the authority, releases the lease and resolves when that is read back. */
  readonly stop: () => Promise<void>;
  readonly close: Core.Cleanup;
}

/** Starts to run a lease; `close` without `stop` lets its term pass. */
export function createLeaseService({
  clock, isCandidate = () => true, lease, log, logger, timing,
}: LeaseServiceOptions): LeaseService {
  const listeners = new Set<LeaseListener>();
  const tickMs = Math.min(timing.maxGapMs, timing.renewMs) / TICKS_PER_INTERVAL;
  let machine = LeaseHolder.createLeaseMachine(
    { ...timing, lease, self: log.writer },
    clock.readMonotonic(),
  );
  let lastRunMs = clock.readMonotonic();
  let lastWallMs = clock.readWall();
  let contactFromMs = lastRunMs;
  let announcedFence: number | undefined;
  let pauses = 0;
  let releaseWaiters: (() => void)[] = [];

  const announce = (): void => {
    const authority = LeaseHolder.getLeaseAuthority(machine, clock.readMonotonic());
    if (authority?.fence === announcedFence) return;
    announcedFence = authority?.fence;
    logger?.info({ fence: announcedFence, lease }, authority ? 'lease is held' : 'lease is lost');
    listeners.forEach((listener) => listener(authority));
  };

  const runAction = (action: LeaseHolder.LeaseAction): void => {
    const { body, kind, recordId } = action;
    const record: Log.LogRecord = {
      body, kind: DutyRecords.DUTY_KINDS[kind], recordId, writer: log.writer,
    };
    Effect.runFork(log.appendAndReadBack(Log.STREAMS.duties, record, {
      timeoutMs: timing.termMs * GIVE_UP_PART,
    }).pipe(Effect.catchAll(() => Effect.sync(() => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      step({ kind: 'gaveUp', recordId });
    }))));
  };

  function step(event: LeaseHolder.LeaseEvent): void {
    const next = LeaseHolder.reduceLease(machine, event, clock.readMonotonic());
    machine = next.machine;
    next.actions.forEach(runAction);
    announce();
    const { config, fold, releaseFromMs } = machine;
    if (releaseFromMs === undefined || Lease.isSameWriter(fold.holder, config.self)) return;
    releaseWaiters.splice(0).forEach((settle) => settle());
  }

  // Every way into the service passes here first, because after a pause any callback may run first.
  // The wall time shows a pause during which the monotonic time stood still.
  const checkPause = (): void => {
    const nowMs = clock.readMonotonic();
    const wallMs = clock.readWall();
    const gapMs = Math.max(nowMs - lastRunMs, wallMs - lastWallMs);
    lastRunMs = nowMs;
    lastWallMs = wallMs;
    if (gapMs <= timing.maxGapMs + tickMs) return;
    pauses += 1;
    contactFromMs = nowMs;
    if (machine.belief !== undefined) {
      logger?.warn({ gapMs, lease }, 'the event loop paused, so the lease is dropped');
    }
    step({ kind: 'paused' });
  };

  const tick = (): void => {
    checkPause();
    const { caughtUp, lastContactMs } = log.getStatus(Log.STREAMS.duties);
    if (caughtUp && lastContactMs !== undefined && lastContactMs > contactFromMs) {
      step({ kind: 'caughtUp' });
    }
    step({ isCandidate: isCandidate(), kind: 'tick', recordId: Core.createId() });
  };

  const undoReader = log.registerReader(Log.STREAMS.duties, 0, {
    onEntry: ({ offset, records }) => {
      checkPause();
      records.forEach((each) => {
        const record = DutyRecords.decodeLeaseRecord(offset, each);
        if (record !== undefined) step({ kind: 'record', record });
      });
    },
    onGap: (first) => {
      checkPause();
      step({ first, kind: 'gap' });
    },
  });
  const timer = setInterval(tick, tickMs);

  const getAuthority = (): LeaseHolder.LeaseAuthority | undefined => {
    checkPause();
    return LeaseHolder.getLeaseAuthority(machine, clock.readMonotonic());
  };

  return {
    canSendOrder: (fence) => {
      const authority = getAuthority();
      return authority?.fence === fence
        && LeaseHolder.canSendOrder(machine, clock.readMonotonic());
    },
    close: Core.mergeCleanups(undoReader, () => clearInterval(timer)),
    getAuthority,
    getFold: () => machine.fold,
    getStatus: () => {
      const authority = getAuthority();
      const { fence, holder, known } = machine.fold;
      return {
        fence,
        holder,
        isHeldHere: authority !== undefined,
        known,
        lease,
        pauses,
        remainingMs: authority?.remainingMs ?? 0,
      };
    },
    registerListener: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    stop: () => new Promise((resolve) => {
      // In an outage the release cannot be read back; the term ends by itself.
      const deadline = setTimeout(resolve, timing.termMs + timing.orderDeadlineMs);
      releaseWaiters = [...releaseWaiters, () => {
        clearTimeout(deadline);
        resolve();
      }];
      step({ kind: 'stop' });
    }),
  };
}
