/** Assembles a daemon: its context, components and HTTP interfaces, and its graceful shutdown. */
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

/** Number of the newest requests whose explanations are kept. */
const MAX_EXPLAINED_REQUESTS = 10_000;
/** Longest wait for open operator requests during shutdown, in milliseconds. */
const OPERATOR_CLOSE_TIMEOUT_MS = 1_000;
/** Retry-After of calls that need a claim while no claims can be made, in milliseconds. */
const CLAIM_RETRY_AFTER_MS = 2_000;

/** Exit status after an unexpected error that the daemon cannot go on after. */
const DEFECT_EXIT_CODE = 70;

/** A running daemon. */
export interface Daemon {
  readonly entryUrl: string;
  readonly operatorUrl: string;
  /**
   * Stops accepting requests and waits for open ones, at most for the drain limit; resolves when
   * everything is closed.
   */
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
      Core.invariant(!values.has(name), `${name} is registered already`);
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
        Refusal.createRefusal('log_unavailable', 'claims cannot be made now', CLAIM_RETRY_AFTER_MS)
      ),
    },
    reporting: { getAuthority: () => undefined },
    retry: DefaultRetryBudget.createDefaultRetryBudget(),
    usage: { record: () => undefined },
  };
}

/**
 * Starts a daemon, which is ready for requests once `/readyz` returns 200. Rejects if the entry or
 * operator interface cannot be opened.
 */
export async function startDaemon(
  settings: Config.Settings,
  clock: Core.Clock = Core.systemClock,
): Promise<Daemon> {
  const writer = {
    daemonId: settings.daemonId, incarnation: Core.createIncarnation(clock),
  };
  const rootLogger = Core.createLogger(settings.logLevel, { daemon: settings.daemonId });
  const logger = Core.getPartLogger(rootLogger, 'daemon');
  const logPort = Log.createHttpLog(settings.platform.logUrl);
  const log = Log.createLogClient(logPort, writer, clock);
  const config = ConfigComponent.createConfigSource(logPort, clock, settings.timing.isolationMs);
  const servers = ServersComponent.createServerSource(
    settings.platform.vmListUrl,
    settings.timing.vmListMs,
    Core.getPartLogger(rootLogger, 'membership'),
    clock,
  );
  const readinessChecks = createRegistry<DaemonContext.ReadinessCheck>();
  const statusSections = createRegistry<DaemonContext.StatusSection>();
  const drainHooks = createRegistry<() => Promise<void>>();
  const activeRequests = ActiveRequests.createActiveRequests();
  const metrics = RequestMetrics.createRequestMetrics(activeRequests.count);
  const endProcess = (): void => {
    // State that requests share may be corrupt; a restarted daemon reads it again.
    // eslint-disable-next-line n/no-process-exit
    process.exit(DEFECT_EXIT_CODE);
  };
  const { handleDefect, unregister } = Core.registerDefectHandler({
    clock, endProcess, logger, onDefect: metrics.addDefect,
  });
  const tracing = await Tracing.createTracing(settings.trace.otlpUrl);
  let draining = false;

  const context: DaemonContext.DaemonContext = {
    activeRequests,
    buildStatus: () => ({
      daemonId: settings.daemonId,
      dataCentre: settings.dataCentre,
      draining,
      incarnation: writer.incarnation,
      missing: context.listReadinessProblems(),
      requests: activeRequests.count(),
      ...Object.fromEntries(statusSections.list().map(([name, section]) => [name, section()])),
    }),
    clock,
    config,
    handleDefect,
    explanations: Explanations.createExplanations(MAX_EXPLAINED_REQUESTS),
    isDraining: () => draining,
    listReadinessProblems: () => [
      ...draining ? ['the daemon is draining'] : [],
      ...readinessChecks.list().flatMap(([, check]) => check() ?? []),
    ],
    log,
    logger: rootLogger,
    metrics,
    ports: DaemonPorts.createPortRegistry(createDefaultPorts(servers)),
    registerDrainHook: drainHooks.register,
    registerReadinessCheck: readinessChecks.register,
    registerStatusSection: statusSections.register,
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
      logger.info({ requests: activeRequests.count() }, 'draining');
      const { drainMs } = settings.limits;
      // Gives the load balancer time to see that this daemon is not ready. In this time every
      // response closes its connection: an idle connection that is closed just as its caller reuses
      // it would be reset.
      await new Promise((resolve) => {
        setTimeout(resolve, settings.timing.drainNoticeMs);
      });
      // The listener closes before the wait for open requests: under steady traffic, new requests
      // would keep that wait from ending.
      const entryClosed = entry.close(drainMs);
      await Promise.all(drainHooks.list().map(([, drain]) => drain()));
      const deadline = new Promise((resolve) => {
        setTimeout(resolve, drainMs).unref();
      });
      await entryClosed;
      // A non-repeatable call continues after its caller has disconnected, so closed connections
      // don't mean that all requests have ended.
      await Promise.race([activeRequests.waitUntilEmpty(), deadline]);
      closeComponents();
      servers.close();
      config.close();
      log.close();
      await tracing.close().catch(() => logger.warn('the last trace spans were not exported'));
      await operator.close(OPERATOR_CLOSE_TIMEOUT_MS);
      unregister();
      logger.info('stopped');
    },
  };
}
