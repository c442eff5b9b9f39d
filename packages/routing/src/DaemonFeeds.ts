/**
 * Feeds that a daemon follows to serve requests: the configuration, which includes the list of
 * keys, the server entries, and the reports of requests that crash servers. The daemon reads
 * them from a relay if there is a usable one, else from the store, and keeps a copy of each that
 * other daemons can read.
 */
import type * as Core from '@berylyoke/core';
import * as BaseVersions from './BaseVersions.js';
import * as ClockReading from './ClockReading.js';
import * as CrashReports from './CrashReports.js';
import type * as CrashSuspects from './CrashSuspects.js';
import * as FeedCopy from './FeedCopy.js';
import * as FeedLoop from './FeedLoop.js';
import * as LogPosition from './LogPosition.js';
import type * as PathContext from './PathContext.js';
import type * as Ports from './Ports.js';
import type * as RelayCalls from './RelayCalls.js';
import * as RelayChoice from './RelayChoice.js';
import * as RouteTable from './RouteTable.js';
import type * as RoutingConfig from './RoutingConfig.js';
import type * as RoutingMetrics from './RoutingMetrics.js';
import type * as RoutingSettings from './RoutingSettings.js';
import * as ServerTable from './ServerTable.js';

/**
 * Timeout of a long poll of the configuration, as a share of the bound on withdrawn keys. The list
 * of keys was verified at most one poll ago; a second poll and a failed read must fit into the
 * bound as well.
 */
const CONFIG_WAIT_SHARE = 0.38;

/**
 * Pause between reads of the server entries from the store, as a share of the bound on leaving
 * servers. Entries change many times a second, so a long poll would return at once.
 */
const STORE_PAUSE_SHARE = 0.4;

/** The same for a relay. It is shorter because the pauses of the relay's readers are added. */
const RELAY_STORE_PAUSE_SHARE = 0.25;

/** Pause between reads of a feed from a relay, as a share of the bound on leaving servers. */
const READER_PAUSE_SHARE = 0.2;

/**
 * The same for a relay that reads from a root relay. It is shorter because the pauses of the
 * relay's readers are added.
 */
const RELAY_UPSTREAM_PAUSE_SHARE = 0.1;

/** Maximum age of a relay's copy of the server entries, as a share of the same bound. */
const MAX_COPY_AGE_SHARE = 0.5;

/** Time by which a relay's copy of the configuration may be older than one long poll. */
const RELAY_SLACK_MS = 600;

/**
 * Pause after a read of crash reports that brought changes. When a server ends, many daemons report
 * its requests within a second, and a long poll without a pause would return for each report.
 */
const CRASH_REPORTS_PAUSE_MS = 300;

/**
 * Delay after a failed read of the configuration. It is short because requests are served only
 * while the list of keys is known to be current.
 */
const CONFIG_RETRY_DELAY_MS = 400;

/** Delay after a failed read of the entries; entries that expire in an outage are kept for 2 s. */
const SERVERS_RETRY_DELAY_MS = 800;

/** Part of the bound on withdrawn keys that is reserved for requests in transit. */
const KEY_MARGIN_MS = 500;

/** Time that a request waits for a read that verifies the list of keys or of servers. */
const RENEWAL_TIMEOUT_MS = 300;

/** Feeds of the platform and the decoders of their values. */
export interface FeedSources {
  readonly configFeed: Ports.KeyedFeed;
  readonly crashReportFeed: Ports.WritableKeyedFeed;
  readonly decodeConfig: (key: string, raw: Buffer) => RoutingConfig.OperatorRecord | undefined;
  readonly serverFeed: Ports.KeyedFeed;
  readonly decodeServer: (key: string, raw: Buffer) => ServerTable.BackendServer | undefined;
}

/** Settings and dependencies of the feeds of a daemon. */
export interface FeedsContext extends FeedSources {
  readonly bounds: RoutingSettings.RoutingSettings['bounds'];
  readonly clock: Core.Clock;
  readonly logger: Core.Logger;
  readonly metrics: RoutingMetrics.RoutingMetrics;
  readonly readRelay: RelayCalls.RelayClient['read'];
  readonly relayChoice: RelayChoice.RelayChoice;
  /** Called with base versions of services. */
  readonly onBaseVersions: BaseVersions.BaseVersions['applyChanges'];
  /** Called with reports of traits of requests that crash servers. */
  readonly onCrashReports: CrashReports.CrashReports['applyChanges'];
  /** Called when the store returned from an older copy; what daemons wrote since is gone. */
  readonly onRestored: () => void;
  /** Called when a new version of the configuration takes effect. */
  readonly onConfig: (config: RoutingConfig.RoutingConfig) => void;
}

