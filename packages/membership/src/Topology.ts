/**
 * Stream topology: derives from the membership state which streams a daemon opens, and which member
 * records and summaries it sends on each.
 */
import * as Core from '@berylyoke/core';
import * as Member from './Member.js';
import * as MembershipState from './MembershipState.js';

/** Records of other members and summaries that a message carries. */
export interface Digest {
  readonly members: readonly Member.Member[];
  readonly dataCentres: readonly Member.Summary[];
  readonly regions: readonly Member.Summary[];
}

/**
 * Purpose of a stream: `relay` connects to a relay of the local data centre, `region` to a relay of
 * another data centre in the region, `between-regions` to another region, and `probe` to a seed
 * that the membership state does not cover yet.
 */
export type StreamPurpose = 'between-regions' | 'probe' | 'region' | 'relay';

/** A stream that the daemon keeps open. */
export interface StreamTarget {
  readonly address: string;
  readonly purpose: StreamPurpose;
}

/** Location of the daemon that receives a message. */
export interface Recipient {
  readonly dataCentre: string;
  readonly region: string;
}

function sortSummaries(summaries: readonly Member.Summary[]): readonly Member.Summary[] {
  return [...summaries].sort((a, b) => (a.scope < b.scope ? -1 : 1));
}

function isPreferred(a: Member.KnownSummary, b: Member.KnownSummary): boolean {
  if (a.lastUpdateMs !== b.lastUpdateMs) return a.lastUpdateMs > b.lastUpdateMs;
  return a.summary.author < b.summary.author;
}

/**
 * Chooses the newest summary of each scope, so that the daemons of a scope are counted only once
 * when several relays summarize it.
 */
export function chooseSummaries(
  known: ReadonlyMap<string, Member.KnownSummary>,
): readonly Member.Summary[] {
  const byScope = new Map<string, Member.KnownSummary>();
  [...known.values()].filter(({ stale }) => !stale).forEach((candidate) => {
    const best = byScope.get(candidate.summary.scope);
    if (best === undefined || isPreferred(candidate, best)) {
      byScope.set(candidate.summary.scope, candidate);
    }
  });
  return sortSummaries([...byScope.values()].map(({ summary }) => summary));
}

function sumValues(
  all: readonly Readonly<Record<string, number>>[],
): Readonly<Record<string, number>> {
  const sums = new Map<string, number>();
  all.flatMap((values) => Object.entries(values)).forEach(([name, value]) => {
    sums.set(name, (sums.get(name) ?? 0) + value);
  });
  return Object.fromEntries(sums);
}

/** Builds the summary of the local data centre; undefined when this daemon is not a relay. */
export function buildDataCentreSummary(
  state: MembershipState.MembershipState,
  localValues: Readonly<Record<string, number>>,
): Member.Summary | undefined {
  const relays = MembershipState.chooseLocalRelays(state);
  const { self } = state;
  if (!relays.some(({ daemonId }) => daemonId === self.daemonId)) return undefined;
  const localMembers = MembershipState.listLocalMembers(state);
  const live = localMembers.filter(({ status }) => status === Member.STATUS.live);
  return {
    addresses: relays.map(({ address }) => address),
    author: self.daemonId,
    dataCentres: [self.dataCentre],
    incarnation: self.incarnation,
    leaving: localMembers.filter(({ status }) => status === Member.STATUS.leaving).length,
    live: live.length,
    scope: self.dataCentre,
    sequence: self.sequence,
    values: sumValues([
      localValues, ...live.map(({ daemonId }) => state.reports.get(daemonId)?.values ?? {}),
    ]),
  };
}

/**
 * Lists the summaries of the data centres of the local region. A relay replaces that of its data
 * centre with one built from its local state.
 */
export function listDataCentres(
  state: MembershipState.MembershipState,
  localValues: Readonly<Record<string, number>>,
): readonly Member.Summary[] {
  const local = buildDataCentreSummary(state, localValues);
  const known = chooseSummaries(state.dataCentres);
  if (local === undefined) return known;
  return sortSummaries([...known.filter(({ scope }) => scope !== local.scope), local]);
}

/**
 * True when this daemon represents its region to other regions: it is the highest ranked relay of
 * the highest ranked data centre. The prefix `speaker/` is an input of the ranking, so another
 * prefix would choose other relays.
 */
function isRegionRelay(
  state: MembershipState.MembershipState,
  dataCentres: readonly Member.Summary[],
): boolean {
  const [first] = Core.rankCandidates(
    `speaker/${state.self.region}`,
    dataCentres.map(({ scope }) => scope),
  );
  const [relay] = MembershipState.chooseLocalRelays(state);
  return first === state.self.dataCentre && relay?.daemonId === state.self.daemonId;
}

/** Builds the summary of the local region; undefined when this daemon is not its region relay. */
export function buildRegionSummary(
  state: MembershipState.MembershipState,
  localValues: Readonly<Record<string, number>>,
): Member.Summary | undefined {
  const dataCentres = listDataCentres(state, localValues);
  if (!isRegionRelay(state, dataCentres)) return undefined;
  return {
    addresses: [state.self.address],
    author: state.self.daemonId,
    dataCentres: dataCentres.map(({ scope }) => scope),
    incarnation: state.self.incarnation,
    leaving: dataCentres.reduce((sum, { leaving }) => sum + leaving, 0),
    live: dataCentres.reduce((sum, { live }) => sum + live, 0),
    scope: state.self.region,
    sequence: state.self.sequence,
    values: sumValues(dataCentres.map(({ values }) => values)),
  };
}

