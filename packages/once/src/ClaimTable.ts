/**
 * Fold of one stream `once-<shard>`. A claim wins when it is read while no other unreleased claim
 * of its key stands in the window. A claim that does not win is void for good but stands until its
 * writer releases it, so that whether a key is free depends on the records of the window alone: a
 * reader that started later may take a key for held that is free, never the other way round.
 *
 * Only the log's own timestamps expire claims, so readers of the same entries agree.
 */
import * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import * as Either from 'effect/Either';
import * as HashMap from 'effect/HashMap';
import * as List from 'effect/List';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import * as OnceRecords from './OnceRecords.js';

/** Expiry works on spans of this many parts of the window. */
const BUCKETS_PER_WINDOW = 32;

/** Bounds of a table. All daemons use the same `windowMs`. */
export interface ClaimTableLimits {
  /** Time for which a key is remembered, in milliseconds of the log's timestamps. */
  readonly windowMs: Core.Millis;
  /** Bytes of stored bodies (base64); later bodies are not kept. */
  readonly storedBodyBytes: number;
}

/** A claim that stands: neither released nor expired. */
export interface StandingClaim {
  readonly claimId: string;
  readonly bodyDigest: string;
  readonly writer: Core.Writer;
  /** No other claim stood when this one was read, and the whole window had been read. */
  readonly won: boolean;
  readonly outcome: OnceRecords.Outcome | undefined;
}

interface Expiring {
  readonly keyDigest: string;
  readonly claimId: string;
  readonly held: 'claim' | 'release';
}

/** State of one shard after the entries up to `offset`. */
export interface ClaimTable {
  readonly limits: ClaimTableLimits;
  /** Offset of the last entry that was applied; -1 before the first one. */
  readonly offset: number;
  /** Greatest timestamp of an applied entry, in milliseconds; 0 before the first one. */
  readonly nowMs: Core.Millis;
  /** Claims that stand, by key digest, in log order; never an empty list. */
  readonly keys: HashMap.HashMap<string, readonly StandingClaim[]>;
  /** Writers of released claims, by claim id, read before or after the claim itself. */
  readonly released: HashMap.HashMap<string, Core.Writer>;
  /** What was added in each span of time, by the number of the span. */
  readonly expiring: ReadonlyMap<number, List.List<Expiring>>;
  readonly claimCount: number;
  readonly storedBytes: number;
  /** Records of a known kind that did not decode. */
  readonly skipped: number;
  /**
   * Timestamp from which on every entry was read, after the reader lost a part of the stream;
   * `complete` when nothing was lost, `unread` when nothing was read since.
   */
  readonly covered: Core.Millis | 'complete' | 'unread';
}

/** How a call with a given key and body stands. */
export type Standing = { readonly _tag: 'Answered'; readonly answer: OnceRecords.StoredAnswer }
  | { readonly _tag: 'BodyDiffers' }
  | { readonly _tag: 'Free' }
  | { readonly _tag: 'Held'; readonly claim: StandingClaim }
  | { readonly _tag: 'Unknown' };

/** Creates the table before the first entry. */
export function createClaimTable(limits: ClaimTableLimits): ClaimTable {
  return {
    claimCount: 0,
    covered: 'complete',
    expiring: new Map(),
    keys: HashMap.empty(),
    limits,
    nowMs: 0,
    offset: -1,
    released: HashMap.empty(),
    skipped: 0,
    storedBytes: 0,
  };
}

function countStoredBytes(claims: readonly StandingClaim[]): number {
  return claims.reduce((sum, { outcome }) => (
    sum + (outcome?._tag === 'StoredAnswer' ? outcome.body?.length ?? 0 : 0)
  ), 0);
}

function listClaims(table: ClaimTable, keyDigest: string): readonly StandingClaim[] {
  return Option.getOrElse(HashMap.get(table.keys, keyDigest), () => []);
}

function setClaims(
  table: ClaimTable,
  keyDigest: string,
  claims: readonly StandingClaim[],
): ClaimTable {
  const before = listClaims(table, keyDigest);
  return {
    ...table,
    claimCount: table.claimCount + claims.length - before.length,
    keys: claims.length === 0
      ? HashMap.remove(table.keys, keyDigest)
      : HashMap.set(table.keys, keyDigest, claims),
    storedBytes: table.storedBytes + countStoredBytes(claims) - countStoredBytes(before),
  };
}

