/**
 * Gauges of the load by the daemons of a fleet, as one daemon knows them: its own load, the newest
 * report of each daemon that reports to it, and the newest answer of the daemon that it reports to.
 * A report replaces the previous one of its daemon and expires if it is not renewed, so a lost
 * message makes the sums older and counts nothing twice. Reports go up the tree from daemons to
 * relays to root relays, and answers without the asking daemon's own part come down.
 */
import type * as Core from '@berylyoke/core';
import * as AccountDemands from './AccountDemands.js';
import * as FleetOutcomes from './FleetOutcomes.js';

/** Load of a server by requests with a prompt. */
export interface LoadAmounts {
  /** Uncached prompt tokens that were sent and have no first token yet. */
  readonly pendingPromptTokens: number;
  /** Requests in progress. */
  readonly requests: number;
  /** Tokens held in the memory of the server: prompt plus allowed output. */
  readonly heldTokens: number;
}

/** Load of one incarnation of a server (`ServerTable.formatIncarnation`). */
export interface ServerLoad extends LoadAmounts {
  readonly server: string;
}

/**
 * Whose load a report contains: that of one daemon, of a relay and its readers, or of a relay that
 * reads the store and all daemons below it.
 */
export type LoadScope = 'daemon' | 'relay' | 'root';

/** Report of the load by one or more daemons. */
export interface LoadReport {
  /** Daemon that sends the report. */
  readonly daemonId: string;
  readonly scope: LoadScope;
  readonly servers: readonly ServerLoad[];
  readonly demands: readonly AccountDemands.AccountDemand[];
  /** Age of the sum in an answer; undefined unless the sum contains the load by the fleet. */
  readonly ageMs: Core.Millis | undefined;
}

/**
 * Age at which a report or an answer is discarded. Three exchanges of a daemon, every 700 ms, may
 * be lost until then; a daemon that ended is counted for as long.
 */
export const MAX_LOAD_AGE_MS = 2_500;

/**
 * Time after which a relay that begins to read the store has the reports of all daemons below it;
 * each reports every 700 ms.
 */
const ROOT_WARM_UP_MS = 1_500;

/** Pause between two updates of the scope, every 350 ms, that shows that the process was frozen. */
const MAX_UPDATE_PAUSE_MS = 1_200;

/** Amount at one server above which a report of it is ignored as invalid. */
const MAX_AMOUNT = 10_000_000;

/** Maximum number of daemons whose reports are kept; a root relay has 16 readers and 8 relays. */
const MAX_REPORTERS = 64;

const MAX_NAME_LENGTH = 256;

const SCOPE_RANKS: Readonly<Record<LoadScope, number>> = { daemon: 0, relay: 1, root: 2 };

export const NO_LOAD: LoadAmounts = { heldTokens: 0, pendingPromptTokens: 0, requests: 0 };

function isPlausibleAmount(amount: number): boolean {
  return amount >= 0 && amount <= MAX_AMOUNT;
}

/** Checks whether the load of a server from another daemon is within the bounds. */
export function isPlausibleLoad({
  heldTokens, pendingPromptTokens, requests, server,
}: ServerLoad): boolean {
  return server !== '' && server.length <= MAX_NAME_LENGTH && isPlausibleAmount(heldTokens)
    && isPlausibleAmount(pendingPromptTokens) && isPlausibleAmount(requests);
}

/**
 * Clamps the change of an amount to an integer within the bounds. A caller states the tokens of its
 * prompt, and they may be any number. Truncation, unlike rounding, is the same for both signs.
 */
function clampChange(change: number): number {
  return Number.isNaN(change) ? 0 : Math.trunc(Math.min(MAX_AMOUNT, Math.max(-MAX_AMOUNT, change)));
}

