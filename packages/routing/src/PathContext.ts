/** What the request path of a daemon works with. */
import type * as Core from '@berylyoke/core';
import type * as Scheduling from '@berylyoke/scheduling';
import type * as ByteBudget from './ByteBudget.js';
import type * as HeaderRules from './HeaderRules.js';
import type * as LogRateLimiter from './LogRateLimiter.js';
import type * as OutcomeExchange from './OutcomeExchange.js';
import type * as RouteTable from './RouteTable.js';
import type * as RoutingConfig from './RoutingConfig.js';
import type * as RoutingMetrics from './RoutingMetrics.js';
import type * as RoutingSettings from './RoutingSettings.js';
import type * as ServerHealth from './ServerHealth.js';
import type * as ServerAvailability from './ServerAvailability.js';
import type * as ServerPool from './ServerPool.js';
import type * as ServerTable from './ServerTable.js';

/** A version of the configuration with its route table. */
export interface ActiveConfig {
  readonly config: RoutingConfig.RoutingConfig;
  readonly routes: RouteTable.RouteTable;
}

/** Life of the daemon as the request path sees it. */
export type Phase = 'draining' | 'refusing' | 'running';

/** Shared by all requests of a daemon. */
export interface PathContext {
  readonly names: HeaderRules.HeaderNames;
  readonly clock: Core.Clock;
  readonly logger: Core.Logger;
  /** Bounds of the lines about requests that were answered, and about all others. */
  readonly answeredLogLimiter: LogRateLimiter.LogRateLimiter;
  readonly failedLogLimiter: LogRateLimiter.LogRateLimiter;
  readonly metrics: RoutingMetrics.RoutingMetrics;
  /** Bounds of one answer, and of all that are held until they are whole. */
  readonly answers: RoutingSettings.RoutingSettings['answers'];
  readonly bufferBudget: ByteBudget.ByteBudget;
  /** Logs and counts an unexpected error; a broken invariant ends the process. */
  readonly handleDefect: (error: unknown, requestId: string) => void;
  readonly dataCentre: string;
  readonly getActiveConfig: () => ActiveConfig | undefined;
  /** Version of the configuration is fixed per request; the phase is read at each use. */
  readonly getPhase: () => Phase;
  readonly countDaemons: () => number;
  /** Whether the list of keys is known to be current enough. */
  readonly areKeysCurrent: () => boolean;
  /** Age of the proof of the list of keys; undefined where there is none. */
  readonly getKeyProofAge: () => Core.Millis | undefined;
  /** Tries to make it so; resolves with whether it is. */
  readonly renewKeys: () => Promise<boolean>;
  readonly servers: ServerTable.ServerTable;
  readonly pool: ServerPool.ServerPool;
  readonly health: ServerHealth.ServerHealth;
  readonly availability: ServerAvailability.ServerAvailability;
  /** Outcomes at servers, told to and by other daemons. */
  readonly outcomes: Pick<OutcomeExchange.OutcomeExchange, 'getOutcomes' | 'observe'>;
  readonly cache: Scheduling.CacheIndex;
  /** Takes a repeat at a service from the budget that all daemons share. */
  readonly claimRetry: (service: string) => boolean;
  readonly countRequest: (service: string) => void;
  /** Counts the prompt of a request that callers ask of a service. */
  readonly countDemand: (service: string, tokens: number) => void;
  /** Counts a request that began to run for a client account. */
  readonly countStartedRequest: (account: string) => void;
  readonly random: () => number;
}
