/**
 * The routing daemon: follows configuration and server entries, serves callers, takes part in the
 * duties, and stops gracefully.
 */
import * as Core from '@berylyoke/core';
import * as Scheduling from '@berylyoke/scheduling';
import * as CountsHandOver from './CountsHandOver.js';
import * as DutyHolder from './DutyHolder.js';
import * as EntryListener from './EntryListener.js';
import * as FeedCopy from './FeedCopy.js';
import * as FeedLoop from './FeedLoop.js';
import type * as HeaderRules from './HeaderRules.js';
import * as KeyProof from './KeyProof.js';
import * as LineBudget from './LineBudget.js';
import * as OrderPlan from './OrderPlan.js';
import type * as PathContext from './PathContext.js';
import type * as Ports from './Ports.js';
import * as RelayCalls from './RelayCalls.js';
import * as RelayChoice from './RelayChoice.js';
import * as RouteTable from './RouteTable.js';
import * as RoutedRequest from './RoutedRequest.js';
import type * as RoutingConfig from './RoutingConfig.js';
import * as RoutingMetrics from './RoutingMetrics.js';
import type * as RoutingSettings from './RoutingSettings.js';
import * as ServerHealth from './ServerHealth.js';
import * as ServerPool from './ServerPool.js';
import * as ServerTable from './ServerTable.js';
import * as TrueTime from './TrueTime.js';
import * as UsageCounts from './UsageCounts.js';

/**
 * Time for which the store holds a read of the configuration, as a share of the bound on withdrawn
 * keys: a proof is at most a wait old, and a second wait and a failed read must fit in besides.
 */
const CONFIG_WAIT_SHARE = 0.38;

/**
 * Pause between reads of the server entries, as a share of the bound on leaving servers. Entries
 * change many times a second, so a read that waits for a change would return at once.
 */
const SERVERS_PAUSE_SHARE = 0.4;

/** The same for a daemon that reads for others, whose reads come on top. */
const RELAY_PAUSE_SHARE = 0.25;

/** Pause between reads of a relay's copy, as a share of the bound on leaving servers. */
const RELAYED_PAUSE_SHARE = 0.2;

/** Age of a copy of the server entries up to which it is used, as a share of the same bound. */
const MAX_COPY_AGE_SHARE = 0.5;

/** Time that the newest proof of a relay's configuration may be older than the store's hold. */
const RELAY_SLACK_MS = 600;

/** Pause after a failed read of the configuration, whose proof of keys decides about serving. */
const CONFIG_RETRY_MS = 400;

/** Pause after a failed read of the entries; those that lapsed in an outage are kept for 2 s. */
const SERVERS_RETRY_MS = 800;

/** Part of the bound on withdrawn keys that is kept for requests on their way. */
const KEY_MARGIN_MS = 500;

/** Time that a request waits for a proof that its key is current. */
const KEY_RENEWAL_MS = 300;

/** Part of a bound over all daemons that they share out, because the count of daemons lags. */
const SHARED_BOUND_SHARE = 0.7;

/** Part of the time before SIGKILL that is kept for the end of the process. */
const EXIT_MARGIN_MS = 900;

/** Lines a second about requests that were answered; the rest is summed up. */
const ANSWERED_LINES_PER_S = 30;

/** Lines a second about attempts and requests that failed. */
const FAILED_LINES_PER_S = 100;

const POOL_CHECK_MS = 2_000;
const MS_PER_S = 1_000;

/** What a daemon needs from its adapter. */
export interface DaemonOptions {
  readonly settings: RoutingSettings.RoutingSettings;
  readonly names: HeaderRules.HeaderNames;
  readonly clock: Core.Clock;
  readonly log: Core.BufferedLogger;
  readonly configFeed: Ports.KeyedFeed;
  readonly decodeConfig: (key: string, raw: Buffer) => RoutingConfig.RoutingConfig | undefined;
  readonly serverFeed: Ports.KeyedFeed;
  readonly decodeServer: (key: string, raw: Buffer) => ServerTable.BackendServer | undefined;
  readonly dutyLog: Ports.SharedLog;
  readonly countsLog: Ports.SharedLog;
  readonly calls: Ports.DutyCalls;
}

