/** Matches requests to routes by host and longest path prefix, and to a service of the route. */
import * as Core from '@berylyoke/core';
import type * as RoutingConfig from './RoutingConfig.js';

/** Routes by host, the longest prefix first. */
export type RouteTable = ReadonlyMap<string, readonly RoutingConfig.Route[]>;

/** Builds the table for one version of the configuration. */
export function buildRouteTable(routes: readonly RoutingConfig.Route[]): RouteTable {
  const table = new Map<string, RoutingConfig.Route[]>();
  routes.forEach((route) => {
    const host = route.host.toLowerCase();
    table.set(host, [...table.get(host) ?? [], route]);
  });
  table.forEach((list) => list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  return table;
}

/** Finds the route of a request; ignores the query of the path and the port of the host. */
export function findRoute(
  table: RouteTable,
  hostHeader: string,
  path: string,
): RoutingConfig.Route | undefined {
  const host = hostHeader.replace(/:\d+$/, '').toLowerCase();
  const [pathname = ''] = path.split('?', 1);
  return table.get(host)?.find(({ pathPrefix }) => pathname.startsWith(pathPrefix));
}

/** Chooses a service by traffic weight; a request id always yields the same service. */
export function chooseService(route: RoutingConfig.Route, requestId: string): string | undefined {
  const shares = route.shares.filter(({ weight }) => weight > 0);
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let point = shares.length > 1 ? Core.hashText(requestId) % total : 0;
  return shares.find(({ weight }) => {
    point -= weight;
    return point < 0;
  })?.service;
}
