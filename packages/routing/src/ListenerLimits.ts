/**
 * Limits of the listeners of a daemon, from its settings and the size of its VM. Listeners share
 * nothing, so that a crowd at one of them takes nothing from the others.
 */
import type * as Core from '@berylyoke/core';
import type * as RoutingSettings from './RoutingSettings.js';

const MIB = 1_048_576;

/** Limits where neither the settings nor the size of the VM say more. */
const DEFAULT_HELD_BYTES = 24 * MIB;
const DEFAULT_CONNECTIONS = 4_000;

/** Memory of the daemon itself at its usual load, which is 95 MB, with a margin. */
const PROGRAM_MB = 114;

/**
 * Share of the remaining memory that bodies may hold. As much again goes to buffers that grow by
 * doubling, and twice as much to freed ones that were not collected yet.
 */
const HELD_MEMORY_SHARE = 0.25;
const MIN_HELD_BYTES = 8 * MIB;

/** Descriptors that are for files and not for connections. */
const FILE_DESCRIPTORS = 200;

/** Share of the other descriptors for callers; the rest is for servers, the store and daemons. */
const CALLER_DESCRIPTOR_SHARE = 0.55;
const MIN_CONNECTIONS = 32;

/** Connections of an internal listener, as a share of those of callers. */
const PEER_CONNECTION_SHARE = 0.25;
const STATUS_CONNECTION_SHARE = 0.1;

/** Bytes that the connections of one internal listener may hold together, and one body of peers. */
const INTERNAL_HELD_BYTES = 4 * MIB;
const MAX_PEER_BODY_BYTES = 4 * MIB;

/** Largest body of a caller until the configuration is known. */
const INITIAL_BODY_BYTES = 4 * MIB;

/** Settings that the limits depend on. */
export type LimitSettings = Pick<RoutingSettings.RoutingSettings, 'callers' | 'vm'>;

function computeHeldBytes({ callers, vm }: LimitSettings): number {
  if (callers.maxHeldBytes !== undefined) return callers.maxHeldBytes;
  if (vm.memoryMb === undefined) return DEFAULT_HELD_BYTES;
  return Math.max(MIN_HELD_BYTES, (vm.memoryMb - PROGRAM_MB) * HELD_MEMORY_SHARE * MIB);
}

function computeConnections({ callers, vm }: LimitSettings): number {
  if (callers.maxConnections !== undefined) return callers.maxConnections;
  if (vm.maxDescriptors === undefined) return DEFAULT_CONNECTIONS;
  const sockets = vm.maxDescriptors - FILE_DESCRIPTORS;
  return Math.max(MIN_CONNECTIONS, Math.floor(sockets * CALLER_DESCRIPTOR_SHARE));
}

/**
 * Computes the limits of the listener for callers. A single body within the limits of the
 * configuration always has room, with the buffer in which it grows.
 */
export function computeIngressLimits(
  settings: LimitSettings,
  maxBodyBytes = INITIAL_BODY_BYTES,
): Core.GuardLimits {
  const { callers } = settings;
  return {
    bodyIdleMs: callers.bodyIdleMs,
    // The request path checks the size of bodies, by the configuration that a request keeps.
    maxBodyBytes: Infinity,
    maxBytes: Math.max(computeHeldBytes(settings), 2 * maxBodyBytes),
    maxConnections: computeConnections(settings),
    maxRequestsAhead: callers.maxRequestsAhead,
  };
}

function computeInternalLimits(
  settings: LimitSettings,
  connectionShare: number,
  maxBodyBytes: number,
): Core.GuardLimits {
  return {
    ...computeIngressLimits(settings),
    maxBodyBytes,
    maxBytes: INTERNAL_HELD_BYTES + 2 * maxBodyBytes,
    maxConnections: Math.max(
      MIN_CONNECTIONS,
      Math.floor(computeConnections(settings) * connectionShare),
    ),
  };
}

/** Computes the limits of the listener for other daemons. */
export function computePeerLimits(settings: LimitSettings): Core.GuardLimits {
  return computeInternalLimits(settings, PEER_CONNECTION_SHARE, MAX_PEER_BODY_BYTES);
}

/** Computes the limits of the listeners for readiness and metrics, which read no bodies. */
export function computeStatusLimits(settings: LimitSettings): Core.GuardLimits {
  return computeInternalLimits(settings, STATUS_CONNECTION_SHARE, 0);
}
