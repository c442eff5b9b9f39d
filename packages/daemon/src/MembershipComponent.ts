/**
 * Component that joins the fleet. It opens the peer interface, runs the heartbeats, decides whether
 * keyed requests are accepted, and appends snapshots of the configuration to the log. Its
 * heartbeats carry the usage counters that are not in the log yet.
 */
import * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Membership from '@berylyoke/membership';
import * as Effect from 'effect/Effect';
import type * as DaemonContext from './DaemonContext.js';
import type * as DaemonPorts from './DaemonPorts.js';
import * as Refusal from './Refusal.js';

/** Retry-After of requests refused by an isolated daemon, in milliseconds. */
const ISOLATED_RETRY_AFTER_MS = 1_000;
/** Delay after a failed attempt to open the peer interface, in milliseconds. */
const OPEN_RETRY_DELAY_MS = 1_000;

/** Creates a guard that refuses keyed requests while a key withdrawal may have been missed. */
function createKeyGuard(store: Config.ConfigStore): DaemonPorts.KeyGuardPort {
  const refusal = Refusal.createRefusal(
    'isolated',
    'this daemon cannot tell whether the key is still valid',
    ISOLATED_RETRY_AFTER_MS,
  );
  return {
    check: () => (store.checkIsolation()._tag === 'Connected' ? undefined : refusal),
  };
}

/**
 * Checks whether this daemon appends snapshots: it does as the first relay of the first data centre
 * of its region. Concurrent writers append equal snapshots, so exclusivity is not needed.
 */
function isSnapshotWriter({ dataCentres, relays, self }: Membership.FleetView): boolean {
  const [firstDataCentre] = dataCentres;
  return firstDataCentre?.scope === self.dataCentre && relays[0] === self.daemonId;
}

function appendSnapshotIfDue(
  context: DaemonContext.DaemonContext,
  view: Membership.FleetView,
): void {
  const {
    config: { store }, log, settings, writer,
  } = context;
  const isDue = !Config.isInGap(store.getReader()) && Config.isSnapshotDue(
    store.getState(),
    store.getLastSnapshot(),
    context.clock.readMonotonic(),
    settings.timing.snapshotMs,
  );
  if (!isDue || !isSnapshotWriter(view)) return;
  const body = Config.buildSnapshot(store.getState());
  const record = Log.createRecord(writer, Config.CONFIG_KINDS.snapshot, body);
  // A failed append needs no retry: the next snapshot replaces it.
  Effect.runFork(Effect.ignore(log.append(Log.STREAMS.config, record)));
}

function buildStatus(
  membership: Membership.Membership,
  store: Config.ConfigStore,
  nowMs: Core.Millis,
): unknown {
  const view = membership.getView();
  const contact = store.getContact();
  return {
    ...membership.getCounts(),
    dataCentres: view.dataCentres.map(({ live, scope }) => ({ live, name: scope })),
    keys: store.checkIsolation()._tag === 'Connected' ? 'accepted' : 'refused',
    logContactAgeMs: contact === undefined ? undefined : Math.round(nowMs - contact.contactMs),
    members: view.localMembers.map(({ daemonId, incarnation, status }) => ({
      daemonId, incarnation, status: Membership.STATUS_NAMES[status],
    })),
    readsLog: membership.isTailNeeded(),
    regions: view.regions.map(({ live, scope }) => ({ live, name: scope })),
    relays: view.relays,
  };
}

/** Opens the peer interface and joins the fleet. */
export function registerMembershipComponent(context: DaemonContext.DaemonContext): Core.Cleanup {
  const {
    config, servers, settings, writer,
  } = context;
  const { store } = config;
  const logger = Core.getPartLogger(context.logger, 'membership');
  let membership: Membership.Membership | undefined;
  let isClosed = false;
  let closeMembership: Core.Cleanup = () => undefined;

  const join = (server: Membership.PeerServer, address: string): void => {
    const newMembership = Membership.createMembership({
      clock: context.clock,
      getSeeds: () => [
        ...servers.directory.getSnapshot().entries,
        ...settings.peers.map((peer) => ({ address: peer, dataCentre: undefined })),
      ].filter((seed) => seed.address !== address),
      logger,
      self: {
        ...writer, address, dataCentre: settings.dataCentre, region: settings.region,
      },
      store,
      timing: settings.timing,
      transport: Membership.createConnectTransport(),
    });
    const unregisterUsage = newMembership.registerPayload('usage', {
      build: () => context.ports.get('counters').buildHeartbeat(),
      onLost: (source) => context.ports.get('counters').applyLostPeer(source),
      onReport: (source, bytes) => context.ports.get('counters').applyHeartbeat(source, bytes),
    });
    membership = newMembership;
    const timer = setInterval(() => {
      newMembership.runHeartbeat();
      appendSnapshotIfDue(context, newMembership.getView());
    }, settings.timing.heartbeatMs);
    newMembership.runHeartbeat();
    closeMembership = Core.mergeCleanups(
      () => {
        server.close().catch(() => undefined);
      },
      newMembership.close,
      () => clearInterval(timer),
      unregisterUsage,
      config.registerTailCondition(newMembership.isTailNeeded),
    );
  };

  const openPeerServer = async (): Promise<void> => {
    const server = await Membership.startPeerServer(settings.peer, (link) => {
      if (membership !== undefined) return membership.acceptStream(link);
      link.close();
      return { onClose: () => undefined, onMessage: () => undefined };
    });
    if (isClosed) await server.close();
    else join(server, settings.peerAddress ?? server.address);
  };
  const openPeerServerWithRetries = (): void => {
    if (isClosed) return;
    openPeerServer().catch((error: unknown) => {
      logger.warn({ reason: (error as NodeJS.ErrnoException).code }, 'peer interface is not open');
      setTimeout(openPeerServerWithRetries, OPEN_RETRY_DELAY_MS).unref();
    });
  };
  openPeerServerWithRetries();

  return Core.mergeCleanups(
    () => {
      isClosed = true;
      closeMembership();
    },
    context.ports.register('keyGuard', createKeyGuard(store)),
    context.ports.register('incarnations', {
      isEnded: (source) => membership?.isReplaced(source) ?? false,
    }),
    context.registerReadinessCheck('membership', () => (
      membership === undefined ? 'the peer interface is not open' : undefined
    )),
    context.registerStatusSection('membership', () => (
      membership === undefined
        ? undefined
        : buildStatus(membership, store, context.clock.readMonotonic())
    )),
    context.registerDrainHook('membership', async () => membership?.announceLeaving()),
  );
}