/** A running daemon. */
export interface RoutingDaemon {
  /** Stops gracefully: every answer in progress is finished within the grace time. */
  readonly stop: () => Promise<void>;
}

/** Budget of repeats at each service; this daemon's part of what all may make together. */
function createRepeatBudgets(
  settings: RoutingSettings.RoutingSettings,
  countDaemons: () => number,
): Pick<PathContext.PathContext, 'claimRepeat' | 'countRequest'> {
  const budgets = new Map<string, Scheduling.RetryBudget>();
  const { share, slack } = settings.repeats;
  const getBudget = (service: string): Scheduling.RetryBudget => {
    const maxCredit = (slack * SHARED_BOUND_SHARE) / countDaemons();
    const known = budgets.get(service);
    if (known !== undefined) {
      return { ...known, credit: Math.min(known.credit, maxCredit), maxCredit };
    }
    return Scheduling.createRetryBudget(share * SHARED_BOUND_SHARE, maxCredit, maxCredit);
  };
  return {
    claimRepeat: (service) => Scheduling.claimRetry(getBudget(service)).caseOf({
      Left: () => false,
      Right: ({ budget }) => {
        budgets.set(service, budget);
        return true;
      },
    }),
    countRequest: (service) => {
      budgets.set(service, Scheduling.addRequest(getBudget(service)));
    },
  };
}

