/** Which streams a daemon holds open, and what it says on each; both follow from its view. */
import * as Core from '@berylyoke/core';
import * as Member from './Member.js';
import * as MembershipState from './MembershipState.js';

/** What a message says besides the sender's own state. */
export interface Digest {
  readonly members: readonly Member.Member[];
  readonly dataCentres: readonly Member.Summary[];
  readonly regions: readonly Member.Summary[];
}

/** Why a stream is held open. */
export type Purpose = 'between-regions' | 'probe' | 'region' | 'relay';

/** A stream to hold open. */
export interface Target {
  readonly address: string;
  readonly purpose: Purpose;
}

/** Where the receiver of a message stands. */
export interface Audience {
  readonly dataCentre: string;
  readonly region: string;
}

function sortSummaries(summaries: readonly Member.Summary[]): readonly Member.Summary[] {
  return [...summaries].sort((a, b) => (a.scope < b.scope ? -1 : 1));
}

function isPreferred(a: Member.KnownSummary, b: Member.KnownSummary): boolean {
  if (a.heardMs !== b.heardMs) return a.heardMs > b.heardMs;
  return a.summary.author < b.summary.author;
}

/** Chooses one summary for each scope, the newest, so that those of two relays do not add up. */
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

/** Builds the summary of the own data centre; only a relay states one. */
export function buildOwnSummary(
  state: MembershipState.MembershipState,
  ownValues: Readonly<Record<string, number>>,
): Member.Summary | undefined {
  const relays = MembershipState.chooseOwnRelays(state);
  const { self } = state;
  if (!relays.some(({ daemonId }) => daemonId === self.daemonId)) return undefined;
  const neighbours = MembershipState.listNeighbours(state);
  const live = neighbours.filter(({ status }) => status === Member.STATUS.live);
  return {
    addresses: relays.map(({ address }) => address),
    author: self.daemonId,
    incarnation: self.incarnation,
    leaving: neighbours.filter(({ status }) => status === Member.STATUS.leaving).length,
    live: live.length,
    scope: self.dataCentre,
    sequence: self.sequence,
    values: sumValues([
      ownValues, ...live.map(({ daemonId }) => state.reports.get(daemonId)?.values ?? {}),
    ]),
  };
}

/** Lists the data centres of the own region, the own one as this daemon knows it. */
export function listDataCentres(
  state: MembershipState.MembershipState,
  ownValues: Readonly<Record<string, number>>,
): readonly Member.Summary[] {
  const own = buildOwnSummary(state, ownValues);
  const known = chooseSummaries(state.dataCentres);
  if (own === undefined) return known;
  return sortSummaries([...known.filter(({ scope }) => scope !== own.scope), own]);
}

/** True for the one relay that speaks for the region: the first of the first data centre. */
function isSpeaker(
  state: MembershipState.MembershipState,
  dataCentres: readonly Member.Summary[],
): boolean {
  const [first] = Core.rankCandidates(
    `speaker/${state.self.region}`,
    dataCentres.map(({ scope }) => scope),
  );
  const [relay] = MembershipState.chooseOwnRelays(state);
  return first === state.self.dataCentre && relay?.daemonId === state.self.daemonId;
}

/** Builds the sums of the own region; only its speaker states them. */
export function buildRegionSummary(
  state: MembershipState.MembershipState,
  ownValues: Readonly<Record<string, number>>,
): Member.Summary | undefined {
  const dataCentres = listDataCentres(state, ownValues);
  if (!isSpeaker(state, dataCentres)) return undefined;
  return {
    addresses: [state.self.address],
    author: state.self.daemonId,
    incarnation: state.self.incarnation,
    leaving: dataCentres.reduce((sum, { leaving }) => sum + leaving, 0),
    live: dataCentres.reduce((sum, { live }) => sum + live, 0),
    scope: state.self.region,
    sequence: state.self.sequence,
    values: sumValues(dataCentres.map(({ values }) => values)),
  };
}

