/**
 * Runs the duties, which are the tasks that one daemon of the fleet does for all: it seals and
 * reports usage windows and orders servers. Every daemon has a duty runner. The runners elect one
 * of them through a lease in a shared log, and only the holder of the lease performs the duties.
 * The others watch the log, hand over their usage counts and claim the lease when it expires.
 */
import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import * as Schema from 'effect/Schema';
import * as util from 'node:util';
import * as ClockReading from './ClockReading.js';
import * as DutyLease from './DutyLease.js';
import * as FleetCounts from './FleetCounts.js';
import * as LogPosition from './LogPosition.js';
import * as LogReading from './LogReading.js';
import * as OrderPlan from './OrderPlan.js';
import type * as Ports from './Ports.js';
import * as RelayPlan from './RelayPlan.js';
import type * as RoutingConfig from './RoutingConfig.js';
import type * as ServerTable from './ServerTable.js';
import * as TrueTime from './TrueTime.js';
import * as UsageCounts from './UsageCounts.js';
import * as WindowHandOver from './WindowHandOver.js';

/** Interval between two steps; a step follows or renews the lease and does what is due. */
const STEP_INTERVAL_MS = 300;

/**
 * Total rate of reads of the duties log while there are no standbys. The daemons share it, so each
 * one polls less often in a larger fleet.
 */
const FLEET_POLLS_PER_S = 4;

/** Relays per data centre that stand by to take over the lease; the holder may be one of them. */
const STANDBYS_PER_DATA_CENTRE = 2;

/**
 * Standbys of a region that has root relays. With three, one is left when two of them are lost
 * together with their data centres.
 */
const STANDBYS_PER_REGION = 3;

/** Total rate of reads of the duties log by the daemons that are not standbys. */
const NON_STANDBY_POLLS_PER_S = 1;

/**
 * Shortest interval between two reads of the duties log by a daemon that does not suspect the
 * holder. A daemon may claim the lease only when no new record has appeared for a whole term since
 * it read the newest one. Standbys poll at this interval so that they see each record early, and
 * the term that they have to wait has already begun when the holder fails.
 */
const MIN_POLL_MS = 1_500;

/** Number of daemons that is assumed until the duties log states it. */
export const INITIAL_DAEMON_COUNT = 8;

/** Age of the newest record above which the holder is suspected: it missed two renewals. */
const HOLDER_SUSPECT_AGE_MS = 2_700;

/** Interval between two renewals by the holder; a lease term has room for three attempts. */
const RENEWAL_INTERVAL_MS = 1_300;

/** Longest random delay of a claim; keeps daemons from claiming an expired lease all at once. */
const MAX_CLAIM_JITTER_MS = 700;

/**
 * Time before the due time of a report at which its window is sealed at the latest. A seal and its
 * report need a step, an append and a call, which take 20 ms each.
 */
const SEAL_MARGIN_MS = 1_000;

/** Age beyond which a window is no longer sealed or reported. */
const MAX_WINDOW_AGE_MS = 28_000;

/** Maximum number of orders in one step; the next step renews the lease first. */
const MAX_ORDERS_PER_STEP = 32;

const MS_PER_S = 1_000;

/**
 * Timeout of a report or an order in milliseconds. The holder calls the platform only while the
 * rest of its lease term is longer than this, so the lease is still held when the call ends.
 */
export const DUTY_CALL_TIMEOUT_MS = 800;

/** Lease term as a multiple of `leaseMs`. */
const LEASE_TERM_FACTOR = 1.25;

/** Settings and dependencies of a duty runner. */
export interface DutyContext
  extends WindowHandOver.WindowContext, FleetCounts.FleetCountsContext {
  /** Data centres of this daemon's region, in the same order at every daemon. */
  readonly regionDataCentres: readonly string[];
  /** Called with the new assignment of relays when a record of the holder changed it. */
  readonly onRelaysChanged: (relays: RelayPlan.RelayAssignment) => void;
  /** Time within which two daemons may not alternate as the holder. */
  readonly leaseMs: Core.Millis;
  /** Time after the end of a window at which its report is due. */
  readonly usageDueMs: Core.Millis;
  /** Allowed error of the reported counts of a window, as a share of them. */
  readonly usageErrorShare: number;
  readonly dutyLog: Ports.SharedLog;
  readonly calls: Ports.DutyCalls;
  /** Lists the services of the configuration, for which servers may be ordered. */
  readonly listServices: () => readonly RoutingConfig.Service[];
  /** Lists the servers that have an entry. */
  readonly listServers: () => readonly ServerTable.BackendServer[];
  /** Called with the answer to each order of servers. */
  readonly onOrderAnswered: (order: Ports.ServerOrder, answer: Ports.DutyAnswer) => void;
  readonly random: () => number;
}

