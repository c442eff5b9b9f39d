/**
 * Rules of one process towards one lease: when it claims, renews and releases, and until when it
 * may believe that it holds the lease. Times are the process's own monotonic time; no rule compares
 * times of two processes.
 *
 * A holder counts its term from before it sent the claim or renewal; an observer counts from when
 * it read that record, which is later. So a holder's belief ends before any observer claims, as
 * long as the clocks' rates differ by less than the order deadline and the margin make up for.
 */
import * as Core from '@berylyoke/core';
import type * as DutyRecords from './DutyRecords.js';
import * as Lease from './Lease.js';

const HASH_RANGE = 2 ** 32;

/** Bounds of one lease, in milliseconds. */
export interface LeaseTiming {
  readonly termMs: Core.Millis;
  /** Time in which an order is accepted or its connection is broken. */
  readonly orderDeadlineMs: Core.Millis;
  /** What an observer waits on top of the term and the deadline. */
  readonly marginMs: Core.Millis;
  /** Age of the belief at which the holder renews. */
  readonly renewMs: Core.Millis;
  /** Event-loop gap above which the holder drops its belief. */
  readonly maxGapMs: Core.Millis;
  /** Claims of the candidates are spread over this time, so that few of them reach the log. */
  readonly claimSpreadMs: Core.Millis;
}

/** The process and its bounds. */
export interface LeaseConfig extends LeaseTiming {
  readonly lease: DutyRecords.LeaseName;
  readonly self: Core.Writer;
}

/** Belief of a holder. */
export interface LeaseBelief {
  readonly fence: number;
  readonly untilMs: Core.Millis;
}

/** The right to act under a lease at this moment. */
export interface LeaseAuthority {
  readonly fence: number;
  readonly remainingMs: Core.Millis;
}

/** State of the process towards the lease. */
export interface LeaseMachine {
  readonly config: LeaseConfig;
  readonly fold: Lease.LeaseState;
  readonly belief: LeaseBelief | undefined;
  /** Own claims and renewals that may still be read, with the time before they were sent. */
  readonly sent: Readonly<Record<string, Core.Millis>>;
  /** Own record that is neither read back nor given up. */
  readonly outstanding: string | undefined;
  /** When this process learned of the newest record, or noticed that it does not know it. */
  readonly observedMs: Core.Millis;
  readonly isCaughtUp: boolean;
  /** Set by a planned stop: the time from which the lease may be released. */
  readonly releaseFromMs: Core.Millis | undefined;
}

/** What a process tells the machine. */
export type LeaseEvent = | { readonly kind: 'caughtUp' }
  | { readonly kind: 'gap'; readonly first: number }
  | { readonly kind: 'gaveUp'; readonly recordId: string }
  | { readonly kind: 'paused' }
  | { readonly kind: 'record'; readonly record: DutyRecords.LeaseRecord }
  | { readonly kind: 'stop' }
  | {
    readonly kind: 'tick';
    /** Id for a record that the machine may want to append. */
    readonly recordId: string;
    readonly isCandidate: boolean;
  };

/** What the machine wants done. */
export type LeaseAction = | {
  readonly kind: 'claim';
  readonly recordId: string;
  readonly body: DutyRecords.LeaseClaim;
}
  | {
    readonly kind: 'release';
    readonly recordId: string;
    readonly body: DutyRecords.LeaseRelease;
  };

/** Result of one event. */
export interface LeaseStep {
  readonly machine: LeaseMachine;
  readonly actions: readonly LeaseAction[];
}

/** Rules that the properties prove, one by one, to be needed. */
export interface LeaseRules extends Lease.FoldRules {
  /** Start of the holder's term. */
  readonly getTermStartMs: (sentMs: Core.Millis, readMs: Core.Millis) => Core.Millis;
  /** Time without news of the holder after which an observer may claim. */
  readonly computeClaimWaitMs: (
    termMs: Core.Millis,
    orderDeadlineMs: Core.Millis,
    marginMs: Core.Millis,
  ) => Core.Millis;
  /** Whether the time left suffices for an order. */
  readonly canOrder: (remainingMs: Core.Millis, orderDeadlineMs: Core.Millis) => boolean;
  /** Time between the last order and the release of the lease. */
  readonly getReleaseDelayMs: (orderDeadlineMs: Core.Millis) => Core.Millis;
  /** Whether the belief ends with an event-loop gap. */
  readonly isDroppedByPause: boolean;
}

