/**
 * Runs the state machine of one lease on the log: feeds it the records of the duties stream and
 * appends the claims, renewals and releases that it asks for.
 */
import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Effect from 'effect/Effect';
import * as DutyRecords from './DutyRecords.js';
import * as Lease from './Lease.js';
import * as LeaseHolder from './LeaseHolder.js';

/** Ticks within the shorter of the tolerated event-loop pause and the renewal interval. */
const TICKS_PER_MIN_INTERVAL = 4;
/** Time-out for reading an appended record back, as a fraction of the term. */
const READ_BACK_TIMEOUT_RATIO = 1 / 2;

/** Dependencies and settings of a lease service. */
export interface LeaseServiceOptions {
  readonly log: Log.LogClient;
  readonly clock: Core.Clock;
  readonly lease: DutyRecords.LeaseName;
  readonly timing: LeaseHolder.LeaseTiming;
  /** Whether this process should claim a free lease. A holder renews in either case. */
  readonly isCandidate?: () => boolean;
  readonly logger?: Core.Logger;
}

/** Status of a lease for operators. */
export interface LeaseStatus {
  readonly lease: DutyRecords.LeaseName;
  readonly holder: Core.Writer | undefined;
  readonly fence: number | undefined;
  /** False after a gap in the log, until a record of the holder makes the state known again. */
  readonly known: boolean;
  readonly isHeldHere: boolean;
  readonly remainingMs: Core.Millis;
  /** Number of event-loop pauses above the tolerated length. */
  readonly pauses: number;
}

/** Called when the authority begins, ends or changes its fencing token. */
export type LeaseListener = (authority: LeaseHolder.LeaseAuthority | undefined) => void;

/** A lease as this process takes part in it. */
export interface LeaseService {
  /** Gets the authority at the time of the call; undefined when this process must not act. */
  readonly getAuthority: () => LeaseHolder.LeaseAuthority | undefined;
  /** Whether an order with this fencing token may be sent in this event-loop turn. */
  readonly canSendOrder: (fence: number) => boolean;
  readonly getLeaseState: () => Lease.LeaseState;
  readonly getStatus: () => LeaseStatus;
  readonly registerListener: (listener: LeaseListener) => Core.Cleanup;
  /** Planned stop: ends the authority and releases the lease; resolves once that is read back. */
  readonly stop: () => Promise<void>;
  readonly close: Core.Cleanup;
}

/** Starts the service. After `close` without `stop` the lease ends with its term. */
export function createLeaseService({
  clock, isCandidate = () => true, lease, log, logger, timing,
}: LeaseServiceOptions): LeaseService {
  const listeners = new Set<LeaseListener>();
  const tickMs = Math.min(timing.maxPauseMs, timing.renewIntervalMs) / TICKS_PER_MIN_INTERVAL;
  let machine = LeaseHolder.createLeaseMachine(
    { ...timing, lease, self: log.writer },
    clock.readMonotonic(),
  );
  let lastCheckMs = clock.readMonotonic();
  let lastCheckWallMs = clock.readWall();
  let minContactMs = lastCheckMs;
  let notifiedFence: number | undefined;
  let pauses = 0;
  let stopResolvers: (() => void)[] = [];

  const notifyListeners = (): void => {
    const authority = LeaseHolder.getLeaseAuthority(machine, clock.readMonotonic());
    if (authority?.fence === notifiedFence) return;
    notifiedFence = authority?.fence;
    logger?.info({ fence: notifiedFence, lease }, authority ? 'lease acquired' : 'lease lost');
    listeners.forEach((listener) => listener(authority));
  };

  const appendRecord = (action: LeaseHolder.LeaseAction): void => {
    const { body, kind, recordId } = action;
    const record: Log.LogRecord = {
      body, kind: DutyRecords.DUTY_KINDS[kind], recordId, writer: log.writer,
    };
    Effect.runFork(log.appendAndReadBack(Log.STREAMS.duties, record, {
      timeoutMs: timing.termMs * READ_BACK_TIMEOUT_RATIO,
    }).pipe(Effect.catchAll(() => Effect.sync(() => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      applyEvent({ kind: 'gaveUp', recordId });
    }))));
  };

  function applyEvent(event: LeaseHolder.LeaseEvent): void {
    const next = LeaseHolder.reduceLease(machine, event, clock.readMonotonic());
    machine = next.machine;
    next.actions.forEach(appendRecord);
    notifyListeners();
    const { config, leaseState, earliestReleaseMs } = machine;
    if (earliestReleaseMs === undefined
      || Lease.isSameWriter(leaseState.holder, config.self)) return;
    stopResolvers.splice(0).forEach((resolveStop) => resolveStop());
  }

  // Called first by every entry point, because any callback can be the first to run after a pause.
  // Wall time is compared too, since monotonic time can stand still while the VM is suspended.
  const detectPause = (): void => {
    const nowMs = clock.readMonotonic();
    const wallMs = clock.readWall();
    const pauseMs = Math.max(nowMs - lastCheckMs, wallMs - lastCheckWallMs);
    lastCheckMs = nowMs;
    lastCheckWallMs = wallMs;
    if (pauseMs <= timing.maxPauseMs + tickMs) return;
    pauses += 1;
    minContactMs = nowMs;
    if (machine.heldLease !== undefined) {
      logger?.warn({ gapMs: pauseMs, lease }, 'lease dropped after a pause of the event loop');
    }
    applyEvent({ kind: 'paused' });
  };

  const tick = (): void => {
    detectPause();
    const { caughtUp, lastContactMs } = log.getStatus(Log.STREAMS.duties);
    if (caughtUp && lastContactMs !== undefined && lastContactMs > minContactMs) {
      applyEvent({ kind: 'caughtUp' });
    }
    applyEvent({ isCandidate: isCandidate(), kind: 'tick', recordId: Core.createId() });
  };

  const unregisterReader = log.registerReader(Log.STREAMS.duties, 0, {
    onEntry: ({ offset, records }) => {
      detectPause();
      records.forEach((logRecord) => {
        const record = DutyRecords.decodeLeaseRecord(offset, logRecord);
        if (record !== undefined) applyEvent({ kind: 'record', record });
      });
    },
    onGap: (first) => {
      detectPause();
      applyEvent({ first, kind: 'gap' });
    },
  });
  const timer = setInterval(tick, tickMs);

  const getAuthority = (): LeaseHolder.LeaseAuthority | undefined => {
    detectPause();
    return LeaseHolder.getLeaseAuthority(machine, clock.readMonotonic());
  };

  return {
    canSendOrder: (fence) => {
      const authority = getAuthority();
      return authority?.fence === fence
        && LeaseHolder.canSendOrder(machine, clock.readMonotonic());
    },
    close: Core.mergeCleanups(unregisterReader, () => clearInterval(timer)),
    getAuthority,
    getLeaseState: () => machine.leaseState,
    getStatus: () => {
      const authority = getAuthority();
      const { fence, holder, known } = machine.leaseState;
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
      // During an outage of the log the release is not read back; by then the term has ended.
      const stopTimer = setTimeout(resolve, timing.termMs + timing.orderDeadlineMs);
      stopResolvers = [...stopResolvers, () => {
        clearTimeout(stopTimer);
        resolve();
      }];
      applyEvent({ kind: 'stop' });
    }),
  };
}
