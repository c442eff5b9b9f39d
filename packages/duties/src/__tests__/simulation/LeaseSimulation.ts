/**
 * Discrete-event simulation of several processes that contend for one lease through a log. Every
 * choice of the environment (delays, losses, duplicates, pauses, restarts, outages) is taken from a
 * list of numbers, so that fast-check can generate and shrink it. Times are real time; each process
 * sees its own monotonic time, whose rate differs within the stated bound.
 */
import * as Core from '@berylyoke/core';
import type * as DutyRecords from '../../DutyRecords.js';
import * as Lease from '../../Lease.js';
import * as LeaseHolder from '../../LeaseHolder.js';

export const TERM_MS = 100;
export const DEADLINE_MS = 30;
export const MARGIN_MS = 20;
/** Largest deviation of a clock's rate from 1. */
export const MAX_DRIFT = 0.1;
/** Parts of 1 in which choices are given. */
export const CHOICE_RANGE = 1_000;

const TICK_MS = 5;
const READ_MS = 5;
const ORDER_MS = 11;
const HORIZON_MS = 30 * TERM_MS;

/** What the environment does; every probability is in parts of CHOICE_RANGE. */
export interface Environment {
  readonly processes: number;
  /** Deviation of each clock's rate in parts of CHOICE_RANGE of MAX_DRIFT. */
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

/** What went wrong, with the real time. */
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
  next: number;
  /** Real time until which the process does not run. */
  pausedUntilMs: number;
  /** Real time for which its clock stood still. */
  frozenMs: number;
  /** Set while its clock stands still. */
  frozenFromMs: number | undefined;
  generation: number;
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
  const verdicts: Lease.LeaseState[] = [];
  const violations: Violation[] = [];
  const fences: { readonly fence: number; readonly writer: Core.Writer }[] = [];
  let first = 0;
  let choice = 0;
  let acceptedOrders = 0;
  let recordIds = 0;
  let outageUntilMs = 0;

