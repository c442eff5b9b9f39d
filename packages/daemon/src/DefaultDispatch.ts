/**
 * Default dispatch without a queue: chooses the live server that has the fewest attempts of this
 * daemon in flight.
 */
import type * as DaemonPorts from './DaemonPorts.js';
import type * as RequestTypes from './RequestTypes.js';
import * as Refusal from './Refusal.js';

/** Retry-After of requests that no server can run, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** Checks whether a server is live and offers the model or service of a request. */
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

/** Creates the default dispatch; it reads the list of servers for each attempt. */
export function createDefaultDispatch(
  getServers: () => readonly RequestTypes.BackendServer[],
): DaemonPorts.DispatchPort {
  const attemptsInFlight = new Map<string, number>();
  const addInFlight = (id: string, delta: number): void => {
    attemptsInFlight.set(id, (attemptsInFlight.get(id) ?? 0) + delta);
  };
  return {
    acquire: async (request, excluded) => {
      const [server] = getServers()
        .filter((candidate) => canServe(candidate, request) && !excluded.includes(candidate.id))
        .sort((a, b) => (attemptsInFlight.get(a.id) ?? 0) - (attemptsInFlight.get(b.id) ?? 0));
      if (server === undefined) {
        return Refusal.createRefusal(
          'no_server',
          'no backend server can run this request',
          RETRY_AFTER_MS,
        );
      }
      addInFlight(server.id, 1);
      return { server, settle: () => addInFlight(server.id, -1) };
    },
  };
}