/** The rules of the design page. */
export const LEASE_RULES: LeaseRules = {
  ...Lease.FOLD_RULES,
  canOrder: (remainingMs, orderDeadlineMs) => remainingMs >= orderDeadlineMs,
  computeClaimWaitMs: (termMs, orderDeadlineMs, marginMs) => termMs + orderDeadlineMs + marginMs,
  getReleaseDelayMs: (orderDeadlineMs) => orderDeadlineMs,
  getTermStartMs: (sentMs) => sentMs,
  isDroppedByPause: true,
};

/** Builds bounds from the term, the order deadline and the margin. */
export function buildLeaseTiming(
  termMs: Core.Millis,
  orderDeadlineMs: Core.Millis,
  marginMs: Core.Millis,
): LeaseTiming {
  const renewMs = termMs / 3;
  Core.invariant(
    orderDeadlineMs + renewMs < termMs,
    'The lease term must exceed the order deadline by more than a third of the term.',
  );
  return {
    claimSpreadMs: termMs / 3,
    marginMs,
    // A gap of this size still leaves the holder time to renew before its belief ends.
    maxGapMs: Math.min(renewMs, marginMs) / 2,
    orderDeadlineMs,
    renewMs,
    termMs,
  };
}

/** Creates the machine of a process that has read nothing yet. */
export function createLeaseMachine(config: LeaseConfig, nowMs: Core.Millis): LeaseMachine {
  return {
    belief: undefined,
    config,
    fold: Lease.INITIAL_LEASE_STATE,
    isCaughtUp: false,
    observedMs: nowMs,
    outstanding: undefined,
    releaseFromMs: undefined,
    sent: {},
  };
}

/** Gets the authority at a moment; undefined when the process must not act. */
export function getLeaseAuthority(
  { belief, releaseFromMs }: LeaseMachine,
  nowMs: Core.Millis,
): LeaseAuthority | undefined {
  if (belief === undefined || releaseFromMs !== undefined || nowMs >= belief.untilMs) {
    return undefined;
  }
  return { fence: belief.fence, remainingMs: belief.untilMs - nowMs };
}

/** Whether an order may be sent at a moment: the term has to outlast the order's deadline. */
export function canSendOrder(
  machine: LeaseMachine,
  nowMs: Core.Millis,
  rules: LeaseRules = LEASE_RULES,
): boolean {
  const authority = getLeaseAuthority(machine, nowMs);
  return authority !== undefined
    && rules.canOrder(authority.remainingMs, machine.config.orderDeadlineMs);
}

function isHolderByLog({ config, fold }: LeaseMachine): boolean {
  return fold.known && Lease.isSameWriter(fold.holder, config.self);
}

// The wait is the same on every tick of one observation, so that ticking does not shorten it.
function getSpreadMs({ config, fold }: LeaseMachine): Core.Millis {
  const { daemonId, incarnation } = config.self;
  const hash = Core.hashText(`${daemonId}/${incarnation}/${config.lease}/${fold.newest}`);
  return (hash / HASH_RANGE) * config.claimSpreadMs;
}

function getClaimFromMs(machine: LeaseMachine, rules: LeaseRules): Core.Millis {
  const { config, fold, observedMs } = machine;
  if (fold.known && fold.holder === undefined) return observedMs + getSpreadMs(machine);
  const waitMs = rules.computeClaimWaitMs(
    Math.max(config.termMs, fold.termMs),
    Math.max(config.orderDeadlineMs, fold.orderDeadlineMs),
    config.marginMs,
  );
  return observedMs + waitMs + getSpreadMs(machine);
}

function buildClaim(machine: LeaseMachine): DutyRecords.LeaseClaim {
  const { config: { lease, orderDeadlineMs, termMs }, fold } = machine;
  return {
    fence: isHolderByLog(machine) ? fold.fence ?? null : null,
    lease,
    orderDeadlineMs,
    replaces: fold.known ? fold.newest : fold.lastRead,
    reset: !fold.known,
    termMs,
  };
}

function planClaim(machine: LeaseMachine, recordId: string, nowMs: Core.Millis): LeaseStep {
  return {
    actions: [{ body: buildClaim(machine), kind: 'claim', recordId }],
    machine: {
      ...machine, outstanding: recordId, sent: { ...machine.sent, [recordId]: nowMs },
    },
  };
}

