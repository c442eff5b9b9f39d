/**
 * Limits the requests to servers that are cold: slow after a start, and crashing at more requests a
 * second from all daemons together than their service allows. Each daemon uses an equal share of
 * that rate until the server is warm.
 */
import * as Core from '@berylyoke/core';
import * as RatePermits from './RatePermits.js';
import * as ServerTable from './ServerTable.js';

/** A cold server and the rate at which it takes requests from all daemons, in requests per s. */
export interface ColdServer {
  readonly incarnation: ServerTable.ServerIncarnation;
  readonly requestsPerS: number;
}

/** Limits of all cold servers. */
export interface ColdLimits {
  /** Computes the time until this daemon may send a cold server a request; 0 if it may now. */
  readonly computeWait: (server: ColdServer, nowMs: Core.Millis) => Core.Millis;
  /** Records that a request is sent to a cold server. */
  readonly recordSend: (server: ColdServer, nowMs: Core.Millis) => void;
}

/** Dependencies of the limits. */
export interface ColdLimitsOptions {
  /** Returns the share of a limit for all daemons that this daemon may use. */
  readonly getShare: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Limit of stored incarnations; many more than are cold at the same time. */
const MAX_ENTRIES = 2_000;

/** Creates limits without any cold server. */
export function createColdLimits({ getShare, random }: ColdLimitsOptions): ColdLimits {
  const permits = new Map<string, RatePermits.RatePermits>();
  const advance = (
    { incarnation, requestsPerS }: ColdServer,
    nowMs: Core.Millis,
  ): RatePermits.RatePermits => {
    const name = ServerTable.formatIncarnation(incarnation);
    const advanced = RatePermits.advanceRatePermits(
      permits.get(name) ?? RatePermits.createRatePermits(nowMs, random),
      requestsPerS * getShare(),
      nowMs,
    );
    Core.setBounded(permits, name, advanced, MAX_ENTRIES);
    return advanced;
  };
  return {
    computeWait: (server, nowMs) => (
      RatePermits.computePermitWait(advance(server, nowMs), server.requestsPerS * getShare())
    ),
    recordSend: (server, nowMs) => {
      const claimed = RatePermits.claimPermit(advance(server, nowMs));
      permits.set(ServerTable.formatIncarnation(server.incarnation), claimed);
    },
  };
}
