/**
 * Computes the rank of a request in the queue of a backend server; rank 0 is served first. The
 * priority of the client account has precedence. Among requests of equal account priority the
 * route's priority decides, so that an account's short interactive requests don't wait for its long
 * generations.
 */
import type * as RoutingConfig from './RoutingConfig.js';

/** Rank of the least urgent requests; servers support no larger number. */
const LOWEST_RANK = 9;

/** Ranks per account priority: one for each distinguished route priority. */
const RANKS_PER_PRIORITY = 3;

/** Computes the rank of a request of an account on a route. */
export function rankRequest(
  account: RoutingConfig.ClientAccount | undefined,
  route: Pick<RoutingConfig.Route, 'priority'>,
): number {
  const accountPriority = Math.max(0, account?.priority ?? route.priority);
  const routePriority = Math.min(RANKS_PER_PRIORITY - 1, Math.max(0, route.priority));
  return Math.min(LOWEST_RANK, accountPriority * RANKS_PER_PRIORITY + routePriority);
}
