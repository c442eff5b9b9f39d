/**
 * State machine of one process for one lease. It decides when the process claims, renews and
 * releases the lease, and until when the process considers itself the holder. All times are the
 * process's own monotonic time; times of different processes are never compared.
 *
 * A holder counts its term from before it sent the claim or renewal. An observer counts the term
 * from when it read that record, which is later, and then waits for the order deadline and the
 * margin as well. The holder's term therefore ends before any observer claims, as long as the
 * difference of the clock rates stays below what the order deadline and the margin cover.
 */
import * as Core from '@berylyoke/core';
import type * as DutyRecords from './DutyRecords.js';
import * as Lease from './Lease.js';

const HASH_RANGE = 2 ** 32;

/** Durations of one lease, in milliseconds. */
export interface LeaseTiming {
  readonly termMs: Core.Millis;
  /** Time after which the connection of an unanswered order is closed. */
  readonly orderDeadlineMs: Core.Millis;
  /** Time that an observer waits before it claims, in addition to the term and the deadline. */
  readonly marginMs: Core.Millis;
  /** Time from the start of a term to its renewal. */
  readonly renewIntervalMs: Core.Millis;
  /** Pause of the event loop above which the holder no longer considers the lease held. */
  readonly maxPauseMs: Core.Millis;
  /** Candidates delay their claims by up to this time, so that few claims reach the log. */
  readonly maxClaimJitterMs: Core.Millis;
}

/** The lease, the process and the durations. */
export interface LeaseConfig extends LeaseTiming {
  readonly lease: DutyRecords.LeaseName;
  readonly self: Core.Writer;
}

/** The lease as its holder knows it. `untilMs` is the monotonic time at which the term ends. */
export interface HeldLease {
  readonly fence: number;
  readonly untilMs: Core.Millis;
}

/** Permission to act under a lease, valid at the time of the call. */
export interface LeaseAuthority {
  readonly fence: number;
  readonly remainingMs: Core.Millis;
}

/** State of the machine. */
export interface LeaseMachine {
  readonly config: LeaseConfig;
  readonly leaseState: Lease.LeaseState;
  readonly heldLease: HeldLease | undefined;
  /** Monotonic times before the sends of this process's claims and renewals, by record id. */
  readonly sentMsByRecordId: Readonly<Record<string, Core.Millis>>;
  /** Id of a record of this process that was neither read back nor timed out yet. */
  readonly pendingRecordId: string | undefined;
  /** When this process read the newest accepted record, or noticed that it does not know it. */
  readonly observedMs: Core.Millis;
  readonly isCaughtUp: boolean;
  /** Time from which the lease may be released; set by a planned stop. */
  readonly earliestReleaseMs: Core.Millis | undefined;
}

/** Input of the machine. */
export type LeaseEvent = | { readonly kind: 'caughtUp' }
  | { readonly kind: 'gap'; readonly first: number }
  | { readonly kind: 'gaveUp'; readonly recordId: string }
  | { readonly kind: 'paused' }
  | { readonly kind: 'record'; readonly record: DutyRecords.LeaseRecord }
  | { readonly kind: 'stop' }
  | {
    readonly kind: 'tick';
    /** Id for the record if the machine appends one. */
    readonly recordId: string;
    readonly isCandidate: boolean;
  };

/** Record that the process has to append. */
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

/** Result of one event: the next state and the records to append. */
export interface LeaseStep {
  readonly machine: LeaseMachine;
  readonly actions: readonly LeaseAction[];
}

/** Rules that the property tests replace one by one to show that each is needed. */
export interface LeaseRules extends Lease.AcceptanceRules {
  /** Start of the holder's term. */
  readonly getTermStartMs: (sentMs: Core.Millis, readMs: Core.Millis) => Core.Millis;
  /** Time without a new accepted record after which an observer may claim. */
  readonly computeClaimWaitMs: (
    termMs: Core.Millis,
    orderDeadlineMs: Core.Millis,
    marginMs: Core.Millis,
  ) => Core.Millis;
  /** Whether the rest of the term suffices for an order. */
  readonly hasTimeForOrder: (remainingMs: Core.Millis, orderDeadlineMs: Core.Millis) => boolean;
  /** Time between the last order and the release of the lease. */
  readonly getReleaseDelayMs: (orderDeadlineMs: Core.Millis) => Core.Millis;
  /** Whether a pause of the event loop ends the lease of this process. */
  readonly isDroppedOnPause: boolean;
}

/** The rules in use. */
export const LEASE_RULES: LeaseRules = {
  ...Lease.ACCEPTANCE_RULES,
  hasTimeForOrder: (remainingMs, orderDeadlineMs) => remainingMs >= orderDeadlineMs,
  computeClaimWaitMs: (termMs, orderDeadlineMs, marginMs) => termMs + orderDeadlineMs + marginMs,
  getReleaseDelayMs: (orderDeadlineMs) => orderDeadlineMs,
  getTermStartMs: (sentMs) => sentMs,
  isDroppedOnPause: true,
};

