/** Slopes of the claims of non-repeatable calls and of the usage counters. */
import * as Log from '@berylyoke/log';
import * as Once from '@berylyoke/once';
import * as Usage from '@berylyoke/usage';
import * as CapacityCase from './CapacityCase.js';

const WRITER = { daemonId: 'bench', incarnation: '1-a' };
const CLAIM_LIMITS: Once.ClaimTableLimits = {
  storedBodyBytes: 1_000_000_000, windowMs: 24 * 3_600_000,
};
const ANSWER_BODY = Buffer.alloc(200, 'x').toString('base64');
const REPETITIONS = 200;

function buildClaimEntry(offset: number): Log.LogEntry {
  const { bodyDigest, keyDigest } = Once.computeClaimKey({
    account: 'account',
    body: Buffer.from(`{"orderId":"${offset}"}`),
    idempotencyKey: `key-${offset}`,
    parameters: 'POST',
    route: '/orders',
  }, 1);
  const claimId = `claim-${offset}`;
  const outcome = {
    _tag: 'StoredAnswer' as const,
    body: ANSWER_BODY,
    headers: { 'content-type': 'application/json' },
    status: 200,
  };
  return {
    offset,
    records: [
      Log.createRecord(WRITER, Once.ONCE_KINDS.claim, { bodyDigest, claimId, keyDigest }),
      Log.createRecord(WRITER, Once.ONCE_KINDS.result, { claimId, keyDigest, outcome }),
    ],
    timestampMs: offset,
  };
}

function buildClaims(count: number): Once.ClaimTable {
  return Array.from({ length: count }, (_, i) => buildClaimEntry(i)).reduce<Once.ClaimTable>(
    (table, entry) => Once.reduceClaims(table, entry),
    Once.createClaimTable(CLAIM_LIMITS),
  );
}

function buildBook(accounts: number): Usage.LocalCounters {
  return Array.from({ length: accounts }, (_, i) => `account-${i}`).reduce((book, account) => (
    Usage.recordUsage(book, 0, account, { inputTokens: 1, outputTokens: 1, requests: 1 })
  ), Usage.createLocalCounters(WRITER));
}

/** Cases of claims and usage. */
export const ONCE_CASES: readonly CapacityCase.CapacityCase[] = [
  {
    costUnit: 'bytes in the log for a claim and its result with an answer of 200 bytes',
    measure: async () => JSON.stringify(buildClaimEntry(1)).length,
    name: 'claim-bytes',
    sizeUnit: 'claims',
    sizes: [1_000, 5_000, 10_000],
  },
  {
    costUnit: 'µs of processor time to apply a claim and its result',
    measure: (claims) => {
      const table = buildClaims(claims);
      const entries = Array.from(
        { length: REPETITIONS },
        (_, i) => buildClaimEntry(claims + i),
      );
      return CapacityCase.measureProcessorMicros(REPETITIONS, () => {
        entries.reduce<Once.ClaimTable>((now, entry) => Once.reduceClaims(now, entry), table);
      });
    },
    name: 'claim-apply',
    sizeUnit: 'claims',
    sizes: [1_000, 5_000, 10_000, 20_000],
  },
  {
    costUnit: 'bytes of heap for all claims with their answers',
    measure: (claims) => CapacityCase.measureHeapBytes(() => buildClaims(claims)),
    name: 'claim-memory',
    sizeUnit: 'claims',
    sizes: [1_000, 5_000, 10_000, 20_000],
  },
  {
    costUnit: 'µs of processor time to count one request',
    measure: (accounts) => {
      const book = buildBook(accounts);
      const use = { inputTokens: 1, outputTokens: 1, requests: 1 };
      return CapacityCase.measureProcessorMicros(REPETITIONS, () => {
        Array.from({ length: REPETITIONS }, (_, i) => `account-${i % accounts}`)
          .reduce((now, account) => Usage.recordUsage(now, 0, account, use), book);
      });
    },
    name: 'usage-count',
    sizeUnit: 'accounts',
    sizes: [100, 575, 1_150, 2_300],
  },
  {
    costUnit: 'bytes of one counters record',
    measure: async (accounts) => JSON.stringify(Usage.listUnwritten(buildBook(accounts))).length,
    name: 'usage-counters-bytes',
    sizeUnit: 'accounts',
    sizes: [10, 100, 1_000],
  },
];
