/**
 * Membership state of one daemon as pure functions. For each daemon the greatest record is kept, so
 * the result does not depend on the order or repetition of messages, and a later message makes up
 * for lost ones.
 */
import * as Core from '@berylyoke/core';
import * as Member from './Member.js';

/** Number of relays in each data centre. */
export const RELAY_COUNT = 2;

/**
 * Time for which the records of lost and leaving daemons and stale summaries are kept, in
 * milliseconds, so that a late message about them has no effect. A message cannot be delayed for
 * longer than the time after which a silent connection is closed.
 */
const TOMBSTONE_RETENTION_MS = 600_000;

/**
 * A summary is stale when it has not advanced for this multiple of `suspectMs`. The multiple allows
 * for the up to three relays that forward a summary.
 */
const SUMMARY_TIMEOUT_FACTOR = 5;

/** Payloads and values that a relay last received from a member, with their version. */
export interface MemberReport {
  readonly incarnation: string;
  readonly sequence: number;
  readonly parts: Readonly<Record<string, Uint8Array>>;
  readonly values: Readonly<Record<string, number>>;
}

/** Merge rules, replaceable so that tests can run with a single rule weakened. */
export interface MergeRules {
  /** True when the received record replaces the known one. */
  readonly isNewer: (received: Member.Member, known: Member.Member) => boolean;
}

export const MERGE_RULES: MergeRules = {
  isNewer: (received, known) => Member.compareMembers(received, known) > 0,
};

/**
 * Membership state of one daemon. `members` and `reports` are keyed by daemon id, the summaries by
 * `<scope>/<author>`.
 */
export interface MembershipState {
  readonly self: Member.Member;
  readonly members: ReadonlyMap<string, Member.KnownMember>;
  readonly reports: ReadonlyMap<string, MemberReport>;
  readonly dataCentres: ReadonlyMap<string, Member.KnownSummary>;
  readonly regions: ReadonlyMap<string, Member.KnownSummary>;
  /** Monotonic time since which messages are expected on a direct stream, by daemon id. */
  readonly watched: ReadonlyMap<string, Core.Millis>;
}

/** Member records and summaries of a message. */
export interface MembershipUpdate {
  readonly sender: Member.Member;
  readonly members: readonly Member.Member[];
  readonly dataCentres: readonly Member.Summary[];
  readonly regions: readonly Member.Summary[];
}

/** Payloads and values that a member reports to a relay of its data centre. */
export interface HeartbeatReport {
  readonly sender: Member.Member;
  readonly parts: Readonly<Record<string, Uint8Array>>;
  readonly values: Readonly<Record<string, number>>;
}

/** Creates the state of a daemon that knows only itself. */
export function createMembershipState(self: Member.Member): MembershipState {
  return {
    dataCentres: new Map(),
    members: new Map(),
    regions: new Map(),
    reports: new Map(),
    self,
    watched: new Map(),
  };
}

/**
 * Handles a record of this daemon that a peer sent. When it has another status for the current
 * incarnation, the sequence is raised above it, so that the next message overrides the record.
 */
function applySelfRecord(state: MembershipState, received: Member.Member): MembershipState {
  const isSameIncarnation = received.incarnation === state.self.incarnation;
  if (
    !isSameIncarnation
    || received.sequence < state.self.sequence
    || received.status === state.self.status
  ) {
    return state;
  }
  return { ...state, self: { ...state.self, sequence: received.sequence + 1 } };
}

/** Merges one member record. A record of a daemon in another region is ignored. */
function applyMember(
  state: MembershipState,
  received: Member.Member,
  nowMs: Core.Millis,
  rules: MergeRules,
): MembershipState {
  if (received.daemonId === state.self.daemonId) return applySelfRecord(state, received);
  if (received.region !== state.self.region) return state;
  const known = state.members.get(received.daemonId);
  if (known !== undefined && !rules.isNewer(received, known.member)) return state;
  const isNewVersion = known === undefined || Member.compareVersions(received, known.member) > 0;
  return {
    ...state,
    members: new Map(state.members).set(received.daemonId, {
      lastUpdateMs: isNewVersion ? nowMs : known.lastUpdateMs, member: received,
    }),
  };
}

function mergeSummaries(
  known: ReadonlyMap<string, Member.KnownSummary>,
  received: readonly Member.Summary[],
  nowMs: Core.Millis,
): ReadonlyMap<string, Member.KnownSummary> {
  const newer = received.filter((summary) => {
    const old = known.get(`${summary.scope}/${summary.author}`);
    return old === undefined || Member.compareVersions(summary, old.summary) > 0;
  });
  if (newer.length === 0) return known;
  return new Map([...known, ...newer.map((summary) => [
    `${summary.scope}/${summary.author}`, { lastUpdateMs: nowMs, stale: false, summary },
  ] as const)]);
}

/** Stores the report of a member of the local data centre unless a newer one is already stored. */
export function applyReport(
  state: MembershipState,
  { parts, sender, values }: HeartbeatReport,
): MembershipState {
  const known = state.reports.get(sender.daemonId);
  if (sender.dataCentre !== state.self.dataCentre) return state;
  if (known !== undefined && Member.compareVersions(sender, known) <= 0) return state;
  const { incarnation, sequence } = sender;
  return {
    ...state,
    reports: new Map(state.reports).set(sender.daemonId, {
      incarnation, parts, sequence, values,
    }),
  };
}

