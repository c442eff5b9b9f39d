/** Default dispatch without a queue: the live server with the fewest attempts of this daemon. */
import type * as DaemonPorts from './DaemonPorts.js';
import type * as RequestTypes from './RequestTypes.js';
import * as Refusal from './Refusal.js';

/** When a caller should come back if no server is there, in milliseconds. */
const RETRY_MS = 1_000;

/** Checks that a server can run a request. */
export function canServe(
  server: RequestTypes.BackendServer,
  { target }: RequestTypes.ClassifiedRequest,
): boolean {
  if (server.state !== 'live') return false;
  if (target._tag === 'ChatTarget') {
    return server.role === 'engine' && server.models.includes(target.model);
  }
  return server.role === 'service' && server.service === target.route.service;
}

/** Creates the default dispatch over the current list of servers. */
export function createDefaultDispatch(
  getServers: () => readonly RequestTypes.BackendServer[],
): DaemonPorts.DispatchPort {
  const inFlight = new Map<string, number>();
  const addInFlight = (id: string, by: number): void => {
    inFlight.set(id, (inFlight.get(id) ?? 0) + by);
  };
  return {
    acquire: async (request, excluded) => {
      const [server] = getServers()
        .filter((candidate) => canServe(candidate, request) && !excluded.includes(candidate.id))
        .sort((a, b) => (inFlight.get(a.id) ?? 0) - (inFlight.get(b.id) ?? 0));
      if (server === undefined) {
        return Refusal.createRefusal(
          'no_server',
          'no backend server can run this request',
          RETRY_MS,
        );
      }
      addInFlight(server.id, 1);
      return { server, settle: () => addInFlight(server.id, -1) };
    },
  };
}
