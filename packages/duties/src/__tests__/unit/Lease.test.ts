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

function applyRecords(
  records: readonly DutyRecords.LeaseRecord[],
  start: Lease.LeaseState = Lease.INITIAL_LEASE_STATE,
): Lease.LeaseState {
  return records.reduce((state, record) => Lease.applyLeaseRecord(state, record), start);
}

describe('the state of a lease', () => {
  test('accepts only the first of several claims that replace the newest record', () => {
    const state = applyRecords([
      createClaim(0, A, -1), createClaim(1, B, -1), createClaim(2, A, -1),
    ]);
    expect(state).toMatchObject({ fence: 0, holder: A, newestOffset: 0 });
  });

  test('keeps the fencing token on a renewal and raises it for a new holder', () => {
    const renewed = applyRecords([createClaim(3, A, -1), createClaim(5, A, 3, { fence: 3 })]);
    expect(renewed).toMatchObject({ fence: 3, newestOffset: 5 });
    expect(applyRecords([createClaim(9, B, 5)], renewed)).toMatchObject({ fence: 9, holder: B });
  });

  test('rejects a renewal of another writer or under another fencing token', () => {
    const state = applyRecords([
      createClaim(0, A, -1), createClaim(1, B, 0, { fence: 0 }), createClaim(2, A, 0, { fence: 7 }),
    ]);
    expect(state.newestOffset).toBe(0);
  });

  test('after a gap accepts only a record that a later record replaces', () => {
    const gap = Lease.applyLeaseGap(Lease.INITIAL_LEASE_STATE, 10);
    // Offset 11 is a rejected claim: its writer did not know of the renewal at offset 10.
    const unsure = applyRecords([createClaim(10, A, 8, { fence: 4 }), createClaim(11, B, 8)], gap);
    expect(unsure.known).toBe(false);
    const sure = applyRecords([createClaim(12, A, 10, { fence: 4 })], unsure);
    expect(sure).toMatchObject({
      fence: 4, holder: A, known: true, newestOffset: 12,
    });
  });

  test('accepts a reset only if no record lies between it and the offset that it replaces', () => {
    const known = applyRecords([createClaim(0, A, -1), createClaim(4, A, 0, { fence: 0 })]);
    const gap = Lease.applyLeaseGap(Lease.INITIAL_LEASE_STATE, 3);
    const afterGap = applyRecords([createClaim(4, A, 0, { fence: 0 })], gap);
    const early = createClaim(6, B, 3, { reset: true });
    expect(applyRecords([early], known).newestOffset).toBe(4);
    expect(applyRecords([early], afterGap).known).toBe(false);
    const right = createClaim(7, B, 6, { reset: true });
    const expected = { fence: 7, holder: B, newestOffset: 7 };
    expect(applyRecords([early, right], known)).toMatchObject(expected);
    expect(applyRecords([early, right], afterGap)).toMatchObject(expected);
  });
});
