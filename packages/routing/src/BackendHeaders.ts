/** Builds the headers of a request to a backend server. */
import type * as Core from '@berylyoke/core';
import * as HeaderRules from './HeaderRules.js';
import * as Priority from './Priority.js';
import type * as RequestHead from './RequestHead.js';
import type * as RoutingConfig from './RoutingConfig.js';

/** Inputs to the headers of a request to a backend server. */
export interface BackendHeaderOptions {
  readonly head: RequestHead.RequestHead;
  readonly route: RoutingConfig.Route;
  readonly account: RoutingConfig.ClientAccount | undefined;
  /** The only server that may accept the request. */
  readonly serverId: string;
  /** Time that the server has for the request. */
  readonly remainingMs: Core.Millis;
  /** Id of the last event delivered to the caller, or the caller's own value if none was. */
  readonly lastEventId: number | undefined;
  readonly bodyBytes: number;
}

function removeHeader(headers: readonly string[], name: string): string[] {
  return headers.filter((_, index) => (
    (headers[index - (index % 2)] as string).toLowerCase() !== name
  ));
}

/** Builds the headers as alternating names and values. */
export function buildBackendHeaders(
  {
    account, bodyBytes, head, lastEventId, remainingMs, route, serverId,
  }: BackendHeaderOptions,
  names: HeaderRules.HeaderNames,
): string[] {
  const forwarded = HeaderRules.selectRequestHeaders(head.rawHeaders, names);
  const isResumed = lastEventId !== head.lastEventId;
  return [
    ...isResumed ? removeHeader(forwarded, names.lastEventId) : forwarded,
    names.timeLeft, String(Math.max(1, Math.floor(remainingMs))),
    names.expectedServer, serverId,
    names.priority, String(Priority.rankRequest(account, route)),
    ...account === undefined ? [] : [names.account, account.name],
    ...isResumed ? [names.lastEventId, String(lastEventId)] : [],
    ...bodyBytes > 0 ? ['Content-Length', String(bodyBytes)] : [],
  ];
}
