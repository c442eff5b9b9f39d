import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const MAX_AGE_MS = 4_500;
const at = (monotonicMs: number, wallMs: number): Routing.ClockReading => ({ monotonicMs, wallMs });

describe('age of verified data', () => {
  test('data counts as current up to the maximum age', () => {
    const verifiedAt = at(1_000, 50_000);
    expect(Routing.isReadingFresh(verifiedAt, at(5_400, 54_400), MAX_AGE_MS)).toBe(true);
    expect(Routing.isReadingFresh(verifiedAt, at(5_600, 54_600), MAX_AGE_MS)).toBe(false);
    expect(Routing.isReadingFresh(undefined, at(0, 0), MAX_AGE_MS)).toBe(false);
  });

  test('data counts as outdated after a suspension, which stops the monotonic clock', () => {
    expect(Routing.isReadingFresh(at(1_000, 50_000), at(1_100, 57_100), MAX_AGE_MS)).toBe(false);
  });

  test('data counts as outdated after a step of the wall clock, which may be a suspension', () => {
    expect(Routing.isReadingFresh(at(1_000, 50_000), at(1_100, 48_100), MAX_AGE_MS)).toBe(false);
  });
});

describe('estimate of the true time', () => {
  test('a step of the wall clock does not change the estimate', () => {
    let now = at(0, 100_000);
    const time = Routing.createTrueTime(() => now);
    now = at(1_000, 103_000);
    expect(time.read()).toBe(101_000);
    time.observeRemote(100_900, Infinity);
    expect(time.read()).toBe(101_000);
  });

  test('the estimate catches up after a suspension that a record of another daemon shows', () => {
    let now = at(0, 100_000);
    const time = Routing.createTrueTime(() => now);
    now = at(1_000, 106_000);
    time.observeRemote(105_500, Infinity);
    expect(time.read()).toBe(106_000);
  });

  test('a record of a daemon whose wall clock stepped ahead does not change the estimate', () => {
    const time = Routing.createTrueTime(() => at(0, 100_000));
    time.observeRemote(102_000, Infinity);
    expect(time.read()).toBe(100_000);
  });

  // Guards against a window that is sealed again by a daemon whose clock is behind that of the
  // former holder.
  test('the latest possible time allows for a step of the time of day before the start', () => {
    let now = at(0, 100_000);
    const time = Routing.createTrueTime(() => now);
    expect(time.readLatest()).toBe(100_000 + Routing.MAX_STEP_MS + Routing.MAX_LAG_MS);
    now = at(1_000, 101_000);
    // A record of unknown age shows nothing.
    time.observeRemote(100_800, Infinity);
    expect(time.readLatest()).toBe(101_000 + Routing.MAX_STEP_MS + Routing.MAX_LAG_MS);
    time.observeRemote(100_800, 500);
    expect(time.readLatest()).toBe(101_300 + Routing.MAX_LAG_MS);
    // A record of a daemon whose clock is behind does not make the estimate too late.
    time.observeRemote(99_000, 500);
    expect(time.readLatest()).toBe(101_000 + Routing.MAX_LAG_MS);
  });

  test('the latest possible time includes a suspension', () => {
    let now = at(0, 100_000);
    const time = Routing.createTrueTime(() => now);
    time.observeRemote(100_000, 0);
    now = at(1_000, 109_000);
    expect(time.read()).toBe(101_000);
    expect(time.readLatest()).toBe(109_000 + Routing.MAX_LAG_MS);
  });
});