/** Record that daemons write for each other. */
type FleetRecord = { readonly _tag: 'BaseVersion'; readonly base: BaseVersions.BaseVersion }
  | { readonly _tag: 'CrashReport'; readonly report: CrashSuspects.TraitReport };

function decodeFleetRecord(key: string, raw: Buffer): FleetRecord | undefined {
  const base = BaseVersions.decodeBaseVersion(key, raw);
  if (base !== undefined) return { _tag: 'BaseVersion', base };
  const report = CrashReports.decodeCrashReport(raw);
  return report === undefined ? undefined : { _tag: 'CrashReport', report };
}

/** Feeds of a daemon. */
export interface DaemonFeeds extends Pick<
  PathContext.PathContext,
  'areKeysCurrent' | 'getActiveConfig' | 'getKeyProofAge' | 'renewKeys' | 'servers'
> {
  /**
   * Whether the configuration and the servers are known, the list of keys is current, and the crash
   * reports were read or could not be read.
   */
  readonly isComplete: () => boolean;
  /** Checks whether the base versions were read within `BaseVersions.MAX_BASE_AGE_MS`. */
  readonly areBasesCurrent: () => boolean;
  /** Returns the position up to which the feed of base versions and crash reports was read. */
  readonly getBasePosition: () => number | undefined;
  /** Checks whether a read that was sent at a time or later has verified the server entries. */
  readonly areServersVerifiedSince: (sinceMs: Core.Millis) => boolean;
  /** Tries to read the server entries anew. */
  readonly renewServers: () => Promise<void>;
  readonly readCopy: RelayCalls.RelayHandlers['readCopy'];
  readonly stop: () => void;
}

/** Creates handlers that log when contact with a dependency is lost or restored. */
function createContactHandlers(
  { logger, metrics }: FeedsContext,
  dependency: string,
): {
  readonly onContact: () => void;
  readonly onFailure: (error: Ports.StoreUnavailable) => void;
} {
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
}