function planRelease(machine: LeaseMachine, recordId: string): LeaseStep {
  const { config: { lease }, fold } = machine;
  return {
    actions: [{
      body: { fence: fold.fence ?? Lease.NO_OFFSET, lease, replaces: fold.newest },
      kind: 'release',
      recordId,
    }],
    machine: { ...machine, outstanding: recordId },
  };
}

function removeExpiredSent(machine: LeaseMachine, nowMs: Core.Millis): LeaseMachine {
  const sent = Object.fromEntries(Object.entries(machine.sent)
    .filter(([, sentMs]) => nowMs < sentMs + machine.config.termMs));
  return { ...machine, sent };
}

function applyTick(
  before: LeaseMachine,
  { isCandidate, recordId }: Extract<LeaseEvent, { kind: 'tick' }>,
  nowMs: Core.Millis,
  rules: LeaseRules,
): LeaseStep {
  const machine = removeExpiredSent(before, nowMs);
  const { belief, config, releaseFromMs } = machine;
  const none = { actions: [], machine };
  if (!machine.isCaughtUp || machine.outstanding !== undefined) return none;
  if (releaseFromMs !== undefined) {
    return isHolderByLog(machine) && nowMs >= releaseFromMs
      ? planRelease(machine, recordId)
      : none;
  }
  if (isHolderByLog(machine)) {
    const renewFromMs = (belief?.untilMs ?? nowMs) - config.termMs + config.renewMs;
    return nowMs >= renewFromMs ? planClaim(machine, recordId, nowMs) : none;
  }
  return isCandidate && nowMs >= getClaimFromMs(machine, rules)
    ? planClaim(machine, recordId, nowMs)
    : none;
}

function buildBelief(
  machine: LeaseMachine,
  { offset, recordId, writer }: DutyRecords.LeaseRecord,
  nowMs: Core.Millis,
  rules: LeaseRules,
): LeaseBelief | undefined {
  const { belief, config, fold } = machine;
  if (!isHolderByLog(machine) || fold.fence === undefined) return undefined;
  const sentMs = machine.sent[recordId];
  const isOwn = fold.newest === offset && Lease.isSameWriter(writer, config.self);
  if (!isOwn || sentMs === undefined) return belief;
  return { fence: fold.fence, untilMs: rules.getTermStartMs(sentMs, nowMs) + config.termMs };
}

function applyRecord(
  before: LeaseMachine,
  record: DutyRecords.LeaseRecord,
  nowMs: Core.Millis,
  rules: LeaseRules,
): LeaseMachine {
  if (record.body.lease !== before.config.lease) return before;
  const fold = Lease.applyLeaseRecord(before.fold, record, rules);
  const isNews = !fold.known || !before.fold.known || fold.newest !== before.fold.newest;
  const machine = {
    ...before,
    fold,
    observedMs: isNews ? nowMs : before.observedMs,
    outstanding: before.outstanding === record.recordId ? undefined : before.outstanding,
  };
  return { ...machine, belief: buildBelief(machine, record, nowMs, rules) };
}

/**
 * Steps the machine by one event at the process's monotonic time `nowMs`.
 *
 * @returns the next state and the records to append
 */
export function reduceLease(
  machine: LeaseMachine,
  event: LeaseEvent,
  nowMs: Core.Millis,
  rules: LeaseRules = LEASE_RULES,
): LeaseStep {
  const keep = (changes: Partial<LeaseMachine>): LeaseStep => (
    { actions: [], machine: { ...machine, ...changes } }
  );
  switch (event.kind) {
    case 'caughtUp':
      return keep({ isCaughtUp: true });
    case 'gap':
      return keep({
        belief: undefined,
        fold: Lease.applyLeaseGap(machine.fold, event.first),
        observedMs: nowMs,
        sent: {},
      });
    case 'gaveUp':
      return keep(event.recordId === machine.outstanding ? { outstanding: undefined } : {});
    case 'paused':
      // What was sent before the gap gives no belief either: its term may have passed unnoticed.
      return keep(rules.isDroppedByPause
        ? { belief: undefined, isCaughtUp: false, sent: {} }
        : {});
    case 'record':
      return { actions: [], machine: applyRecord(machine, event.record, nowMs, rules) };
    case 'stop':
      return keep({
        belief: undefined,
        releaseFromMs: machine.releaseFromMs
          ?? nowMs + rules.getReleaseDelayMs(machine.config.orderDeadlineMs),
        sent: {},
      });
    default:
      return applyTick(machine, event, nowMs, rules);
  }
}
