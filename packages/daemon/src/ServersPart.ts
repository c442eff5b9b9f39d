/** Part: follows the platform's lagging list of VMs. */
import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type * as DaemonContext from './DaemonContext.js';
import type * as PathTypes from './PathTypes.js';

const Vm = Schema.Struct({
  address: Schema.String,
  dataCentre: Schema.String,
  id: Schema.String,
  kind: Schema.Literal('cheap', 'dear'),
  models: Schema.Array(Schema.String),
  priceCents: Schema.Number,
  role: Schema.Literal('engine', 'entry', 'service'),
  service: Schema.optional(Schema.String),
  state: Schema.Literal('leaving', 'live'),
});
const decodeVms = Schema.decodeUnknown(Schema.Array(Vm));

/** List of backend servers, refreshed from the platform. */
export interface ServerSource extends DaemonContext.ServerView {
  readonly close: Core.Undo;
}

/** Starts to follow the list; a failed poll keeps the last known list. */
export function createServerSource(
  vmListUrl: string,
  intervalMs: Core.Millis,
  logger: Core.Logger,
): ServerSource {
  let servers: readonly PathTypes.BackendServer[] = [];
  const listeners = new Set<() => void>();
  const poll = Core.requestJson({
    method: 'GET', timeoutMs: intervalMs, url: `${vmListUrl}/vms`,
  }).pipe(
    Effect.flatMap(({ body }) => decodeVms(body)),
    Effect.match({
      onFailure: (error) => logger.warn({ reason: error._tag }, 'VM list is not available'),
      onSuccess: (vms) => {
        servers = vms.flatMap(({ role, service, ...vm }) => (
          role === 'entry' ? [] : [{ ...vm, role, service }]
        ));
        listeners.forEach((listener) => listener());
      },
    }),
  );
  const run = (): void => {
    Effect.runFork(poll);
  };
  const timer = setInterval(run, intervalMs);
  run();
  return {
    close: () => clearInterval(timer),
    getServers: () => servers,
    registerListener: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
}

/** Reports the list in the operator status. */
export function registerServersPart(context: DaemonContext.DaemonContext): Core.Undo {
  return Core.mergeUndos(
    context.registerReadiness('servers', () => (
      context.servers.getServers().length > 0 ? undefined : 'no backend server is known yet'
    )),
    context.registerStatus('servers', () => context.servers.getServers().map((server) => ({
      dataCentre: server.dataCentre, id: server.id, kind: server.kind, state: server.state,
    }))),
  );
}
