/**
 * Services that a daemon provides to its components. A component registers itself and returns a
 * cleanup function.
 */
import type * as Config from '@berylyoke/config';
import type * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import type * as Membership from '@berylyoke/membership';
import type * as ActiveRequests from './ActiveRequests.js';
import type * as Explanations from './Explanations.js';
import type * as RequestMetrics from './RequestMetrics.js';
import type * as DaemonPorts from './DaemonPorts.js';
import type * as RequestTypes from './RequestTypes.js';
import type * as Tracing from './Tracing.js';

/** Readiness check: returns a sentence that says what is missing, or undefined if it passes. */
export type ReadinessCheck = () => string | undefined;

/** Builds one section of the operator status as JSON-serializable data. */
export type StatusSection = () => unknown;

/** The configuration in force, and the source it is read from. */
export interface ConfigView {
  readonly getState: () => Config.ConfigState;
  readonly registerListener: (listener: (state: Config.ConfigState) => void) => Core.Cleanup;
  readonly store: Config.ConfigStore;
  /**
   * Sets the condition under which this daemon reads the log itself instead of receiving the
   * configuration from a relay; the cleanup restores the previous condition.
   */
  readonly registerTailCondition: (isTailNeeded: () => boolean) => Core.Cleanup;
}

/** Last known backend servers; each update replaces the whole array. */
export interface ServerView {
  readonly getServers: () => readonly RequestTypes.BackendServer[];
  readonly registerListener: (listener: () => void) => Core.Cleanup;
  /** Receives shutdown notices and failed attempts as signs that a server is leaving. */
  readonly directory: Membership.ServerDirectory;
}

/** State and services shared by the components of one daemon. */
export interface DaemonContext {
  readonly settings: Config.Settings;
  readonly clock: Core.Clock;
  readonly writer: Core.Writer;
  readonly logger: Core.Logger;
  readonly log: Log.LogClient;
  readonly config: ConfigView;
  readonly servers: ServerView;
  readonly ports: DaemonPorts.DaemonPortRegistry;
  readonly activeRequests: ActiveRequests.ActiveRequests;
  readonly metrics: RequestMetrics.RequestMetrics;
  readonly tracing: Tracing.Tracing;
  /** Handles an unexpected error; `requestId` is that of the request which it ended. */
  readonly handleDefect: Core.DefectHandler;
  readonly explanations: Explanations.Explanations;
  readonly isDraining: () => boolean;
  readonly registerReadinessCheck: (name: string, check: ReadinessCheck) => Core.Cleanup;
  readonly registerStatusSection: (name: string, section: StatusSection) => Core.Cleanup;
  /** Registers a function that runs when a planned stop begins, before the last requests end. */
  readonly registerDrainHook: (name: string, drain: () => Promise<void>) => Core.Cleanup;
  readonly listReadinessProblems: () => readonly string[];
  readonly buildStatus: () => Readonly<Record<string, unknown>>;
}

/** Registers a component of the daemon and returns the function that closes it. */
export type RegisterComponent = (context: DaemonContext) => Core.Cleanup;
