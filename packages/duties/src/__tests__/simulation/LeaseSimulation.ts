/**
 * Discrete-event simulation of several processes that compete for one lease through a log. Delays,
 * losses, duplicates, pauses, restarts and outages are chosen by a list of numbers, so that
 * fast-check can generate and shrink them. Times are simulated real time in milliseconds. Each
 * process has a monotonic clock whose rate differs from real time by at most MAX_DRIFT.
 */
import * as Core from '@berylyoke/core';
import type * as DutyRecords from '../../DutyRecords.js';
import * as Lease from '../../Lease.js';
import * as LeaseHolder from '../../LeaseHolder.js';

export const TERM_MS = 100;
export const ORDER_DEADLINE_MS = 30;
export const MARGIN_MS = 20;
/** Largest deviation of a clock's rate from 1. */
export const MAX_DRIFT = 0.1;
/** Denominator of all choices and probabilities. */
export const CHOICE_RANGE = 1_000;

const TICK_INTERVAL_MS = 5;
const READ_INTERVAL_MS = 5;
const ORDER_INTERVAL_MS = 11;
const HORIZON_MS = 30 * TERM_MS;

/** Faults and clocks of a run; probabilities are numerators over CHOICE_RANGE. */
export interface Environment {
  readonly processes: number;
  /** Deviation of each clock's rate from 1, in units of MAX_DRIFT / CHOICE_RANGE. */
  readonly drifts: readonly number[];
  readonly choices: readonly number[];
  readonly loss: number;
  readonly duplicate: number;
  readonly slow: number;
  readonly pause: number;
  readonly suspend: number;
  readonly restart: number;
  readonly stop: number;
  readonly outage: number;
  /** Records that the log retains; 0 keeps all. */
  readonly retained: number;
}

/** A broken guarantee. A belief is the time in which a process considers itself the holder. */
export interface Violation {
  readonly kind: 'fence-order' | 'fold-difference' | 'order-in-other-belief'
    | 'order-outside-belief' | 'overlapping-belief';
  readonly atMs: number;
  readonly detail: string;
}

/** Result of a run. */
export interface Outcome {
  readonly violations: readonly Violation[];
  readonly acceptedOrders: number;
  readonly holders: number;
}

type LogEntry = Exclude<DutyRecords.LeaseRecord, never>;

interface Process {
  readonly index: number;
  readonly rate: number;
  writer: Core.Writer;
  machine: LeaseHolder.LeaseMachine;
  nextOffset: number;
  /** Real time until which the process does not run. */
  pausedUntilMs: number;
  /** Total real time during which its clock stood still. */
  clockStoppedMs: number;
  /** Real time at which its clock stopped; undefined while it runs. */
  clockStoppedAtMs: number | undefined;
  restarts: number;
}

interface SimulationEvent {
  readonly atMs: number;
  readonly run: (nowMs: number) => void;
}