function removeClaim(
  table: ClaimTable,
  { claimId, keyDigest }: OnceRecords.OnceRelease,
): ClaimTable {
  const before = listClaims(table, keyDigest);
  const claims = before.filter((claim) => claim.claimId !== claimId);
  return claims.length === before.length ? table : setClaims(table, keyDigest, claims);
}

function getBucket({ limits }: ClaimTable, timeMs: Core.Millis): number {
  return Math.floor((timeMs * BUCKETS_PER_WINDOW) / limits.windowMs);
}

function addExpiring(table: ClaimTable, item: Expiring): ClaimTable {
  const bucket = getBucket(table, table.nowMs);
  const items = table.expiring.get(bucket) ?? List.empty();
  return { ...table, expiring: new Map(table.expiring).set(bucket, List.prepend(items, item)) };
}

function removeRelease(table: ClaimTable, { claimId }: Expiring): ClaimTable {
  return { ...table, released: HashMap.remove(table.released, claimId) };
}

const EXPIRY_HANDLERS = { claim: removeClaim, release: removeRelease };

function removeExpired(table: ClaimTable, item: Expiring): ClaimTable {
  return EXPIRY_HANDLERS[item.held](table, item);
}

function advanceTime(table: ClaimTable, timestampMs: Core.Millis): ClaimTable {
  const nowMs = Math.max(table.nowMs, timestampMs);
  const advanced = { ...table, nowMs };
  const oldest = getBucket(advanced, nowMs) - BUCKETS_PER_WINDOW;
  const expired = [...table.expiring.keys()].filter((bucket) => bucket < oldest);
  if (expired.length === 0) return advanced;
  const emptied = expired.reduce((current, bucket) => (
    List.reduce(current.expiring.get(bucket) ?? List.empty(), current, removeExpired)
  ), advanced);
  const dropped = new Set(expired);
  return {
    ...emptied,
    expiring: new Map([...emptied.expiring].filter(([bucket]) => !dropped.has(bucket))),
  };
}

function isSameWriter(a: Core.Writer, b: Core.Writer): boolean {
  return a.daemonId === b.daemonId && a.incarnation === b.incarnation;
}

function isReleased(table: ClaimTable, claimId: string, writer: Core.Writer): boolean {
  const releaser = Option.getOrUndefined(HashMap.get(table.released, claimId));
  return releaser !== undefined && isSameWriter(releaser, writer);
}

type RecordHandler = (table: ClaimTable, record: Log.LogRecord) => ClaimTable;

function withBody<A, I>(
  schema: Schema.Schema<A, I>,
  apply: (table: ClaimTable, body: A, writer: Core.Writer) => ClaimTable,
): RecordHandler {
  const decode = Schema.decodeUnknownEither(schema);
  return (table, record) => {
    const body = decode(record.body);
    if (Either.isLeft(body)) return { ...table, skipped: table.skipped + 1 };
    return apply(table, body.right, record.writer);
  };
}

/**
 * Tells whether the table holds every claim of the window that ends now. After a gap that is so
 * once a whole window was read, whatever the log's retention is; claims stand for up to one span
 * longer than the window, which is why one is added.
 */
export function isComplete({ covered, limits, nowMs }: ClaimTable): boolean {
  if (covered === 'complete') return true;
  return covered !== 'unread'
    && nowMs - covered >= limits.windowMs + limits.windowMs / BUCKETS_PER_WINDOW;
}

