/**
 * Knows the software version that began a stream. What two versions of a service write does not fit
 * together, so a caller that resumes a stream, at any daemon, gets the rest from that version.
 */
import type * as BaseVersions from './BaseVersions.js';
import type * as StreamRecords from './StreamRecords.js';

/** A stream that a caller resumes. */
export interface ResumedStream {
  readonly service: string;
  readonly account: string | undefined;
  /** Id of the request that brought the first event; undefined if the caller names none. */
  readonly requestId: string | undefined;
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
  countVersions: BaseVersions.BaseVersionsContext['countVersions'],
): StreamVersions {
  /** Returns the base version if no other one is in service. */
  const getOnlyVersion = (service: string): string | undefined => {
    const base = bases.get(service);
    const versions = [...countVersions(service).keys()];
    return versions.every((version) => version === base) ? base : undefined;
  };
  return {
    findVersion: async ({ account, requestId, service }) => {
      if (requestId === undefined) return getOnlyVersion(service);
      const found = await records.find({ account, requestId });
      if (found._tag === 'Recorded') return found.version;
      return found._tag === 'Absent' ? bases.get(service) : undefined;
    },
    needsRecord: (service, version) => bases.get(service) !== version,
    record: records.record,
  };
}
