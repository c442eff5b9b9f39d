/** Dependencies and state that all requests of a daemon share. */
import type * as Core from '@berylyoke/core';
import type * as Scheduling from '@berylyoke/scheduling';
import type * as AdmissionGate from './AdmissionGate.js';
import type * as ByteBudget from './ByteBudget.js';
import type * as ColdLimits from './ColdLimits.js';
import type * as CrashReports from './CrashReports.js';
import type * as EngineRates from './EngineRates.js';
import type * as FleetLoad from './FleetLoad.js';
import type * as HeaderRules from './HeaderRules.js';
import type * as LogRateLimiter from './LogRateLimiter.js';
import type * as OutcomeExchange from './OutcomeExchange.js';
import type * as RequestLimits from './RequestLimits.js';
import type * as RouteTable from './RouteTable.js';
import type * as RoutingConfig from './RoutingConfig.js';
import type * as RoutingMetrics from './RoutingMetrics.js';
import type * as RoutingSettings from './RoutingSettings.js';
import type * as ServerHealth from './ServerHealth.js';
import type * as ServerAvailability from './ServerAvailability.js';
import type * as ServerPool from './ServerPool.js';
import type * as ServerTable from './ServerTable.js';
import type * as StreamVersions from './StreamVersions.js';

/** A version of the configuration with its route table. */
export interface ActiveConfig {
  readonly config: RoutingConfig.RoutingConfig;
  readonly routes: RouteTable.RouteTable;
}

/** Lifecycle phase of the daemon. */
export type Phase = 'draining' | 'refusing' | 'running';

/** Context in which a daemon handles requests. */
export interface PathContext {
  readonly names: HeaderRules.HeaderNames;
  readonly clock: Core.Clock;
  readonly logger: Core.Logger;
  /** Limits the log lines about requests that succeeded. */
  readonly answeredLogLimiter: LogRateLimiter.LogRateLimiter;
  /** Limits the log lines about failed attempts and all other requests. */
  readonly failedLogLimiter: LogRateLimiter.LogRateLimiter;
  readonly metrics: RoutingMetrics.RoutingMetrics;
  /** Size limits of one response or event, and of all buffered responses together. */
  readonly answers: RoutingSettings.RoutingSettings['answers'];
  /** Budget for what all requests hold of the responses of servers. */
  readonly bufferBudget: ByteBudget.ByteBudget;
  /** Logs and counts an unexpected error; a violated invariant ends the process. */
  readonly handleDefect: (error: unknown, requestId: string) => void;
  readonly dataCentre: string;
  readonly getActiveConfig: () => ActiveConfig | undefined;
  /** Read at each use, unlike the configuration, of which a request keeps one version. */
  readonly getPhase: () => Phase;
  /** Returns the time until the daemon ends; infinite if it is not stopping. */
  readonly computeStopWait: () => Core.Millis;
  readonly countDaemons: () => number;
  /** Whether the list of API keys is proven to be recent enough to authenticate with. */
  readonly areKeysCurrent: () => boolean;
  /** Age of the proof that the list of keys is current; undefined if there is no proof. */
  readonly getKeyProofAge: () => Core.Millis | undefined;
  /** Tries to refresh the list of keys; resolves with whether it is recent enough then. */
  readonly renewKeys: () => Promise<boolean>;
  readonly servers: ServerTable.ServerTable;
  readonly pool: ServerPool.ServerPool;
  readonly health: ServerHealth.ServerHealth;
  readonly availability: ServerAvailability.ServerAvailability;
  readonly requestLimits: RequestLimits.RequestLimits;
  readonly coldLimits: ColdLimits.ColdLimits;
  /** Traits of requests that crash servers, exchanged with other daemons. */
  readonly crashReports: Pick<
    CrashReports.CrashReports,
    'findBlocked' | 'isSuspect' | 'observeAnswer' | 'observeCrash' | 'observeServerAnswer'
  >;
  /** Software versions that began streams. */
  readonly streamVersions: StreamVersions.StreamVersions;
  /** Outcomes of requests at servers, exchanged with other daemons. */
  readonly outcomes: Pick<OutcomeExchange.OutcomeExchange, 'getOutcomes' | 'observe'>;
  /** Load of servers by all daemons, exchanged with them. */
  readonly fleetLoad: FleetLoad.FleetLoad;
  readonly engineRates: EngineRates.EngineRates;
  /** Admits the first attempts of requests with a prompt. */
  readonly admissionGate: AdmissionGate.AdmissionGate;
  readonly cache: Scheduling.CacheIndex;
  /** Claims one retry at a service from the retry budget that all daemons share. */
  readonly claimRetry: (service: string) => boolean;
  readonly countRequest: (service: string) => void;
  /** Counts the prompt tokens of a request as demand for a service. */
  readonly countDemand: (service: string, tokens: number) => void;
  /** Counts a request that began to run, for the usage of a client account. */
  readonly countStartedRequest: (account: string) => void;
  readonly random: () => number;
}
