/**
 * Exchanges outcomes of requests with other daemons along the tree of relays: each daemon tells its
 * relay what it observed, the relay tells one of the sources of its region what its readers
 * observed, and the answers carry what the others did. A daemon without a relay knows its own.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as FleetOutcomes from './FleetOutcomes.js';
import type * as RelayCalls from './RelayCalls.js';
import type * as RelayChoice from './RelayChoice.js';

/** How often a daemon tells its relay; a failing server costs callers that long. */
const EXCHANGE_INTERVAL_MS = 700;

/** How often a relay tells its source, for all of its readers. */
const RELAY_EXCHANGE_INTERVAL_MS = 350;

/** What the exchange works with. */
export interface ExchangeContext {
  readonly choice: Pick<RelayChoice.RelayChoice, 'chooseUpstream' | 'isRelay'>;
  readonly client: Pick<RelayCalls.RelayClient, 'exchangeOutcomes'>;
  readonly clock: Core.Clock;
  readonly logger: Core.Logger;
}

/** Exchange of one daemon. */
export interface OutcomeExchange {
  readonly observe: (outcomes: FleetOutcomes.ServerOutcomes) => void;
  readonly getOutcomes: (server: string) => FleetOutcomes.ServerOutcomes;
  /** Takes what another daemon observed; returns what this one knows of the fleet. */
  readonly receiveOutcomes: RelayCalls.RelayHandlers['receiveOutcomes'];
  readonly stop: () => void;
}

/** Starts the exchange. */
export function startOutcomeExchange(
  {
    choice, client, clock, logger,
  }: ExchangeContext,
): OutcomeExchange {
  const unsent = FleetOutcomes.createOutcomeBuffer();
  /** The same outcomes until they are summed here; a failed exchange must not sum them twice. */
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
      // A source tells itself; a daemon without a relay has nobody to tell.
      if (choice.isRelay()) view.set(sums.list(clock.readMonotonic()), clock.readMonotonic());
      return;
    }
    const answer = await Effect.runPromise(Effect.either(client.exchangeOutcomes(address, sent)));
    if (answer._tag === 'Right') view.set(answer.right, clock.readMonotonic());
    else {
      sent.forEach(unsent.add);
      logger.debug({ detail: answer.left.detail, relay: address }, 'outcomes not exchanged');
    }
  };
  const schedule = (): void => {
    if (isStopped) return;
    timer = setTimeout(() => {
      exchange().catch((error: unknown) => {
        logger.error({ error: String(error) }, 'exchange of outcomes failed');
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
      // What readers observed goes on to the source with the next exchange of this daemon.
      outcomes.filter(FleetOutcomes.isPlausible).forEach(add);
      return listFleetOutcomes(clock.readMonotonic());
    },
  };
}
