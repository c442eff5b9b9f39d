/** Limits that the settings set for the connections of each listener. */
import type * as Config from '@berylyoke/config';
import type * as Core from '@berylyoke/core';

/** The total of all bodies leaves room for at least this many of the largest size. */
const MIN_HELD_BODIES = 2;

/** Bytes that the connections of an internal listener hold together. */
const INTERNAL_HELD_BYTES = 4 * 1024 * 1024;

/** Connections of an internal listener: probes, scrapes and operators need a few. */
const INTERNAL_CONNECTIONS = 256;

/** Computes the limits of the entry listener. */
export function computeEntryLimits(limits: Config.Limits): Core.GuardLimits {
  return {
    bodyIdleMs: limits.bodyIdleMs,
    // The request path checks the size of bodies, so that their refusals have its format.
    maxBodyBytes: Infinity,
    maxBytes: Math.max(limits.heldBytes, MIN_HELD_BODIES * limits.bodyBytes),
    maxConnections: limits.connections,
    maxRequestsAhead: limits.requestsAhead,
  };
}

/** Computes the limits of the operator listener, which reads no bodies. */
export function computeOperatorLimits(limits: Config.Limits): Core.GuardLimits {
  return {
    bodyIdleMs: limits.bodyIdleMs,
    maxBodyBytes: 0,
    maxBytes: INTERNAL_HELD_BYTES,
    maxConnections: Math.min(limits.connections, INTERNAL_CONNECTIONS),
    maxRequestsAhead: limits.requestsAhead,
  };
}
