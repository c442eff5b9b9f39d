/**
 * Stores the usage counts of a daemon in the counts log. A daemon sends its counts to its relay,
 * which appends them together with its own and those of other daemons. A daemon without a usable
 * relay appends its own counts.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import type * as CountsRecord from './CountsRecord.js';
import * as HandOverBatch from './HandOverBatch.js';
import type * as Ports from './Ports.js';
import type * as RelayCalls from './RelayCalls.js';
import type * as RelayChoice from './RelayChoice.js';

/** Dependencies of the hand-over. */
export interface HandOverContext {
  readonly choice: RelayChoice.RelayChoice;
  readonly client: Pick<RelayCalls.RelayClient, 'handOver'>;
  readonly countsLog: Pick<Ports.SharedLog, 'append'>;
  readonly computeCurrentWindow: () => number;
  readonly logger: Core.Logger;
}

/** Hand-over of the usage counts of one daemon. */
export interface CountsHandOver {
  /** Stores final counts of this daemon; resolves with whether that succeeded. */
  readonly handOver: (records: readonly CountsRecord.CountsRecord[]) => Promise<boolean>;
  /** Sends interim counts, which may still grow, to the relay. */
  readonly sendInterimCounts: (records: readonly CountsRecord.CountsRecord[]) => void;
  /** Handles counts that another daemon sent. */
  readonly receiveCounts: RelayCalls.RelayHandlers['receiveCounts'];
}

/** Creates the hand-over of a daemon. */
export function createCountsHandOver({
  choice, client, computeCurrentWindow, countsLog, logger,
}: HandOverContext): CountsHandOver {
  const append = async (records: readonly CountsRecord.CountsRecord[]): Promise<boolean> => {
    const result = await Effect.runPromise(Effect.either(countsLog.append(records)));
    if (Either.isLeft(result)) {
      logger.warn({ detail: result.left.message }, 'usage counts not handed over');
    }
    return Either.isRight(result);
  };
  const batch = HandOverBatch.createHandOverBatch({ append, computeCurrentWindow });
  const sendToRelay = async (
    address: string,
    records: readonly CountsRecord.CountsRecord[],
    isFinal: boolean,
  ): Promise<boolean> => {
    const result = await Effect.runPromise(
      Effect.either(client.handOver(address, records, isFinal)),
    );
    if (Either.isRight(result)) return true;
    logger.warn({ detail: result.left.detail, relay: address }, 'relay took no usage counts');
    return false;
  };
  return {
    sendInterimCounts: (records) => {
      const address = choice.choose();
      if (address !== undefined) sendToRelay(address, records, false);
    },
    handOver: async (records) => {
      if (choice.isRelay()) return batch.addFinal(records);
      const address = choice.choose();
      if (address !== undefined && await sendToRelay(address, records, true)) return true;
      // The relay may have stored the counts without an answer; a reader drops such duplicates.
      return append(records);
    },
    receiveCounts: async (records, isFinal) => {
      if (isFinal) return batch.addFinal(records);
      batch.addInterim(records);
      return true;
    },
  };
}
