/** A daemon as a whole: its context, its parts, its HTTP interfaces and its graceful shutdown. */
import type * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as Duties from '@berylyoke/duties';
import * as Log from '@berylyoke/log';
import * as Effect from 'effect/Effect';
import * as ActiveRequests from './ActiveRequests.js';
import * as ConfigComponent from './ConfigComponent.js';
import type * as DaemonContext from './DaemonContext.js';
import * as DefaultDispatch from './DefaultDispatch.js';
import * as DefaultRetryBudget from './DefaultRetryBudget.js';
import * as EntryServer from './EntryServer.js';
import * as Explanations from './Explanations.js';
import * as OperatorServer from './OperatorServer.js';
import * as Components from './Components.js';
import * as RequestMetrics from './RequestMetrics.js';
import * as DaemonPorts from './DaemonPorts.js';
import * as Refusal from './Refusal.js';
import * as ServersComponent from './ServersComponent.js';
import * as Tracing from './Tracing.js';

/** Requests whose explanation is kept. */
const EXPLAINED_REQUESTS = 10_000;
/** Time that answers to operators may take at the end, in milliseconds. */
const OPERATOR_CLOSE_MS = 1_000;
/** Time to come back to a call that needs a claim while no claims can be made, in milliseconds. */
const CLAIM_RETRY_MS = 2_000;

/** A running daemon. */
export interface Daemon {
  readonly entryUrl: string;
  readonly operatorUrl: string;
  /** Stops taking requests, waits for every answer and closes; resolves when all is closed. */
  readonly stop: () => Promise<void>;
}

interface Registry<T> {
  readonly register: (name: string, value: T) => Core.Cleanup;
  readonly list: () => readonly (readonly [string, T])[];
}

function createRegistry<T>(): Registry<T> {
  const values = new Map<string, T>();
  return {
    list: () => [...values.entries()],
    register: (name, value) => {
      Core.invariant(!values.has(name), `The name ${name} is registered twice.`);
      values.set(name, value);
      return () => {
        values.delete(name);
      };
    },
  };
}

function createDefaultPorts(servers: DaemonContext.ServerView): DaemonPorts.DaemonPorts {
  return {
    counters: {
      applyHeartbeat: () => undefined,
      applyLostPeer: () => undefined,
      buildHeartbeat: () => new Uint8Array(),
    },
    dispatch: DefaultDispatch.createDefaultDispatch(servers.getServers),
    duties: {
      getAuthority: () => undefined,
      listOpenOrders: () => [],
      registerListener: () => () => undefined,
      sendOrder: () => Effect.fail(new Duties.OrderError({ orderId: '', reason: 'not-holder' })),
    },
    incarnations: { isEnded: () => false },
    keyGuard: { check: () => undefined },
    once: {
      claim: async () => (
        Refusal.createRefusal('log_unavailable', 'claims cannot be made now', CLAIM_RETRY_MS)
      ),
    },
    reporting: { getAuthority: () => undefined },
    retry: DefaultRetryBudget.createDefaultRetryBudget(),
    usage: { record: () => undefined },
  };
}

/** Starts a daemon; it is ready once `/readyz` says so. */
export async function startDaemon(
  settings: Config.Settings,
  clock: Core.Clock = Core.systemClock,
): Promise<Daemon> {
  const writer = {
    daemonId: settings.daemonId, incarnation: Core.createIncarnation(clock),
  };
  const root = Core.createLogger(settings.logLevel, { daemon: settings.daemonId });
  const logger = Core.getPartLogger(root, 'daemon');
  const logPort = Log.createHttpLog(settings.platform.logUrl);
  const log = Log.createLogClient(logPort, writer, clock);
  const config = ConfigComponent.createConfigSource(logPort, clock, settings.timing.isolationMs);
  const servers = ServersComponent.createServerSource(
    settings.platform.vmListUrl,
    settings.timing.vmListMs,
    Core.getPartLogger(root, 'membership'),
    clock,
  );
  const readiness = createRegistry<DaemonContext.ReadinessCheck>();
  const status = createRegistry<DaemonContext.StatusSection>();
  const drains = createRegistry<() => Promise<void>>();
  const active = ActiveRequests.createActiveRequests();
  const metrics = RequestMetrics.createRequestMetrics(active.count);
  const tracing = await Tracing.createTracing(settings.trace.otlpUrl);
  let draining = false;

  const context: DaemonContext.DaemonContext = {
    active,
    buildStatus: () => ({
      daemonId: settings.daemonId,
      dataCentre: settings.dataCentre,
      draining,
      incarnation: writer.incarnation,
      missing: context.listReadiness(),
      requests: active.count(),
      ...Object.fromEntries(status.list().map(([name, section]) => [name, section()])),
    }),
    clock,
    config,
    explanations: Explanations.createExplanations(EXPLAINED_REQUESTS),
    isDraining: () => draining,
    listReadiness: () => [
      ...draining ? ['the daemon is draining'] : [],
      ...readiness.list().flatMap(([, check]) => check() ?? []),
    ],
    log,
    logger: root,
    metrics,
    ports: DaemonPorts.createPortRegistry(createDefaultPorts(servers)),
    registerDrain: drains.register,
    registerReadiness: readiness.register,
    registerStatus: status.register,
    servers,
    settings,
    tracing,
    writer,
  };
  const closeComponents = Core.mergeCleanups(
    ...Components.COMPONENTS.map((registerComponent) => registerComponent(context)),
  );
  const operator = await OperatorServer.startOperatorServer(context);
  const entry = await EntryServer.startEntryServer(context);
  logger.info({ entry: entry.url, operator: operator.url }, 'started');

  return {
    entryUrl: entry.url,
    operatorUrl: operator.url,
    stop: async () => {
      draining = true;
      logger.info({ requests: active.count() }, 'draining');
      const { drainMs } = settings.limits;
      // The balancer has to see first that this daemon is not ready. In this time every answer
      // closes its connection: an idle one that is closed while its caller reuses it is reset.
      await new Promise((resolve) => {
        setTimeout(resolve, settings.timing.drainNoticeMs);
      });
      // The listener closes before the wait: under steady traffic the last request would never end.
      const closed = entry.close(drainMs);
      await Promise.all(drains.list().map(([, drain]) => drain()));
      const deadline = new Promise((resolve) => {
        setTimeout(resolve, drainMs).unref();
      });
      await closed;
      // A non-repeatable call goes on after its caller has left.
      await Promise.race([active.waitUntilEmpty(), deadline]);
      closeComponents();
      servers.close();
      config.close();
      log.close();
      await tracing.close().catch(() => logger.warn('the last spans were not sent'));
      await operator.close(OPERATOR_CLOSE_MS);
      logger.info('stopped');
    },
  };
}