/** True when a newer incarnation of the sender is known. */
export function isFromOldIncarnation(state: MembershipState, sender: Member.Member): boolean {
  const known = state.members.get(sender.daemonId);
  return known !== undefined
    && Member.compareIncarnations(sender.incarnation, known.member.incarnation) < 0;
}

/** Merges the records of a message. A message from an old incarnation of its sender is ignored. */
export function applyUpdate(
  state: MembershipState,
  update: MembershipUpdate,
  nowMs: Core.Millis,
  rules: MergeRules = MERGE_RULES,
): MembershipState {
  if (isFromOldIncarnation(state, update.sender)) return state;
  const merged = [update.sender, ...update.members].reduce((current, member) => (
    applyMember(current, member, nowMs, rules)
  ), state);
  return {
    ...merged,
    dataCentres: mergeSummaries(merged.dataCentres, update.dataCentres, nowMs),
    regions: mergeSummaries(merged.regions, update.regions, nowMs),
  };
}

/** Lists the members of the local data centre, including this daemon, sorted by daemon id. */
export function listLocalMembers({ members, self }: MembershipState): readonly Member.Member[] {
  return [self, ...[...members.values()].map(({ member }) => member)]
    .filter(({ dataCentre }) => dataCentre === self.dataCentre)
    .sort((a, b) => (a.daemonId < b.daemonId ? -1 : 1));
}

/** Chooses the relays of a data centre among its live members, the highest ranked first. */
export function chooseRelays(
  dataCentre: string,
  members: readonly Member.Member[],
): readonly Member.Member[] {
  const live = new Map(members
    .filter((member) => member.dataCentre === dataCentre && member.status === Member.STATUS.live)
    .map((member) => [member.daemonId, member]));
  return Core.rankCandidates(`relay/${dataCentre}`, [...live.keys()])
    .slice(0, RELAY_COUNT)
    .flatMap((daemonId) => live.get(daemonId) ?? []);
}

/** Chooses the relays of the local data centre, the highest ranked first. */
export function chooseLocalRelays(state: MembershipState): readonly Member.Member[] {
  return chooseRelays(state.self.dataCentre, listLocalMembers(state));
}

/** True when this daemon is a relay according to its local state. */
export function isRelay(state: MembershipState): boolean {
  return chooseLocalRelays(state).some(({ daemonId }) => daemonId === state.self.daemonId);
}

/** Marks a daemon as lost, keeping the version of its last known record. */
export function markLost(state: MembershipState, daemonId: string): MembershipState {
  const known = state.members.get(daemonId);
  if (known === undefined || known.member.status === Member.STATUS.lost) return state;
  return {
    ...state,
    members: new Map(state.members).set(daemonId, {
      ...known, member: { ...known.member, status: Member.STATUS.lost },
    }),
  };
}

type Summaries = ReadonlyMap<string, Member.KnownSummary>;

/** Marks summaries that stopped advancing as stale, and removes them after the retention time. */
function expireSummaries(
  known: Summaries,
  nowMs: Core.Millis,
  staleAfterMs: Core.Millis,
): Summaries {
  const isExpiring = ({ lastUpdateMs, stale }: Member.KnownSummary): boolean => (
    (!stale && nowMs - lastUpdateMs > staleAfterMs) || nowMs - lastUpdateMs > TOMBSTONE_RETENTION_MS
  );
  if (![...known.values()].some(isExpiring)) return known;
  return new Map([...known]
    .filter(([, { lastUpdateMs }]) => nowMs - lastUpdateMs <= TOMBSTONE_RETENTION_MS)
    .map(([key, summary]) => [key, isExpiring(summary) ? { ...summary, stale: true } : summary]));
}

/** Lists the daemons to watch: a relay watches its whole data centre, other members the relays. */
function listWatchedMembers(state: MembershipState): readonly Member.Member[] {
  return (isRelay(state) ? listLocalMembers(state) : chooseLocalRelays(state))
    .filter(({ daemonId }) => daemonId !== state.self.daemonId);
}

/**
 * Applies time-outs: a watched daemon without an update for `suspectMs` is marked as lost,
 * summaries that stopped advancing become stale, and records past their retention are removed.
 */
export function applyTimeouts(
  state: MembershipState,
  nowMs: Core.Millis,
  suspectMs: Core.Millis,
): MembershipState {
  // The time-out starts when a daemon is first watched; no messages were expected before.
  const watched = new Map(listWatchedMembers(state).map(({ daemonId }) => (
    [daemonId, state.watched.get(daemonId) ?? nowMs]
  )));
  const timedOut = [...watched].filter(([daemonId, sinceMs]) => (
    nowMs - Math.max(sinceMs, state.members.get(daemonId)?.lastUpdateMs ?? sinceMs) > suspectMs
  ));
  const withLost = timedOut.reduce((current, [daemonId]) => markLost(current, daemonId), state);
  const members = new Map([...withLost.members].filter(([, { lastUpdateMs, member }]) => (
    member.status === Member.STATUS.live || nowMs - lastUpdateMs <= TOMBSTONE_RETENTION_MS
  )));
  const hasRemovedMembers = members.size !== withLost.members.size;
  return {
    ...withLost,
    dataCentres: expireSummaries(withLost.dataCentres, nowMs, SUMMARY_TIMEOUT_FACTOR * suspectMs),
    members: hasRemovedMembers ? members : withLost.members,
    regions: expireSummaries(withLost.regions, nowMs, SUMMARY_TIMEOUT_FACTOR * suspectMs),
    reports: hasRemovedMembers
      ? new Map([...withLost.reports].filter(([daemonId]) => members.has(daemonId)))
      : withLost.reports,
    watched,
  };
}
