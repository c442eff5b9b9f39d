/**
 * Fold of one stream `once-<shard>`. The first claim of a key that is not released holds the key;
 * claims that are read while another one holds it are void for good, so that a release never hands
 * the key to a claim whose caller was already refused.
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

/** The claim that holds a key. */
export interface Holder {
  readonly claimId: string;
  readonly bodyDigest: string;
  readonly writer: Core.Writer;
  readonly outcome: OnceRecords.Outcome | undefined;
}

interface Expiring {
  readonly keyDigest: string;
  readonly claimId: string;
}

/** State of one shard after the entries up to `offset`. */
export interface ClaimTable {
  readonly limits: ClaimTableLimits;
  /** Offset of the last entry that was applied; -1 before the first one. */
  readonly offset: number;
  /** Greatest timestamp of an applied entry, in milliseconds; 0 before the first one. */
  readonly nowMs: Core.Millis;
  readonly holders: HashMap.HashMap<string, Holder>;
  /** Writers of released claims, by claim id, read before or after the claim itself. */
  readonly released: HashMap.HashMap<string, Core.Writer>;
  /** What was added in each span of time, by the number of the span. */
  readonly expiring: ReadonlyMap<number, List.List<Expiring>>;
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
  | { readonly _tag: 'Held'; readonly holder: Holder }
  | { readonly _tag: 'Unknown' };

/** Creates the table before the first entry. */
export function createClaimTable(limits: ClaimTableLimits): ClaimTable {
  return {
    covered: 'complete',
    expiring: new Map(),
    holders: HashMap.empty(),
    limits,
    nowMs: 0,
    offset: -1,
    released: HashMap.empty(),
    skipped: 0,
    storedBytes: 0,
  };
}

function countStoredBytes(holder: Holder | undefined): number {
  const outcome = holder?.outcome;
  return outcome?._tag === 'StoredAnswer' ? outcome.body?.length ?? 0 : 0;
}

function getHolder(table: ClaimTable, keyDigest: string): Holder | undefined {
  return Option.getOrUndefined(HashMap.get(table.holders, keyDigest));
}

function removeHolder(table: ClaimTable, keyDigest: string): ClaimTable {
  return {
    ...table,
    holders: HashMap.remove(table.holders, keyDigest),
    storedBytes: table.storedBytes - countStoredBytes(getHolder(table, keyDigest)),
  };
}

function getBucket({ limits }: ClaimTable, timeMs: Core.Millis): number {
  return Math.floor((timeMs * BUCKETS_PER_WINDOW) / limits.windowMs);
}

function addExpiring(table: ClaimTable, item: Expiring): ClaimTable {
  const bucket = getBucket(table, table.nowMs);
  const items = table.expiring.get(bucket) ?? List.empty();
  return { ...table, expiring: new Map(table.expiring).set(bucket, List.prepend(items, item)) };
}

function removeExpired(table: ClaimTable, item: Expiring): ClaimTable {
  const held = getHolder(table, item.keyDigest)?.claimId === item.claimId;
  const kept = held ? removeHolder(table, item.keyDigest) : table;
  return { ...kept, released: HashMap.remove(kept.released, item.claimId) };
}

function advanceTime(table: ClaimTable, timestampMs: Core.Millis): ClaimTable {
  const nowMs = Math.max(table.nowMs, timestampMs);
  const advanced = { ...table, nowMs };
  // A span ends before its last claim is a window old, hence one more span is kept.
  const oldest = getBucket(advanced, nowMs) - BUCKETS_PER_WINDOW - 1;
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

const HANDLERS: Readonly<Record<string, RecordHandler>> = {
  [OnceRecords.ONCE_KINDS.claim]: withBody(
    OnceRecords.OnceClaim,
    (table, { bodyDigest, claimId, keyDigest }, writer) => {
      if (getHolder(table, keyDigest) !== undefined) return table;
      // A repeated append can bring the claim again after its release.
      if (isReleased(table, claimId, writer)) return table;
      const holder: Holder = {
        bodyDigest, claimId, outcome: undefined, writer,
      };
      return addExpiring(
        { ...table, holders: HashMap.set(table.holders, keyDigest, holder) },
        { claimId, keyDigest },
      );
    },
  ),
  [OnceRecords.ONCE_KINDS.release]: withBody(
    OnceRecords.OnceRelease,
    (table, { claimId, keyDigest }, writer) => {
      if (HashMap.has(table.released, claimId)) return table;
      const holder = getHolder(table, keyDigest);
      const holds = holder?.claimId === claimId;
      if (holds && !isSameWriter(holder.writer, writer)) return table;
      if (holds && holder.outcome !== undefined) return table;
      const freed = holds ? removeHolder(table, keyDigest) : table;
      return addExpiring(
        { ...freed, released: HashMap.set(freed.released, claimId, writer) },
        { claimId, keyDigest },
      );
    },
  ),
  [OnceRecords.ONCE_KINDS.result]: withBody(
    OnceRecords.OnceResult,
    (table, { claimId, keyDigest, outcome }, writer) => {
      const holder = getHolder(table, keyDigest);
      if (holder === undefined || holder.claimId !== claimId) return table;
      if (holder.outcome !== undefined || !isSameWriter(holder.writer, writer)) return table;
      const answered = { ...holder, outcome };
      const bytes = countStoredBytes(answered);
      const fits = table.storedBytes + bytes <= table.limits.storedBodyBytes;
      const kept = fits || outcome._tag !== 'StoredAnswer'
        ? answered
        : { ...holder, outcome: { ...outcome, body: null } };
      return {
        ...table,
        holders: HashMap.set(table.holders, keyDigest, kept),
        storedBytes: table.storedBytes + countStoredBytes(kept),
      };
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

/**
 * Tells whether the table holds every claim of the window that ends now. After a gap that is so
 * once a whole window was read, whatever the log's retention is.
 */
export function isComplete({ covered, limits, nowMs }: ClaimTable): boolean {
  if (covered === 'complete') return true;
  return covered !== 'unread' && nowMs - covered >= limits.windowMs;
}

/** Tells whether a claim holds a key. */
export function isHolder(table: ClaimTable, keyDigest: string, claimId: string): boolean {
  return getHolder(table, keyDigest)?.claimId === claimId;
}

/** Counts the keys that are held. */
export function countKeys(table: ClaimTable): number {
  return HashMap.size(table.holders);
}

const OUTCOME_STANDINGS = {
  StoredAnswer: (answer: OnceRecords.StoredAnswer): Standing => ({ _tag: 'Answered', answer }),
  UnknownOutcome: (): Standing => ({ _tag: 'Unknown' }),
};

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
  const holder = getHolder(table, keyDigest);
  if (holder === undefined) return { _tag: 'Free' };
  if (holder.bodyDigest !== bodyDigest) return { _tag: 'BodyDiffers' };
  const { outcome } = holder;
  if (outcome?._tag === 'StoredAnswer') return OUTCOME_STANDINGS.StoredAnswer(outcome);
  if (outcome !== undefined || isGone(holder.writer)) return { _tag: 'Unknown' };
  return { _tag: 'Held', holder };
}
