/**
 * View of the fleet that one daemon holds, as a pure fold. Statements are merged by their greatest
 * one, so that the order of messages, their repetition and the loss of some make no difference to
 * what a later message brings about.
 */
import * as Core from '@berylyoke/core';
import * as Member from './Member.js';

/** Relays of a data centre. */
export const RELAY_COUNT = 2;

/**
 * Time for which a lost or leaving daemon is remembered, so that a late message of it has no
 * effect, in milliseconds. Messages are held up for less than the bound of a silent connection.
 */
const FORGET_MS = 600_000;

/** Bounds of silence after which a summary is stale: it passes through up to three relays. */
const SUMMARY_BOUNDS = 5;

/** What a relay last received from a member besides its statement. */
export interface MemberReport {
  readonly incarnation: string;
  readonly sequence: number;
  readonly parts: Readonly<Record<string, Uint8Array>>;
  readonly values: Readonly<Record<string, number>>;
}

/** Rules of the merge; a table so that tests can weaken one at a time. */
export interface MergeRules {
  readonly isNewer: (stated: Member.Member, known: Member.Member) => boolean;
}

export const MERGE_RULES: MergeRules = {
  isNewer: (stated, known) => Member.compareMembers(stated, known) > 0,
};

/** State of membership in one daemon. Maps of summaries are keyed by scope and author. */
export interface MembershipState {
  readonly self: Member.Member;
  readonly members: ReadonlyMap<string, Member.KnownMember>;
  readonly reports: ReadonlyMap<string, MemberReport>;
  readonly dataCentres: ReadonlyMap<string, Member.KnownSummary>;
  readonly regions: ReadonlyMap<string, Member.KnownSummary>;
  /** Daemons that this one expects to hear on a stream of its own, and since when. */
  readonly watched: ReadonlyMap<string, Core.Millis>;
}

/** The parts of a message that the fold uses. */
export interface Statements {
  readonly sender: Member.Member;
  readonly members: readonly Member.Member[];
  readonly dataCentres: readonly Member.Summary[];
  readonly regions: readonly Member.Summary[];
}

