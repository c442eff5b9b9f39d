/**
 * Configuration of the request path: routes, services, client accounts and limits. A new version
 * replaces the whole configuration, and each request is handled under a single version from start
 * to end. Keys are stored as digests only.
 */
import type * as Core from '@berylyoke/core';
import * as crypto from 'node:crypto';

/**
 * Kind of a route, which determines whether a request may be repeated. A `repeatable` request may
 * run more than once and a `once` request at most once. A `stream` request runs at most once unless
 * its route is resumable.
 */
export type RouteKind = 'once' | 'repeatable' | 'stream';

/** Service that receives a share of a route's requests. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** Rules for the requests to one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix, which begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Time limit for the complete answer to a request. */
  readonly timeoutMs: Core.Millis;
  /** Target time to the complete answer, or to the first event of a stream. */
  readonly targetMs: Core.Millis;
  /** Target for the longest pause between two events of a stream. */
  readonly pauseTargetMs: Core.Millis;
  /** Priority of the requests; 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Maximum number of backend servers to which one request is sent. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isOpen: boolean;
  readonly isResumable: boolean;
}

/** Limits and prices for orders of servers of a service. */
export interface PurchaseTerms {
  /** Limits per data centre, for lasting and reclaimable servers together. */
  readonly minServers: number;
  readonly maxServers: number;
  /** Price of a lasting server by data centre. */
  readonly prices: ReadonlyMap<string, number>;
}

/** Capacity of one model server, in which requests share a batch and a memory for tokens. */
export interface EngineTerms {
  /** Requests that it runs at once; further ones queue. */
  readonly concurrentRequests: number;
  /** Prompt and output tokens of all of its requests that fit into its memory. */
  readonly memoryTokens: number;
}

/** Pool of backend servers. */
export interface Service {
  readonly name: string;
  /** Maximum number of connections that one server accepts from all of its clients together. */
  readonly maxConnections: number;
  /**
   * Requests a second that a cold server takes from all daemons together; undefined if it takes as
   * many as a warm one.
   */
  readonly coldRequestsPerS?: number | undefined;
  /** Capacity of each server; undefined if they are not model servers or it is not known. */
  readonly engine?: EngineTerms | undefined;
  /** Limits and prices of orders; undefined if the pool has a fixed size. */
  readonly purchase: PurchaseTerms | undefined;
}

/** Limits on the size and the duration of what callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Core.Millis;
  readonly idleTimeoutMs: Core.Millis;
}

/** A tenant of the system. */
export interface ClientAccount {
  readonly name: string;
  /** Overrides the priority of the route if it is set. */
  readonly priority: number | undefined;
}

/** One version of the configuration. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** Client accounts by the digest of their keys; undefined if requests need no key. */
  readonly accountsByKeyDigest: ReadonlyMap<string, ClientAccount> | undefined;
  readonly limits: CallerLimits;
}

/** Computes the digest by which a key is stored. */
export function hashKey(key: string): string {
  return crypto.createHash('sha256').update(key).digest('base64');
}

/** Record of the operator: the configuration, or a data centre whose servers get no requests. */
export type OperatorRecord = { readonly _tag: 'Configuration'; readonly config: RoutingConfig }
  | { readonly _tag: 'Evacuation'; readonly dataCentre: string };

/** Checks whether any service has servers of known capacity. */
export function hasEngines(config: RoutingConfig | undefined): boolean {
  return [...config?.services.values() ?? []].some(({ engine }) => engine !== undefined);
}

/** Lists the services to which a route sends streams that can be resumed. */
export function listResumableServices(config: RoutingConfig | undefined): readonly string[] {
  const routes = config?.routes.filter(({ isResumable, kind }) => isResumable && kind === 'stream');
  return [...new Set(routes?.flatMap(({ shares }) => shares.map(({ service }) => service)))];
}
