/**
 * Rank of a request at a backend server, 0 first. The priority of the client account goes before
 * that of the route; between requests of equal priority the route decides, so that quick answers of
 * an account are not held up by its long drafts.
 */
import type * as RoutingConfig from './RoutingConfig.js';

/** Lowest rank that servers know. */
const LOWEST_RANK = 9;

/** Ranks for each priority of accounts, one for each priority of routes that are told apart. */
const RANKS_PER_PRIORITY = 3;

/** Ranks a request of an account on a route. */
export function rankRequest(
  account: RoutingConfig.ClientAccount | undefined,
  route: Pick<RoutingConfig.Route, 'priority'>,
): number {
  const accountPriority = Math.max(0, account?.priority ?? route.priority);
  const routePriority = Math.min(RANKS_PER_PRIORITY - 1, Math.max(0, route.priority));
  return Math.min(LOWEST_RANK, accountPriority * RANKS_PER_PRIORITY + routePriority);
}
