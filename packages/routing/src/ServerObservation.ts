/**
 * Records what a daemon observes of a backend server through its own requests: announced
 * availability, latency, failures and silence. Failures and silence are shared with the other
 * daemons of the fleet.
 */
import type * as Core from '@berylyoke/core';
import * as BackendExchange from './BackendExchange.js';
import * as EngineRates from './EngineRates.js';
import type * as FleetOutcomes from './FleetOutcomes.js';
import type * as PathContext from './PathContext.js';
import * as RequestLimits from './RequestLimits.js';
import type * as ServerSelection from './ServerSelection.js';
import * as ServerAvailability from './ServerAvailability.js';
import * as ServerPool from './ServerPool.js';
import * as ServerSilence from './ServerSilence.js';
import * as ServerTable from './ServerTable.js';

const UNAVAILABLE_STATUS = 503;

type Context = PathContext.PathContext;

function reportToFleet(
  { outcomes }: Context,
  { server }: ServerPool.PooledServer,
  observed: Partial<FleetOutcomes.ServerOutcomes>,
): void {
  outcomes.observe({
    failures: 0,
    requests: 0,
    server: ServerTable.formatIncarnation(server),
    ...observed,
  });
}

/** Records the availability that a server announces in the head of a response. */
export function observeAvailability(
  context: Context,
  { server }: ServerPool.PooledServer,
  { hasRequestId, headers, status }: BackendExchange.ResponseHead,
  requestId: string,
): void {
  // Without the request id, the response may be another server's or belong to an earlier request.
  if (!hasRequestId) return;
  const {
    clock, logger, names, availability,
  } = context;
  const notice: ServerAvailability.AvailabilityNotice = {
    isLeaving: headers[names.leaving] !== undefined,
    pauseMs: status === UNAVAILABLE_STATUS
      ? ServerAvailability.parseRetryAfter(headers['retry-after'])
      : undefined,
  };
  const nowMs = clock.readMonotonic();
  const couldAccept = availability.canAcceptRequests(server, nowMs);
  availability.observeResponse(server, notice, nowMs);
  if (!couldAccept || availability.canAcceptRequests(server, nowMs)) return;
  logger.info({
    isLeaving: notice.isLeaving,
    pauseMs: notice.pauseMs,
    requestId,
    server: server.id,
    service: server.service,
  }, 'server wants no requests');
}

/**
 * Records the request limit that a server announces in the head of a response. `sentMs` is the time
 * at which the request was sent.
 */
export function observeRequestLimit(
  {
    clock, failedLogLimiter, logger, names, requestLimits,
  }: Context,
  { server }: ServerPool.PooledServer,
  { hasRequestId, headers, status }: BackendExchange.ResponseHead,
  sentMs: Core.Millis,
  requestId: string,
): void {
  // A misdirected response comes from another server that has taken over the address.
  if (!hasRequestId || status === BackendExchange.MISDIRECTED_STATUS) return;
  const notice = RequestLimits.parseLimitNotice(headers[names.requestLimit]?.toString());
  // A server in trouble may generate failures and refusals without the header.
  const isServed = BackendExchange.isSuccessStatus(status)
    && headers[names.serverSignature] !== undefined;
  if (notice._tag === 'Unlimited' && !isServed) return;
  const change = requestLimits.observeResponse(server, notice, sentMs, clock.readMonotonic());
  if (change === undefined && notice._tag !== 'Malformed') return;
  const suppressed = failedLogLimiter.take();
  if (suppressed === undefined) return;
  const described = {
    requestId, server: server.id, service: server.service, suppressed,
  };
  if (notice._tag === 'Malformed') {
    logger.warn({ ...described, text: notice.text }, 'request limit of a server not understood');
  } else {
    logger.info({
      ...described,
      previousPerS: change?.previousPerS,
      requestsPerS: change?.requestsPerS,
    }, 'request limit of a server changed');
  }
}

/** Records the time to the first token, or the response time of a request without a prompt. */
export function observeLatency(
  context: Context,
  chosen: ServerSelection.ChosenServer,
  elapsedMs: Core.Millis,
  hasPrompt: boolean,
): void {
  const { pooled, unloadedMs } = chosen;
  EngineRates.observeFirstToken(context, chosen, elapsedMs);
  if (!hasPrompt) {
    ServerPool.observeResponseTime(pooled, elapsedMs);
    return;
  }
  ServerPool.observeDelay(pooled, elapsedMs - unloadedMs, context.clock.readMonotonic());
}

/** Records whether a request at a server failed, and reports it to the fleet. */
export function observeOutcome(
  context: Context,
  pooled: ServerPool.PooledServer,
  isFailure: boolean,
): void {
  const { clock, health } = context;
  const { id, service } = pooled.server;
  if (isFailure) health.observeFailure(service, id);
  else health.observeSuccess(service, id);
  ServerPool.observeOutcome(pooled, isFailure, clock.readMonotonic());
  reportToFleet(context, pooled, { failures: isFailure ? 1 : 0, requests: 1 });
}

/** Checks whether a server stopped responding; reports each silence to the fleet once. */
export function checkSilence(
  context: Context,
  pooled: ServerPool.PooledServer,
  nowMs: Core.Millis,
): boolean {
  if (!ServerSilence.isSilent(pooled, nowMs)) return false;
  if (pooled.isSilenceReported) return true;
  // eslint-disable-next-line no-param-reassign
  pooled.isSilenceReported = true;
  reportToFleet(context, pooled, { failures: 1, requests: 1 });
  context.logger.info({
    inFlight: pooled.inFlight,
    server: pooled.server.id,
    service: pooled.server.service,
    silentMs: Math.round(nowMs - pooled.lastActivityMs),
  }, 'server is silent');
  return true;
}