/** Adds `sign` times a load to sums by server; servers without load are removed. */
function addTo(sums: Map<string, LoadAmounts>, server: string, load: LoadAmounts, sign = 1): void {
  const known = sums.get(server) ?? NO_LOAD;
  const heldTokens = known.heldTokens + sign * load.heldTokens;
  const pendingPromptTokens = known.pendingPromptTokens + sign * load.pendingPromptTokens;
  const requests = known.requests + sign * load.requests;
  if (heldTokens === 0 && pendingPromptTokens === 0 && requests === 0) sums.delete(server);
  else sums.set(server, { heldTokens, pendingPromptTokens, requests });
}

function clampAmount(amount: number): number {
  return Math.min(MAX_AMOUNT, Math.max(0, amount));
}

/** Builds a list that fits into one message: the servers with the most requests. */
function listLoads(sums: ReadonlyMap<string, LoadAmounts>): readonly ServerLoad[] {
  const loads = [...sums].map(([server, load]): ServerLoad => ({
    heldTokens: clampAmount(load.heldTokens),
    pendingPromptTokens: clampAmount(load.pendingPromptTokens),
    requests: clampAmount(load.requests),
    server,
  })).filter(({ heldTokens, pendingPromptTokens, requests }) => (
    heldTokens > 0 || pendingPromptTokens > 0 || requests > 0
  ));
  if (loads.length <= FleetOutcomes.MAX_SERVERS) return loads;
  return loads.sort((a, b) => b.requests - a.requests).slice(0, FleetOutcomes.MAX_SERVERS);
}

/** A list of demands as of a time. */
interface TimedDemands {
  readonly demands: readonly AccountDemands.AccountDemand[];
  readonly atMs: Core.Millis;
}

function sumDemands(
  parts: readonly TimedDemands[],
  nowMs: Core.Millis,
): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  parts.forEach(({ atMs, demands }) => {
    const decay = AccountDemands.computeDemandDecay(nowMs - atMs);
    demands.forEach(({ account, promptTokens }) => {
      sums.set(account, (sums.get(account) ?? 0) + promptTokens * decay);
    });
  });
  return sums;
}

/** The newest report of another daemon. */
interface Reporter extends TimedDemands {
  readonly scope: LoadScope;
  readonly servers: readonly ServerLoad[];
}

/** The newest answer of the daemon that this one reports to. */
interface View extends TimedDemands {
  readonly servers: ReadonlyMap<string, LoadAmounts>;
}

const NO_VIEW: View = { atMs: -Infinity, demands: [], servers: new Map() };

/** Gauges at one daemon. */
export interface LoadGauges {
  /** Adds a change of this daemon's own load. */
  readonly addOwn: (server: string, change: LoadAmounts) => void;
  readonly addDemand: (account: string, promptTokens: number, nowMs: Core.Millis) => void;
  /**
   * Sets the place of this daemon in the tree. Called at least once per exchange, because a root
   * relay that was frozen has to wait again for the reports of the others.
   */
  readonly setScope: (scope: LoadScope, nowMs: Core.Millis) => void;
  /** Builds the report of this daemon to the one above it. */
  readonly buildReport: (nowMs: Core.Millis) => LoadReport;
  /** Keeps the report of another daemon; returns the answer to it. */
  readonly receiveReport: (report: LoadReport, nowMs: Core.Millis) => LoadReport;
  /** Applies the answer to a report that was sent at `sentMs`. */
  readonly applyAnswer: (answer: LoadReport, sentMs: Core.Millis) => void;
  /** Returns the load of a server by all daemons that this one knows of. */
  readonly getLoad: (server: string, nowMs: Core.Millis) => LoadAmounts;
  /** Sums the demands of all accounts, in prompt tokens. */
  readonly sumDemands: (nowMs: Core.Millis) => ReadonlyMap<string, number>;
  /** Returns the age of what is known of the whole fleet; infinite if nothing is. */
  readonly getAge: (nowMs: Core.Millis) => Core.Millis;
  readonly countReporters: (nowMs: Core.Millis) => number;
  /** Counts the entries of other daemons that were ignored as invalid. */
  readonly countInvalid: () => number;
}

