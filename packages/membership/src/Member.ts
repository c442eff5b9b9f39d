/** What daemons state about each other, and which of two statements counts. */
import type * as Core from '@berylyoke/core';

/** Status of a daemon; the values are those of the protocol, and a greater one counts more. */
export const STATUS = { leaving: 2, live: 1, lost: 3 } as const;

/** One daemon as stated in a message. */
export interface Member {
  readonly daemonId: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly status: number;
  readonly dataCentre: string;
  readonly region: string;
  readonly address: string;
}

/** A statement with the local monotonic time at which its sequence last advanced. */
export interface KnownMember {
  readonly member: Member;
  readonly heardMs: Core.Millis;
}

/** Sums of a data centre or a region as one relay stated them. */
export interface Summary {
  readonly scope: string;
  readonly author: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly live: number;
  readonly leaving: number;
  readonly addresses: readonly string[];
  readonly values: Readonly<Record<string, number>>;
}

/**
 * A summary with the local monotonic time at which its sequence last advanced. A stale one is not
 * used or passed on, but kept, so that a peer that still passes it on does not renew it.
 */
export interface KnownSummary {
  readonly summary: Summary;
  readonly heardMs: Core.Millis;
  readonly stale: boolean;
}

interface Ordered {
  readonly incarnation: string;
  readonly sequence: number;
}

/** Compares incarnations `<wallMs>-<suffix>`: by time of start, then by suffix. */
export function compareIncarnations(a: string, b: string): number {
  const [aMs = '', aSuffix = ''] = a.split('-');
  const [bMs = '', bSuffix = ''] = b.split('-');
  const byTime = Number(aMs) - Number(bMs);
  if (byTime !== 0) return byTime;
  if (aSuffix === bSuffix) return 0;
  return aSuffix < bSuffix ? -1 : 1;
}

/** Compares statements by incarnation, then by sequence. */
export function compareStatements(a: Ordered, b: Ordered): number {
  return compareIncarnations(a.incarnation, b.incarnation) || a.sequence - b.sequence;
}

/** Compares statements about a member; at the same sequence the graver status counts. */
export function compareMembers(a: Member, b: Member): number {
  return compareStatements(a, b) || a.status - b.status;
}
