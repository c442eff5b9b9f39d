/**
 * Reads of a log whose answers are limited in size. Records that a reader has not seen decide which
 * windows it seals and whether it claims the lease, so it has to read to the end of the log first.
 */
import * as Effect from 'effect/Effect';
import type * as Ports from './Ports.js';

/** Reads a log from an offset to its end; fails without any records if one of the reads fails. */
export function readToEnd(
  log: Pick<Ports.SharedLog, 'read'>,
  from: number,
): Effect.Effect<Ports.LogPage, Ports.HistoryLost | Ports.StoreUnavailable> {
  return log.read(from).pipe(Effect.flatMap((page) => {
    const { hasMore = false, next, records } = page;
    // A record that is larger than a page is never read whole.
    if (!hasMore || next === from) return Effect.succeed(page);
    return readToEnd(log, next).pipe(Effect.map((rest) => (
      { ...rest, records: [...records, ...rest.records] }
    )));
  }));
}
