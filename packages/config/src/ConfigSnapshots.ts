/**
 * Snapshots of the configuration. Records of the log expire, so the holder of the lease `snapshots`
 * re-appends the whole state with the offset that it covers. The state at an offset is a pure
 * function of the log up to it, so two holders at once do no harm: their snapshots agree. The same
 * form carries the state from one daemon to another.
 */
import type * as Core from '@berylyoke/core';
import * as Either from 'effect/Either';
import * as HashMap from 'effect/HashMap';
import * as Schema from 'effect/Schema';
import * as ConfigRecords from './ConfigRecords.js';
import type * as ConfigState from './ConfigState.js';

/** Name of the lease whose holder appends snapshots. */
export const SNAPSHOT_LEASE = 'snapshots';

/** Entries after which a snapshot is due although the interval has not passed. */
const SNAPSHOT_ENTRIES = 256;

/**
 * Intervals after which an unchanged state is written again, so that the stream always holds a
 * snapshot that has not expired.
 */
const UNCHANGED_INTERVALS = 10;

const encodeBody = Schema.encodeSync(ConfigRecords.ConfigSnapshot);
const decodeBody = Schema.decodeUnknownEither(ConfigRecords.ConfigSnapshot);

/** Builds the body of a snapshot; keys are sorted, so that equal states give equal bodies. */
export function buildSnapshot(
  state: ConfigState.ConfigState,
): ConfigRecords.EncodedConfigSnapshot {
  return encodeBody({
    coveredOffset: state.offset,
    state: {
      history: state.history,
      keys: HashMap.toEntries(state.keys)
        .map(([keyId, key]) => ({ ...key, keyId }))
        .sort((a, b) => (a.keyId < b.keyId ? -1 : 1)),
      lists: state.lists,
      seen: state.seen,
      version: state.version,
    },
  });
}

/** Parses the body of a snapshot, or returns undefined when it is not one. */
export function parseSnapshot(body: unknown): ConfigState.ConfigState | undefined {
  const decoded = decodeBody(body);
  if (Either.isLeft(decoded)) return undefined;
  const { coveredOffset, state } = decoded.right;
  return {
    ...state,
    keys: HashMap.fromIterable(state.keys.map(({ keyId, ...key }) => [keyId, key])),
    offset: coveredOffset,
  };
}

/** When the last snapshot was seen in the log, and what it covered. */
export interface SnapshotSeen {
  readonly coveredOffset: number;
  readonly seenMs: Core.Millis;
}

/**
 * Decides whether the lease holder appends a snapshot now.
 *
 * @param last the newest snapshot that was read back; undefined when none was seen
 * @param intervalMs shortest time between two snapshots while the state changes, in milliseconds
 */
export function isSnapshotDue(
  state: ConfigState.ConfigState,
  last: SnapshotSeen | undefined,
  nowMs: Core.Millis,
  intervalMs: Core.Millis,
): boolean {
  if (state.offset < 0) return false;
  if (last === undefined) return true;
  // The snapshot's own entry follows the covered offset and is not a change.
  const entries = state.offset - last.coveredOffset - 1;
  const ageMs = nowMs - last.seenMs;
  if (entries >= SNAPSHOT_ENTRIES) return true;
  return ageMs >= (entries > 0 ? intervalMs : intervalMs * UNCHANGED_INTERVALS);
}
