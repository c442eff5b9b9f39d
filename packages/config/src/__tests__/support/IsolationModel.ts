/**
 * Model of the withdrawal of a key. Daemon `near` reads the log; daemon `far` receives messages
 * only from `near`. Responses and messages may be delayed, reordered, duplicated or lost, and the
 * two monotonic clocks differ by a constant. Once `ISOLATION_MS` have passed since the withdrawal
 * was appended to the log, a daemon that still accepts requests with a key must know it.
 */
import * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import * as fc from 'fast-check';
import * as Config from '../../index.js';

const ISOLATION_MS = 100;
const FAR_CLOCK_OFFSET_MS = 5_000;

const TAGS = [
  'advance', 'answer', 'ask', 'digest', 'digest-arrives', 'heartbeat', 'heartbeat-arrives', 'serve',
  'withdraw',
] as const;

/** A generated step; `pick` selects a message, counted from the latest, `ms` a time to advance. */
export interface Step {
  readonly tag: typeof TAGS[number];
  readonly pick: number;
  readonly ms: number;
  readonly withEntries: boolean;
}

/** Generates schedules of steps. */
export const steps: fc.Arbitrary<readonly Step[]> = fc.array(fc.record({
  ms: fc.integer({ max: 60, min: 1 }),
  pick: fc.nat({ max: 3 }),
  tag: fc.constantFrom(...TAGS),
  withEntries: fc.boolean(),
}), { maxLength: 80, minLength: 20, size: 'max' });

/** Parts of the isolation rule that a mutant replaces. */
export interface IsolationRules {
  /** Offset that the receiver must have reached for the contact of its peer to count. */
  readonly getRequiredOffset: (offset: number) => number;
  /** Time from which the age in a digest is subtracted. */
  readonly getReferenceMs: (acknowledgedSentMs: number, arrivalMs: number) => number;
  /** Time of the contact that a read of the log establishes. */
  readonly getContactMs: (requestedMs: number, receivedMs: number) => number;
  /** Age of the contact that `near` sends in a digest. */
  readonly getAgeMs: (ageMs: number) => number;
}

export const ISOLATION_RULES: IsolationRules = {
  getAgeMs: (ageMs) => ageMs,
  getContactMs: (requestedMs) => requestedMs,
  getReferenceMs: (acknowledgedSentMs) => acknowledgedSentMs,
  getRequiredOffset: (offset) => offset,
};

function buildEntry(offset: number, kind: string, body: unknown): Log.LogEntry {
  return {
    offset,
    records: [{
      body, kind, recordId: `r${offset}`, writer: { daemonId: 'w', incarnation: '1-a' },
    }],
    timestampMs: 0,
  };
}

interface Digest {
  readonly acknowledged: number;
  readonly ageMs: number;
  readonly offset: number;
  readonly entries: readonly Log.LogEntry[];
}

/** Counters of a run. The second one shows whether requests were accepted at all. */
export interface IsolationRun {
  readonly violations: number;
  readonly acceptedAfterWithdrawal: number;
}

/** Runs a schedule and counts the violations of the isolation rule. */
export function runIsolation(
  schedule: readonly Step[],
  rules: IsolationRules = ISOLATION_RULES,
): IsolationRun {
  const nearClock = Core.createManualClock(0);
  const farClock = Core.createManualClock(FAR_CLOCK_OFFSET_MS);
  const near = Config.createConfigStore(nearClock, ISOLATION_MS);
  const far = Config.createConfigStore(farClock, ISOLATION_MS);
  const entries: Log.LogEntry[] = [buildEntry(0, Config.CONFIG_KINDS.keyIssue, {
    account: 'a', digest: 'd', keyId: 'key001',
  })];
  const readRequestTimes: number[] = [];
  const readResponses: { readonly length: number; readonly requestedMs: number }[] = [];
  const heartbeats: number[] = [];
  const digests: Digest[] = [];
  let acknowledged = -1;
  let withdrawnMs: number | undefined;
  let violations = 0;
  let acceptedAfterWithdrawal = 0;

  const handlers: Readonly<Record<Step['tag'], (step: Step) => void>> = {
    advance: ({ ms }) => {
      nearClock.advance(ms);
      farClock.advance(ms);
    },
    answer: ({ pick }) => {
      const response = readResponses[readResponses.length - 1 - pick];
      if (response === undefined) return;
      near.applyEvent({
        _tag: 'entries', afterOffset: -1, entries: entries.slice(0, response.length),
      });
      near.recordContact(rules.getContactMs(response.requestedMs, nearClock.readMonotonic()));
    },
    ask: () => {
      readRequestTimes.push(nearClock.readMonotonic());
    },
    digest: ({ withEntries }) => {
      const contact = near.getContact();
      if (contact === undefined) return;
      digests.push({
        acknowledged,
        ageMs: rules.getAgeMs(nearClock.readMonotonic() - contact.contactMs),
        entries: withEntries ? entries.slice(0, near.getState().offset + 1) : [],
        offset: contact.offset,
      });
    },
    'digest-arrives': ({ pick }) => {
      const digest = digests[digests.length - 1 - pick];
      if (digest === undefined) return;
      far.applyEvent({ _tag: 'entries', afterOffset: -1, entries: digest.entries });
      const sentMs = heartbeats[digest.acknowledged];
      if (sentMs === undefined) return;
      far.recordPeerContact('near', Config.toLocalContact(
        rules.getReferenceMs(sentMs, farClock.readMonotonic()),
        digest.ageMs,
        rules.getRequiredOffset(digest.offset),
      ));
    },
    heartbeat: () => {
      heartbeats.push(farClock.readMonotonic());
    },
    'heartbeat-arrives': ({ pick }) => {
      acknowledged = Math.max(acknowledged, heartbeats.length - 1 - pick);
    },
    serve: ({ pick }) => {
      const requestedMs = readRequestTimes[readRequestTimes.length - 1 - pick];
      if (requestedMs !== undefined) readResponses.push({ length: entries.length, requestedMs });
    },
    withdraw: () => {
      if (withdrawnMs !== undefined) return;
      withdrawnMs = nearClock.readMonotonic();
      entries.push(buildEntry(1, Config.CONFIG_KINDS.keyWithdraw, { keyId: 'key001' }));
    },
  };

  schedule.forEach((step) => {
    handlers[step.tag](step);
    if (withdrawnMs === undefined) return;
    if (nearClock.readMonotonic() - withdrawnMs < ISOLATION_MS) return;
    [near, far].filter((store) => store.checkIsolation()._tag === 'Connected').forEach((store) => {
      acceptedAfterWithdrawal += 1;
      if (Config.findKey(store.getState(), 'key001')?.withdrawn !== true) violations += 1;
    });
  });
  return { acceptedAfterWithdrawal, violations };
}
