/**
 * Exchanges observations of backend servers with other daemons along the tree of relays: outcomes
 * of requests, announced request limits, and load. Each daemon sends its observations to its relay,
 * and each relay sends those of its readers to a root relay of its region. The answers carry the
 * observations of the other daemons. Relays that read the store exchange limits and load among each
 * other as well, but not outcomes, because sums that go around would be counted twice; reports of
 * load replace each other. A daemon without a relay has only its own observations.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as FleetOutcomes from './FleetOutcomes.js';
import * as LoadGauges from './LoadGauges.js';
import type * as RelayCalls from './RelayCalls.js';
import type * as RelayChoice from './RelayChoice.js';
import type * as RequestLimits from './RequestLimits.js';

/** Interval of a daemon's exchanges; delays the detection of a failing server by as much. */
const EXCHANGE_INTERVAL_MS = 700;

/** Interval of a relay's exchanges with its root relay, on behalf of all of its readers. */
const RELAY_EXCHANGE_INTERVAL_MS = 350;

/**
 * Step of the sequence by which a relay chooses its peers, as a share of their number. With the
 * golden ratio, the longest time between two exchanges with the same one is 1.8 s with up to four
 * peers and 2.8 s with six, and either of both relays begins one. Reports expire after 2.5 s.
 */
const PEER_STEP = (Math.sqrt(5) - 1) / 2;

/** Dependencies of the exchange. */
export interface ExchangeContext {
  readonly choice: Pick<
    RelayChoice.RelayChoice, 'choosePeer' | 'chooseUpstream' | 'isRelay' | 'isRoot'
  >;
  readonly client: Pick<RelayCalls.RelayClient, 'exchangeObservations'>;
  readonly clock: Core.Clock;
  readonly gauges: LoadGauges.LoadGauges;
  /** Whether load is reported; without services of engines, messages have none. */
  readonly hasEngines: () => boolean;
  readonly limits: Pick<RequestLimits.RequestLimits, 'applyReports' | 'listReports'>;
  readonly logger: Core.Logger;
  readonly random: () => number;
}

/** Exchange of outcomes by one daemon. */
export interface OutcomeExchange {
  /** Adds outcomes of this daemon's own requests. */
  readonly observe: (outcomes: FleetOutcomes.ServerOutcomes) => void;
  /** Returns the outcomes of the fleet at a server. */
  readonly getOutcomes: (server: string) => FleetOutcomes.ServerOutcomes;
  /** Handles the observations of another daemon; returns those of the fleet. */
  readonly receiveObservations: RelayCalls.RelayHandlers['receiveObservations'];
  readonly stop: () => void;
}