/** What the opener of a stream reports to a relay of its data centre. */
export interface Report {
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

/** Merges a statement about the daemon itself: it speaks again with a greater sequence. */
function applyOwnStatement(state: MembershipState, stated: Member.Member): MembershipState {
  const isSame = stated.incarnation === state.self.incarnation;
  if (!isSame || stated.sequence < state.self.sequence || stated.status === state.self.status) {
    return state;
  }
  return { ...state, self: { ...state.self, sequence: stated.sequence + 1 } };
}

function applyMember(
  state: MembershipState,
  stated: Member.Member,
  nowMs: Core.Millis,
  rules: MergeRules,
): MembershipState {
  if (stated.daemonId === state.self.daemonId) return applyOwnStatement(state, stated);
  if (stated.region !== state.self.region) return state;
  const known = state.members.get(stated.daemonId);
  if (known !== undefined && !rules.isNewer(stated, known.member)) return state;
  const advanced = known === undefined || Member.compareStatements(stated, known.member) > 0;
  return {
    ...state,
    members: new Map(state.members).set(stated.daemonId, {
      heardMs: advanced ? nowMs : known.heardMs, member: stated,
    }),
  };
}

function mergeSummaries(
  known: ReadonlyMap<string, Member.KnownSummary>,
  stated: readonly Member.Summary[],
  nowMs: Core.Millis,
): ReadonlyMap<string, Member.KnownSummary> {
  const newer = stated.filter((summary) => {
    const old = known.get(`${summary.scope}/${summary.author}`);
    return old === undefined || Member.compareStatements(summary, old.summary) > 0;
  });
  if (newer.length === 0) return known;
  return new Map([...known, ...newer.map((summary) => [
    `${summary.scope}/${summary.author}`, { heardMs: nowMs, stale: false, summary },
  ] as const)]);
}

/** Keeps what a neighbour reports, unless a newer report of it was kept. */
export function applyReport(
  state: MembershipState,
  { parts, sender, values }: Report,
): MembershipState {
  const known = state.reports.get(sender.daemonId);
  if (sender.dataCentre !== state.self.dataCentre) return state;
  if (known !== undefined && Member.compareStatements(sender, known) <= 0) return state;
  const { incarnation, sequence } = sender;
  return {
    ...state,
    reports: new Map(state.reports).set(sender.daemonId, {
      incarnation, parts, sequence, values,
    }),
  };
}

/** True for a message of an incarnation that a newer one has replaced. */
export function isOutdated(state: MembershipState, sender: Member.Member): boolean {
  const known = state.members.get(sender.daemonId);
  return known !== undefined
    && Member.compareIncarnations(sender.incarnation, known.member.incarnation) < 0;
}

/** Merges a message. A message of a replaced incarnation changes nothing at all. */
export function applyStatements(
  state: MembershipState,
  statements: Statements,
  nowMs: Core.Millis,
  rules: MergeRules = MERGE_RULES,
): MembershipState {
  if (isOutdated(state, statements.sender)) return state;
  const merged = [statements.sender, ...statements.members].reduce((current, member) => (
    applyMember(current, member, nowMs, rules)
  ), state);
  return {
    ...merged,
    dataCentres: mergeSummaries(merged.dataCentres, statements.dataCentres, nowMs),
    regions: mergeSummaries(merged.regions, statements.regions, nowMs),
  };
}

/** Lists the members of the own data centre, itself included, in order of name. */
export function listNeighbours({ members, self }: MembershipState): readonly Member.Member[] {
  return [self, ...[...members.values()].map(({ member }) => member)]
    .filter(({ dataCentre }) => dataCentre === self.dataCentre)
    .sort((a, b) => (a.daemonId < b.daemonId ? -1 : 1));
}

/** Chooses the relays of a data centre among members that are live, the preferred one first. */
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

/** Chooses the relays of the own data centre. */
export function chooseOwnRelays(state: MembershipState): readonly Member.Member[] {
  return chooseRelays(state.self.dataCentre, listNeighbours(state));
}

/** True when this daemon is a relay in its own view. */
export function isRelay(state: MembershipState): boolean {
  return chooseOwnRelays(state).some(({ daemonId }) => daemonId === state.self.daemonId);
}

/** Marks a daemon as lost, at the sequence that was last heard. */
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

function applyAge(known: Summaries, nowMs: Core.Millis, staleAfterMs: Core.Millis): Summaries {
  const isDue = ({ heardMs, stale }: Member.KnownSummary): boolean => (
    (!stale && nowMs - heardMs > staleAfterMs) || nowMs - heardMs > FORGET_MS
  );
  if (![...known.values()].some(isDue)) return known;
  return new Map([...known]
    .filter(([, { heardMs }]) => nowMs - heardMs <= FORGET_MS)
    .map(([key, summary]) => [key, isDue(summary) ? { ...summary, stale: true } : summary]));
}

/** Lists the daemons to expect: all of the data centre for a relay, else the relays. */
function listWatched(state: MembershipState): readonly Member.Member[] {
  return (isRelay(state) ? listNeighbours(state) : chooseOwnRelays(state))
    .filter(({ daemonId }) => daemonId !== state.self.daemonId);
}

/**
 * Applies the passage of time: a daemon that is expected and has not been heard for `suspectMs` is
 * marked as lost, old summaries age out, and lost daemons are forgotten in the end.
 */
export function applyTime(
  state: MembershipState,
  nowMs: Core.Millis,
  suspectMs: Core.Millis,
): MembershipState {
  // The bound starts when a daemon is first expected: before, it was not to be heard.
  const watched = new Map(listWatched(state).map(({ daemonId }) => (
    [daemonId, state.watched.get(daemonId) ?? nowMs]
  )));
  const silent = [...watched].filter(([daemonId, sinceMs]) => (
    nowMs - Math.max(sinceMs, state.members.get(daemonId)?.heardMs ?? sinceMs) > suspectMs
  ));
  const marked = silent.reduce((current, [daemonId]) => markLost(current, daemonId), state);
  const members = new Map([...marked.members].filter(([, { heardMs, member }]) => (
    member.status === Member.STATUS.live || nowMs - heardMs <= FORGET_MS
  )));
  const isForgetting = members.size !== marked.members.size;
  return {
    ...marked,
    dataCentres: applyAge(marked.dataCentres, nowMs, SUMMARY_BOUNDS * suspectMs),
    members: isForgetting ? members : marked.members,
    regions: applyAge(marked.regions, nowMs, SUMMARY_BOUNDS * suspectMs),
    reports: isForgetting
      ? new Map([...marked.reports].filter(([daemonId]) => members.has(daemonId)))
      : marked.reports,
    watched,
  };
}
