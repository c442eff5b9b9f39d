/**
 * Selects the daemons that read the feeds from the store. The others of their data centre, or of
 * the small data centres of their region, read from them, so that the calls to the store do not
 * grow with the VMs.
 */

/** A daemon that handed over its counts lately. */
export interface FleetMember {
  readonly daemonId: string;
  readonly dataCentre: string;
  /** Data centres that are milliseconds apart; undefined where the daemon does not know. */
  readonly region?: string | undefined;
  /** `IP:PORT` where it answers other daemons. */
  readonly address: string;
  /** Processor cores of its VM. */
  readonly cores: number;
}

/** Addresses of the relays by data centre. */
export type RelayAssignment = Readonly<Record<string, readonly string[]>>;

/** Daemons of a data centre below which relays of its own save too few calls to be worth a hop. */
const MIN_OWN_MEMBERS = 6;

/**
 * Daemons in the small data centres of a region from which they share relays. Fewer daemons save
 * about ten calls a second, and would all depend on two others.
 */
const MIN_SHARING_MEMBERS = 12;

/** Relays of a group, so that the loss of one leaves another. */
const MIN_RELAYS = 2;

/** Daemons that one relay serves: about 70 calls a second, four from each. */
const READERS_PER_RELAY = 16;

/** Daemons that use the same relays. */
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

/** Large data centres have relays of their own, the small ones of a region share some. */
function listGroups(members: readonly FleetMember[]): readonly RelayGroup[] {
  const byDataCentre = splitBy(members, ({ dataCentre }) => dataCentre);
  const largeGroups = byDataCentre.filter(({ length }) => length >= MIN_OWN_MEMBERS);
  const smallMembers = byDataCentre.filter(({ length }) => length < MIN_OWN_MEMBERS).flat();
  const sharedGroups = splitBy(smallMembers, ({ dataCentre, region }) => region ?? dataCentre)
    .filter(({ length }) => length >= MIN_SHARING_MEMBERS);
  return [...largeGroups, ...sharedGroups].map(buildGroup);
}

/** Ranks daemons as relays: those of before, then the largest VMs. */
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

/** Selects relays in different data centres before a second one in the same. */
function selectSpread(ranked: readonly FleetMember[], count: number): readonly FleetMember[] {
  const firsts = ranked.filter(({ dataCentre }, index) => (
    ranked.findIndex((other) => other.dataCentre === dataCentre) === index
  ));
  return [...firsts, ...ranked.filter((member) => !firsts.includes(member))].slice(0, count);
}

/**
 * Plans the relays of each data centre. A roster that changes little lets the readers keep their
 * connections.
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

/** Relays of a region from which some of them read the store for the others. */
const MIN_RELAYS_FOR_ROOTS = 6;

/** Relays that one source serves beside its own readers: about 40 calls a second. */
const RELAYS_PER_ROOT = 8;

/**
 * Lists the relays of a region that read the store; the other relays read from these. Every daemon
 * derives them alike from the roster, in different data centres first.
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
