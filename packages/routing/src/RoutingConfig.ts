/**
 * Configuration that the request path works from: routes, services, client accounts and limits. One
 * value is replaced as a whole by the next version; a request is handled by one version from its
 * beginning to its end. Keys are held as digests only.
 */
import type * as Core from '@berylyoke/core';
import * as crypto from 'node:crypto';

/**
 * What may be repeated: a `repeatable` request may run more than once, a `once` request at most
 * once; a `stream` at most once unless its route is resumable.
 */
export type RouteKind = 'once' | 'repeatable' | 'stream';

/** A service that takes a share of a route's requests. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** Requests for one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request may be kept waiting for its final answer. */
  readonly timeoutMs: Core.Millis;
  /** Time to the whole answer, or to the first event of a stream, that counts as on time. */
  readonly targetMs: Core.Millis;
  /** Longest pause between events that counts as on time. */
  readonly pauseTargetMs: Core.Millis;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Backend servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isOpen: boolean;
  readonly isResumable: boolean;
}

/** Limits and prices within which servers of a service may be ordered. */
export interface PurchaseTerms {
  /** Bounds for each data centre, both kinds of server together. */
  readonly minServers: number;
  readonly maxServers: number;
  /** Price of a lasting server for each data centre. */
  readonly prices: ReadonlyMap<string, number>;
}

/** A pool of backend servers. */
export interface Service {
  readonly name: string;
  /** Connections that one server accepts from all callers together. */
  readonly maxConnections: number;
  /** Undefined where the pool has a fixed size. */
  readonly purchase: PurchaseTerms | undefined;
}

/** What callers may send and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Core.Millis;
  readonly idleTimeoutMs: Core.Millis;
}

/** A tenant of the system. */
export interface ClientAccount {
  readonly name: string;
  /** Goes before the priority of a route where it is set. */
  readonly priority: number | undefined;
}

/** One version of the configuration. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** Client accounts by the digest of their keys; undefined where requests need no key. */
  readonly accountsByKeyDigest: ReadonlyMap<string, ClientAccount> | undefined;
  readonly limits: CallerLimits;
}

/** Computes the digest under which a key is held. */
export function hashKey(key: string): string {
  return crypto.createHash('sha256').update(key).digest('base64');
}