/** Starts to exchange outcomes. */
export function startOutcomeExchange(
  {
    choice, client, clock, gauges, hasEngines, limits, logger, random,
  }: ExchangeContext,
): OutcomeExchange {
  const unsent = FleetOutcomes.createOutcomeBuffer();
  /**
   * The same outcomes until they are added to `sums`. They are kept apart because outcomes of a
   * failed exchange are sent again but must not be added twice.
   */
  const unsummed = FleetOutcomes.createOutcomeBuffer();
  const sums = FleetOutcomes.createOutcomeSums();
  const view = FleetOutcomes.createFleetView();
  let peerTurn = random();
  let wasFresh = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const add = (outcomes: FleetOutcomes.ServerOutcomes): void => {
    unsent.add(outcomes);
    unsummed.add(outcomes);
  };
  const listFleetOutcomes = (nowMs: Core.Millis): readonly FleetOutcomes.ServerOutcomes[] => (
    view.isFresh(nowMs) ? view.list(nowMs) : sums.list(nowMs)
  );
  const applyLimitReports = (reports: readonly RequestLimits.LimitReport[]): void => {
    const changes = limits.applyReports(reports, clock.readMonotonic());
    if (changes.length > 0) {
      logger.info({ changes }, 'request limits of servers reported by another daemon');
    }
  };
  const getScope = (): LoadGauges.LoadScope => {
    if (choice.isRoot()) return 'root';
    return choice.isRelay() ? 'relay' : 'daemon';
  };
  /** Logs when the load of the fleet begins or ceases to be recent enough to be decided on. */
  const logFreshness = (nowMs: Core.Millis): void => {
    const ageMs = gauges.getAge(nowMs);
    const isFresh = hasEngines() && ageMs <= LoadGauges.MAX_LOAD_AGE_MS;
    if (isFresh === wasFresh) return;
    wasFresh = isFresh;
    logger.info({
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
      isFresh,
      reporters: gauges.countReporters(nowMs),
      scope: getScope(),
    }, 'freshness of the load of the fleet changed');
  };
  /** Updates the place of this daemon in the tree; returns its report, if load is reported. */
  const buildReport = (nowMs: Core.Millis): LoadGauges.LoadReport | undefined => {
    gauges.setScope(getScope(), nowMs);
    logFreshness(nowMs);
    return hasEngines() ? gauges.buildReport(nowMs) : undefined;
  };
  const choosePeer = (): string | undefined => {
    peerTurn = (peerTurn + PEER_STEP) % 1;
    return choice.choosePeer(() => peerTurn);
  };
  /** Sends observations and applies the answer; resolves with its outcomes, if there is one. */
  const exchangeWith = async (
    address: string,
    observations: RelayCalls.FleetObservations,
  ): Promise<readonly FleetOutcomes.ServerOutcomes[] | undefined> => {
    const sentMs = clock.readMonotonic();
    const answer = await Effect.runPromise(Effect.either(
      client.exchangeObservations(address, observations),
    ));
    if (answer._tag === 'Right') {
      applyLimitReports(answer.right.limits);
      if (answer.right.load !== undefined) gauges.applyAnswer(answer.right.load, sentMs);
      return answer.right.outcomes;
    }
    const { detail } = answer.left;
    logger.debug({ detail, relay: address }, 'observations not exchanged with relay');
    return undefined;
  };
  const exchangeWithPeer = async (load: LoadGauges.LoadReport | undefined): Promise<void> => {
    const peer = choosePeer();
    const reports = limits.listReports(clock.readMonotonic());
    // A relay that knows no limit hears of one from the peers that do.
    if (peer === undefined || (reports.length === 0 && load === undefined)) return;
    await exchangeWith(peer, { limits: reports, load, outcomes: [] });
  };
  const exchange = async (): Promise<void> => {
    const address = choice.chooseUpstream();
    const sent = unsent.take();
    sums.add(unsummed.take(), clock.readMonotonic());
    const load = buildReport(clock.readMonotonic());
    if (address === undefined) {
      // A root relay uses its own sums as the view of the fleet; a daemon without a relay has none.
      if (choice.isRelay()) view.set(sums.list(clock.readMonotonic()), clock.readMonotonic());
      await exchangeWithPeer(load);
      return;
    }
    const received = await exchangeWith(address, {
      limits: limits.listReports(clock.readMonotonic()), load, outcomes: sent,
    });
    if (received === undefined) sent.forEach(unsent.add);
    else view.set(received, clock.readMonotonic());
  };
  const schedule = (): void => {
    if (isStopped) return;
    timer = setTimeout(() => {
      exchange().catch((error: unknown) => {
        logger.error({ error: String(error) }, 'unexpected error in exchange of observations');
      }).finally(schedule);
    }, choice.isRelay() ? RELAY_EXCHANGE_INTERVAL_MS : EXCHANGE_INTERVAL_MS);
  };
  schedule();
  return {
    getOutcomes: (server) => view.get(server, clock.readMonotonic()),
    observe: add,
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
    receiveObservations: (received) => {
      // The next exchange of this daemon passes the outcomes of its readers on.
      received.outcomes.filter(FleetOutcomes.isPlausible).forEach(add);
      applyLimitReports(received.limits);
      const nowMs = clock.readMonotonic();
      return {
        limits: limits.listReports(nowMs),
        load: received.load === undefined
          ? undefined
          : gauges.receiveReport(received.load, nowMs),
        outcomes: listFleetOutcomes(nowMs),
      };
    },
  };
}