/** Runs the simulation to its horizon or to the first violation. */
export function runSimulation(
  environment: Environment,
  rules: LeaseHolder.LeaseRules = LeaseHolder.LEASE_RULES,
): Outcome {
  const queue: SimulationEvent[] = [];
  const log: LogEntry[] = [];
  const expectedStates: Lease.LeaseState[] = [];
  const violations: Violation[] = [];
  const heldFences: { readonly fence: number; readonly writer: Core.Writer }[] = [];
  let logStart = 0;
  let choiceIndex = 0;
  let acceptedOrders = 0;
  let recordCount = 0;
  let outageUntilMs = 0;

  const choose = (): number => {
    choiceIndex += 1;
    return environment.choices[choiceIndex % environment.choices.length] ?? 0;
  };
  const isChosen = (parts: number): boolean => parts > 0 && choose() < parts;
  const chooseUpTo = (maxMs: number): number => (choose() / CHOICE_RANGE) * maxMs;
  const chooseDelayMs = (): number => (
    isChosen(environment.slow) ? chooseUpTo(3 * TERM_MS) : chooseUpTo(4)
  );
  const schedule = (atMs: number, run: (nowMs: number) => void): void => {
    const index = queue.findLastIndex((event) => event.atMs <= atMs);
    queue.splice(index + 1, 0, { atMs, run });
  };
  const addViolation = (kind: Violation['kind'], atMs: number, detail: string): void => {
    violations.push({ atMs, detail, kind });
  };

  const getLocalMs = (process: Process, nowMs: number): number => (
    ((process.clockStoppedAtMs ?? nowMs) - process.clockStoppedMs) * process.rate
  );
  const createMachine = (writer: Core.Writer, localMs: number): LeaseHolder.LeaseMachine => (
    LeaseHolder.createLeaseMachine({
      ...LeaseHolder.buildLeaseTiming(TERM_MS, ORDER_DEADLINE_MS, MARGIN_MS),
      maxClaimJitterMs: 5,
      lease: 'ordering',
      self: writer,
    }, localMs)
  );
  const processes: Process[] = Array.from({ length: environment.processes }, (_, index) => {
    const drift = ((environment.drifts[index] ?? 0) / CHOICE_RANGE) * MAX_DRIFT;
    const writer = { daemonId: `p${index}`, incarnation: '0-0' };
    return {
      clockStoppedAtMs: undefined,
      clockStoppedMs: 0,
      restarts: 0,
      index,
      machine: createMachine(writer, 0),
      nextOffset: 0,
      pausedUntilMs: 0,
      rate: 1 + drift,
      writer,
    };
  });

  const getAuthority = (process: Process, nowMs: number) => (
    LeaseHolder.getLeaseAuthority(process.machine, getLocalMs(process, nowMs))
  );
  // A process whose clock stands still cannot act, so its lease is checked once it resumes.
  const listHolders = (nowMs: number): readonly Process[] => processes.filter((process) => (
    process.clockStoppedAtMs === undefined && getAuthority(process, nowMs) !== undefined
  ));

  const appendToLog = (record: Omit<LogEntry, 'offset'>, nowMs: number): void => {
    if (nowMs < outageUntilMs) {
      if (!isChosen(environment.loss)) schedule(outageUntilMs, (atMs) => appendToLog(record, atMs));
      return;
    }
    const entry = { ...record, offset: log.length } as LogEntry;
    log.push(entry);
    const previous = expectedStates.at(-1) ?? Lease.INITIAL_LEASE_STATE;
    expectedStates.push(Lease.applyLeaseRecord(previous, entry, rules));
    if (environment.retained > 0) logStart = Math.max(logStart, log.length - environment.retained);
  };

  const sendToLog = (process: Process, action: LeaseHolder.LeaseAction, nowMs: number): void => {
    const record = { ...action, writer: process.writer } as Omit<LogEntry, 'offset'>;
    const { restarts } = process;
    if (!isChosen(environment.loss)) {
      schedule(nowMs + chooseDelayMs(), (atMs) => appendToLog(record, atMs));
    }
    if (isChosen(environment.duplicate)) {
      schedule(nowMs + chooseUpTo(2 * TERM_MS), (atMs) => appendToLog(record, atMs));
    }
    schedule(nowMs + TERM_MS / 2, () => {
      if (process.restarts !== restarts) return;
      const event = { kind: 'gaveUp', recordId: action.recordId } as const;
      Object.assign(process, {
        machine: LeaseHolder.reduceLease(process.machine, event, 0, rules).machine,
      });
    });
  };

  const checkHolders = (nowMs: number): void => {
    const currentHolders = listHolders(nowMs);
    if (currentHolders.length > 1) {
      addViolation(
        'overlapping-belief',
        nowMs,
        currentHolders.map(({ writer }) => writer.daemonId).join(' '),
      );
    }
    currentHolders.forEach((process) => {
      const fence = getAuthority(process, nowMs)?.fence ?? Lease.NO_OFFSET;
      const last = heldFences.at(-1);
      if (last !== undefined && last.fence === fence
        && Lease.isSameWriter(last.writer, process.writer)) return;
      if (last !== undefined && last.fence >= fence) {
        addViolation('fence-order', nowMs, `${fence} after ${last.fence}`);
      }
      heldFences.push({ fence, writer: process.writer });
    });
  };

  const applyEvent = (process: Process, event: LeaseHolder.LeaseEvent, nowMs: number): void => {
    const localMs = getLocalMs(process, nowMs);
    const { actions, machine } = LeaseHolder.reduceLease(process.machine, event, localMs, rules);
    Object.assign(process, { machine });
    actions.forEach((action) => sendToLog(process, action, nowMs));
    checkHolders(nowMs);
  };

  const checkLeaseState = (process: Process, nowMs: number): void => {
    const { leaseState } = process.machine;
    const expected = expectedStates[process.nextOffset - 1] ?? Lease.INITIAL_LEASE_STATE;
    if (leaseState.known && (leaseState.newestOffset !== expected.newestOffset
      || leaseState.fence !== expected.fence)) {
      addViolation(
        'fold-difference',
        nowMs,
        `${process.writer.daemonId} at offset ${process.nextOffset}`,
      );
    }
  };

  const deliver = (
    process: Process,
    page: readonly LogEntry[],
    pageFirst: number,
    nowMs: number,
  ): void => {
    if (pageFirst > process.nextOffset) {
      Object.assign(process, { nextOffset: pageFirst });
      applyEvent(process, { first: pageFirst, kind: 'gap' }, nowMs);
    }
    page.filter(({ offset }) => offset >= process.nextOffset).forEach((record) => {
      Object.assign(process, { nextOffset: record.offset + 1 });
      applyEvent(process, { kind: 'record', record }, nowMs);
      checkLeaseState(process, nowMs);
    });
    applyEvent(process, { kind: 'caughtUp' }, nowMs);
  };

  // Runs the work of a process at once or at the end of its pause, unless it was restarted since.
  const createProcessTask = (process: Process, restarts: number, work: (atMs: number) => void) => (
    (nowMs: number): void => {
      if (process.restarts !== restarts) return;
      if (nowMs < process.pausedUntilMs) {
        schedule(process.pausedUntilMs, createProcessTask(process, restarts, work));
      } else work(nowMs);
    }
  );

  const repeat = (
    process: Process,
    startMs: number,
    everyMs: number,
    work: (atMs: number) => void,
  ): void => {
    const { restarts } = process;
    const next = (nowMs: number): void => {
      work(nowMs);
      if (nowMs < HORIZON_MS) {
        schedule(nowMs + everyMs / process.rate, createProcessTask(process, restarts, next));
      }
    };
    schedule(
      startMs + (everyMs * (process.index + 1)) / 3,
      createProcessTask(process, restarts, next),
    );
  };

  const pause = (process: Process, nowMs: number): void => {
    const untilMs = nowMs + chooseUpTo(4 * TERM_MS);
    const isClockStopped = isChosen(environment.suspend);
    Object.assign(process, {
      clockStoppedAtMs: isClockStopped ? nowMs : undefined, pausedUntilMs: untilMs,
    });
    const { restarts } = process;
    schedule(untilMs, (atMs) => {
      if (process.restarts !== restarts) return;
      if (isClockStopped) {
        Object.assign(process, {
          clockStoppedAtMs: undefined, clockStoppedMs: process.clockStoppedMs + atMs - nowMs,
        });
      }
      applyEvent(process, { kind: 'paused' }, atMs);
    });
  };

  const sendOrder = (process: Process, nowMs: number): void => {
    if (!LeaseHolder.canSendOrder(process.machine, getLocalMs(process, nowMs), rules)) return;
    const { restarts } = process;
    const untilMs = process.machine.heldLease?.untilMs ?? 0;
    // The sender closes the connection at the deadline of its own clock.
    const delayMs = chooseUpTo(ORDER_DEADLINE_MS / process.rate);
    schedule(nowMs + delayMs, (atMs) => {
      acceptedOrders += 1;
      if (process.restarts !== restarts) return;
      const others = listHolders(atMs).filter((other) => other !== process);
      if (others.length > 0) {
        addViolation(
          'order-in-other-belief',
          atMs,
          others.map(({ writer }) => writer.daemonId).join(' '),
        );
      }
      // Compared with the term at the time of the send, as the process may have dropped the lease
      // since.
      if (getLocalMs(process, atMs) >= untilMs) {
        addViolation('order-outside-belief', atMs, process.writer.daemonId);
      }
    });
  };

  const startProcess = (process: Process, startMs: number): void => {
    const { restarts } = process;
    const startRepeating = (work: (atMs: number) => void, everyMs: number): void => {
      schedule(startMs, () => {
        if (process.restarts === restarts) repeat(process, startMs, everyMs, work);
      });
    };
    startRepeating((nowMs) => {
      recordCount += 1;
      applyEvent(process, { isCandidate: true, kind: 'tick', recordId: `r${recordCount}` }, nowMs);
    }, TICK_INTERVAL_MS);
    // A reader has one read in progress at a time, so a slow answer delays all later reads.
    let isReading = false;
    startRepeating((nowMs) => {
      if (nowMs < outageUntilMs || isReading) return;
      isReading = true;
      const page = log.slice(Math.max(logStart, process.nextOffset));
      const pageFirst = logStart;
      schedule(nowMs + chooseDelayMs(), createProcessTask(process, restarts, (atMs) => {
        isReading = false;
        deliver(process, page, pageFirst, atMs);
      }));
    }, READ_INTERVAL_MS);
    startRepeating((nowMs) => sendOrder(process, nowMs), ORDER_INTERVAL_MS);
    startRepeating((nowMs) => {
      if (isChosen(environment.outage)) outageUntilMs = nowMs + chooseUpTo(3 * TERM_MS);
      if (isChosen(environment.pause)) {
        pause(process, nowMs);
        return;
      }
      if (isChosen(environment.stop)) applyEvent(process, { kind: 'stop' }, nowMs);
      if (!isChosen(environment.restart)) return;
      const writer = {
        daemonId: process.writer.daemonId, incarnation: `${process.restarts + 1}-0`,
      };
      Object.assign(process, {
        restarts: process.restarts + 1,
        machine: createMachine(writer, getLocalMs(process, nowMs)),
        nextOffset: 0,
        writer,
      });
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      restart(process, nowMs + chooseUpTo(TERM_MS));
    }, 2 * TICK_INTERVAL_MS);
  };
  function restart(process: Process, startMs: number): void {
    startProcess(process, startMs);
  }

  processes.forEach((process) => startProcess(process, 0));
  const runNext = (): boolean => {
    if (queue.length === 0 || violations.length > 0) return false;
    const event = queue.shift() as SimulationEvent;
    event.run(event.atMs);
    return true;
  };
  let isRunning = true;
  while (isRunning) isRunning = runNext();
  return { acceptedOrders, holders: heldFences.length, violations };
}
