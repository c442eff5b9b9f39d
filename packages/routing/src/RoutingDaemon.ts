/**
 * Routing daemon. It follows the configuration and the server entries, serves the requests of
 * callers, runs the duties while it holds their lease, and stops gracefully.
 */
import * as Core from '@berylyoke/core';
import * as Scheduling from '@berylyoke/scheduling';
import * as AdmissionGate from './AdmissionGate.js';
import * as BaseVersions from './BaseVersions.js';
import * as ByteBudget from './ByteBudget.js';
import * as ClockReading from './ClockReading.js';
import * as ColdLimits from './ColdLimits.js';
import * as CountsHandOver from './CountsHandOver.js';
import * as CrashReports from './CrashReports.js';
import * as DaemonFeeds from './DaemonFeeds.js';
import * as DutyRunner from './DutyRunner.js';
import * as EngineRates from './EngineRates.js';
import * as FleetLoad from './FleetLoad.js';
import type * as HeaderRules from './HeaderRules.js';
import * as HttpListeners from './HttpListeners.js';
import * as LoadGauges from './LoadGauges.js';
import * as ListenerLimits from './ListenerLimits.js';
import * as LogRateLimiter from './LogRateLimiter.js';
import * as OutcomeExchange from './OutcomeExchange.js';
import type * as PathContext from './PathContext.js';
import type * as Ports from './Ports.js';
import * as ReadPacer from './ReadPacer.js';
import * as RelayCalls from './RelayCalls.js';
import * as RelayChoice from './RelayChoice.js';
import * as RequestLimits from './RequestLimits.js';
import * as RoutedRequest from './RoutedRequest.js';
import * as RoutingMetrics from './RoutingMetrics.js';
import * as RoutingConfig from './RoutingConfig.js';
import type * as RoutingSettings from './RoutingSettings.js';
import * as ServerAvailability from './ServerAvailability.js';
import * as ServerHealth from './ServerHealth.js';
import * as ServerPool from './ServerPool.js';
import type * as ServerTable from './ServerTable.js';
import * as StopPolicy from './StopPolicy.js';
import * as StreamRecords from './StreamRecords.js';
import * as StreamVersions from './StreamVersions.js';
import * as TrueTime from './TrueTime.js';
import * as UsageCounts from './UsageCounts.js';

/**
 * Share of a fleet-wide limit that is divided among the daemons. The rest is a reserve, because the
 * known number of daemons lags behind the actual one.
 */
const DIVIDED_LIMIT_SHARE = 0.7;

/** Part of the grace time before SIGKILL that is reserved for the exit of the process. */
const EXIT_MARGIN_MS = 900;

/** Limit of log lines per second about answered requests; the others are summarised. */
const ANSWERED_LINES_PER_S = 30;

/** Limit of log lines per second about failed attempts and requests. */
const FAILED_LINES_PER_S = 100;

/** Exit code of a process that ends because an invariant is violated. */
const DEFECT_EXIT_CODE = 70;

const POOL_CHECK_MS = 2_000;
const MS_PER_S = 1_000;

/** Settings and dependencies of a daemon, which the adapter of a platform provides. */
export interface DaemonOptions extends DaemonFeeds.FeedSources {
  readonly settings: RoutingSettings.RoutingSettings;
  readonly names: HeaderRules.HeaderNames;
  readonly clock: Core.Clock;
  readonly log: Core.BufferedLogger;
  readonly streamRecordFeed: Ports.WritableKeyedFeed;
  readonly dutyLog: Ports.SharedLog;
  readonly countsLog: Ports.SharedLog;
  readonly calls: Ports.DutyCalls;
}

/** A running daemon. */
export interface RoutingDaemon {
  /** Stops gracefully: finishes the answers in progress within the grace time. */
  readonly stop: () => Promise<void>;
}

/** Creates the retry budgets per service, each this daemon's part of the fleet-wide budget. */
function createRetryBudgets(
  settings: RoutingSettings.RoutingSettings,
  getFleetShare: () => number,
): Pick<PathContext.PathContext, 'claimRetry' | 'countRequest'> {
  const budgets = new Map<string, Scheduling.RetryBudget>();
  const { share, slack } = settings.repeats;
  const getBudget = (service: string): Scheduling.RetryBudget => {
    const maxCredit = slack * getFleetShare();
    const existing = budgets.get(service);
    if (existing !== undefined) {
      return { ...existing, credit: Math.min(existing.credit, maxCredit), maxCredit };
    }
    return Scheduling.createRetryBudget(share * DIVIDED_LIMIT_SHARE, maxCredit, maxCredit);
  };
  return {
    claimRetry: (service) => Scheduling.claimRetry(getBudget(service)).caseOf({
      Left: () => false,
      Right: ({ budget }) => {
        budgets.set(service, budget);
        return true;
      },
    }),
    countRequest: (service) => {
      budgets.set(service, Scheduling.recordFirstAttempt(getBudget(service)));
    },
  };
}