/**
 * Derives the durations of a lease. All arguments are milliseconds.
 *
 * @throws InvariantError when the order deadline and the renewal interval do not fit into the term
 */
export function buildLeaseTiming(
  termMs: Core.Millis,
  orderDeadlineMs: Core.Millis,
  marginMs: Core.Millis,
): LeaseTiming {
  const renewIntervalMs = termMs / 3;
  Core.invariant(
    orderDeadlineMs + renewIntervalMs < termMs,
    'The lease term must exceed the order deadline by more than a third of the term.',
  );
  return {
    maxClaimJitterMs: termMs / 3,
    marginMs,
    // After a pause of this length the holder still has time to renew before its term ends.
    maxPauseMs: Math.min(renewIntervalMs, marginMs) / 2,
    orderDeadlineMs,
    renewIntervalMs,
    termMs,
  };
}

/** Creates the machine of a process that has read nothing yet. */
export function createLeaseMachine(config: LeaseConfig, nowMs: Core.Millis): LeaseMachine {
  return {
    heldLease: undefined,
    config,
    leaseState: Lease.INITIAL_LEASE_STATE,
    isCaughtUp: false,
    observedMs: nowMs,
    pendingRecordId: undefined,
    earliestReleaseMs: undefined,
    sentMsByRecordId: {},
  };
}

/** Gets the authority at `nowMs`; undefined when the process must not act. */
export function getLeaseAuthority(
  { heldLease, earliestReleaseMs }: LeaseMachine,
  nowMs: Core.Millis,
): LeaseAuthority | undefined {
  if (heldLease === undefined || earliestReleaseMs !== undefined || nowMs >= heldLease.untilMs) {
    return undefined;
  }
  return { fence: heldLease.fence, remainingMs: heldLease.untilMs - nowMs };
}

/** Whether an order may be sent at `nowMs`: the term has to outlast the order's deadline. */
export function canSendOrder(
  machine: LeaseMachine,
  nowMs: Core.Millis,
  rules: LeaseRules = LEASE_RULES,
): boolean {
  const authority = getLeaseAuthority(machine, nowMs);
  return authority !== undefined
    && rules.hasTimeForOrder(authority.remainingMs, machine.config.orderDeadlineMs);
}

function isHolderByLog({ config, leaseState }: LeaseMachine): boolean {
  return leaseState.known && Lease.isSameWriter(leaseState.holder, config.self);
}

// Derived from a hash, not drawn at random, so that each tick that checks the same accepted record
// gets the same delay. With a new draw per tick the shortest one would decide.
function getClaimJitterMs({ config, leaseState }: LeaseMachine): Core.Millis {
  const { daemonId, incarnation } = config.self;
  const hash = Core.hashText(
    `${daemonId}/${incarnation}/${config.lease}/${leaseState.newestOffset}`,
  );
  return (hash / HASH_RANGE) * config.maxClaimJitterMs;
}

function getEarliestClaimMs(machine: LeaseMachine, rules: LeaseRules): Core.Millis {
  const { config, leaseState, observedMs } = machine;
  if (leaseState.known
    && leaseState.holder === undefined) return observedMs + getClaimJitterMs(machine);
  const waitMs = rules.computeClaimWaitMs(
    Math.max(config.termMs, leaseState.termMs),
    Math.max(config.orderDeadlineMs, leaseState.orderDeadlineMs),
    config.marginMs,
  );
  return observedMs + waitMs + getClaimJitterMs(machine);
}

function buildClaim(machine: LeaseMachine): DutyRecords.LeaseClaim {
  const { config: { lease, orderDeadlineMs, termMs }, leaseState } = machine;
  return {
    fence: isHolderByLog(machine) ? leaseState.fence ?? null : null,
    lease,
    orderDeadlineMs,
    replaces: leaseState.known ? leaseState.newestOffset : leaseState.lastReadOffset,
    reset: !leaseState.known,
    termMs,
  };
}

function planClaim(machine: LeaseMachine, recordId: string, nowMs: Core.Millis): LeaseStep {
  return {
    actions: [{ body: buildClaim(machine), kind: 'claim', recordId }],
    machine: {
      ...machine,
      pendingRecordId: recordId,
      sentMsByRecordId: { ...machine.sentMsByRecordId, [recordId]: nowMs },
    },
  };
}

function planRelease(machine: LeaseMachine, recordId: string): LeaseStep {
  const { config: { lease }, leaseState } = machine;
  return {
    actions: [{
      body: {
        fence: leaseState.fence ?? Lease.NO_OFFSET, lease, replaces: leaseState.newestOffset,
      },
      kind: 'release',
      recordId,
    }],
    machine: { ...machine, pendingRecordId: recordId },
  };
}

