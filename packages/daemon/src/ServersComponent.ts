/** Part: follows the platform's lagging list of VMs. */
import * as Core from '@berylyoke/core';
import * as Membership from '@berylyoke/membership';
import type * as DaemonContext from './DaemonContext.js';
import type * as RequestTypes from './RequestTypes.js';

/** List of backend servers, refreshed from the platform. */
export interface ServerSource extends DaemonContext.ServerView {
  readonly close: Core.Cleanup;
}

/** Converts a server of the directory: the path only asks whether it may get new work. */
function buildBackendServer(server: Membership.BackendServer): RequestTypes.BackendServer {
  return { ...server, state: server.state === 'live' ? 'live' : 'leaving' };
}

/** Starts to follow the list; a failed poll keeps the last known list. */
export function createServerSource(
  vmListUrl: string,
  intervalMs: Core.Millis,
  logger: Core.Logger,
  clock: Core.Clock,
): ServerSource {
  let servers: readonly RequestTypes.BackendServer[] = [];
  const directory = Membership.createServerDirectory({
    clock,
    onFailure: ({ reason }) => logger.warn({ reason }, 'VM list is not available'),
    port: Membership.createHttpVmList(vmListUrl, intervalMs),
  });
  const undoListener = directory.registerListener((snapshot) => {
    servers = snapshot.servers.map(buildBackendServer);
  });
  return {
    close: Core.mergeCleanups(undoListener, directory.start(intervalMs)),
    directory,
    getServers: () => servers,
    registerListener: (listener) => directory.registerListener(() => listener()),
  };
}

/** Reports the list in the operator status. */
export function registerServersComponent(context: DaemonContext.DaemonContext): Core.Cleanup {
  return Core.mergeCleanups(
    context.registerReadiness('servers', () => (
      context.servers.getServers().length > 0 ? undefined : 'no backend server is known yet'
    )),
    context.registerStatus('servers', () => context.servers.getServers().map((server) => ({
      dataCentre: server.dataCentre, id: server.id, kind: server.kind, state: server.state,
    }))),
  );
}
