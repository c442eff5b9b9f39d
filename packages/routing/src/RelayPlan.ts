/**
 * Selects the relays: daemons from which the other daemons of a data centre, or of the small data
 * centres of a region, read the feeds. Because of the relays, the number of calls to the store does
 * not grow with the number of VMs. In a region with many relays, only a few of them, the root
 * relays, read the store; the other relays read from these.
 */

/** Daemon that handed over its counts recently. */
export interface FleetMember {
  readonly daemonId: string;
  readonly dataCentre: string;
  /**
   * Region: a group of data centres with latencies of milliseconds between them. Undefined if the
   * daemon does not know it.
   */
  readonly region?: string | undefined;
  /** `IP:PORT` at which it answers other daemons. */
  readonly address: string;
  /** Processor cores that it may use; may be a fraction. */
  readonly cores: number;
}

/** Addresses of the relays by data centre. */
export type RelayAssignment = Readonly<Record<string, readonly string[]>>;

/**
 * Minimum number of daemons in a data centre with relays of its own. Relays for fewer daemons save
 * too few calls to be worth the additional hop.
 */
const MIN_OWN_MEMBERS = 6;

/**
 * Minimum total of daemons in the small data centres of a region that share relays. Fewer daemons
 * would save few calls, and all of them would depend on two relays. Daemons without relays also
 * don't know the load of the fleet, so that they cannot admit requests by it.
 */
const MIN_SHARING_MEMBERS = 9;

/** Minimum number of relays in a group; with two, the loss of one leaves another. */
const MIN_RELAYS = 2;

/** Maximum number of daemons per relay; each makes about four calls a second, 70 in total. */
const READERS_PER_RELAY = 16;

/** Daemons that share the same relays. */
interface RelayGroup {
  readonly dataCentres: readonly string[];
  readonly members: readonly FleetMember[];
}

function splitBy(
  members: readonly FleetMember[],
  getKey: (member: FleetMember) => string,
): readonly (readonly FleetMember[])[] {
  return [...members.reduce((groups, member) => {
    const key = getKey(member);
    return groups.set(key, [...groups.get(key) ?? [], member]);
  }, new Map<string, readonly FleetMember[]>()).values()];
}

function buildGroup(members: readonly FleetMember[]): RelayGroup {
  return { dataCentres: [...new Set(members.map(({ dataCentre }) => dataCentre))], members };
}

/** Groups the daemons: a group per large data centre, and one for the small ones of a region. */
function listGroups(members: readonly FleetMember[]): readonly RelayGroup[] {
  const byDataCentre = splitBy(members, ({ dataCentre }) => dataCentre);
  const largeGroups = byDataCentre.filter(({ length }) => length >= MIN_OWN_MEMBERS);
  const smallMembers = byDataCentre.filter(({ length }) => length < MIN_OWN_MEMBERS).flat();
  const sharedGroups = splitBy(smallMembers, ({ dataCentre, region }) => region ?? dataCentre)
    .filter(({ length }) => length >= MIN_SHARING_MEMBERS);
  return [...largeGroups, ...sharedGroups].map(buildGroup);
}

/** Ranks daemons as relays: the previous relays first, then those on the largest VMs. */
function rankRelays(
  { dataCentres, members }: RelayGroup,
  previous: RelayAssignment,
): readonly FleetMember[] {
  const wasRelay = new Set(dataCentres.flatMap((dataCentre) => previous[dataCentre] ?? []));
  return [...members].sort((a, b) => (
    Number(wasRelay.has(b.address)) - Number(wasRelay.has(a.address))
    || b.cores - a.cores
    || (a.daemonId < b.daemonId ? -1 : 1)
  ));
}

/** Selects relays in different data centres before a second one in the same data centre. */
function selectSpread(ranked: readonly FleetMember[], count: number): readonly FleetMember[] {
  const firsts = ranked.filter(({ dataCentre }, index) => (
    ranked.findIndex((other) => other.dataCentre === dataCentre) === index
  ));
  return [...firsts, ...ranked.filter((member) => !firsts.includes(member))].slice(0, count);
}

/**
 * Plans the relays of each data centre. Previous relays are kept if possible, so that their readers
 * keep their connections.
 */
export function planRelays(
  members: readonly FleetMember[],
  previous: RelayAssignment,
): RelayAssignment {
  return Object.fromEntries(listGroups(members).flatMap((group) => {
    const count = Math.max(MIN_RELAYS, Math.ceil(group.members.length / READERS_PER_RELAY));
    const relays = selectSpread(rankRelays(group, previous), count)
      .map(({ address }) => address).sort();
    return group.dataCentres.map((dataCentre) => [dataCentre, relays]);
  }));
}

/** Minimum number of relays in a region with root relays. */
const MIN_RELAYS_FOR_ROOTS = 6;

/** Maximum number of relays per root relay, in addition to its readers; about 40 calls a second. */
const RELAYS_PER_ROOT = 8;

/**
 * Lists the root relays of a region, which read the store; the other relays read from them. Every
 * daemon derives the same list from the assignment. Root relays are spread over the data centres.
 * The list is empty if the region has few relays; all of them read the store then.
 */
export function listRootRelays(
  assignment: RelayAssignment,
  dataCentres: readonly string[],
): readonly string[] {
  const candidates = dataCentres.flatMap((dataCentre) => (
    (assignment[dataCentre] ?? []).map((address, index) => ({ address, index }))
  ));
  const ranked = [...new Set(
    [...candidates].sort((a, b) => a.index - b.index).map(({ address }) => address),
  )];
  if (ranked.length < MIN_RELAYS_FOR_ROOTS) return [];
  return ranked.slice(0, Math.max(MIN_RELAYS, Math.ceil(ranked.length / RELAYS_PER_ROOT)));
}
