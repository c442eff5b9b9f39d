/**
 * Part: joins the fleet. It opens the peer interface, runs the heartbeats, decides whether keyed
 * requests are accepted, appends snapshots of the configuration, and carries the usage counters
 * that are not in the log yet.
 */
import * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Membership from '@berylyoke/membership';
import * as Effect from 'effect/Effect';
import type * as DaemonContext from './DaemonContext.js';
import type * as DaemonPorts from './DaemonPorts.js';
import * as Refusal from './Refusal.js';

/** When a caller that met an isolated daemon should come back, in milliseconds. */
const ISOLATED_RETRY_MS = 1_000;
/** Time between two attempts to open the peer interface, in milliseconds. */
const OPEN_RETRY_MS = 1_000;

/** Refuses keyed requests while a withdrawal may have been missed. */
function createKeyGuard(store: Config.ConfigStore): DaemonPorts.KeyGuardPort {
  const refusal = Refusal.createRefusal(
    'isolated',
    'this daemon cannot tell whether the key is still valid',
    ISOLATED_RETRY_MS,
  );
  return {
    check: () => (store.checkIsolation()._tag === 'Connected' ? undefined : refusal),
  };
}

/**
 * Tells whether this daemon appends snapshots: the first relay of the first data centre of its
 * region. Snapshots of two writers at once agree, so this need not be exclusive.
 */
function isSnapshotWriter({ dataCentres, relays, self }: Membership.FleetView): boolean {
  const [first] = dataCentres;
  return first?.scope === self.dataCentre && relays[0] === self.daemonId;
}

function runSnapshot(context: DaemonContext.DaemonContext, view: Membership.FleetView): void {
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
  // A lost append is made good by the next one.
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
  let closed = false;
  let undoOpened: Core.Cleanup = () => undefined;

  const join = (server: Membership.PeerServer, address: string): void => {
    const joined = Membership.createMembership({
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
    const undoUsage = joined.registerPayload('usage', {
      build: () => context.ports.get('counters').buildHeartbeat(),
      onLost: (source) => context.ports.get('counters').applyLostPeer(source),
      onReport: (source, bytes) => context.ports.get('counters').applyHeartbeat(source, bytes),
    });
    membership = joined;
    const timer = setInterval(() => {
      joined.runHeartbeat();
      runSnapshot(context, joined.getView());
    }, settings.timing.heartbeatMs);
    joined.runHeartbeat();
    undoOpened = Core.mergeCleanups(
      () => {
        server.close().catch(() => undefined);
      },
      joined.close,
      () => clearInterval(timer),
      undoUsage,
      config.registerTailRule(joined.isTailNeeded),
    );
  };

  const open = async (): Promise<void> => {
    const server = await Membership.startPeerServer(settings.peer, (link) => {
      if (membership !== undefined) return membership.acceptStream(link);
      link.close();
      return { onClose: () => undefined, onMessage: () => undefined };
    });
    if (closed) await server.close();
    else join(server, settings.peerAddress ?? server.address);
  };
  const openWithRetries = (): void => {
    if (closed) return;
    open().catch((error: unknown) => {
      logger.warn({ reason: (error as NodeJS.ErrnoException).code }, 'peer interface is not open');
      setTimeout(openWithRetries, OPEN_RETRY_MS).unref();
    });
  };
  openWithRetries();

  return Core.mergeCleanups(
    () => {
      closed = true;
      undoOpened();
    },
    context.ports.register('keyGuard', createKeyGuard(store)),
    context.ports.register('incarnations', {
      isEnded: (source) => membership?.isReplaced(source) ?? false,
    }),
    context.registerReadiness('membership', () => (
      membership === undefined ? 'the peer interface is not open' : undefined
    )),
    context.registerStatus('membership', () => (
      membership === undefined
        ? undefined
        : buildStatus(membership, store, context.clock.readMonotonic())
    )),
    context.registerDrain('membership', async () => membership?.announceLeaving()),
  );
}
