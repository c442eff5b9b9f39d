/** Component that polls the platform's list of VMs, which may be out of date. */
import * as Core from '@berylyoke/core';
import * as Membership from '@berylyoke/membership';
import type * as DaemonContext from './DaemonContext.js';
import type * as RequestTypes from './RequestTypes.js';

/** Backend servers, refreshed from the platform's VM list. */
export interface ServerSource extends DaemonContext.ServerView {
  readonly close: Core.Cleanup;
}

/** Converts a directory entry: request handling only needs whether it accepts new requests. */
function buildBackendServer(server: Membership.BackendServer): RequestTypes.BackendServer {
  return { ...server, state: server.state === 'live' ? 'live' : 'leaving' };
}

/** Starts to poll the VM list; after a failed poll the last known list stays in use. */
export function createServerSource(
  vmListUrl: string,
  intervalMs: Core.Millis,
  logger: Core.Logger,
  clock: Core.Clock,
): ServerSource {
  let servers: readonly RequestTypes.BackendServer[] = [];
  const directory = Membership.createServerDirectory({
    clock,
    onFailure: ({ reason }) => logger.warn({ reason }, 'VM list poll failed'),
    port: Membership.createHttpVmList(vmListUrl, intervalMs, (ignored) => {
      logger.warn({ ignored }, 'VM list has entries that cannot be used');
    }),
  });
  const unregisterListener = directory.registerListener((snapshot) => {
    servers = snapshot.servers.map(buildBackendServer);
  });
  return {
    close: Core.mergeCleanups(unregisterListener, directory.start(intervalMs)),
    directory,
    getServers: () => servers,
    registerListener: (listener) => directory.registerListener(() => listener()),
  };
}

/** Registers the readiness check and the operator status of the backend servers. */
export function registerServersComponent(context: DaemonContext.DaemonContext): Core.Cleanup {
  return Core.mergeCleanups(
    context.registerReadinessCheck('servers', () => (
      context.servers.getServers().length > 0 ? undefined : 'no backend server is known yet'
    )),
    context.registerStatusSection('servers', () => context.servers.getServers().map((server) => ({
      dataCentre: server.dataCentre, id: server.id, kind: server.kind, state: server.state,
    }))),
  );
}
