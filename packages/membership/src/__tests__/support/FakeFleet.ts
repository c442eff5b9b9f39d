/** Daemons of one process on a clock moved by hand, joined by streams that can lose messages. */
import * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as Membership from '../../index.js';

export const TIMING = { heartbeatMs: 1_000, suspectMs: 4_000 };

/** What happens to a message on its way. */
export type Fate = 'deliver' | 'lose' | 'repeat';

/** A daemon of the fake fleet. */
export interface FakeDaemon {
  readonly id: string;
  readonly address: string;
  readonly membership: Membership.Membership;
  readonly store: Config.ConfigStore;
}

/** A fake fleet. */
export interface FakeFleet {
  readonly clock: Core.ManualClock;
  readonly daemons: Map<string, FakeDaemon>;
  readonly start: (
    id: string,
    dataCentre: string,
    region: string,
    incarnation?: string,
  ) => FakeDaemon;
  /** Ends a daemon without notice; its streams stay open and silent. */
  readonly crash: (id: string) => void;
  /** Runs intervals of all daemons and delivers what they send. */
  readonly run: (intervals: number) => void;
  readonly deliver: () => void;
  /** Replaces the fate of messages, by address of the opener and of the other side. */
  readonly setFate: (decide: (opener: string, accepter: string) => Fate) => void;
  readonly countMessages: () => number;
  readonly get: (id: string) => FakeDaemon;
}

interface End {
  handlers: Membership.PeerLinkHandlers | undefined;
}

/** How a fake fleet differs from the default. */
export interface FakeFleetOptions {
  /** Called for each message that a daemon sends. */
  readonly onSend?: (message: Membership.PeerMessage, daemonId: string) => void;
  /** Data centre of a seed, where the list tells it. */
  readonly getDataCentre?: (address: string) => string | undefined;
  /** Intervals that a message takes. */
  readonly delayIntervals?: number;
}

/** Creates a fleet without daemons. `seeds` are the addresses that every daemon knows. */
export function createFakeFleet(
  seeds: readonly string[],
  {
    delayIntervals = 0, getDataCentre = () => undefined, onSend = () => undefined,
  }: FakeFleetOptions = {},
): FakeFleet {
  const clock = Core.createManualClock(1_000_000);
  const daemons = new Map<string, FakeDaemon>();
  const queue: (() => void)[] = [];
  const delayed: (() => void)[][] = Array.from({ length: delayIntervals }, () => []);
  let decideFate: (opener: string, accepter: string) => Fate = () => 'deliver';
  let messages = 0;
  const listSeeds = (): readonly Membership.Seed[] => seeds.map((address) => ({
    address, dataCentre: getDataCentre(address),
  }));

  const createLink = (
    opener: string,
    accepter: string,
    own: End,
    other: End,
  ): Membership.PeerLink => ({
    close: () => {
      [own, other].forEach((end) => {
        const { handlers } = end;
        Object.assign(end, { handlers: undefined });
        queue.push(() => handlers?.onClose());
      });
    },
    send: (message) => {
      messages += 1;
      onSend(message, message.sender.daemonId);
      const copies = { deliver: 1, lose: 0, repeat: 2 }[decideFate(opener, accepter)];
      Array.from({ length: copies }).forEach(() => {
        const handle = (): void => other.handlers?.onMessage(message);
        if (delayIntervals === 0) queue.push(handle);
        else delayed[delayIntervals - 1]?.push(handle);
      });
    },
  });

  const createTransport = (opener: string): Membership.PeerTransport => ({
    open: (address, handlers) => {
      const near: End = { handlers };
      const far: End = { handlers: undefined };
      const accepter = daemons.get(address.replace(/:1$/, ''));
      if (accepter === undefined) queue.push(() => handlers.onClose());
      else {
        far.handlers = accepter.membership.acceptStream(createLink(opener, address, far, near));
      }
      return createLink(opener, address, near, far);
    },
  });

  const deliver = (): void => {
    const batch = queue.splice(0);
    batch.forEach((handle) => handle());
    if (queue.length > 0) deliver();
  };

  return {
    clock,
    countMessages: () => messages,
    crash: (id) => {
      daemons.get(id)?.membership.close();
      daemons.delete(id);
    },
    daemons,
    deliver,
    get: (id) => {
      const daemon = daemons.get(id);
      Core.invariant(daemon !== undefined, `The fleet has no daemon ${id}.`);
      return daemon;
    },
    run: (intervals) => {
      Array.from({ length: intervals }).forEach(() => {
        clock.advance(TIMING.heartbeatMs);
        queue.push(...delayed.shift() ?? []);
        delayed.push([]);
        daemons.forEach(({ membership }) => membership.runHeartbeat());
        deliver();
      });
    },
    setFate: (decide) => {
      decideFate = decide;
    },
    start: (id, dataCentre, region, incarnation = '1-a') => {
      const address = `${id}:1`;
      const store = Config.createConfigStore(clock, 10_000);
      const membership = Membership.createMembership({
        clock,
        getSeeds: () => listSeeds().filter((seed) => seed.address !== address),
        self: {
          address, daemonId: id, dataCentre, incarnation, region,
        },
        store,
        timing: TIMING,
        transport: createTransport(address),
      });
      const daemon = {
        address, id, membership, store,
      };
      daemons.set(id, daemon);
      return daemon;
    },
  };
}