  const choose = (): number => {
    choice += 1;
    return environment.choices[choice % environment.choices.length] ?? 0;
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
  const fail = (kind: Violation['kind'], atMs: number, detail: string): void => {
    violations.push({ atMs, detail, kind });
  };

  const getLocalMs = (process: Process, nowMs: number): number => (
    ((process.frozenFromMs ?? nowMs) - process.frozenMs) * process.rate
  );
  const createMachine = (writer: Core.Writer, localMs: number): LeaseHolder.LeaseMachine => (
    LeaseHolder.createLeaseMachine({
      ...LeaseHolder.buildLeaseTiming(TERM_MS, DEADLINE_MS, MARGIN_MS),
      claimSpreadMs: 5,
      lease: 'ordering',
      self: writer,
    }, localMs)
  );
  const processes: Process[] = Array.from({ length: environment.processes }, (_, index) => {
    const drift = ((environment.drifts[index] ?? 0) / CHOICE_RANGE) * MAX_DRIFT;
    const writer = { daemonId: `p${index}`, incarnation: '0-0' };
    return {
      frozenFromMs: undefined,
      frozenMs: 0,
      generation: 0,
      index,
      machine: createMachine(writer, 0),
      next: 0,
      pausedUntilMs: 0,
      rate: 1 + drift,
      writer,
    };
  });

  const getAuthority = (process: Process, nowMs: number) => (
    LeaseHolder.getLeaseAuthority(process.machine, getLocalMs(process, nowMs))
  );
  // A process whose clock stands still cannot act; its belief is judged after it resumed.
  const listBelievers = (nowMs: number): readonly Process[] => processes.filter((process) => (
    process.frozenFromMs === undefined && getAuthority(process, nowMs) !== undefined
  ));

  const land = (record: Omit<LogEntry, 'offset'>, nowMs: number): void => {
    if (nowMs < outageUntilMs) {
      if (!isChosen(environment.loss)) schedule(outageUntilMs, (atMs) => land(record, atMs));
      return;
    }
    const entry = { ...record, offset: log.length } as LogEntry;
    log.push(entry);
    const previous = verdicts.at(-1) ?? Lease.INITIAL_LEASE_STATE;
    verdicts.push(Lease.applyLeaseRecord(previous, entry, rules));
    if (environment.retained > 0) first = Math.max(first, log.length - environment.retained);
  };

  const append = (process: Process, action: LeaseHolder.LeaseAction, nowMs: number): void => {
    const record = { ...action, writer: process.writer } as Omit<LogEntry, 'offset'>;
    const { generation } = process;
    if (!isChosen(environment.loss)) {
      schedule(nowMs + chooseDelayMs(), (atMs) => land(record, atMs));
    }
    if (isChosen(environment.duplicate)) {
      schedule(nowMs + chooseUpTo(2 * TERM_MS), (atMs) => land(record, atMs));
    }
    schedule(nowMs + TERM_MS / 2, () => {
      if (process.generation !== generation) return;
      const event = { kind: 'gaveUp', recordId: action.recordId } as const;
      Object.assign(process, {
        machine: LeaseHolder.reduceLease(process.machine, event, 0, rules).machine,
      });
    });
  };

  const checkBeliefs = (nowMs: number): void => {
    const believers = listBelievers(nowMs);
    if (believers.length > 1) {
      fail('overlapping-belief', nowMs, believers.map(({ writer }) => writer.daemonId).join(' '));
    }
    believers.forEach((process) => {
      const fence = getAuthority(process, nowMs)?.fence ?? Lease.NO_OFFSET;
      const last = fences.at(-1);
      if (last !== undefined && last.fence === fence
        && Lease.isSameWriter(last.writer, process.writer)) return;
      if (last !== undefined && last.fence >= fence) {
        fail('fence-order', nowMs, `${fence} after ${last.fence}`);
      }
      fences.push({ fence, writer: process.writer });
    });
  };

  const step = (process: Process, event: LeaseHolder.LeaseEvent, nowMs: number): void => {
    const localMs = getLocalMs(process, nowMs);
    const { actions, machine } = LeaseHolder.reduceLease(process.machine, event, localMs, rules);
    Object.assign(process, { machine });
    actions.forEach((action) => append(process, action, nowMs));
    checkBeliefs(nowMs);
  };

  const checkFold = (process: Process, nowMs: number): void => {
    const { fold } = process.machine;
    const expected = verdicts[process.next - 1] ?? Lease.INITIAL_LEASE_STATE;
    if (fold.known && (fold.newest !== expected.newest || fold.fence !== expected.fence)) {
      fail('fold-difference', nowMs, `${process.writer.daemonId} at offset ${process.next}`);
    }
  };

  const deliver = (
    process: Process,
    page: readonly LogEntry[],
    pageFirst: number,
    nowMs: number,
  ): void => {
    if (pageFirst > process.next) {
      Object.assign(process, { next: pageFirst });
      step(process, { first: pageFirst, kind: 'gap' }, nowMs);
    }
    page.filter(({ offset }) => offset >= process.next).forEach((record) => {
      Object.assign(process, { next: record.offset + 1 });
      step(process, { kind: 'record', record }, nowMs);
      checkFold(process, nowMs);
    });
    step(process, { kind: 'caughtUp' }, nowMs);
  };

  // Runs work of a process now, or when its pause ends, unless it was restarted meanwhile.
  const runOn = (process: Process, generation: number, work: (atMs: number) => void) => (
    (nowMs: number): void => {
      if (process.generation !== generation) return;
      if (nowMs < process.pausedUntilMs) {
        schedule(process.pausedUntilMs, runOn(process, generation, work));
      } else work(nowMs);
    }
  );

  const repeat = (
    process: Process,
    startMs: number,
    everyMs: number,
    work: (atMs: number) => void,
  ): void => {
    const { generation } = process;
    const next = (nowMs: number): void => {
      work(nowMs);
      if (nowMs < HORIZON_MS) {
        schedule(nowMs + everyMs / process.rate, runOn(process, generation, next));
      }
    };
    schedule(startMs + (everyMs * (process.index + 1)) / 3, runOn(process, generation, next));
  };

  const pause = (process: Process, nowMs: number): void => {
    const untilMs = nowMs + chooseUpTo(4 * TERM_MS);
    const isFrozen = isChosen(environment.suspend);
    Object.assign(process, {
      frozenFromMs: isFrozen ? nowMs : undefined, pausedUntilMs: untilMs,
    });
    const { generation } = process;
    schedule(untilMs, (atMs) => {
      if (process.generation !== generation) return;
      if (isFrozen) {
        Object.assign(process, {
          frozenFromMs: undefined, frozenMs: process.frozenMs + atMs - nowMs,
        });
      }
      step(process, { kind: 'paused' }, atMs);
    });
  };

  const sendOrder = (process: Process, nowMs: number): void => {
    if (!LeaseHolder.canSendOrder(process.machine, getLocalMs(process, nowMs), rules)) return;
    const { generation } = process;
    const untilMs = process.machine.belief?.untilMs ?? 0;
    // The sender breaks the connection at the deadline by its own clock.
    const delayMs = chooseUpTo(DEADLINE_MS / process.rate);
    schedule(nowMs + delayMs, (atMs) => {
      acceptedOrders += 1;
      if (process.generation !== generation) return;
      const others = listBelievers(atMs).filter((other) => other !== process);
      if (others.length > 0) {
        fail('order-in-other-belief', atMs, others.map(({ writer }) => writer.daemonId).join(' '));
      }
      // A belief that was dropped meanwhile was still valid for its term when the order left.
      if (getLocalMs(process, atMs) >= untilMs) {
        fail('order-outside-belief', atMs, process.writer.daemonId);
      }
    });
  };

  const startProcess = (process: Process, startMs: number): void => {
    const { generation } = process;
    const start = (work: (atMs: number) => void, everyMs: number): void => {
      schedule(startMs, () => {
        if (process.generation === generation) repeat(process, startMs, everyMs, work);
      });
    };
    start((nowMs) => {
      recordIds += 1;
      step(process, { isCandidate: true, kind: 'tick', recordId: `r${recordIds}` }, nowMs);
    }, TICK_MS);
    // A reader has one read under way at a time, so a slow answer delays everything behind it.
    let isReading = false;
    start((nowMs) => {
      if (nowMs < outageUntilMs || isReading) return;
      isReading = true;
      const page = log.slice(Math.max(first, process.next));
      const pageFirst = first;
      schedule(nowMs + chooseDelayMs(), runOn(process, generation, (atMs) => {
        isReading = false;
        deliver(process, page, pageFirst, atMs);
      }));
    }, READ_MS);
    start((nowMs) => sendOrder(process, nowMs), ORDER_MS);
    start((nowMs) => {
      if (isChosen(environment.outage)) outageUntilMs = nowMs + chooseUpTo(3 * TERM_MS);
      if (isChosen(environment.pause)) {
        pause(process, nowMs);
        return;
      }
      if (isChosen(environment.stop)) step(process, { kind: 'stop' }, nowMs);
      if (!isChosen(environment.restart)) return;
      const writer = {
        daemonId: process.writer.daemonId, incarnation: `${process.generation + 1}-0`,
      };
      Object.assign(process, {
        generation: process.generation + 1,
        machine: createMachine(writer, getLocalMs(process, nowMs)),
        next: 0,
        writer,
      });
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      restart(process, nowMs + chooseUpTo(TERM_MS));
    }, 2 * TICK_MS);
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
  return { acceptedOrders, holders: fences.length, violations };
}
