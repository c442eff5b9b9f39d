import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';

const MAX_AGE_MS = 4_500;
const at = (monotonicMs: number, wallMs: number): Routing.ClockReading => ({ monotonicMs, wallMs });

describe('proof that keys are current', () => {
  test('holds for its age and no longer', () => {
    const verifiedAt = at(1_000, 50_000);
    expect(Routing.isReadingFresh(verifiedAt, at(5_400, 54_400), MAX_AGE_MS)).toBe(true);
    expect(Routing.isReadingFresh(verifiedAt, at(5_600, 54_600), MAX_AGE_MS)).toBe(false);
    expect(Routing.isReadingFresh(undefined, at(0, 0), MAX_AGE_MS)).toBe(false);
  });

  test('is void after a suspension, during which the steady clock stood still', () => {
    expect(Routing.isReadingFresh(at(1_000, 50_000), at(1_100, 57_100), MAX_AGE_MS)).toBe(false);
  });

  test('is void after a step of the time of day, which looks like a suspension', () => {
    expect(Routing.isReadingFresh(at(1_000, 50_000), at(1_100, 48_100), MAX_AGE_MS)).toBe(false);
  });
});

describe('true time', () => {
  test('a step of the time of day does not move it', () => {
    let now = at(0, 100_000);
    const time = Routing.createTrueTime(() => now);
    now = at(1_000, 103_000);
    expect(time.read()).toBe(101_000);
    time.observeRemote(100_900);
    expect(time.read()).toBe(101_000);
  });

  test('a suspension is made up for once a record of another daemon shows it', () => {
    let now = at(0, 100_000);
    const time = Routing.createTrueTime(() => now);
    now = at(1_000, 106_000);
    time.observeRemote(105_500);
    expect(time.read()).toBe(106_000);
  });

  test('a record written by a daemon whose time of day stepped ahead moves nothing', () => {
    const time = Routing.createTrueTime(() => at(0, 100_000));
    time.observeRemote(102_000);
    expect(time.read()).toBe(100_000);
  });
});
