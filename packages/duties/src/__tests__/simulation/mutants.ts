/** Weakened rules, each of which breaks a guarantee of the lease in some environment. */
import * as LeaseHolder from '../../LeaseHolder.js';
import type * as LeaseSimulation from './LeaseSimulation.js';

/** A weakened rule and the kinds of violation that reveal it. */
export interface Mutant {
  readonly name: string;
  readonly rules: LeaseHolder.LeaseRules;
  readonly expected: readonly LeaseSimulation.Violation['kind'][];
}

const RULES = LeaseHolder.LEASE_RULES;

export const MUTANTS: readonly Mutant[] = [
  {
    expected: ['overlapping-belief', 'order-in-other-belief'],
    name: 'the term counts from the read-back and not from the send',
    rules: { ...RULES, getTermStartMs: (_, readMs) => readMs },
  },
  {
    expected: ['overlapping-belief', 'order-in-other-belief'],
    name: 'a claimant does not wait',
    rules: { ...RULES, computeClaimWaitMs: () => 0 },
  },
  {
    expected: ['overlapping-belief', 'order-in-other-belief'],
    name: 'a claimant waits for the term alone',
    rules: { ...RULES, computeClaimWaitMs: (termMs) => termMs },
  },
  {
    expected: ['overlapping-belief', 'order-in-other-belief'],
    name: 'a claim need not name the newest renewal',
    rules: { ...RULES, isRecordAccepted: () => true },
  },
  {
    expected: ['fold-difference'],
    name: 'the first record after a gap is trusted',
    rules: { ...RULES, isTrustedAfterGap: () => true },
  },
  {
    expected: ['order-outside-belief', 'order-in-other-belief'],
    name: 'an order is sent without regard to its deadline',
    rules: { ...RULES, hasTimeForOrder: () => true },
  },
  {
    expected: ['overlapping-belief', 'order-in-other-belief'],
    name: 'a pause with a standing clock does not end the belief',
    rules: { ...RULES, isDroppedOnPause: false },
  },
  {
    expected: ['order-in-other-belief'],
    name: 'a planned stop releases at once',
    rules: { ...RULES, getReleaseDelayMs: () => 0 },
  },
];