function removeExpiredSentTimes(machine: LeaseMachine, nowMs: Core.Millis): LeaseMachine {
  const sentMsByRecordId = Object.fromEntries(Object.entries(machine.sentMsByRecordId)
    .filter(([, sentMs]) => nowMs < sentMs + machine.config.termMs));
  return { ...machine, sentMsByRecordId };
}

function applyTick(
  before: LeaseMachine,
  { isCandidate, recordId }: Extract<LeaseEvent, { kind: 'tick' }>,
  nowMs: Core.Millis,
  rules: LeaseRules,
): LeaseStep {
  const machine = removeExpiredSentTimes(before, nowMs);
  const { heldLease, config, earliestReleaseMs } = machine;
  const unchanged = { actions: [], machine };
  if (!machine.isCaughtUp || machine.pendingRecordId !== undefined) return unchanged;
  if (earliestReleaseMs !== undefined) {
    return isHolderByLog(machine) && nowMs >= earliestReleaseMs
      ? planRelease(machine, recordId)
      : unchanged;
  }
  if (isHolderByLog(machine)) {
    const earliestRenewalMs = (heldLease?.untilMs ?? nowMs)
      - config.termMs + config.renewIntervalMs;
    return nowMs >= earliestRenewalMs ? planClaim(machine, recordId, nowMs) : unchanged;
  }
  return isCandidate && nowMs >= getEarliestClaimMs(machine, rules)
    ? planClaim(machine, recordId, nowMs)
    : unchanged;
}

function buildHeldLease(
  machine: LeaseMachine,
  { offset, recordId, writer }: DutyRecords.LeaseRecord,
  nowMs: Core.Millis,
  rules: LeaseRules,
): HeldLease | undefined {
  const { heldLease, config, leaseState } = machine;
  if (!isHolderByLog(machine) || leaseState.fence === undefined) return undefined;
  const sentMs = machine.sentMsByRecordId[recordId];
  const isOwn = leaseState.newestOffset === offset && Lease.isSameWriter(writer, config.self);
  if (!isOwn || sentMs === undefined) return heldLease;
  return { fence: leaseState.fence, untilMs: rules.getTermStartMs(sentMs, nowMs) + config.termMs };
}

function applyRecord(
  before: LeaseMachine,
  record: DutyRecords.LeaseRecord,
  nowMs: Core.Millis,
  rules: LeaseRules,
): LeaseMachine {
  if (record.body.lease !== before.config.lease) return before;
  const leaseState = Lease.applyLeaseRecord(before.leaseState, record, rules);
  const hasChanged = !leaseState.known || !before.leaseState.known
    || leaseState.newestOffset !== before.leaseState.newestOffset;
  const machine = {
    ...before,
    leaseState,
    observedMs: hasChanged ? nowMs : before.observedMs,
    pendingRecordId: before.pendingRecordId === record.recordId
      ? undefined
      : before.pendingRecordId,
  };
  return { ...machine, heldLease: buildHeldLease(machine, record, nowMs, rules) };
}

/**
 * Applies one event at the process's monotonic time `nowMs`.
 *
 * @returns the next state and the records to append
 */
export function reduceLease(
  machine: LeaseMachine,
  event: LeaseEvent,
  nowMs: Core.Millis,
  rules: LeaseRules = LEASE_RULES,
): LeaseStep {
  const updateMachine = (changes: Partial<LeaseMachine>): LeaseStep => (
    { actions: [], machine: { ...machine, ...changes } }
  );
  switch (event.kind) {
    case 'caughtUp':
      return updateMachine({ isCaughtUp: true });
    case 'gap':
      return updateMachine({
        heldLease: undefined,
        leaseState: Lease.applyLeaseGap(machine.leaseState, event.first),
        observedMs: nowMs,
        sentMsByRecordId: {},
      });
    case 'gaveUp':
      return updateMachine(event.recordId === machine.pendingRecordId
        ? { pendingRecordId: undefined }
        : {});
    case 'paused':
      // Claims sent before the pause do not count either: their term may already have passed.
      return updateMachine(rules.isDroppedOnPause
        ? { heldLease: undefined, isCaughtUp: false, sentMsByRecordId: {} }
        : {});
    case 'record':
      return { actions: [], machine: applyRecord(machine, event.record, nowMs, rules) };
    case 'stop':
      return updateMachine({
        heldLease: undefined,
        earliestReleaseMs: machine.earliestReleaseMs
          ?? nowMs + rules.getReleaseDelayMs(machine.config.orderDeadlineMs),
        sentMsByRecordId: {},
      });
    default:
      return applyTick(machine, event, nowMs, rules);
  }
}