/** Lists the regions, the own one as this daemon knows it. */
export function listRegions(
  state: MembershipState.MembershipState,
  ownValues: Readonly<Record<string, number>>,
): readonly Member.Summary[] {
  const own = buildRegionSummary(state, ownValues);
  const known = chooseSummaries(state.regions);
  if (own === undefined) return known;
  return sortSummaries([...known.filter(({ scope }) => scope !== own.scope), own]);
}

/** Builds what a daemon says to a peer: members inside a region, sums alone to other regions. */
export function buildDigest(
  state: MembershipState.MembershipState,
  audience: Audience,
  ownValues: Readonly<Record<string, number>>,
): Digest {
  const regions = listRegions(state, ownValues);
  if (audience.region !== state.self.region) return { dataCentres: [], members: [], regions };
  const members = MembershipState.listNeighbours(state)
    .filter(({ daemonId }) => daemonId !== state.self.daemonId);
  return { dataCentres: listDataCentres(state, ownValues), members, regions };
}

/** What the plan of streams looks at besides the view. */
export interface PlanInput {
  readonly state: MembershipState.MembershipState;
  /** Addresses from the settings and the VM list. */
  readonly seeds: readonly string[];
  /** Grows with each interval, so that unknown seeds are tried in turn. */
  readonly round: number;
}

/** Lists addresses that the view accounts for. */
function listKnownAddresses(state: MembershipState.MembershipState): ReadonlySet<string> {
  return new Set([
    state.self.address,
    ...[...state.members.values()]
      .filter(({ member }) => member.status !== Member.STATUS.lost)
      .map(({ member }) => member.address),
    ...[...state.dataCentres.values(), ...state.regions.values()]
      .flatMap(({ summary }) => summary.addresses),
  ]);
}

/** Heartbeat intervals for which one unknown seed is tried. */
const PROBE_ROUNDS = 3;

/** Chooses one address that the view does not account for, in turn. */
function chooseProbe({ round, seeds, state }: PlanInput): readonly Target[] {
  const known = listKnownAddresses(state);
  const unknown = seeds.filter((address) => !known.has(address));
  const address = unknown[Math.floor(round / PROBE_ROUNDS) % Math.max(1, unknown.length)];
  return address === undefined ? [] : [{ address, purpose: 'probe' }];
}

/** Plans the streams that a daemon opens. Those that others open to it come on top. */
export function planStreams(input: PlanInput): readonly Target[] {
  const { state } = input;
  const { self } = state;
  const relays = MembershipState.chooseOwnRelays(state);
  const relaying = relays.some(({ daemonId }) => daemonId === self.daemonId);
  const neighbours = new Set(MembershipState.listNeighbours(state).map(({ address }) => address));
  const summaries = chooseSummaries(state.dataCentres);
  // Relays of the own data centre that others know and this daemon does not yet.
  const strangers = summaries
    .filter(({ scope }) => scope === self.dataCentre)
    .flatMap(({ addresses }) => addresses)
    .filter((address) => !neighbours.has(address));
  const targets: readonly Target[] = [
    ...[...relays.map(({ address }) => address), ...strangers]
      .map((address) => ({ address, purpose: 'relay' as const })),
    ...relaying ? summaries
      .filter(({ scope }) => scope !== self.dataCentre)
      .flatMap(({ addresses }) => addresses.slice(0, 1))
      .map((address) => ({ address, purpose: 'region' as const })) : [],
    ...isSpeaker(state, listDataCentres(state, {})) ? chooseSummaries(state.regions)
      .filter(({ scope }) => scope !== self.region)
      .flatMap(({ addresses }) => addresses.slice(0, 1))
      .map((address) => ({ address, purpose: 'between-regions' as const })) : [],
    ...relaying ? chooseProbe(input) : [],
  ];
  const seen = new Set([self.address]);
  return targets.filter(({ address }) => {
    if (seen.has(address)) return false;
    seen.add(address);
    return true;
  });
}