/** Starts a daemon; resolves when it listens. */
export async function startRoutingDaemon(options: DaemonOptions): Promise<RoutingDaemon> {
  const {
    calls, clock, configFeed, countsLog, decodeConfig, decodeServer, dutyLog, log, names,
    serverFeed, settings,
  } = options;
  const logger = Core.getPartLogger(log.logger, 'routing');
  const readClocks = (): KeyProof.ClockReading => KeyProof.readClocks(clock);
  const trueTime = TrueTime.createTrueTime(readClocks);
  const servers = ServerTable.createServerTable();
  const windowMs = settings.bounds.usageWindowS * MS_PER_S;
  const book = UsageCounts.createUsageBook(windowMs);
  let active: PathContext.ActiveConfig | undefined;
  let hasServers = false;
  let keyProof: KeyProof.ClockReading | undefined;
  let phase: PathContext.Phase = 'running';
  let activeRequests = 0;
  let entry: EntryListener.EntryListener | undefined;
  let duties: DutyHolder.DutyHolder | undefined;

  const metrics = RoutingMetrics.createRoutingMetrics({
    countActive: () => activeRequests, countDroppedLogs: log.countDropped,
  });
  const countDaemons = (): number => (
    Math.max(1, duties?.countDaemons() ?? DutyHolder.INITIAL_DAEMON_COUNT)
  );
  const areKeysCurrent = (): boolean => KeyProof.isProofValid(
    keyProof,
    readClocks(),
    settings.bounds.keyWithdrawalMs - KEY_MARGIN_MS,
  );

  const applyConfig = (
    changes: readonly FeedCopy.DecodedChange<RoutingConfig.RoutingConfig>[],
  ): void => {
    changes.forEach(({ value }) => {
      if (value === undefined || (active !== undefined && value.version <= active.config.version)) {
        return;
      }
      active = { config: value, routes: RouteTable.buildRouteTable(value.routes) };
      entry?.setLimits(value.limits);
      logger.info({
        accounts: value.accountsByKeyDigest?.size,
        routes: value.routes.length,
        version: value.version,
      }, 'configuration in force');
    });
  };
  const reportContact = (dependency: string): {
    readonly onContact: () => void;
    readonly onFailure: (error: Ports.StoreUnavailable) => void;
  } => {
    let isLost = false;
    return {
      onContact: () => {
        if (isLost) logger.info({ dependency }, 'dependency regained');
        isLost = false;
        metrics.addDependency(dependency, 'ok');
      },
      onFailure: (error) => {
        if (!isLost) logger.warn({ dependency, detail: error.message }, 'dependency lost');
        isLost = true;
        metrics.addDependency(dependency, 'failed');
      },
    };
  };
  const copies = {
    configuration: FeedCopy.createFeedCopy<RoutingConfig.RoutingConfig>(),
    servers: FeedCopy.createFeedCopy<ServerTable.BackendServer>(),
  };
  const relayChoice = RelayChoice.createRelayChoice(clock, {
    address: settings.listen.peers,
    daemonId: settings.daemonId,
    dataCentre: settings.dataCentre,
  });
  const relayClient = RelayCalls.createRelayClient();
  const createRelaySource = (
    feed: keyof typeof copies,
    pauseMs: Core.Millis,
    maxAgeMs: Core.Millis,
  ): FeedLoop.RelaySource => ({
    pauseMs,
    read: (from) => RelayChoice.readFromRelay({
      choice: relayChoice, feed, from, logger, maxAgeMs, read: relayClient.read,
    }),
  });
  const configWaitMs = Math.round(settings.bounds.keyWithdrawalMs * CONFIG_WAIT_SHARE);
  const configContact = reportContact('configuration');
  const configLoop = FeedLoop.startFeed({
    copy: copies.configuration,
    decode: decodeConfig,
    feed: configFeed,
    getPauseMs: () => 0,
    onChanges: applyConfig,
    onContact: (provenAt) => {
      keyProof = provenAt;
      configContact.onContact();
    },
    onFailure: configContact.onFailure,
    onSnapshot: applyConfig,
    readClocks,
    relay: createRelaySource(
      'configuration',
      settings.bounds.drainMs * RELAYED_PAUSE_SHARE,
      configWaitMs + RELAY_SLACK_MS,
    ),
    retryMs: CONFIG_RETRY_MS,
    waitMs: configWaitMs,
  });
  const serverContact = reportContact('servers');
  const logEntry = (id: string, server: ServerTable.BackendServer | undefined): void => {
    logger.debug({ id, service: server?.service, state: server?.state ?? 'gone' }, 'server entry');
  };
  const serverLoop = FeedLoop.startFeed({
    copy: copies.servers,
    decode: decodeServer,
    feed: serverFeed,
    getPauseMs: () => settings.bounds.drainMs * (
      relayChoice.isRelay() ? RELAY_PAUSE_SHARE : SERVERS_PAUSE_SHARE
    ),
    onChanges: (changes) => changes.forEach(({ key, value }) => {
      logEntry(key, value);
      servers.applyEntry(key, value, clock.readMonotonic());
    }),
    onContact: (_, contactMs) => {
      hasServers = true;
      servers.observeContact(contactMs);
      serverContact.onContact();
    },
    onFailure: (error) => {
      servers.observeFailure();
      serverContact.onFailure(error);
    },
    onRelayFailure: servers.observeFailure,
    onSnapshot: (changes) => servers.applySnapshot(
      changes.flatMap(({ value }) => (value === undefined ? [] : [value])),
      clock.readMonotonic(),
    ),
    readClocks,
    relay: createRelaySource(
      'servers',
      settings.bounds.drainMs * RELAYED_PAUSE_SHARE,
      settings.bounds.drainMs * MAX_COPY_AGE_SHARE,
    ),
    retryMs: SERVERS_RETRY_MS,
    waitMs: 0,
  });
  const renewKeys = async (): Promise<boolean> => {
    const limit = new Promise<void>((resolve) => {
      setTimeout(resolve, KEY_RENEWAL_MS);
    });
    await Promise.race([configLoop.refresh(), limit]);
    return areKeysCurrent();
  };

  const pool = ServerPool.createServerPool((service) => {
    const max = active?.config.services.get(service)?.maxConnections ?? Infinity;
    return Math.max(1, Math.floor((max * SHARED_BOUND_SHARE) / countDaemons()));
  });
  const poolCheck = setInterval(() => pool.closeUnlisted(servers.listAll()), POOL_CHECK_MS);
  const context: PathContext.PathContext = {
    ...createRepeatBudgets(settings, countDaemons),
    answeredLines: LineBudget.createLineBudget(clock, ANSWERED_LINES_PER_S),
    areKeysCurrent,
    cache: Scheduling.createCacheIndex(),
    clock,
    countDaemons,
    countDemand: (service, tokens) => book.addDemand(service, tokens, trueTime.read()),
    countStart: (account) => book.addStart(account, trueTime.read()),
    dataCentre: settings.dataCentre,
    failedLines: LineBudget.createLineBudget(clock, FAILED_LINES_PER_S),
    getActiveConfig: () => active,
    getKeyProofAge: () => (
      keyProof === undefined ? undefined : clock.readMonotonic() - keyProof.monotonicMs
    ),
    getPhase: () => phase,
    health: ServerHealth.createServerHealth(clock, (service, { reason, serverId }) => {
      logger.info({ reason, server: serverId, service }, 'health of a server changed');
    }),
    logger,
    metrics,
    names,
    pool,
    random: Math.random,
    renewKeys,
    servers,
  };

  entry = await EntryListener.startEntryListener(settings.listen.entry, (request, response) => {
    activeRequests += 1;
    new RoutedRequest.RoutedRequest(context, request, response, () => {
      activeRequests -= 1;
    }).start();
  });
  if (active !== undefined) entry.setLimits((active).config.limits);
  const isReady = (): boolean => (
    phase === 'running' && active !== undefined && hasServers && areKeysCurrent()
  );
  const readiness = await EntryListener.startStatusListener(
    settings.listen.readiness,
    async () => (isReady() ? { status: 200, text: 'ready' } : { status: 503, text: 'not ready' }),
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
      readCopy: (feed, from) => (
        feed in copies ? copies[feed as keyof typeof copies].read(from, readClocks()) : undefined
      ),
      takeCounts: counts.takeCounts,
    });
  const metricsListener = settings.listen.metrics === undefined
    ? undefined
    : await EntryListener.startStatusListener(
      settings.listen.metrics,
      async () => ({ status: 200, text: await metrics.render() }),
    );
  duties = DutyHolder.startDuties({
    book,
    calls,
    clock,
    cores: settings.vm.cpuShare * settings.vm.cores,
    copyCounts: counts.copyCounts,
    countsLog,
    daemonId: settings.daemonId,
    dataCentre: settings.dataCentre,
    dutyLog,
    handOver: counts.handOver,
    leaseMs: settings.bounds.leaseMs,
    listWantedOrders: (getTokensPerSecond) => (
      [...active?.config.services.values() ?? []].flatMap((service) => OrderPlan.planOrders({
        servers: servers.listAll(),
        service,
        tokensPerSecond: getTokensPerSecond(service.name),
      }))
    ),
    logger: Core.getPartLogger(log.logger, 'duties'),
    onRelays: relayChoice.setRoster,
    peerAddress: settings.listen.peers,
    random: Math.random,
    trueTime,
    usageDueMs: settings.bounds.usageDueS * MS_PER_S,
    usageErrorShare: settings.bounds.usageErrorShare,
    windowMs,
  });
  logger.info({ dataCentre: settings.dataCentre, listen: settings.listen }, 'started');

  let stopping: Promise<void> | undefined;
  const stop = async (): Promise<void> => {
    phase = 'draining';
    logger.info({ activeRequests }, 'stopping');
    const listener = entry;
    const { resign, stop: stopDuties } = duties;
    const resigned = resign();
    await listener.stop(() => {
      phase = 'refusing';
    }, settings.bounds.graceS * MS_PER_S - EXIT_MARGIN_MS);
    await resigned;
    await stopDuties();
    configLoop.stop();
    serverLoop.stop();
    clearInterval(poolCheck);
    pool.close();
    readiness.close();
    relayListener?.close();
    metricsListener?.close();
    logger.info({ activeRequests }, 'stopped');
    log.flush();
  };
  return {
    stop: () => {
      stopping ??= stop();
      return stopping;
    },
  };
}