/**
 * Lists the summaries of all known regions. The region relay replaces that of its region with one
 * built from its local state.
 */
export function listRegions(
  state: MembershipState.MembershipState,
  localValues: Readonly<Record<string, number>>,
): readonly Member.Summary[] {
  const local = buildRegionSummary(state, localValues);
  const known = chooseSummaries(state.regions);
  if (local === undefined) return known;
  return sortSummaries([...known.filter(({ scope }) => scope !== local.scope), local]);
}

/**
 * Builds the digest for a peer. A peer in another region gets region summaries only; a peer in the
 * same region also gets data-centre summaries and the members of the local data centre.
 */
export function buildDigest(
  state: MembershipState.MembershipState,
  recipient: Recipient,
  localValues: Readonly<Record<string, number>>,
): Digest {
  const regions = listRegions(state, localValues);
  if (recipient.region !== state.self.region) return { dataCentres: [], members: [], regions };
  const members = MembershipState.listLocalMembers(state)
    .filter(({ daemonId }) => daemonId !== state.self.daemonId);
  return { dataCentres: listDataCentres(state, localValues), members, regions };
}

/** Address of a daemon from the settings or the VM list; only the list gives the data centre. */
export interface Seed {
  readonly address: string;
  readonly dataCentre: string | undefined;
}

/** Input of `planStreams`. */
export interface StreamPlanInput {
  readonly state: MembershipState.MembershipState;
  readonly seeds: readonly Seed[];
  /** Number of heartbeat intervals since the start; selects the unknown seed to probe. */
  readonly intervalCount: number;
}

/**
 * Lists the seeds to which the membership state gives no route. A seed or member of another data
 * centre counts as known while a summary covers that data centre, because the summary names the
 * relays to which streams are opened. A converged fleet therefore probes no seeds of the VM list.
 */
function listUnknownSeeds({ seeds, state }: StreamPlanInput): readonly Seed[] {
  const summaries = [...chooseSummaries(state.dataCentres), ...chooseSummaries(state.regions)];
  const covered = new Set(summaries.flatMap(({ dataCentres }) => dataCentres));
  const members = [...state.members.values()].map(({ member }) => member);
  // A summary may still name a relay that this daemon has marked as lost. Its address is probed
  // again.
  const lost = new Set(members
    .filter(({ status }) => status === Member.STATUS.lost)
    .map(({ address }) => address));
  const known = new Set([
    state.self.address,
    ...members
      .filter(({ dataCentre }) => dataCentre === state.self.dataCentre || covered.has(dataCentre))
      .map(({ address }) => address),
    ...summaries.flatMap(({ addresses }) => addresses),
  ].filter((address) => !lost.has(address)));
  return seeds.filter(({ address, dataCentre }) => {
    if (known.has(address)) return false;
    return dataCentre === state.self.dataCentre || !covered.has(dataCentre ?? '');
  });
}

/** Number of heartbeat intervals for which one unknown seed is probed. */
const PROBE_INTERVALS = 3;

/**
 * Chooses the unknown seed to probe, in rotation. A daemon that knows no other member of its data
 * centre probes seeds of that data centre first, because any of them can name the relays.
 */
function chooseProbeTarget(input: StreamPlanInput): readonly StreamTarget[] {
  const { intervalCount, state } = input;
  const unknown = listUnknownSeeds(input);
  const localSeeds = MembershipState.listLocalMembers(state).length > 1
    ? []
    : unknown.filter(({ dataCentre }) => dataCentre === state.self.dataCentre);
  const candidates = localSeeds.length > 0 ? localSeeds : unknown;
  const index = Math.floor(intervalCount / PROBE_INTERVALS) % Math.max(1, candidates.length);
  const address = candidates[index]?.address;
  return address === undefined ? [] : [{ address, purpose: 'probe' }];
}

/** Plans the streams that this daemon opens. Streams that peers open to it are not included. */
export function planStreams(input: StreamPlanInput): readonly StreamTarget[] {
  const { state } = input;
  const { self } = state;
  const relays = MembershipState.chooseLocalRelays(state);
  const isLocalRelay = relays.some(({ daemonId }) => daemonId === self.daemonId);
  const localAddresses = new Set(
    MembershipState.listLocalMembers(state).map(({ address }) => address),
  );
  const summaries = chooseSummaries(state.dataCentres);
  // Relays of the local data centre that a summary names but that are not known as members yet.
  const unknownRelays = summaries
    .filter(({ scope }) => scope === self.dataCentre)
    .flatMap(({ addresses }) => addresses)
    .filter((address) => !localAddresses.has(address));
  const targets: readonly StreamTarget[] = [
    ...[...relays.map(({ address }) => address), ...unknownRelays]
      .map((address) => ({ address, purpose: 'relay' as const })),
    ...isLocalRelay ? summaries
      .filter(({ scope }) => scope !== self.dataCentre)
      .flatMap(({ addresses }) => addresses.slice(0, 1))
      .map((address) => ({ address, purpose: 'region' as const })) : [],
    ...isRegionRelay(state, listDataCentres(state, {})) ? chooseSummaries(state.regions)
      .filter(({ scope }) => scope !== self.region)
      .flatMap(({ addresses }) => addresses.slice(0, 1))
      .map((address) => ({ address, purpose: 'between-regions' as const })) : [],
    ...isLocalRelay ? chooseProbeTarget(input) : [],
  ];
  const plannedAddresses = new Set([self.address]);
  return targets.filter(({ address }) => {
    if (plannedAddresses.has(address)) return false;
    plannedAddresses.add(address);
    return true;
  });
}