/** Duty runner of this process. */
export interface DutyRunner {
  /** Returns the number of daemons by the duties log; undefined before the log states it. */
  readonly countDaemons: () => number | undefined;
  /** Returns the daemon ID of the lease holder; undefined where none is known. */
  readonly getHolder: () => string | undefined;
  /** Lists the plans of the server orders; empty unless this daemon holds the lease. */
  readonly listPlans: () => readonly OrderPlan.OrderDecision[];
  /** Releases the lease and stops claiming it. Counts are still handed over. */
  readonly resign: () => Promise<void>;
  /** Hands over the remaining counts and stops the runner. */
  readonly stop: () => Promise<void>;
}

const decodeDuty = Schema.decodeUnknownOption(DutyLease.DutyRecord);

/** Duty runner whose right to act is a lease in the duties log. */
class LeasedDutyRunner implements DutyRunner {
  readonly #context: DutyContext;

  readonly #handOver: WindowHandOver.WindowHandOver;

  #state = DutyLease.INITIAL_DUTY_STATE;

  #heldLease: DutyLease.HeldLease | undefined;

  /** Lease that this process held last, unless another daemon has had it since. */
  #newestLease: DutyLease.HeldLease | undefined;

  /** Clock readings before each append whose outcome is not yet known, by nonce. */
  readonly #pendingAppends = new Map<string, ClockReading.ClockReading>();

  /** Positions of the newest attempts to seal, by window. */
  readonly #sealAttempts = new Map<number, number>();

  /** Fencing tokens that the platform refused; they must not be used again. */
  readonly #refusedFences = new Set<number>();

  #hasReadLog = false;

  /** Clock reading before the newest successful read of this generation of the log was sent. */
  #newestReadAt: ClockReading.ClockReading | undefined;

  #nextPollMs = -Infinity;

  #lastRenewMs = -Infinity;

  #claimAtMs: Core.Millis | undefined;

  /** First window of complete counts that a holder stated last; older ones were handed over. */
  #requestedCountsFrom = -Infinity;

  readonly #fleetCounts: FleetCounts.FleetCounts;

  readonly #reportedWindows = new Set<number>();

  #orderPlanner = OrderPlan.createOrderPlanner();

  #timer: NodeJS.Timeout | undefined;

  #currentStep: Promise<void> = Promise.resolve();

  #hasResigned = false;

  #isStopped = false;

  constructor(context: DutyContext) {
    this.#context = context;
    this.#handOver = WindowHandOver.createWindowHandOver(context);
    this.#fleetCounts = FleetCounts.createFleetCounts(context);
    this.#schedule();
  }

  countDaemons = (): number | undefined => this.#state.daemonCount;

  getHolder = (): string | undefined => this.#state.holder;

  listPlans = (): readonly OrderPlan.OrderDecision[] => (
    this.#heldLease === undefined ? [] : this.#orderPlanner.listPlans()
  );

