import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as Config from '../../index.js';
import * as IsolationModel from '../support/IsolationModel.js';

const { describe, expect, test } = Vitest;

const SEED = 20_261_204;
const RUNS = 2_000;
const MUTANT_RUNS = 20_000;

interface Mutant {
  readonly name: string;
  readonly rules: Partial<IsolationModel.IsolationRules>;
}

const MUTANTS: readonly Mutant[] = [
  {
    name: 'a contact of a peer counts although the daemon lacks entries that the peer has read',
    rules: { getRequiredOffset: () => -1 },
  },
  {
    name: 'the age is subtracted from the arrival time of the digest',
    rules: { getReferenceMs: (_, arrivalMs) => arrivalMs },
  },
  {
    name: 'a contact has the time of the response instead of the request',
    rules: { getContactMs: (_, receivedMs) => receivedMs },
  },
  {
    name: 'a peer sends its contact without the age',
    rules: { getAgeMs: () => 0 },
  },
];

describe('the isolation rule', () => {
  test('accepts no withdrawn key after the limit when messages are late, repeated or lost', () => {
    let accepted = 0;
    fc.assert(fc.property(IsolationModel.steps, (schedule) => {
      const run = IsolationModel.runIsolation(schedule);
      accepted += run.acceptedAfterWithdrawal;
      return run.violations === 0;
    }), { numRuns: RUNS, seed: SEED });
    // Guards against a model in which every request is refused.
    expect(accepted).toBeGreaterThan(RUNS);
  });

  test.each(MUTANTS)('the property detects that $name', ({ rules }) => {
    const result = fc.check(fc.property(IsolationModel.steps, (schedule) => (
      IsolationModel.runIsolation(
        schedule,
        { ...IsolationModel.ISOLATION_RULES, ...rules },
      ).violations === 0
    )), { endOnFailure: true, numRuns: MUTANT_RUNS, seed: SEED });
    expect(result.failed).toBe(true);
  });

  test('refuses before the first contact and once the last one is as old as the limit', () => {
    const input = {
      configOffset: 4, isolationMs: 10, nowMs: 0, ownContact: undefined, peerContacts: [],
    };
    expect(Config.checkIsolation(input)).toEqual({ _tag: 'Isolated', sinceMs: undefined });
    const ownContact = { contactMs: 0, offset: 4 };
    expect(Config.checkIsolation({ ...input, nowMs: 9, ownContact }))
      .toEqual({ _tag: 'Connected', untilMs: 10 });
    expect(Config.checkIsolation({ ...input, nowMs: 10, ownContact }))
      .toEqual({ _tag: 'Isolated', sinceMs: 10 });
  });
});