/** Starts to follow the feeds. */
export function startDaemonFeeds(context: FeedsContext): DaemonFeeds {
  const {
    bounds, clock, configFeed, crashReportFeed, decodeConfig, decodeServer, logger,
    onBaseVersions, onCrashReports, readRelay, relayChoice, serverFeed,
  } = context;
  const readClocks = (): ClockReading.ClockReading => ClockReading.readClocks(clock);
  const servers = ServerTable.createServerTable();
  const copies = {
    configuration: FeedCopy.createFeedCopy<RoutingConfig.OperatorRecord>(),
    crashReports: FeedCopy.createFeedCopy<FleetRecord>(),
    servers: FeedCopy.createFeedCopy<ServerTable.BackendServer>(),
  };
  let active: PathContext.ActiveConfig | undefined;
  let hasServers = false;
  let keysVerifiedAt: ClockReading.ClockReading | undefined;

  const areKeysCurrent = (): boolean => ClockReading.isReadingFresh(
    keysVerifiedAt,
    readClocks(),
    bounds.keyWithdrawalMs - KEY_MARGIN_MS,
  );
  const applyConfig = (config: RoutingConfig.RoutingConfig): void => {
    if (active !== undefined && config.version <= active.config.version) return;
    active = { config, routes: RouteTable.buildRouteTable(config.routes) };
    context.onConfig(config);
    logger.info({
      accounts: config.accountsByKeyDigest?.size,
      routes: config.routes.length,
      version: config.version,
    }, 'configuration in force');
  };
  /** Evacuated data centres by the key of their record. */
  let evacuations: ReadonlyMap<string, string> = new Map();
  /** Whether the store returned from an older copy and lacks the configuration in force. */
  let isStoreBehind = false;
  /** Keys of evacuations that the store lacks since it returned from an older copy. */
  const unconfirmedEvacuations = new Set<string>();
  let confirmationTimer: NodeJS.Timeout | undefined;
  const setEvacuations = (next: ReadonlyMap<string, string>): void => {
    const dataCentres = [...new Set(next.values())].sort();
    const previous = [...new Set(evacuations.values())].sort();
    evacuations = next;
    servers.setEvacuated(new Set(dataCentres));
    if (dataCentres.join() !== previous.join()) {
      logger.info({ dataCentres, previous }, 'evacuated data centres changed');
    }
  };
  const applyOperatorRecords = (
    changes: readonly FeedCopy.DecodedChange<RoutingConfig.OperatorRecord>[],
    knownEvacuations: ReadonlyMap<string, string>,
  ): void => {
    const nextEvacuations = new Map(knownEvacuations);
    changes.forEach(({
      key, offset, raw, value,
    }) => {
      unconfirmedEvacuations.delete(key);
      if (raw !== undefined && value === undefined) {
        logger.warn({ key, offset }, 'operator record rejected as invalid');
      }
      if (value?._tag === 'Configuration') {
        isStoreBehind &&= value.config.version < (active?.config.version ?? -Infinity);
        applyConfig(value.config);
      } else if (value?._tag === 'Evacuation') nextEvacuations.set(key, value.dataCentre);
      else nextEvacuations.delete(key);
    });
    setEvacuations(nextEvacuations);
  };
  /** Keeps the known evacuations until the operator has had time to write them again. */
  const retainEvacuations = (): void => {
    unconfirmedEvacuations.clear();
    [...evacuations.keys()].forEach((key) => unconfirmedEvacuations.add(key));
    clearTimeout(confirmationTimer);
    confirmationTimer = setTimeout(() => {
      const confirmed = [...evacuations].filter(([key]) => !unconfirmedEvacuations.has(key));
      unconfirmedEvacuations.clear();
      setEvacuations(new Map(confirmed));
    }, ServerTable.RENEWAL_GRACE_MS);
  };
  const createUpstreamRelay = (
    feed: keyof typeof copies,
    maxAgeMs: Core.Millis,
    choice = relayChoice,
  ): FeedLoop.UpstreamRelay => ({
    getPauseMs: () => bounds.drainMs * (
      relayChoice.isRelay() ? RELAY_UPSTREAM_PAUSE_SHARE : READER_PAUSE_SHARE
    ),
    read: (from) => RelayChoice.readFromRelay({
      choice, feed, from, logger, maxAgeMs, read: readRelay,
    }),
  });

  const configWaitMs = Math.round(bounds.keyWithdrawalMs * CONFIG_WAIT_SHARE);
  const configMaxCopyAgeMs = configWaitMs + RELAY_SLACK_MS
    + bounds.drainMs * RELAY_UPSTREAM_PAUSE_SHARE;
  const configContact = createContactHandlers(context, 'configuration');
  const configLoop = FeedLoop.startFeedLoop({
    copy: copies.configuration,
    decode: decodeConfig,
    feed: configFeed,
    getPauseMs: () => 0,
    onChanges: (changes) => applyOperatorRecords(changes, evacuations),
    onApplied: (verifiedAt) => {
      // A store with an older version does not know which keys were withdrawn since.
      if (!isStoreBehind) keysVerifiedAt = verifiedAt;
    },
    onContact: configContact.onContact,
    onFailure: configContact.onFailure,
    onRestored: (previousNext, next) => {
      logger.warn({
        evacuations: evacuations.size,
        next: LogPosition.formatPosition(next),
        previousNext: LogPosition.formatPosition(previousNext),
        version: active?.config.version,
      }, 'configuration is read from an older copy');
      isStoreBehind = active !== undefined;
      retainEvacuations();
      context.onRestored();
    },
    onSnapshot: (changes) => applyOperatorRecords(changes, new Map(
      [...evacuations].filter(([key]) => unconfirmedEvacuations.has(key)),
    )),
    readClocks,
    relay: createUpstreamRelay('configuration', configMaxCopyAgeMs),
    retryMs: CONFIG_RETRY_DELAY_MS,
    waitMs: configWaitMs,
  });
  const serverContact = createContactHandlers(context, 'servers');
  const logEntry = (id: string, server: ServerTable.BackendServer | undefined): void => {
    logger.debug({ id, service: server?.service, state: server?.state ?? 'gone' }, 'server entry');
  };
  let serversVerifiedMs = -Infinity;
  const serverLoop = FeedLoop.startFeedLoop({
    copy: copies.servers,
    decode: decodeServer,
    feed: serverFeed,
    getPauseMs: () => bounds.drainMs * (
      relayChoice.isRelay() ? RELAY_STORE_PAUSE_SHARE : STORE_PAUSE_SHARE
    ),
    onApplied: ({ monotonicMs }) => {
      serversVerifiedMs = monotonicMs;
    },
    onChanges: (changes) => changes.forEach(({ key, raw, value }) => {
      logEntry(key, value);
      if (raw === undefined) servers.applyRemoval(key, clock.readMonotonic());
      else servers.applyEntry(key, value, clock.readMonotonic());
    }),
    onContact: (_, contactMs) => {
      hasServers = true;
      servers.observeRead(contactMs);
      serverContact.onContact();
    },
    onFailure: (error) => {
      servers.observeReadFailure();
      serverContact.onFailure(error);
    },
    onRelayFailure: servers.observeReadFailure,
    onSnapshot: (changes, isRestored) => {
      const apply = isRestored ? servers.applyRestored : servers.applySnapshot;
      apply(
        changes.flatMap(({ value }) => (value === undefined ? [] : [value])),
        clock.readMonotonic(),
      );
    },
    readClocks,
    relay: createUpstreamRelay('servers', bounds.drainMs * MAX_COPY_AGE_SHARE),
    retryMs: SERVERS_RETRY_DELAY_MS,
    waitMs: 0,
  });

  let hasTriedCrashReports = false;
  let basesVerifiedAt: ClockReading.ClockReading | undefined;
  const applyFleetRecords = (changes: readonly FeedCopy.DecodedChange<FleetRecord>[]): void => {
    onBaseVersions(changes.flatMap((change) => (
      change.value?._tag === 'BaseVersion' ? [{ ...change, value: change.value.base }] : []
    )));
    onCrashReports(changes.flatMap((change) => (
      change.value?._tag === 'CrashReport' ? [{ ...change, value: change.value.report }] : []
    )));
  };
  const crashContact = createContactHandlers(context, 'crash reports');
  const crashLoop = FeedLoop.startFeedLoop({
    copy: copies.crashReports,
    decode: decodeFleetRecord,
    feed: crashReportFeed,
    getPauseMs: (hasChanges) => (hasChanges ? CRASH_REPORTS_PAUSE_MS : 0),
    onApplied: (verifiedAt) => {
      basesVerifiedAt = verifiedAt;
    },
    onChanges: applyFleetRecords,
    onContact: () => {
      hasTriedCrashReports = true;
      crashContact.onContact();
    },
    onFailure: (error) => {
      hasTriedCrashReports = true;
      crashContact.onFailure(error);
    },
    onSnapshot: applyFleetRecords,
    readClocks,
    // A relay that lacks these reports can still be used for the other feeds.
    relay: createUpstreamRelay('crashReports', configMaxCopyAgeMs, {
      ...relayChoice, observeFailure: () => undefined,
    }),
    retryMs: SERVERS_RETRY_DELAY_MS,
    waitMs: configWaitMs,
  });

  const waitForRead = async (refresh: () => Promise<void>): Promise<void> => {
    const timeout = new Promise<void>((resolve) => {
      setTimeout(resolve, RENEWAL_TIMEOUT_MS);
    });
    await Promise.race([refresh(), timeout]);
  };

  return {
    areBasesCurrent: () => ClockReading.isReadingFresh(
      basesVerifiedAt,
      readClocks(),
      BaseVersions.MAX_BASE_AGE_MS,
    ),
    areKeysCurrent,
    areServersVerifiedSince: (sinceMs) => serversVerifiedMs >= sinceMs,
    getBasePosition: crashLoop.getPosition,
    getActiveConfig: () => active,
    getKeyProofAge: () => (
      keysVerifiedAt === undefined ? undefined : clock.readMonotonic() - keysVerifiedAt.monotonicMs
    ),
    isComplete: () => (
      active !== undefined && hasServers && hasTriedCrashReports && areKeysCurrent()
    ),
    readCopy: (feed, from) => (
      Object.hasOwn(copies, feed)
        ? copies[feed as keyof typeof copies].read(from, readClocks())
        : undefined
    ),
    renewKeys: async () => {
      await waitForRead(configLoop.refresh);
      return areKeysCurrent();
    },
    renewServers: () => waitForRead(serverLoop.refresh),
    servers,
    stop: () => {
      clearTimeout(confirmationTimer);
      configLoop.stop();
      crashLoop.stop();
      serverLoop.stop();
    },
  };
}