const HANDLERS: Readonly<Record<string, RecordHandler>> = {
  [OnceRecords.ONCE_KINDS.claim]: withBody(
    OnceRecords.OnceClaim,
    (table, { bodyDigest, claimId, keyDigest }, writer) => {
      // A repeated append can bring the claim again, also after its release.
      if (isReleased(table, claimId, writer)) return table;
      const claims = listClaims(table, keyDigest);
      if (claims.some((claim) => claim.claimId === claimId)) return table;
      const claim: StandingClaim = {
        bodyDigest,
        claimId,
        outcome: undefined,
        won: claims.length === 0 && isComplete(table),
        writer,
      };
      return addExpiring(
        setClaims(table, keyDigest, [...claims, claim]),
        { claimId, held: 'claim', keyDigest },
      );
    },
  ),
  [OnceRecords.ONCE_KINDS.release]: withBody(
    OnceRecords.OnceRelease,
    (table, { claimId, keyDigest }, writer) => {
      if (HashMap.has(table.released, claimId)) return table;
      const found = listClaims(table, keyDigest).find((claim) => claim.claimId === claimId);
      if (found !== undefined
        && (found.outcome !== undefined || !isSameWriter(found.writer, writer))) return table;
      const freed = removeClaim(table, { claimId, keyDigest });
      return addExpiring(
        { ...freed, released: HashMap.set(freed.released, claimId, writer) },
        { claimId, held: 'release', keyDigest },
      );
    },
  ),
  [OnceRecords.ONCE_KINDS.result]: withBody(
    OnceRecords.OnceResult,
    (table, { claimId, keyDigest, outcome }, writer) => {
      const claims = listClaims(table, keyDigest);
      const found = claims.find((claim) => claim.claimId === claimId);
      if (found === undefined || found.outcome !== undefined) return table;
      if (!isSameWriter(found.writer, writer)) return table;
      const withOutcome = (kept: OnceRecords.Outcome): ClaimTable => setClaims(
        table,
        keyDigest,
        claims.map((claim) => (claim === found ? { ...claim, outcome: kept } : claim)),
      );
      const stored = withOutcome(outcome);
      return outcome._tag === 'UnknownOutcome' || stored.storedBytes <= table.limits.storedBodyBytes
        ? stored
        : withOutcome({ ...outcome, body: null });
    },
  ),
};

/** Steps the table by one entry. Entries that were applied before change nothing. */
export function reduceClaims(table: ClaimTable, entry: Log.LogEntry): ClaimTable {
  if (entry.offset <= table.offset) return table;
  const advanced = advanceTime(table, entry.timestampMs);
  const next = entry.records.reduce<ClaimTable>((current, record) => (
    HANDLERS[record.kind]?.(current, record) ?? current
  ), advanced);
  return {
    ...next,
    covered: next.covered === 'unread' ? next.nowMs : next.covered,
    offset: entry.offset,
  };
}

/** Steps the table by the loss of entries before `first`, which the log no longer retains. */
export function reduceGap(table: ClaimTable, first: number): ClaimTable {
  if (first <= table.offset + 1) return table;
  return { ...table, covered: 'unread', offset: first - 1 };
}

/** Tells whether a claim has won its key and still stands. */
export function isHolder(table: ClaimTable, keyDigest: string, claimId: string): boolean {
  return listClaims(table, keyDigest).some((claim) => claim.won && claim.claimId === claimId);
}

/** Counts the claims that take memory, with those that are kept because they were released. */
export function countClaims(table: ClaimTable): number {
  return table.claimCount + HashMap.size(table.released);
}

function getOutcomeStanding(outcome: OnceRecords.Outcome): Standing {
  return outcome._tag === 'StoredAnswer'
    ? { _tag: 'Answered', answer: outcome }
    : { _tag: 'Unknown' };
}

/**
 * Gets how a call stands. `isGone` tells that an incarnation has ended; a wrong `true` makes the
 * standing unknown and never free.
 */
export function getStanding(
  table: ClaimTable,
  keyDigest: string,
  bodyDigest: string,
  isGone: (writer: Core.Writer) => boolean,
): Standing {
  const claims = listClaims(table, keyDigest);
  const claim = claims.find(({ outcome }) => outcome !== undefined)
    ?? claims.find(({ won }) => won)
    ?? claims[0];
  if (claim === undefined) return { _tag: 'Free' };
  const mayHaveRun = claim.won || claim.outcome !== undefined;
  if (mayHaveRun && claim.bodyDigest !== bodyDigest) return { _tag: 'BodyDiffers' };
  if (claim.outcome !== undefined) return getOutcomeStanding(claim.outcome);
  return isGone(claim.writer) ? { _tag: 'Unknown' } : { _tag: 'Held', claim };
}