/** Creates the gauges of a daemon that has no contact with others yet. */
export function createLoadGauges(daemonId: string): LoadGauges {
  const own = new Map<string, LoadAmounts>();
  const ownDemands = AccountDemands.createAccountDemands();
  const reporters = new Map<string, Reporter>();
  /** Sums of all reports, kept up to date with each of them. */
  const reported = new Map<string, LoadAmounts>();
  let view = NO_VIEW;
  let scope: LoadScope = 'daemon';
  let rootSinceMs = Infinity;
  let updatedMs = -Infinity;
  let nextExpiryMs = Infinity;
  let invalid = 0;

  const removeReporter = (id: string): void => {
    reporters.get(id)?.servers.forEach((load) => addTo(reported, load.server, load, -1));
    reporters.delete(id);
  };
  const expireReporters = (nowMs: Core.Millis): void => {
    if (nowMs < nextExpiryMs) return;
    nextExpiryMs = Infinity;
    reporters.forEach(({ atMs }, id) => {
      const expiryMs = atMs + MAX_LOAD_AGE_MS;
      if (nowMs >= expiryMs) removeReporter(id);
      else nextExpiryMs = Math.min(nextExpiryMs, expiryMs);
    });
  };
  const getAge = (nowMs: Core.Millis): Core.Millis => {
    if (scope !== 'root') return nowMs - view.atMs;
    expireReporters(nowMs);
    // A root relay that no daemon reports to is cut off from the fleet.
    const isReady = nowMs - rootSinceMs >= ROOT_WARM_UP_MS
      && nowMs - updatedMs <= MAX_UPDATE_PAUSE_MS && reporters.size > 0;
    return isReady ? 0 : Infinity;
  };
  const hasView = (nowMs: Core.Millis): boolean => nowMs - view.atMs <= MAX_LOAD_AGE_MS;
  const filterValid = <T>(list: readonly T[], isValid: (each: T) => boolean): readonly T[] => {
    const valid = list.filter(isValid);
    invalid += list.length - valid.length;
    return valid;
  };
  /** Filters the loads of a message; a repeated server would be counted twice. */
  const filterLoads = (list: readonly ServerLoad[]): readonly ServerLoad[] => {
    const valid = filterValid(list.slice(0, FleetOutcomes.MAX_SERVERS), isPlausibleLoad);
    return [...new Map(valid.map((load) => [load.server, load])).values()];
  };
  const filterDemands: (
    list: readonly AccountDemands.AccountDemand[],
  ) => readonly AccountDemands.AccountDemand[] = (list) => (
    filterValid(list.slice(0, AccountDemands.MAX_ACCOUNTS), AccountDemands.isPlausibleDemand)
  );
  /** A report is accepted from below, and by a root relay from another one. */
  const canAccept = (report: LoadReport): boolean => (
    report.daemonId !== '' && report.daemonId !== daemonId
      && report.daemonId.length <= MAX_NAME_LENGTH
      && (SCOPE_RANKS[report.scope] < SCOPE_RANKS[scope]
        || (report.scope === 'root' && scope === 'root'))
  );
  const keepReport = (report: LoadReport, nowMs: Core.Millis): boolean => {
    expireReporters(nowMs);
    const isNew = !reporters.has(report.daemonId);
    if (!canAccept(report) || (isNew && reporters.size >= MAX_REPORTERS)) return false;
    removeReporter(report.daemonId);
    const servers = filterLoads(report.servers);
    servers.forEach((load) => addTo(reported, load.server, load));
    reporters.set(report.daemonId, {
      atMs: nowMs, demands: filterDemands(report.demands), scope: report.scope, servers,
    });
    nextExpiryMs = Math.min(nextExpiryMs, nowMs + MAX_LOAD_AGE_MS);
    return true;
  };
  const buildReport = (nowMs: Core.Millis): LoadReport => {
    expireReporters(nowMs);
    const below = [...reporters.values()]
      .filter((reporter) => SCOPE_RANKS[reporter.scope] < SCOPE_RANKS[scope]);
    const sums = new Map(own);
    below.forEach(({ servers }) => servers.forEach((load) => addTo(sums, load.server, load)));
    const demands = sumDemands([{ atMs: nowMs, demands: ownDemands.list(nowMs) }, ...below], nowMs);
    return {
      ageMs: undefined,
      daemonId,
      demands: AccountDemands.listLargestDemands(demands),
      scope,
      servers: listLoads(sums),
    };
  };
  const listAllDemands = (nowMs: Core.Millis): readonly TimedDemands[] => [
    { atMs: nowMs, demands: ownDemands.list(nowMs) },
    ...reporters.values(),
    ...scope !== 'root' && hasView(nowMs) ? [view] : [],
  ];
  /** Builds the sum of all that is known but the part of one daemon. */
  const buildAnswer = (asker: Reporter, nowMs: Core.Millis): LoadReport => {
    const sums = new Map(reported);
    asker.servers.forEach((load) => addTo(sums, load.server, load, -1));
    own.forEach((load, server) => addTo(sums, server, load));
    if (scope !== 'root' && hasView(nowMs)) {
      view.servers.forEach((load, server) => addTo(sums, server, load));
    }
    const others = listAllDemands(nowMs).filter((part) => part !== asker);
    const ageMs = getAge(nowMs);
    return {
      ageMs: ageMs <= MAX_LOAD_AGE_MS ? ageMs : undefined,
      daemonId,
      demands: AccountDemands.listLargestDemands(sumDemands(others, nowMs)),
      scope,
      servers: listLoads(sums),
    };
  };
  return {
    addDemand: (account, promptTokens, nowMs) => {
      ownDemands.add(account, Math.max(0, clampChange(promptTokens)), nowMs);
    },
    addOwn: (server, change) => addTo(own, server, {
      heldTokens: clampChange(change.heldTokens),
      pendingPromptTokens: clampChange(change.pendingPromptTokens),
      requests: clampChange(change.requests),
    }),
    applyAnswer: (answer, sentMs) => {
      if (scope === 'root') {
        // The answer of another root relay contains its own daemons, as its reports do.
        if (answer.scope === 'root') keepReport(answer, sentMs);
        return;
      }
      const isFromAbove = SCOPE_RANKS[answer.scope] > SCOPE_RANKS[scope];
      if (!isFromAbove || answer.ageMs === undefined || !(answer.ageMs >= 0)) return;
      view = {
        atMs: sentMs - answer.ageMs,
        demands: filterDemands(answer.demands),
        servers: new Map(filterLoads(answer.servers).map((load) => [load.server, load])),
      };
    },
    buildReport,
    countInvalid: () => invalid,
    countReporters: (nowMs) => {
      expireReporters(nowMs);
      return reporters.size;
    },
    getAge,
    getLoad: (server, nowMs) => {
      expireReporters(nowMs);
      const parts = [own.get(server), reported.get(server),
        scope !== 'root' && hasView(nowMs) ? view.servers.get(server) : undefined];
      return parts.reduce<LoadAmounts>((sum, load = NO_LOAD) => ({
        heldTokens: sum.heldTokens + load.heldTokens,
        pendingPromptTokens: sum.pendingPromptTokens + load.pendingPromptTokens,
        requests: sum.requests + load.requests,
      }), NO_LOAD);
    },
    receiveReport: (report, nowMs) => {
      const isKept = keepReport(report, nowMs);
      const asker = reporters.get(report.daemonId);
      // Only the own part of each root relay is exchanged among them.
      if (report.scope === 'root' || !isKept || asker === undefined) return buildReport(nowMs);
      return buildAnswer(asker, nowMs);
    },
    setScope: (next, nowMs) => {
      const isInterrupted = scope !== next || nowMs - updatedMs > MAX_UPDATE_PAUSE_MS;
      if (next === 'root' && isInterrupted) rootSinceMs = nowMs;
      scope = next;
      updatedMs = nowMs;
    },
    sumDemands: (nowMs) => {
      expireReporters(nowMs);
      return sumDemands(listAllDemands(nowMs), nowMs);
    },
  };
}
