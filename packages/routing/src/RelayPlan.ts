/**
 * Selects the daemons of each data centre that read the feeds from the store. The others read from
 * them, so that the calls to the store grow with the data centres and not with the VMs.
 */

/** A daemon that handed over its counts lately. */
export interface FleetMember {
  readonly daemonId: string;
  readonly dataCentre: string;
  /** `IP:PORT` where it answers other daemons. */
  readonly address: string;
  /** Processor cores of its VM. */
  readonly cores: number;
}

/** Addresses of the relays by data centre. */
export type RelayRoster = Readonly<Record<string, readonly string[]>>;

/** Daemons of a data centre below which relays save too few calls to be worth a hop. */
const MIN_MEMBERS = 6;

/** Relays of a data centre, so that the loss of one leaves another. */
const MIN_RELAYS = 2;

/** Daemons that one relay serves: about 70 calls a second, four from each. */
const READERS_PER_RELAY = 16;

function splitByDataCentre(
  members: readonly FleetMember[],
): ReadonlyMap<string, readonly FleetMember[]> {
  return members.reduce((groups, member) => groups.set(
    member.dataCentre,
    [...groups.get(member.dataCentre) ?? [], member],
  ), new Map<string, readonly FleetMember[]>());
}

/**
 * Plans the relays: those of before that are still members, then the largest VMs. A roster that
 * changes little lets the readers keep their connections.
 */
export function planRelays(members: readonly FleetMember[], previous: RelayRoster): RelayRoster {
  const groups = [...splitByDataCentre(members)].filter(([, { length }]) => length >= MIN_MEMBERS);
  return Object.fromEntries(groups.map(([dataCentre, group]) => {
    const wasRelay = new Set(previous[dataCentre]);
    const ranked = [...group].sort((a, b) => (
      Number(wasRelay.has(b.address)) - Number(wasRelay.has(a.address))
      || b.cores - a.cores
      || (a.daemonId < b.daemonId ? -1 : 1)
    ));
    const count = Math.max(MIN_RELAYS, Math.ceil(group.length / READERS_PER_RELAY));
    return [dataCentre, ranked.slice(0, count).map(({ address }) => address).sort()];
  }));
}