  resign = async (): Promise<void> => {
    this.#hasResigned = true;
    await this.#currentStep;
    const heldLease = this.#heldLease;
    if (heldLease === undefined || this.#computeRemainingTerm() <= 0) return;
    await this.#append({ fence: heldLease.fence, kind: 'release' });
    this.#heldLease = undefined;
    this.#newestLease = undefined;
  };

  stop = async (): Promise<void> => {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    await this.#currentStep;
    await this.#handOver.stop();
  };

  #schedule(): void {
    if (this.#isStopped) return;
    this.#timer = setTimeout(() => {
      this.#currentStep = this.#runStep().catch((error: unknown) => {
        this.#context.logger.error({ error: String(error) }, 'step of the duties failed');
      }).finally(() => this.#schedule());
    }, STEP_INTERVAL_MS);
  }

  #readClocks(): ClockReading.ClockReading {
    return ClockReading.readClocks(this.#context.clock);
  }

  #computeRemainingTerm(): Core.Millis {
    return DutyLease.computeRemainingTerm(this.#heldLease, this.#readClocks());
  }

  /** Computes the lease term that this daemon claims. */
  #computeTerm(): Core.Millis {
    return Math.round(this.#context.leaseMs * LEASE_TERM_FACTOR);
  }

  async #runStep(): Promise<void> {
    // Not awaited: a relay that does not answer must not delay the renewal of the lease.
    this.#handOver.start();
    if (this.#hasResigned) return;
    if (this.#heldLease !== undefined && this.#computeRemainingTerm() <= 0) {
      this.#pauseLease('term over');
    }
    if (this.#heldLease === undefined) await this.#followLease();
    else await this.#runDuties();
  }

  /** Stops acting as the holder, although no other daemon is known to hold the lease. */
  #pauseLease(reason: string): void {
    this.#context.logger.warn({ fence: this.#heldLease?.fence, reason }, 'duties lost');
    this.#heldLease = undefined;
    this.#claimAtMs = undefined;
  }

  #loseLease(reason: string): void {
    this.#pauseLease(reason);
    this.#newestLease = undefined;
  }

  async #followLease(): Promise<void> {
    const nowMs = this.#context.clock.readMonotonic();
    if (nowMs < this.#nextPollMs) return;
    const isRead = await this.#readDutyLog();
    this.#nextPollMs = nowMs + (isRead ? this.#computePollInterval() : MIN_POLL_MS);
    if (!isRead) return;
    if (DutyLease.canReclaim(this.#state, this.#newestLease, this.#readClocks())) {
      await this.#claim();
      return;
    }
    if (!DutyLease.canClaim(this.#state, this.#readClocks())) {
      this.#claimAtMs = undefined;
      return;
    }
    this.#claimAtMs ??= nowMs + this.#context.random() * MAX_CLAIM_JITTER_MS;
    this.#nextPollMs = this.#claimAtMs;
    if (nowMs < this.#claimAtMs) return;
    this.#claimAtMs = undefined;
    await this.#claim();
  }

  async #claim(): Promise<void> {
    await this.#append({ fence: this.#state.end, kind: 'claim' });
  }

  /**
   * Computes the time until the next read of the duties log. Standbys poll often; the other daemons
   * share a total rate, so in a large fleet each of them polls rarely. A daemon that suspects the
   * holder reads again when the term is over, because it may claim the lease only if no record
   * followed within the term.
   */
  #computePollInterval(): Core.Millis {
    const { observedAt, termMs, writtenMs } = this.#state;
    const ageMs = this.#context.trueTime.read() - (writtenMs ?? -Infinity);
    if (observedAt !== undefined && ageMs > HOLDER_SUSPECT_AGE_MS) {
      const passedMs = this.#readClocks().monotonicMs - observedAt.monotonicMs;
      return Math.max(STEP_INTERVAL_MS, termMs + DutyLease.LEASE_MARGIN_MS - passedMs);
    }
    const { daemonCount, relays } = this.#state;
    const rootRelays = RelayPlan.listRootRelays(relays, this.#context.regionDataCentres);
    const standbys = rootRelays.length > 0
      ? rootRelays.slice(0, STANDBYS_PER_REGION)
      : Object.values(relays).flatMap((each) => each.slice(0, STANDBYS_PER_DATA_CENTRE));
    if (standbys.some((address) => address === this.#context.peerAddress)) return MIN_POLL_MS;
    const pollsPerS = standbys.length > 0 ? NON_STANDBY_POLLS_PER_S : FLEET_POLLS_PER_S;
    const daemons = daemonCount ?? INITIAL_DAEMON_COUNT;
    return Math.max(MIN_POLL_MS, (daemons / pollsPerS) * MS_PER_S);
  }

  /**
   * Reads the records of the duties log that are new; resolves with whether it was read. After a
   * gap it reads on at once, because the first record that is left may be deleted before the next
   * poll; it does so once, so that a log that is never readable causes no burst of calls.
   */
  async #readDutyLog(canReadAgain = true): Promise<boolean> {
    const sentAt = this.#readClocks();
    const result = await Effect.runPromise(
      Effect.either(LogReading.readToEnd(this.#context.dutyLog, this.#state.end)),
    );
    const readAt = this.#readClocks();
    if (Either.isLeft(result)) {
      if (result.left._tag === 'HistoryLost') {
        this.#applyLostHistory(result.left.first, readAt);
        return canReadAgain && this.#readDutyLog(false);
      }
      this.#context.logger.warn({ detail: result.left.message }, 'duties log not read');
      return false;
    }
    result.right.records.forEach(({ offset, value }) => this.#applyRecord(offset, value, readAt));
    this.#state = { ...this.#state, end: result.right.next };
    this.#newestReadAt = sentAt;
    if (!this.#hasReadLog) {
      this.#hasReadLog = true;
      if (!DutyLease.hasHolderOfGeneration(this.#state)) this.#applyUnknownHolder(readAt);
    }
    return true;
  }

  /** Computes the largest age of a record that is read now and was not there at the last read. */
  #computeMaxRecordAge(readAt: ClockReading.ClockReading): Core.Millis {
    const newestReadAt = this.#newestReadAt;
    if (newestReadAt === undefined || ClockReading.hasDrifted(newestReadAt, readAt)) {
      return Infinity;
    }
    return readAt.monotonicMs - newestReadAt.monotonicMs;
  }

  /**
   * Applies the first read of a log that states no holder of its generation. If it has returned
   * from an older copy, seals and a claim may be gone.
   */
  #applyUnknownHolder(readAt: ClockReading.ClockReading): void {
    const { end } = this.#state;
    const isRestored = LogPosition.getGeneration(end) > 0;
    if (isRestored) {
      this.#state = DutyLease.applyDutyGap(this.#state, end, readAt, this.#computeTerm());
    }
    // A fleet that starts must not skip its first windows: their seals also assign the relays.
    const holderMs = this.#context.trueTime.read() + (isRestored ? TrueTime.MAX_LAG_MS : 0);
    this.#state = { ...this.#state, sealFrom: this.#computeSealFrom(holderMs) };
  }

  /** Applies a gap in the log. */
  #applyLostHistory(first: number, readAt: ClockReading.ClockReading): void {
    const { end } = this.#state;
    const isRestored = LogPosition.getGeneration(first) > LogPosition.getGeneration(end);
    // Nobody else can have sealed a window in the gap while this daemon holds the lease.
    const isHolder = !isRestored && this.#computeRemainingTerm() > 0;
    const gapState = DutyLease.applyDutyGap(this.#state, first, readAt, this.#computeTerm());
    this.#state = {
      ...gapState,
      sealedWindows: new Set([...gapState.sealedWindows, ...this.#listUncertainSeals(end)]),
    };
    if (!isHolder) {
      const sealFrom = this.#computeSealFrom(this.#context.trueTime.readLatest());
      this.#state = { ...this.#state, sealFrom };
    }
    this.#context.logger.warn({
      first: LogPosition.formatPosition(first),
      previousEnd: LogPosition.formatPosition(end),
      ...DutyLease.buildSealStatement(this.#state),
    }, isRestored
      ? 'duties log is from an older copy'
      : 'records of the duties log were deleted before they were read');
    if (!isRestored) return;
    // The records of the copy may be older than the newest read.
    this.#newestReadAt = undefined;
    // The claim of this lease may be gone, and its appends have no effect on other daemons.
    if (this.#heldLease !== undefined) this.#pauseLease('the log returned from an older copy');
    this.#pendingAppends.clear();
  }

  /**
   * Lists the windows whose seals this daemon tried to append at the end of the log that it knew
   * before a gap. Such a seal may have taken effect, and other daemons may have read it.
   */
  #listUncertainSeals(end: number): readonly number[] {
    return [...this.#sealAttempts].filter(([, position]) => position >= end)
      .map(([window]) => window);
  }

  /**
   * Computes the first window that may be sealed after records of the log were lost. The former
   * holder of a log that returned from an older copy knows its seals, also those that are gone. For
   * any other daemon, each window that could be sealed by `holderMs` may have been: the time by the
   * clock of the holder, which may be ahead.
   */
  #computeSealFrom(holderMs: Core.Millis): number {
    const { sealFrom } = this.#state;
    if (DutyLease.canReclaim(this.#state, this.#newestLease, this.#readClocks())) {
      const lastSealed = DutyLease.listSealedWindows(this.#state).at(-1);
      return lastSealed === undefined ? sealFrom : lastSealed + 1;
    }
    return Math.max(sealFrom, UsageCounts.computeWindow(
      holderMs - FleetCounts.HAND_OVER_PERIOD_MS,
      this.#context.windowMs,
    ));
  }

  #applyRecord(offset: number, value: unknown, readAt: ClockReading.ClockReading): void {
    const decoded = decodeDuty(value);
    if (decoded._tag === 'None') return;
    const record = decoded.value;
    const { hasGap, holder: previousHolder, relays } = this.#state;
    this.#state = DutyLease.applyDutyRecord(this.#state, offset, record, readAt);
    if (hasGap && !this.#state.hasGap) {
      this.#context.logger.info(
        { offset, ...DutyLease.buildSealStatement(this.#state) },
        'sealed windows are known after a gap',
      );
    }
    const { daemonId, trueTime } = this.#context;
    if (record.holder !== daemonId) {
      trueTime.observeRemote(record.writtenMs, this.#computeMaxRecordAge(readAt));
    }
    if (record.countsFrom !== undefined) this.#resetHandOver(record.countsFrom);
    const sentAt = this.#pendingAppends.get(record.nonce);
    if (sentAt !== undefined) this.#updateHeldLease(sentAt);
    else if (this.#heldLease !== undefined && this.#state.fence !== this.#heldLease.fence) {
      this.#loseLease('another daemon holds the lease');
    }
    if (!util.isDeepStrictEqual(relays, this.#state.relays)) {
      this.#context.logger.info({ offset, relays: this.#state.relays }, 'relays changed');
      this.#context.onRelaysChanged(this.#state.relays);
    }
    if (previousHolder !== this.#state.holder) {
      this.#context.logger.info(
        { fence: this.#state.fence, holder: this.#state.holder, offset },
        'holder of the duties changed',
      );
    }
  }

  /** Hands the counts of this daemon over again after the holder stated that some are lost. */
  #resetHandOver(countsFrom: number): void {
    if (countsFrom <= this.#requestedCountsFrom) return;
    this.#requestedCountsFrom = countsFrom;
    this.#context.logger.info({ countsFrom }, 'usage counts are handed over again');
    this.#context.usageCounter.resetHandOver();
  }

  /**
   * Updates the held lease after a record of this process appeared in the log. `sentAt` is the
   * clock reading before that record was sent.
   */
  #updateHeldLease(sentAt: ClockReading.ClockReading): void {
    this.#pendingAppends.clear();
    const { fence, holder, termMs } = this.#state;
    if (fence === undefined || holder !== this.#context.daemonId) return;
    if (this.#refusedFences.has(fence)) return;
    // A claim at a position of an earlier generation may have the token of a claim that is gone.
    if (LogPosition.getGeneration(fence) !== LogPosition.getGeneration(this.#state.end)) return;
    if (this.#heldLease?.fence !== fence) {
      this.#orderPlanner = OrderPlan.createOrderPlanner();
      this.#reportedWindows.clear();
      this.#fleetCounts.reset();
    }
    this.#heldLease = { fence, sentAt, termMs };
    this.#newestLease = this.#heldLease;
  }

  async #append(
    content: Pick<DutyLease.DutyRecord, 'daemonCount' | 'fence' | 'kind' | 'relays' | 'seal'>,
  ): Promise<void> {
    const sentAt = this.#readClocks();
    const countsFrom = this.#computeRequestedCounts();
    const record: DutyLease.DutyRecord = {
      ...content,
      ...countsFrom === undefined ? {} : { countsFrom },
      holder: this.#context.daemonId,
      nonce: Core.createId(),
      ...DutyLease.buildSealStatement(this.#state),
      termMs: this.#computeTerm(),
      writtenMs: Math.round(this.#context.trueTime.read()),
    };
    this.#pendingAppends.set(record.nonce, sentAt);
    const result = await Effect.runPromise(
      Effect.either(this.#context.dutyLog.append([record], this.#state.end)),
    );
    if (Either.isRight(result)) {
      this.#applyRecord(result.right, record, this.#readClocks());
      return;
    }
    const error = result.left;
    if (error._tag === 'StoreUnavailable') {
      this.#context.logger.warn({ detail: error.message, kind: content.kind }, 'append failed');
    }
    // The append may have taken effect unanswered, or another daemon may have appended first.
    await this.#readDutyLog();
  }

  async #runDuties(): Promise<void> {
    const windows = await this.#listSealableWindows();
    const nowMs = this.#context.clock.readMonotonic();
    if (windows.length > 0) await this.#sealWindows(windows);
    else if (nowMs - this.#lastRenewMs >= RENEWAL_INTERVAL_MS) {
      this.#lastRenewMs = nowMs;
      await this.#append({
        daemonCount: this.#state.daemonCount,
        fence: this.#heldLease?.fence,
        kind: 'renewal',
        relays: this.#state.relays,
      });
    }
    await this.#sendReports();
    // A new holder reads the counts before its first orders, so that it knows the demand.
    if (this.#fleetCounts.getReadTime() === -Infinity) await this.#fleetCounts.read();
    await this.#sendOrders();
    this.#logChangedPlans();
  }

  #computeCurrentWindow(): number {
    return UsageCounts.computeWindow(this.#context.trueTime.read(), this.#context.windowMs);
  }

  #listRecentWindows(): readonly number[] {
    const current = this.#computeCurrentWindow();
    const count = Math.ceil(MAX_WINDOW_AGE_MS / this.#context.windowMs);
    return Array.from({ length: count }, (_, index) => current - count + index);
  }

  /** Computes the true time by which the counts of a window should be in the log. */
  #computeHandOverEnd(window: number): Core.Millis {
    return (window + 1) * this.#context.windowMs + FleetCounts.HAND_OVER_PERIOD_MS;
  }

  #listDueWindows(): readonly number[] {
    const nowMs = this.#context.trueTime.read();
    return this.#listRecentWindows().filter((window) => (
      !DutyLease.isSealed(this.#state, window) && nowMs >= this.#computeHandOverEnd(window)
    ));
  }

  /**
   * Lists the windows to seal now. A daemon that cannot reach the store hands its counts over when
   * it is connected again. A window whose missing counts exceed the allowed error, or are not known
   * after a gap in the counts log, is therefore sealed only shortly before its report is due.
   */
  async #listSealableWindows(): Promise<readonly number[]> {
    const due = this.#listDueWindows();
    if (due.length === 0) return [];
    const nowMs = this.#context.trueTime.read();
    const readMs = this.#fleetCounts.getReadTime();
    const isUnread = due.some((window) => readMs < this.#computeHandOverEnd(window));
    if (isUnread || nowMs - readMs >= FleetCounts.COUNTS_READ_INTERVAL_MS) {
      if (!await this.#fleetCounts.read()) return [];
    }
    const { usageDueMs, usageErrorShare, windowMs } = this.#context;
    return due.filter((window) => (
      (this.#hasAllCounts(window)
        && this.#fleetCounts.collection.estimateMissingShare(window) <= usageErrorShare)
      || nowMs >= (window + 1) * windowMs + usageDueMs - SEAL_MARGIN_MS
    ));
  }

  #hasAllCounts(window: number): boolean {
    return this.#fleetCounts.hasAllCounts(window, this.#state.daemonCount);
  }

  /**
   * Computes the first window whose counts need not be handed over again; undefined while no
   * window that can still be reported in time lacks counts.
   */
  #computeRequestedCounts(): number | undefined {
    if (this.#heldLease === undefined) return undefined;
    const lacksCounts = this.#listRecentWindows().some((window) => (
      this.#fleetCounts.computeWindowAge(window) < this.#context.usageDueMs
      && !DutyLease.isSealed(this.#state, window) && !this.#hasAllCounts(window)
    ));
    return lacksCounts ? this.#fleetCounts.collection.getCompleteFrom() : undefined;
  }

  /**
   * Seals all given windows within one step, one after another. Windows that waited for later steps
   * would be delayed by an outage of the store that begins in the meantime.
   */
  async #sealWindows([window, ...rest]: readonly number[]): Promise<void> {
    if (window === undefined) return;
    await this.#sealWindow(window);
    // A missing seal means that the store failed or that another daemon now holds the lease.
    if (this.#heldLease !== undefined && this.#state.seals.has(window)) {
      await this.#sealWindows(rest);
    }
  }

  async #sealWindow(window: number): Promise<void> {
    this.#lastRenewMs = this.#context.clock.readMonotonic();
    const members = this.#fleetCounts.collection.listMembers(window);
    const counts = this.#fleetCounts.collection.sumWindow(window);
    this.#context.logger.info({
      counts, daemons: members.length, fence: this.#heldLease?.fence, window,
    }, 'sealing usage window');
    this.#recordSealAttempt(window);
    await this.#append({
      daemonCount: this.#fleetCounts.collection.countDaemons(window) || this.#state.daemonCount,
      fence: this.#heldLease?.fence,
      kind: 'seal',
      // No counts arrive during an outage of the store; the previous relays are kept then.
      relays: members.length === 0
        ? this.#state.relays
        : RelayPlan.planRelays(members, this.#state.relays),
      seal: { counts, window },
    });
  }

  /** Records an attempt to seal; those at earlier positions were read or have failed for good. */
  #recordSealAttempt(window: number): void {
    const { end } = this.#state;
    [...this.#sealAttempts].filter(([, position]) => position < end)
      .forEach(([each]) => this.#sealAttempts.delete(each));
    this.#sealAttempts.set(window, end);
  }

  async #sendReports(): Promise<void> {
    const due = this.#listRecentWindows().find((window) => (
      this.#state.seals.has(window) && !this.#reportedWindows.has(window)
    ));
    const seal = due === undefined ? undefined : this.#state.seals.get(due);
    const heldLease = this.#heldLease;
    if (seal === undefined || heldLease === undefined) return;
    if (Object.keys(seal.counts).length === 0) {
      this.#reportedWindows.add(seal.window);
      await this.#sendReports();
      return;
    }
    if (this.#computeRemainingTerm() <= DUTY_CALL_TIMEOUT_MS) return;
    const answer = await Effect.runPromise(
      this.#context.calls.sendUsage(seal.window, seal.counts, heldLease.fence),
    );
    this.#context.logger.info(
      {
        answer, counts: seal.counts, fence: heldLease.fence, window: seal.window,
      },
      'usage reported',
    );
    if (answer === 'fenced') this.#handleRefusedFence(heldLease.fence);
    else if (answer !== 'unknown') {
      this.#reportedWindows.add(seal.window);
      await this.#sendReports();
    }
  }

  #handleRefusedFence(fence: number): void {
    this.#refusedFences.add(fence);
    this.#loseLease('the platform refused the fencing token');
  }

  #planOrders(nowMs: Core.Millis): readonly Ports.ServerOrder[] {
    const servers = this.#context.listServers();
    const { daemonCount } = this.#state;
    return this.#orderPlanner.planDue(
      this.#context.listServices().map((service) => ({
        demand: this.#fleetCounts.readMeasuredDemand(service.name, daemonCount),
        servers,
        service,
        tokensPerSecond: this.#fleetCounts.computePeakDemand(service.name),
      })),
      nowMs,
      this.#fleetCounts.isDemandKnown(daemonCount),
    );
  }

  #logChangedPlans(): void {
    const { daemonCount } = this.#state;
    const window = this.#fleetCounts.findDemandWindow(daemonCount);
    const demandAgeMs = window === undefined
      ? undefined
      : Math.round(this.#fleetCounts.computeWindowAge(window));
    this.#orderPlanner.takeChanges().forEach((decision) => this.#context.logger.info(
      {
        ...OrderPlan.describeDecision(decision),
        demand: this.#fleetCounts.readMeasuredDemand(decision.service, daemonCount),
        demandAgeMs,
        fence: this.#heldLease?.fence,
      },
      'capacity planned',
    ));
  }

  async #sendOrders(remaining = MAX_ORDERS_PER_STEP): Promise<void> {
    const nowMs = this.#context.clock.readMonotonic();
    const [order] = this.#planOrders(nowMs);
    const heldLease = this.#heldLease;
    if (order === undefined || heldLease === undefined || remaining === 0) return;
    if (this.#computeRemainingTerm() <= DUTY_CALL_TIMEOUT_MS) return;
    const answer = await Effect.runPromise(
      this.#context.calls.orderServers(order, heldLease.fence),
    );
    this.#context.logger.info({ answer, fence: heldLease.fence, ...order }, 'servers ordered');
    this.#context.onOrderAnswered(order, answer);
    if (answer === 'fenced') this.#handleRefusedFence(heldLease.fence);
    else this.#orderPlanner.recordAnswer(order, answer, nowMs);
    // Orders are sent one at a time. An answer may change the plan, and what was refused for lack
    // of stock is replaced within the same step.
    if (answer === 'accepted' || answer === 'unavailable') await this.#sendOrders(remaining - 1);
  }
}

/** Starts the duty runner of this process. */
export function startDuties(context: DutyContext): DutyRunner {
  return new LeasedDutyRunner(context);
}
