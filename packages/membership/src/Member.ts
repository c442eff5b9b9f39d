/** Member records and summaries that daemons exchange, and the order that decides which wins. */
import type * as Core from '@berylyoke/core';

/**
 * Status of a daemon. The values are those of the protocol; of two records with the same version,
 * the one with the greater status wins.
 */
export const STATUS = { leaving: 2, live: 1, lost: 3 } as const;

/** Display names of the statuses. */
export const STATUS_NAMES: Readonly<Record<number, string>> = {
  [STATUS.leaving]: 'leaving', [STATUS.live]: 'live', [STATUS.lost]: 'lost',
};

/** Record of one daemon, as sent in messages. */
export interface Member {
  readonly daemonId: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly status: number;
  readonly dataCentre: string;
  readonly region: string;
  readonly address: string;
}

/** A member record with the local monotonic time at which its version last advanced. */
export interface KnownMember {
  readonly member: Member;
  readonly lastUpdateMs: Core.Millis;
}

/** Totals over the daemons of a data centre or a region, as sent by one relay. */
export interface Summary {
  /** Name of the data centre or region. */
  readonly scope: string;
  /** Id of the relay that built the summary. */
  readonly author: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly live: number;
  readonly leaving: number;
  readonly addresses: readonly string[];
  /** Names of the data centres that the totals cover. */
  readonly dataCentres: readonly string[];
  readonly values: Readonly<Record<string, number>>;
}

/**
 * A summary with the local monotonic time at which its version last advanced. A stale summary is
 * neither used nor forwarded. It is kept so that a copy that a peer still forwards is recognized as
 * old and does not make the summary fresh again.
 */
export interface KnownSummary {
  readonly summary: Summary;
  readonly lastUpdateMs: Core.Millis;
  readonly stale: boolean;
}

/** Version of a member record or summary: incarnation and sequence of the daemon that wrote it. */
interface RecordVersion {
  readonly incarnation: string;
  readonly sequence: number;
}

/** Compares incarnations `<wallMs>-<suffix>`: by start time in milliseconds, then by suffix. */
export function compareIncarnations(a: string, b: string): number {
  const [aMs = '', aSuffix = ''] = a.split('-');
  const [bMs = '', bSuffix = ''] = b.split('-');
  const byTime = Number(aMs) - Number(bMs);
  if (byTime !== 0) return byTime;
  if (aSuffix === bSuffix) return 0;
  return aSuffix < bSuffix ? -1 : 1;
}

/** Compares versions by incarnation, then by sequence. */
export function compareVersions(a: RecordVersion, b: RecordVersion): number {
  return compareIncarnations(a.incarnation, b.incarnation) || a.sequence - b.sequence;
}

/** Compares two records of a member: by version, then by status. */
export function compareMembers(a: Member, b: Member): number {
  return compareVersions(a, b) || a.status - b.status;
}
