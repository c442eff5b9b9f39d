/**
 * Decides what a daemon that is about to stop may still pass on to a server. A request that may run
 * once must be answered before the daemon ends, since its caller may not send it again; any other
 * one should have the time that its route plans for it.
 */
import type * as Core from '@berylyoke/core';
import type * as RoutingConfig from './RoutingConfig.js';

/** Time before the end of the daemon at which it answers the requests that are still waiting. */
export const ANSWER_MARGIN_MS = 200;

/** Time that a stream or a repeatable request should have, as a multiple of its target. */
const TARGET_MULTIPLE = 2;

/**
 * Checks whether a request may be passed on.
 *
 * @param limitMs time until the request is ended by its own limit
 * @param stopMs time until the daemon ends; infinite if it is not stopping
 */
export function canPassOn(
  { kind, targetMs }: Pick<RoutingConfig.Route, 'kind' | 'targetMs'>,
  limitMs: Core.Millis,
  stopMs: Core.Millis,
): boolean {
  const neededMs = kind === 'once' ? limitMs : Math.min(limitMs, targetMs * TARGET_MULTIPLE);
  return neededMs <= stopMs - ANSWER_MARGIN_MS;
}
