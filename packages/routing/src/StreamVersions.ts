/**
 * Knows the software version that began a stream. What two versions of a service write does not fit
 * together, so a caller that resumes a stream, at any daemon, gets the rest from that version.
 */
import type * as Core from '@berylyoke/core';
import type * as BaseVersions from './BaseVersions.js';
import type * as StreamRecords from './StreamRecords.js';

/** Time for which a stream may last and be resumed. */
export const MAX_STREAM_AGE_MS: Core.Millis = 60_000;

/** A stream that a caller resumes. */
export interface ResumedStream {
  readonly service: string;
  readonly account: string | undefined;
  /** Id of the request that brought the first event; undefined if the caller names none. */
  readonly requestId: string | undefined;
  /** Monotonic time at which the request that resumes it was received. */
  readonly receivedMs: Core.Millis;
}

/** The list of servers, with its age. */
export interface ListedServers {
  /** Checks whether no other version of a service has been listed since a time. */
  readonly hadOnlyVersion: (service: string, version: string, sinceMs: Core.Millis) => boolean;
  /** Checks whether a read that was sent at a time or later has verified the list. */
  readonly isVerifiedSince: (sinceMs: Core.Millis) => boolean;
  /** Reads the list anew; resolves when that has succeeded, failed or taken too long. */
  readonly renew: () => Promise<void>;
}

/** Versions of streams as requests use them. */
export interface StreamVersions {
  /** Checks whether a stream that a version begins needs a record before its first event. */
  readonly needsRecord: (service: string, version: string) => boolean;
  readonly record: StreamRecords.StreamRecords['record'];
  /** Finds the version that began a stream; undefined if it cannot be known now. */
  readonly findVersion: (stream: ResumedStream) => Promise<string | undefined>;
}

/** Combines the records of streams with the base versions. */
export function createStreamVersions(
  bases: Pick<BaseVersions.BaseVersions, 'get'>,
  records: Pick<StreamRecords.StreamRecords, 'find' | 'record'>,
  listed: ListedServers,
): StreamVersions {
  /**
   * Returns the base version if no other one can have begun the stream. A server may have joined
   * since the list was read, and one that is no longer listed may have begun the stream.
   */
  const findOnlyVersion = async (
    service: string,
    receivedMs: Core.Millis,
  ): Promise<string | undefined> => {
    if (!listed.isVerifiedSince(receivedMs)) await listed.renew();
    const base = bases.get(service);
    if (base === undefined || !listed.isVerifiedSince(receivedMs)) return undefined;
    return listed.hadOnlyVersion(service, base, receivedMs - MAX_STREAM_AGE_MS) ? base : undefined;
  };
  return {
    findVersion: async ({
      account, receivedMs, requestId, service,
    }) => {
      if (requestId === undefined) return findOnlyVersion(service, receivedMs);
      const found = await records.find({ account, requestId });
      if (found._tag === 'Recorded') return found.version;
      return found._tag === 'Absent' ? bases.get(service) : undefined;
    },
    needsRecord: (service, version) => bases.get(service) !== version,
    record: records.record,
  };
}
