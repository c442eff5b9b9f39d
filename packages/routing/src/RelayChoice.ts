/**
 * Chooses the relay that this daemon reads from. Readers spread over the relays of their data
 * centre, and relays over the few of their region that read the store; one that fails or is out of
 * touch with the store is left for a while. Without a usable relay a daemon reads from the store
 * itself.
 */
import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import type * as FeedCopy from './FeedCopy.js';
import type * as RelayCalls from './RelayCalls.js';
import * as RelayPlan from './RelayPlan.js';

/** Time for which a relay that failed is not asked: about the length of a short store outage. */
const BACKOFF_MS = 4_000;

/** Relays of one daemon. */
export interface RelayChoice {
  readonly setRelays: (assignment: RelayPlan.RelayAssignment) => void;
  /** Whether other daemons read from this one. */
  readonly isRelay: () => boolean;
  /** Address of the relay that takes this daemon's counts now; undefined for a relay. */
  readonly choose: () => string | undefined;
  /** Address of the daemon whose copies of the feeds this one reads now. */
  readonly chooseUpstream: () => string | undefined;
  /** Leaves a relay for a while. */
  readonly observeFailure: (address: string) => void;
}

/** Creates the choice of a daemon; `address` is where it answers other daemons itself. */
export function createRelayChoice(
  clock: Core.Clock,
  self: {
    readonly daemonId: string;
    readonly dataCentre: string;
    /** Data centres of the region, this one among them, in an order that is alike everywhere. */
    readonly regionDataCentres: readonly string[];
    readonly address: string | undefined;
  },
): RelayChoice {
  let relays: readonly string[] = [];
  let rootRelays: readonly string[] = [];
  const backoffUntilMs = new Map<string, Core.Millis>();
  const isRelay = (): boolean => self.address !== undefined && relays.includes(self.address);
  const findUsable = (addresses: readonly string[]): string | undefined => {
    const nowMs = clock.readMonotonic();
    return addresses.find((address) => nowMs >= (backoffUntilMs.get(address) ?? -Infinity));
  };
  const choose = (): string | undefined => (isRelay() ? undefined : findUsable(relays));
  return {
    choose,
    chooseUpstream: () => {
      if (!isRelay()) return choose();
      return rootRelays.includes(self.address as string) ? undefined : findUsable(rootRelays);
    },
    isRelay,
    setRelays: (assignment) => {
      relays = Core.rankCandidates(self.daemonId, assignment[self.dataCentre] ?? []);
      rootRelays = Core.rankCandidates(
        self.daemonId,
        RelayPlan.listRootRelays(assignment, self.regionDataCentres),
      );
      [...backoffUntilMs.keys()]
        .filter((address) => !relays.includes(address) && !rootRelays.includes(address))
        .forEach((address) => backoffUntilMs.delete(address));
    },
    observeFailure: (address) => {
      backoffUntilMs.set(address, clock.readMonotonic() + BACKOFF_MS);
    },
  };
}

/** What a read from a relay works with. */
export interface RelayReadOptions {
  readonly choice: RelayChoice;
  readonly read: RelayCalls.RelayClient['read'];
  readonly feed: string;
  readonly from: number;
  /** Age of a copy above which its holder counts as out of touch with the store. */
  readonly maxAgeMs: Core.Millis;
  readonly logger: Core.Logger;
}

/** Reads the chosen relay's copy; undefined where there is none, or it fails or is too old. */
export function readFromRelay({
  choice, feed, from, logger, maxAgeMs, read,
}: RelayReadOptions): Effect.Effect<FeedCopy.CopyPage | undefined> {
  const address = choice.chooseUpstream();
  if (address === undefined) return Effect.succeed(undefined);
  const rejectRelay = (detail: string): undefined => {
    choice.observeFailure(address);
    logger.warn({ detail, feed, relay: address }, 'relay not usable');
    return undefined;
  };
  return read(address, feed, from).pipe(Effect.match({
    onFailure: ({ detail }) => rejectRelay(detail),
    onSuccess: (copyPage) => (
      copyPage.ageMs > maxAgeMs
        ? rejectRelay(`copy is ${Math.round(copyPage.ageMs)} ms old`)
        : copyPage
    ),
  }));
}
