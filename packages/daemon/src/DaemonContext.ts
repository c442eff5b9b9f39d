/** What a daemon gives to its parts. A part registers itself and hands back its undo. */
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

/** Condition of readiness; the sentence says what is missing, undefined when nothing is. */
export type ReadinessCheck = () => string | undefined;

/** A section of the operator status, as plain data. */
export type StatusSection = () => unknown;

/** Configuration in force. */
export interface ConfigView {
  readonly getState: () => Config.ConfigState;
  readonly registerListener: (listener: (state: Config.ConfigState) => void) => Core.Cleanup;
  readonly store: Config.ConfigStore;
  /** Decides when this daemon reads the log itself instead of waiting for a relay. */
  readonly registerTailRule: (isTailNeeded: () => boolean) => Core.Cleanup;
}

/** Backend servers as last known; the array is replaced as a whole. */
export interface ServerView {
  readonly getServers: () => readonly RequestTypes.BackendServer[];
  readonly registerListener: (listener: () => void) => Core.Cleanup;
  /** Takes notices and failures as signals that a server is leaving. */
  readonly directory: Membership.ServerDirectory;
}

/** Core of a daemon. */
export interface DaemonContext {
  readonly settings: Config.Settings;
  readonly clock: Core.Clock;
  readonly writer: Core.Writer;
  readonly logger: Core.Logger;
  readonly log: Log.LogClient;
  readonly config: ConfigView;
  readonly servers: ServerView;
  readonly ports: DaemonPorts.DaemonPortRegistry;
  readonly active: ActiveRequests.ActiveRequests;
  readonly metrics: RequestMetrics.RequestMetrics;
  readonly tracing: Tracing.Tracing;
  readonly explanations: Explanations.Explanations;
  readonly isDraining: () => boolean;
  readonly registerReadiness: (name: string, check: ReadinessCheck) => Core.Cleanup;
  readonly registerStatus: (name: string, section: StatusSection) => Core.Cleanup;
  /** Runs when a planned stop begins, before the last requests have ended. */
  readonly registerDrain: (name: string, drain: () => Promise<void>) => Core.Cleanup;
  readonly listReadiness: () => readonly string[];
  readonly buildStatus: () => Readonly<Record<string, unknown>>;
}

/** A part of the daemon. */
export type RegisterComponent = (context: DaemonContext) => Core.Cleanup;
