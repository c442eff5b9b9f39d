import * as Vitest from 'vitest';
import type * as DutyRecords from '../../DutyRecords.js';
import * as Lease from '../../Lease.js';

const { describe, expect, test } = Vitest;

const A = { daemonId: 'a', incarnation: '1-a' };
const B = { daemonId: 'b', incarnation: '1-b' };

function createClaim(
  offset: number,
  writer: typeof A,
  replaces: number,
  { fence = null, reset = false }: Partial<Pick<DutyRecords.LeaseClaim, 'fence' | 'reset'>> = {},
): DutyRecords.LeaseRecord {
  return {
    body: {
      fence, lease: 'ordering', orderDeadlineMs: 1, replaces, reset, termMs: 10,
    },
    kind: 'claim',
    offset,
    recordId: `r${offset}`,
    writer,
  };
}

function fold(
  records: readonly DutyRecords.LeaseRecord[],
  start: Lease.LeaseState = Lease.INITIAL_LEASE_STATE,
): Lease.LeaseState {
  return records.reduce((state, record) => Lease.applyLeaseRecord(state, record), start);
}

describe('the fold of a lease', () => {
  test('accepts the first claim that names the newest record, so one of two wins', () => {
    const state = fold([createClaim(0, A, -1), createClaim(1, B, -1), createClaim(2, A, -1)]);
    expect(state).toMatchObject({ fence: 0, holder: A, newest: 0 });
  });

  test('keeps the fencing token on a renewal and raises it when the lease changes hands', () => {
    const renewed = fold([createClaim(3, A, -1), createClaim(5, A, 3, { fence: 3 })]);
    expect(renewed).toMatchObject({ fence: 3, newest: 5 });
    expect(fold([createClaim(9, B, 5)], renewed)).toMatchObject({ fence: 9, holder: B });
  });

  test('rejects a renewal of another writer or under another fencing token', () => {
    const state = fold([
      createClaim(0, A, -1), createClaim(1, B, 0, { fence: 0 }), createClaim(2, A, 0, { fence: 7 }),
    ]);
    expect(state.newest).toBe(0);
  });

  test('after a gap trusts only a record that a later one names', () => {
    const gap = Lease.applyLeaseGap(Lease.INITIAL_LEASE_STATE, 10);
    // Offset 11 is a rejected claim: its writer did not know of the renewal at offset 10.
    const unsure = fold([createClaim(10, A, 8, { fence: 4 }), createClaim(11, B, 8)], gap);
    expect(unsure.known).toBe(false);
    const sure = fold([createClaim(12, A, 10, { fence: 4 })], unsure);
    expect(sure).toMatchObject({
      fence: 4, holder: A, known: true, newest: 12,
    });
  });

  test('accepts a reset only when nothing stands between it and what it names', () => {
    const known = fold([createClaim(0, A, -1), createClaim(4, A, 0, { fence: 0 })]);
    const gap = Lease.applyLeaseGap(Lease.INITIAL_LEASE_STATE, 3);
    const afterGap = fold([createClaim(4, A, 0, { fence: 0 })], gap);
    const early = createClaim(6, B, 3, { reset: true });
    expect(fold([early], known).newest).toBe(4);
    expect(fold([early], afterGap).known).toBe(false);
    const right = createClaim(7, B, 6, { reset: true });
    const expected = { fence: 7, holder: B, newest: 7 };
    expect(fold([early, right], known)).toMatchObject(expected);
    expect(fold([early, right], afterGap)).toMatchObject(expected);
  });
});