/**
 * Time over which the daemons of a fleet write again what the store lost; well below the time from
 * the end of a window to its seal.
 */
const REWRITE_SPREAD_MS = 500;

/** Starts a daemon; resolves when it listens. */
export async function startRoutingDaemon(options: DaemonOptions): Promise<RoutingDaemon> {
  const {
    calls, clock, configFeed, countsLog, crashReportFeed, decodeConfig, decodeServer, dutyLog, log,
    names, serverFeed, settings, streamRecordFeed,
  } = options;
  const logger = Core.getPartLogger(log.logger, 'routing');
  const trueTime = TrueTime.createTrueTime(() => ClockReading.readClocks(clock));
  const windowMs = settings.bounds.usageWindowS * MS_PER_S;
  const usageCounter = UsageCounts.createUsageCounter(windowMs);
  let phase: PathContext.Phase = 'running';
  const activeRequests = new Set<RoutedRequest.RoutedRequest>();
  let stopDeadlineMs = Infinity;
  let entry: HttpListeners.IngressListener | undefined;
  let duties: DutyRunner.DutyRunner | undefined;
  let baseVersions: BaseVersions.BaseVersions | undefined;
  let countWaiting: AdmissionGate.AdmissionGate['countWaiting'] = () => 0;
  let listServers: ServerTable.ServerTable['listAll'] = () => [];

  const countDaemons = (): number => (
    Math.max(1, duties?.countDaemons() ?? DutyRunner.INITIAL_DAEMON_COUNT)
  );
  /** Returns the part of a limit for the whole fleet that this daemon may use. */
  const getFleetShare = (): number => DIVIDED_LIMIT_SHARE / countDaemons();
  const requestLimits = RequestLimits.createRequestLimits({
    getShare: getFleetShare, random: Math.random,
  });
  const crashReports = CrashReports.startCrashReports({
    daemonId: settings.daemonId,
    logger,
    readTrueTime: trueTime.read,
    write: crashReportFeed.write,
  });
  const streamRecords = StreamRecords.startStreamRecords({
    clock, feed: streamRecordFeed, logger, readTrueTime: trueTime.read,
  });
  const gauges = LoadGauges.createLoadGauges(settings.daemonId);
  const metrics = RoutingMetrics.createRoutingMetrics({
    countInvalidLoads: gauges.countInvalid,
    countLoadReporters: () => gauges.countReporters(clock.readMonotonic()),
    getLoadAge: () => gauges.getAge(clock.readMonotonic()),
    countActive: () => activeRequests.size,
    countBlockedParts: () => crashReports.countBlocked('promptPart'),
    countCallerBytes: () => entry?.getTotals().bytes ?? 0,
    countCallerConnections: () => entry?.getTotals().connections ?? 0,
    countBlockedRequests: () => crashReports.countBlocked('fingerprint'),
    countDroppedLogs: log.countDroppedRecords,
    countLimitedServers: () => {
      const nowMs = clock.readMonotonic();
      return listServers()
        .filter((server) => requestLimits.getLimit(server, nowMs) !== undefined).length;
    },
    listPlans: () => duties?.listPlans() ?? [],
    countWaiting: () => countWaiting(),
  });
  const endProcess = (): void => {
    log.flush();
    // State that requests share may be corrupt; a restarted daemon reads it again.
    // eslint-disable-next-line n/no-process-exit
    process.exit(DEFECT_EXIT_CODE);
  };
  const { handleDefect, unregister } = Core.registerDefectHandler({
    clock, endProcess, logger, onDefect: metrics.addDefect,
  });
  const region = settings.regions[settings.dataCentre];
  const regionDataCentres = Object.keys(settings.regions)
    .filter((dataCentre) => settings.regions[dataCentre] === region).sort();
  const relayChoice = RelayChoice.createRelayChoice(clock, {
    address: settings.listen.peers,
    daemonId: settings.daemonId,
    dataCentre: settings.dataCentre,
    regionDataCentres,
  });
  const relayClient = RelayCalls.createRelayClient();
  const feeds = DaemonFeeds.startDaemonFeeds({
    bounds: settings.bounds,
    clock,
    configFeed,
    crashReportFeed,
    decodeConfig,
    decodeServer,
    logger,
    metrics,
    onBaseVersions: (changes) => baseVersions?.applyChanges(changes),
    onCrashReports: crashReports.applyChanges,
    onConfig: ({ limits }) => entry?.setLimits(
      limits,
      ListenerLimits.computeIngressLimits(settings, limits.maxBodyBytes),
    ),
    onRestored: () => {
      // A fleet must not write everything again at the same moment.
      setTimeout(() => {
        usageCounter.resetHandOver();
        crashReports.rewrite();
        streamRecords.rewrite();
        baseVersions?.rewrite();
      }, Math.random() * REWRITE_SPREAD_MS);
    },
    readRelay: relayClient.read,
    relayChoice,
    serverFeed,
  });
  const { getActiveConfig, servers } = feeds;
  listServers = servers.listAll;
  baseVersions = BaseVersions.startBaseVersions({
    clock,
    countDaemons,
    countVersions: servers.countVersions,
    getPosition: feeds.getBasePosition,
    isCurrent: feeds.areBasesCurrent,
    isListCurrent: () => (
      feeds.areServersVerifiedSince(clock.readMonotonic() - BaseVersions.MAX_LIST_AGE_MS)
    ),
    listServices: () => RoutingConfig.listResumableServices(getActiveConfig()?.config),
    logger,
    random: Math.random,
    write: crashReportFeed.write,
  });
  const outcomes = OutcomeExchange.startOutcomeExchange({
    choice: relayChoice,
    client: relayClient,
    clock,
    gauges,
    hasEngines: () => RoutingConfig.hasEngines(getActiveConfig()?.config),
    limits: requestLimits,
    logger,
    random: Math.random,
  });

  const pool = ServerPool.createServerPool((service) => {
    const max = getActiveConfig()?.config.services.get(service)?.maxConnections ?? Infinity;
    return Math.max(1, Math.floor(max * getFleetShare()));
  }, ReadPacer.createReadPacer(clock));
  const poolCheck = setInterval(() => pool.closeRemoved(servers.listAll()), POOL_CHECK_MS);
  const admissionGate = AdmissionGate.createAdmissionGate({
    clock,
    getActiveConfig,
    getPhase: () => phase,
    metrics,
    random: Math.random,
    settings: settings.overload,
  });
  countWaiting = admissionGate.countWaiting;
  const context: PathContext.PathContext = {
    ...createRetryBudgets(settings, getFleetShare),
    admissionGate,
    answers: settings.answers,
    answeredLogLimiter: LogRateLimiter.createLogRateLimiter(clock, ANSWERED_LINES_PER_S),
    areKeysCurrent: feeds.areKeysCurrent,
    cache: Scheduling.createCacheIndex(),
    clock,
    computeStopWait: () => stopDeadlineMs - clock.readMonotonic(),
    coldLimits: ColdLimits.createColdLimits({ getShare: getFleetShare, random: Math.random }),
    countDaemons,
    crashReports,
    countDemand: (service, tokens) => usageCounter.addDemand(service, tokens, trueTime.read()),
    countStartedRequest: (account) => usageCounter.addStart(account, trueTime.read()),
    dataCentre: settings.dataCentre,
    engineRates: EngineRates.createEngineRates(),
    failedLogLimiter: LogRateLimiter.createLogRateLimiter(clock, FAILED_LINES_PER_S),
    fleetLoad: FleetLoad.createFleetLoad({ clock, gauges, outcomes }),
    getActiveConfig,
    getKeyProofAge: feeds.getKeyProofAge,
    getPhase: () => phase,
    handleDefect,
    health: ServerHealth.createServerHealth(clock, (service, { reason, serverId }) => {
      logger.info({ reason, server: serverId, service }, 'health of a server changed');
    }),
    bufferBudget: ByteBudget.createByteBudget(settings.answers.maxHeldBytes),
    logger,
    metrics,
    names,
    availability: ServerAvailability.createServerAvailability(),
    outcomes,
    pool,
    random: Math.random,
    renewKeys: feeds.renewKeys,
    requestLimits,
    servers,
    streamVersions: StreamVersions.createStreamVersions(
      baseVersions,
      streamRecords,
      {
        hadOnlyVersion: servers.hadOnlyVersion,
        isVerifiedSince: feeds.areServersVerifiedSince,
        renew: feeds.renewServers,
      },
    ),
  };

  /** Creates the guard of a listener, which counts and logs the clients that it ends. */
  const createGuardSettings = (
    listener: string,
    limits: Core.GuardLimits,
  ): HttpListeners.GuardSettings => ({
    clock,
    limits,
    onEnd: (reason, { bytes, connections }) => {
      metrics.addEndedClient(listener, reason);
      const suppressed = context.failedLogLimiter.take();
      if (suppressed === undefined) return;
      logger.warn({
        connections, heldBytes: bytes, listener, reason, suppressed,
      }, 'misbehaving client ended');
    },
    onError: (error) => handleDefect(error),
  });
  entry = await HttpListeners.startIngressListener(settings.listen.entry, (request, response) => {
    try {
      const routed = new RoutedRequest.RoutedRequest(context, request, response, () => {
        activeRequests.delete(routed);
      });
      activeRequests.add(routed);
      routed.start();
    } catch (error) {
      // Its head could not be read, so the request has no id.
      handleDefect(error, '');
      response.destroy();
    }
  }, createGuardSettings('entry', ListenerLimits.computeIngressLimits(settings)));
  const limits = getActiveConfig()?.config.limits;
  if (limits !== undefined) {
    entry.setLimits(limits, ListenerLimits.computeIngressLimits(settings, limits.maxBodyBytes));
  }
  const statusLimits = ListenerLimits.computeStatusLimits(settings);
  const isReady = (): boolean => phase === 'running' && feeds.isComplete();
  const readiness = await HttpListeners.startStatusListener(
    settings.listen.readiness,
    async () => (isReady() ? { status: 200, text: 'ready' } : { status: 503, text: 'not ready' }),
    createGuardSettings('readiness', statusLimits),
  );
  const counts = CountsHandOver.createCountsHandOver({
    choice: relayChoice,
    client: relayClient,
    computeCurrentWindow: () => UsageCounts.computeWindow(trueTime.read(), windowMs),
    countsLog,
    logger,
  });
  const relayListener = settings.listen.peers === undefined
    ? undefined
    : await RelayCalls.startRelayListener(settings.listen.peers, {
      readCopy: feeds.readCopy,
      receiveCounts: counts.receiveCounts,
      receiveObservations: outcomes.receiveObservations,
    }, createGuardSettings('peers', ListenerLimits.computePeerLimits(settings)));
  const metricsListener = settings.listen.metrics === undefined
    ? undefined
    : await HttpListeners.startStatusListener(
      settings.listen.metrics,
      async () => ({ status: 200, text: await metrics.render() }),
      createGuardSettings('metrics', statusLimits),
    );
  duties = DutyRunner.startDuties({
    usageCounter,
    calls,
    clock,
    cores: settings.vm.cpuShare * settings.vm.cores,
    sendInterimCounts: counts.sendInterimCounts,
    countsLog,
    daemonId: settings.daemonId,
    dataCentre: settings.dataCentre,
    dutyLog,
    handOver: counts.handOver,
    leaseMs: settings.bounds.leaseMs,
    listServers: () => servers.listAll(),
    listServices: () => [...getActiveConfig()?.config.services.values() ?? []],
    logger: Core.getPartLogger(log.logger, 'duties'),
    onOrderAnswered: metrics.addOrder,
    onRelaysChanged: relayChoice.setRelays,
    peerAddress: settings.listen.peers,
    random: Math.random,
    region,
    regionDataCentres,
    trueTime,
    usageDueMs: settings.bounds.usageDueS * MS_PER_S,
    usageErrorShare: settings.bounds.usageErrorShare,
    windowMs,
  });
  logger.info({ dataCentre: settings.dataCentre, listen: settings.listen }, 'started');

  let stopping: Promise<void> | undefined;
  const stop = async (): Promise<void> => {
    phase = 'draining';
    logger.info({ activeRequests: activeRequests.size }, 'stopping');
    admissionGate.refuseWaiting();
    const listener = entry;
    const limitMs = settings.bounds.graceS * MS_PER_S - EXIT_MARGIN_MS;
    stopDeadlineMs = clock.readMonotonic() + limitMs;
    const answerTimer = setTimeout(
      () => activeRequests.forEach((request) => request.stop()),
      limitMs - StopPolicy.ANSWER_MARGIN_MS,
    );
    const { resign, stop: stopDuties } = duties;
    const resigned = resign();
    await listener.stop(() => {
      phase = 'refusing';
    }, limitMs);
    clearTimeout(answerTimer);
    await resigned;
    await stopDuties();
    feeds.stop();
    crashReports.stop();
    baseVersions?.stop();
    streamRecords.stop();
    outcomes.stop();
    clearInterval(poolCheck);
    pool.close();
    readiness.close();
    unregister();
    relayListener?.close();
    metricsListener?.close();
    logger.info({ activeRequests: activeRequests.size }, 'stopped');
    log.flush();
  };
  return {
    stop: () => {
      stopping ??= stop();
      return stopping;
    },
  };
}
