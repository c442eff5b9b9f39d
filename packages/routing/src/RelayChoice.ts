/**
 * Chooses the daemon that this one reads feeds from. Readers are spread over the relays of their
 * data centre, and relays over the root relays of their region, which read the store. A relay that
 * failed, or that has no recent contact with the store, is avoided for a while. A daemon without a
 * usable relay reads from the store itself.
 */
import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import type * as FeedCopy from './FeedCopy.js';
import type * as RelayCalls from './RelayCalls.js';
import * as RelayPlan from './RelayPlan.js';

/** Time for which a failed relay is avoided; about as long as a short outage of the store. */
const BACKOFF_MS = 4_000;

/** Choice of the relay by one daemon. */
export interface RelayChoice {
  /** Sets the relays of each data centre. */
  readonly setRelays: (assignment: RelayPlan.RelayAssignment) => void;
  /** Checks whether this daemon is a relay. */
  readonly isRelay: () => boolean;
  /** Checks whether this daemon is a relay that reads the store, not another relay. */
  readonly isRoot: () => boolean;
  /**
   * Returns the address of the relay that this daemon hands its counts to; undefined for a relay,
   * and if none is usable.
   */
  readonly choose: () => string | undefined;
  /**
   * Returns the address of the daemon to read feeds from: the relay of a reader, or the root relay
   * of a relay. Undefined for a root relay and if none is usable.
   */
  readonly chooseUpstream: () => string | undefined;
  /**
   * Chooses at random, `random` being uniform in [0, 1), another relay of the region that reads the
   * store. Undefined unless this daemon is such a relay, and if no other one is usable.
   */
  readonly choosePeer: (random: () => number) => string | undefined;
  /** Avoids a relay for a while after it failed. */
  readonly observeFailure: (address: string) => void;
}

/** Creates the choice of a daemon, which itself answers other daemons at `address`. */
export function createRelayChoice(
  clock: Core.Clock,
  self: {
    readonly daemonId: string;
    readonly dataCentre: string;
    /** Data centres of the region, including this one, in the same order at every daemon. */
    readonly regionDataCentres: readonly string[];
    readonly address: string | undefined;
  },
): RelayChoice {
  let relays: readonly string[] = [];
  let rootRelays: readonly string[] = [];
  /** Relays that read the store: the root relays, or all relays of a region without them. */
  let storeReaders: readonly string[] = [];
  const backoffUntilMs = new Map<string, Core.Millis>();
  const isRelay = (): boolean => self.address !== undefined && relays.includes(self.address);
  const filterUsable = (addresses: readonly string[]): readonly string[] => {
    const nowMs = clock.readMonotonic();
    return addresses.filter((address) => nowMs >= (backoffUntilMs.get(address) ?? -Infinity));
  };
  const findUsable = (addresses: readonly string[]): string | undefined => (
    filterUsable(addresses)[0]
  );
  const isRoot = (): boolean => storeReaders.includes(self.address ?? '');
  const choose = (): string | undefined => (isRelay() ? undefined : findUsable(relays));
  return {
    choose,
    choosePeer: (random) => {
      if (!isRoot()) return undefined;
      const peers = filterUsable(storeReaders.filter((address) => address !== self.address));
      return peers[Math.floor(random() * peers.length)];
    },
    chooseUpstream: () => {
      if (!isRelay()) return choose();
      return rootRelays.includes(self.address as string) ? undefined : findUsable(rootRelays);
    },
    isRelay,
    isRoot,
    setRelays: (assignment) => {
      relays = Core.rankCandidates(self.daemonId, assignment[self.dataCentre] ?? []);
      rootRelays = Core.rankCandidates(
        self.daemonId,
        RelayPlan.listRootRelays(assignment, self.regionDataCentres),
      );
      storeReaders = rootRelays.length > 0
        ? rootRelays
        : [...new Set(self.regionDataCentres.flatMap((name) => assignment[name] ?? []))];
      [...backoffUntilMs.keys()]
        .filter((address) => !relays.includes(address) && !storeReaders.includes(address))
        .forEach((address) => backoffUntilMs.delete(address));
    },
    observeFailure: (address) => {
      backoffUntilMs.set(address, clock.readMonotonic() + BACKOFF_MS);
    },
  };
}

/** Options and dependencies of a read from a relay. */
export interface RelayReadOptions {
  readonly choice: RelayChoice;
  readonly read: RelayCalls.RelayClient['read'];
  readonly feed: string;
  readonly from: number;
  /** Age of a copy above which its relay counts as having lost contact with the store. */
  readonly maxAgeMs: Core.Millis;
  readonly logger: Core.Logger;
}

/** Reads the copy at the chosen relay; undefined if there is none, it fails or it is too old. */
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
        ? rejectRelay(`copy at relay is too old: ${Math.round(copyPage.ageMs)} ms`)
        : copyPage
    ),
  }));
}
