/**
 * Exchanges outcomes of requests with other daemons along the tree of relays. Each daemon sends its
 * outcomes to its relay, and each relay sends those of its readers to a root relay of its region.
 * The answers carry the outcomes of the other daemons. A daemon without a relay has only its own.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as FleetOutcomes from './FleetOutcomes.js';
import type * as RelayCalls from './RelayCalls.js';
import type * as RelayChoice from './RelayChoice.js';

/** Interval of a daemon's exchanges; delays the detection of a failing server by as much. */
const EXCHANGE_INTERVAL_MS = 700;

/** Interval of a relay's exchanges with its root relay, on behalf of all of its readers. */
const RELAY_EXCHANGE_INTERVAL_MS = 350;

/** Dependencies of the exchange. */
export interface ExchangeContext {
  readonly choice: Pick<RelayChoice.RelayChoice, 'chooseUpstream' | 'isRelay'>;
  readonly client: Pick<RelayCalls.RelayClient, 'exchangeOutcomes'>;
  readonly clock: Core.Clock;
  readonly logger: Core.Logger;
}

/** Exchange of outcomes by one daemon. */
export interface OutcomeExchange {
  /** Adds outcomes of this daemon's own requests. */
  readonly observe: (outcomes: FleetOutcomes.ServerOutcomes) => void;
  /** Returns the outcomes of the fleet at a server. */
  readonly getOutcomes: (server: string) => FleetOutcomes.ServerOutcomes;
  /** Handles the outcomes of another daemon; returns the known outcomes of the fleet. */
  readonly receiveOutcomes: RelayCalls.RelayHandlers['receiveOutcomes'];
  readonly stop: () => void;
}

/** Starts to exchange outcomes. */
export function startOutcomeExchange(
  {
    choice, client, clock, logger,
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
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const add = (outcomes: FleetOutcomes.ServerOutcomes): void => {
    unsent.add(outcomes);
    unsummed.add(outcomes);
  };
  const listFleetOutcomes = (nowMs: Core.Millis): readonly FleetOutcomes.ServerOutcomes[] => (
    view.isFresh(nowMs) ? view.list(nowMs) : sums.list(nowMs)
  );
  const exchange = async (): Promise<void> => {
    const address = choice.chooseUpstream();
    const sent = unsent.take();
    sums.add(unsummed.take(), clock.readMonotonic());
    if (address === undefined) {
      // A root relay uses its own sums as the view of the fleet; a daemon without a relay has none.
      if (choice.isRelay()) view.set(sums.list(clock.readMonotonic()), clock.readMonotonic());
      return;
    }
    const answer = await Effect.runPromise(Effect.either(client.exchangeOutcomes(address, sent)));
    if (answer._tag === 'Right') view.set(answer.right, clock.readMonotonic());
    else {
      sent.forEach(unsent.add);
      logger.debug(
        { detail: answer.left.detail, relay: address },
        'request outcomes not exchanged with relay',
      );
    }
  };
  const schedule = (): void => {
    if (isStopped) return;
    timer = setTimeout(() => {
      exchange().catch((error: unknown) => {
        logger.error({ error: String(error) }, 'unexpected error in exchange of request outcomes');
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
    receiveOutcomes: (outcomes) => {
      // The next exchange of this daemon passes the outcomes of its readers on.
      outcomes.filter(FleetOutcomes.isPlausible).forEach(add);
      return listFleetOutcomes(clock.readMonotonic());
    },
  };
}
