/**
 * Base version of each service: the software version that begins streams without a record. Any
 * other version records each stream that it begins (StreamRecords), so a stream without a record
 * was begun by the base version. With a single version in service, which is the usual case, no
 * stream needs a record. The base versions are in the store, in the feed of the crash reports; a
 * daemon moves one on when its servers have been gone for longer than any stream lasts. Without a
 * base version every stream has a record, so any version can become the base.
 */
import type * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type * as FeedCopy from './FeedCopy.js';
import type * as Ports from './Ports.js';

/** Prompt part ids contain no colon, so no crash report has such a key. */
const KEY_PREFIX = 'base-version:';

/** Interval at which a daemon checks the versions in service. */
export const CHECK_INTERVAL_MS = 250;

/**
 * Time for which no server of the base version may be listed before another version becomes the
 * base. It covers the longest stream, and daemons that know the base for `MAX_BASE_AGE_MS`.
 */
export const RETIRED_AFTER_MS = 90_000;

/** Age up to which the list of servers shows that a version is gone. */
export const MAX_LIST_AGE_MS = 5_000;

/** Age up to which what was read of the base versions may be used. */
export const MAX_BASE_AGE_MS = 30_000;

const BaseDocument = Schema.parseJson(Schema.Struct({ version: Schema.NonEmptyString }));

const decodeDocument = Schema.decodeUnknownOption(BaseDocument);

/** Base version of a service, as it is in the store. */
export interface BaseVersion {
  readonly service: string;
  readonly version: string;
}

/** Decodes a base version; undefined if the key is of something else or the value is malformed. */
export function decodeBaseVersion(key: string, raw: Buffer): BaseVersion | undefined {
  if (!key.startsWith(KEY_PREFIX)) return undefined;
  const decoded = decodeDocument(raw.toString('utf8'));
  if (decoded._tag === 'None') return undefined;
  return { service: key.slice(KEY_PREFIX.length), version: decoded.value.version };
}

/** Versions in service, as one daemon lists them. */
export interface ListedVersions {
  readonly base: string | undefined;
  /** Number of servers by version. */
  readonly versions: ReadonlyMap<string, number>;
  /** Time for which no server of the base version was listed. */
  readonly unlistedMs: Core.Millis;
}

/** Chooses the base version: the version of most servers, unless one is still needed. */
export function chooseBaseVersion(
  { base, unlistedMs, versions }: ListedVersions,
): string | undefined {
  if (base !== undefined && unlistedMs < RETIRED_AFTER_MS) return base;
  const [most] = [...versions].sort(([a, countA], [b, countB]) => (
    countB - countA || (a < b ? -1 : 1)
  ));
  return most?.[0] ?? base;
}

/** Dependencies of the base versions of a daemon. */
export interface BaseVersionsContext {
  readonly clock: Core.Clock;
  readonly countDaemons: () => number;
  /** Returns the position up to which the feed was read; undefined before the first read. */
  readonly getPosition: () => number | undefined;
  /** Returns whether the feed was read within `MAX_BASE_AGE_MS`. */
  readonly isCurrent: () => boolean;
  /** Lists the services of which streams can be resumed. */
  readonly listServices: () => readonly string[];
  /** Returns whether the list of servers was verified within `MAX_LIST_AGE_MS`. */
  readonly isListCurrent: () => boolean;
  /** Counts the servers of a service by version, also those that are shutting down. */
  readonly countVersions: (service: string) => ReadonlyMap<string, number>;
  readonly logger: Core.Logger;
  readonly random: () => number;
  readonly write: Ports.WritableKeyedFeed['write'];
}

/** Base versions as a daemon knows them. */
export interface BaseVersions {
  /** Returns the base version of a service; undefined if it is not known to be current. */
  readonly get: (service: string) => string | undefined;
  /** Applies changes that were read from the feed. */
  readonly applyChanges: (changes: readonly FeedCopy.DecodedChange<BaseVersion>[]) => void;
  /** Writes the base versions again, after the store returned from an older copy. */
  readonly rewrite: () => void;
  readonly stop: () => void;
}

/** Starts to follow the versions in service. */
export function startBaseVersions(
  {
    clock, countDaemons, countVersions, getPosition, isCurrent, isListCurrent, listServices, logger,
    random, write,
  }: BaseVersionsContext,
): BaseVersions {
  const bases = new Map<string, string>();
  /** Services whose base version the store may have lost. */
  const unconfirmed = new Set<string>();
  /** Time at which a server of the base version was last listed, by service. */
  const listedMs = new Map<string, Core.Millis>();
  let isWriting = false;

  const chooseForService = (service: string): string | undefined => {
    const nowMs = clock.readMonotonic();
    const base = bases.get(service);
    const versions = countVersions(service);
    // An older list may lack servers that have returned to it since.
    const isListed = base !== undefined && (versions.has(base) || !isListCurrent());
    if (isListed || !listedMs.has(service)) listedMs.set(service, nowMs);
    return chooseBaseVersion({
      base, unlistedMs: nowMs - (listedMs.get(service) ?? nowMs), versions,
    });
  };
  const writeBase = async (service: string, version: string): Promise<void> => {
    const previous = bases.get(service);
    const raw = Buffer.from(JSON.stringify({ version }));
    // Another daemon that moves the base version on, or any other report, makes the write fail.
    const result = await Effect.runPromise(Effect.either(write(
      [{ key: `${KEY_PREFIX}${service}`, raw }],
      getPosition(),
    )));
    logger.info({
      detail: result._tag === 'Left' ? result.left._tag : undefined,
      isWritten: result._tag === 'Right',
      previous,
      service,
      version,
    }, 'base version chosen');
  };
  const check = async (): Promise<void> => {
    if (isWriting || !isCurrent() || getPosition() === undefined) return;
    const next = listServices()
      .map((service) => ({ service, version: chooseForService(service) }))
      .find(({ service, version }) => (
        version !== undefined && (version !== bases.get(service) || unconfirmed.has(service))
      ));
    // One daemon is enough; each one tries at random.
    if (next?.version === undefined || random() * countDaemons() > 1) return;
    isWriting = true;
    await writeBase(next.service, next.version).finally(() => {
      isWriting = false;
    });
  };
  const timer = setInterval(() => {
    check().catch((error: unknown) => {
      logger.error({ error: String(error) }, 'unexpected error in the choice of a base version');
    });
  }, CHECK_INTERVAL_MS);
  return {
    applyChanges: (changes) => changes.forEach(({ value }) => {
      if (value === undefined) return;
      unconfirmed.delete(value.service);
      if (bases.get(value.service) === value.version) return;
      logger.info({
        previous: bases.get(value.service), service: value.service, version: value.version,
      }, 'base version in force');
      bases.set(value.service, value.version);
      listedMs.set(value.service, clock.readMonotonic());
    }),
    get: (service) => (isCurrent() ? bases.get(service) : undefined),
    rewrite: () => [...bases.keys()].forEach((service) => unconfirmed.add(service)),
    stop: () => clearInterval(timer),
  };
}
