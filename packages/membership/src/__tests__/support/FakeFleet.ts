/**
 * Fake fleet: daemons in one process with a manual clock, connected by in-memory streams that can
 * lose, repeat and delay messages.
 */
import * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as Membership from '../../index.js';

export const TIMING = { heartbeatMs: 1_000, suspectMs: 4_000 };

/** How the stream treats a message. */
export type Delivery = 'deliver' | 'lose' | 'repeat';

/** A daemon of the fake fleet. */
export interface FakeDaemon {
  readonly id: string;
  readonly address: string;
  readonly membership: Membership.Membership;
  readonly store: Config.ConfigStore;
}

/** Fleet of daemons in one process. */
export interface FakeFleet {
  readonly clock: Core.ManualClock;
  readonly daemons: Map<string, FakeDaemon>;
  readonly start: (
    id: string,
    dataCentre: string,
    region: string,
    incarnation?: string,
  ) => FakeDaemon;
  /** Stops a daemon without announcing it as leaving; its streams are closed. */
  readonly crash: (id: string) => void;
  /** Runs heartbeat intervals of all daemons and delivers their messages. */
  readonly run: (intervals: number) => void;
  /** Delivers the queued messages, and those sent in reply, without advancing the clock. */
  readonly deliver: () => void;
  /** Sets how messages are treated, by the addresses of the opener and accepter of the stream. */
  readonly setDelivery: (choose: (opener: string, accepter: string) => Delivery) => void;
  readonly countMessages: () => number;
  readonly get: (id: string) => FakeDaemon;
}

interface StreamEnd {
  handlers: Membership.PeerStreamHandlers | undefined;
}

/** Options of `createFakeFleet`. */
export interface FakeFleetOptions {
  /** Called for each message that a daemon sends. */
  readonly onSend?: (message: Membership.PeerMessage, daemonId: string) => void;
  /** Returns the data centre of a seed as the VM list gives it; undefined for other seeds. */
  readonly getDataCentre?: (address: string) => string | undefined;
  /** Delivery delay of messages, in heartbeat intervals. */
  readonly delayIntervals?: number;
}

/** Creates a fleet without daemons. `seeds` are the addresses given to every daemon. */
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
  let chooseDelivery: (opener: string, accepter: string) => Delivery = () => 'deliver';
  let messageCount = 0;
  const listSeeds = (): readonly Membership.Seed[] => seeds.map((address) => ({
    address, dataCentre: getDataCentre(address),
  }));

  const createStreamEnd = (
    opener: string,
    accepter: string,
    own: StreamEnd,
    other: StreamEnd,
  ): Membership.PeerStream => ({
    close: () => {
      [own, other].forEach((end) => {
        const { handlers } = end;
        Object.assign(end, { handlers: undefined });
        queue.push(() => handlers?.onClose());
      });
    },
    send: (message) => {
      messageCount += 1;
      onSend(message, message.sender.daemonId);
      const copyCount = { deliver: 1, lose: 0, repeat: 2 }[chooseDelivery(opener, accepter)];
      Array.from({ length: copyCount }).forEach(() => {
        const handle = (): void => other.handlers?.onMessage(message);
        if (delayIntervals === 0) queue.push(handle);
        else delayed[delayIntervals - 1]?.push(handle);
      });
    },
  });

  const createTransport = (opener: string): Membership.PeerTransport => ({
    open: (address, handlers) => {
      const openerEnd: StreamEnd = { handlers };
      const accepterEnd: StreamEnd = { handlers: undefined };
      const accepter = daemons.get(address.replace(/:1$/, ''));
      if (accepter === undefined) queue.push(() => handlers.onClose());
      else {
        accepterEnd.handlers = accepter.membership.acceptStream(
          createStreamEnd(opener, address, accepterEnd, openerEnd),
        );
      }
      return createStreamEnd(opener, address, openerEnd, accepterEnd);
    },
  });

  const deliver = (): void => {
    const batch = queue.splice(0);
    batch.forEach((handle) => handle());
    if (queue.length > 0) deliver();
  };

  return {
    clock,
    countMessages: () => messageCount,
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
    setDelivery: (choose) => {
      chooseDelivery = choose;
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
