import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const TERM_MS = 3_750;
const at = (ms: number, wallMs = ms): Routing.ClockReading => ({ monotonicMs: ms, wallMs });

function createRecord(
  kind: Routing.DutyRecord['kind'],
  holder: string,
  extra: Partial<Routing.DutyRecord> = {},
): Routing.DutyRecord {
  return {
    holder, kind, nonce: `${holder}-${kind}`, termMs: TERM_MS, writtenMs: 0, ...extra,
  };
}

describe('lease of the duties', () => {
  test('the offset of a claim is its fencing token', () => {
    const state = Routing.applyDutyRecord(
      Routing.INITIAL_DUTY_STATE,
      7,
      createRecord('claim', 'a'),
      at(0),
    );
    expect(state).toMatchObject({ end: 8, fence: 7, holder: 'a' });
  });

  test('the holder considers its lease expired before an observer may claim it', () => {
    fc.assert(fc.property(
      fc.nat(2_000),
      fc.nat(2_000),
      fc.nat(10_000),
      (storeDelay, readDelay, passed) => {
        const heldLease = { fence: 1, sentAt: at(0), termMs: TERM_MS };
        const state = Routing.applyDutyRecord(
          Routing.INITIAL_DUTY_STATE,
          1,
          createRecord('claim', 'a'),
          at(storeDelay + readDelay),
        );
        const now = at(storeDelay + readDelay + passed);
        if (Routing.canClaim(state, now)) {
          expect(Routing.computeRemainingTerm(heldLease, now)).toBe(0);
        }
      },
    ));
  });

  test('a holder loses its lease by a suspension, although its monotonic clock stopped', () => {
    const heldLease = { fence: 1, sentAt: at(0), termMs: TERM_MS };
    expect(Routing.computeRemainingTerm(heldLease, at(500))).toBeGreaterThan(0);
    expect(Routing.computeRemainingTerm(heldLease, at(500, 5_500))).toBe(0);
  });

  test('a later seal of a window does not replace the first one', () => {
    const seal = (requests: number): Routing.DutyRecord => createRecord('seal', 'a', {
      fence: 0, seal: { counts: { shop: requests }, window: 5 },
    });
    const claimed = Routing.applyDutyRecord(
      Routing.INITIAL_DUTY_STATE,
      0,
      createRecord('claim', 'a'),
      at(0),
    );
    const sealed = Routing.applyDutyRecord(claimed, 1, seal(10), at(1));
    const again = Routing.applyDutyRecord(sealed, 2, seal(12), at(2));
    expect(again.seals.get(5)?.counts).toEqual({ shop: 10 });
  });

  // Guards against a window that is sealed again because its seal is no longer kept.
  test('windows stay sealed when there are more seals than are kept', () => {
    const windows = Array.from({ length: 60 }, (_, index) => index);
    const claimed = Routing.applyDutyRecord(
      Routing.INITIAL_DUTY_STATE,
      0,
      createRecord('claim', 'a', { fence: 0, sealFrom: 0, sealedWindows: [] }),
      at(0),
    );
    const sealed = windows.reduce((state, window) => Routing.applyDutyRecord(
      state,
      window + 1,
      createRecord('seal', 'a', { fence: 0, seal: { counts: { shop: 1 }, window } }),
      at(window),
    ), claimed);
    expect(windows.filter((window) => !Routing.isSealed(sealed, window))).toEqual([]);
    expect(Routing.isSealed(sealed, windows.length)).toBe(false);
    expect(Routing.listSealedWindows(sealed).length).toBeLessThan(30);
  });

  test('a record of a former holder has no effect', () => {
    const first = Routing.applyDutyRecord(
      Routing.INITIAL_DUTY_STATE,
      0,
      createRecord('claim', 'a'),
      at(0),
    );
    const second = Routing.applyDutyRecord(first, 1, createRecord('claim', 'b'), at(9_000));
    const late = Routing.applyDutyRecord(
      second,
      2,
      createRecord('renewal', 'a', { fence: 0 }),
      at(9_100),
    );
    expect(late).toMatchObject({ end: 3, fence: 1, holder: 'b' });
  });

  test('after a gap in the log, a lease cannot be claimed within a term of its renewal', () => {
    const state = Routing.applyDutyGap(Routing.INITIAL_DUTY_STATE, 40, at(1_000), TERM_MS);
    const renewed = Routing.applyDutyRecord(
      state,
      40,
      createRecord('renewal', 'a', { fence: 12 }),
      at(1_000),
    );
    expect(renewed.holder).toBe('a');
    expect(Routing.canClaim(renewed, at(1_000 + TERM_MS))).toBe(false);
  });

  // Guards against a daemon that takes a former holder for the holder, ignores the renewals of the
  // present one, and claims the lease beside it.
  test('after a gap, the holder with the greatest fencing token holds the lease', () => {
    const position = Routing.createPosition(1, 40);
    const state = Routing.applyDutyGap(Routing.INITIAL_DUTY_STATE, position, at(0), TERM_MS);
    const late = Routing.applyDutyRecord(
      state,
      position,
      createRecord('renewal', 'former', { fence: 39 }),
      at(0),
    );
    const renewed = Routing.applyDutyRecord(
      late,
      position + 1,
      createRecord('renewal', 'present', { fence: Routing.createPosition(1, 20) }),
      at(1_000),
    );
    expect(renewed).toMatchObject({ fence: Routing.createPosition(1, 20), holder: 'present' });
    expect(Routing.canClaim(renewed, at(1_000 + TERM_MS))).toBe(false);
  });

  test('a released lease can be claimed immediately', () => {
    const held = Routing.applyDutyRecord(
      Routing.INITIAL_DUTY_STATE,
      0,
      createRecord('claim', 'a'),
      at(0),
    );
    const released = Routing.applyDutyRecord(
      held,
      1,
      createRecord('release', 'a', { fence: 0 }),
      at(10),
    );
    expect(Routing.canClaim(released, at(11))).toBe(true);
  });
});
