import { describe, expect, test } from 'vitest';
import * as CrashSuspects from '../../CrashSuspects.js';

const START_MS = 1_000_000;

/** Time at which a request was sent that waited at its server when others ended. */
const EARLIER_MS = START_MS - 1_000;

/** Records crashes of different servers under requests with these traits, 400 ms apart. */
function observeCrashes(
  suspects: CrashSuspects.CrashSuspects,
  traits: readonly string[],
  servers: readonly string[],
): void {
  servers.forEach((server, index) => {
    suspects.observeCrash(traits, { sentMs: EARLIER_MS, server }, START_MS + 400 * index);
  });
}

const NOW_MS = START_MS + 2_000;

describe('a part under which three servers ended', () => {
  test('blocks requests with it, and no others', () => {
    const suspects = CrashSuspects.createCrashSuspects();
    observeCrashes(suspects, ['bad'], ['s1', 's2']);
    expect(suspects.findBlocked(['bad'], NOW_MS)).toBeUndefined();
    expect(suspects.isSuspect(['bad'], NOW_MS)).toBe(true);
    suspects.observeCrash(['bad'], { sentMs: EARLIER_MS, server: 's3' }, NOW_MS);
    expect(suspects.findBlocked(['other', 'bad'], NOW_MS)).toBe('bad');
    expect(suspects.findBlocked(['other'], NOW_MS)).toBeUndefined();
  });

  test('is blocked also if the crashes were seen by different daemons', () => {
    const daemons = ['s1', 's2', 's3'].map((server, index) => {
      const suspects = CrashSuspects.createCrashSuspects();
      suspects.observeCrash(['bad'], { sentMs: EARLIER_MS, server }, START_MS + 400 * index);
      return suspects;
    });
    const reader = CrashSuspects.createCrashSuspects();
    daemons.forEach(({ getReport }) => reader.mergeReport('bad', getReport('bad', NOW_MS), NOW_MS));
    expect(reader.findBlocked(['bad'], NOW_MS)).toBe('bad');
  });

  test('is not blocked by several reports of one crash', () => {
    const suspects = CrashSuspects.createCrashSuspects();
    observeCrashes(suspects, ['bad'], ['s1', 's1', 's1']);
    expect(suspects.findBlocked(['bad'], NOW_MS)).toBeUndefined();
  });

  test('is blocked again by the first crash after its time', () => {
    const suspects = CrashSuspects.createCrashSuspects();
    observeCrashes(suspects, ['bad'], ['s1', 's2', 's3']);
    const laterMs = NOW_MS + CrashSuspects.BLOCK_MS;
    expect(suspects.findBlocked(['bad'], laterMs)).toBeUndefined();
    suspects.observeCrash(['bad'], { sentMs: EARLIER_MS, server: 's4' }, laterMs);
    expect(suspects.findBlocked(['bad'], laterMs)).toBe('bad');
  });
});

/** Sound requests share the account and the other parts of requests that crash servers. */
describe('a sound part of requests that crash servers', () => {
  test('is no suspect if it was answered shortly before', () => {
    const suspects = CrashSuspects.createCrashSuspects();
    suspects.observeAnswer(['shared'], START_MS - 500);
    observeCrashes(suspects, ['shared', 'bad'], ['s1', 's2', 's3']);
    expect(suspects.findBlocked(['shared'], NOW_MS)).toBeUndefined();
    expect(suspects.findBlocked(['shared', 'bad'], NOW_MS)).toBe('bad');
  });

  test('is cleared by an answer, also at other daemons', () => {
    const suspects = CrashSuspects.createCrashSuspects();
    observeCrashes(suspects, ['shared', 'bad'], ['s1', 's2', 's3']);
    expect(suspects.observeAnswer(['shared'], NOW_MS)).toEqual(['shared']);
    const other = CrashSuspects.createCrashSuspects();
    observeCrashes(other, ['shared'], ['s1', 's2', 's3']);
    other.mergeReport('shared', suspects.getReport('shared', NOW_MS), NOW_MS);
    expect(other.isSuspect(['shared'], NOW_MS)).toBe(false);
  });

  test('is cleared by an answer at a daemon whose clock is behind', () => {
    const suspects = CrashSuspects.createCrashSuspects();
    observeCrashes(suspects, ['shared'], ['s1', 's2', 's3']);
    suspects.observeAnswer(['shared'], START_MS - 5_000);
    expect(suspects.isSuspect(['shared'], NOW_MS)).toBe(false);
  });

  // Guards against the refusal of rare requests, of which none was answered meanwhile.
  test('is not blamed for crashes that a part with more of them explains', () => {
    const suspects = CrashSuspects.createCrashSuspects();
    observeCrashes(suspects, ['rare', 'bad'], ['s1', 's2', 's3']);
    suspects.observeCrash(['common', 'bad'], { sentMs: EARLIER_MS, server: 's4' }, NOW_MS);
    expect(suspects.findBlocked(['rare'], NOW_MS)).toBeUndefined();
    expect(suspects.findBlocked(['common', 'bad'], NOW_MS)).toBe('bad');
  });

  test('with the same crashes is only blocked together with the other part', () => {
    const suspects = CrashSuspects.createCrashSuspects();
    observeCrashes(suspects, ['rare', 'bad'], ['s1', 's2', 's3']);
    expect(suspects.findBlocked(['rare'], NOW_MS)).toBeUndefined();
    expect(suspects.findBlocked(['rare', 'bad'], NOW_MS)).toBeDefined();
  });

  test('does not hide a second part that crashes other servers', () => {
    const suspects = CrashSuspects.createCrashSuspects();
    observeCrashes(suspects, ['bad-1'], ['s1', 's2', 's3', 's4']);
    observeCrashes(suspects, ['bad-2'], ['s5', 's6', 's7']);
    expect(suspects.findBlocked(['bad-1'], NOW_MS)).toBe('bad-1');
    expect(suspects.findBlocked(['bad-2'], NOW_MS)).toBe('bad-2');
  });
});

test('the stored parts and crashes are bounded', () => {
  const suspects = CrashSuspects.createCrashSuspects();
  Array.from({ length: 5_000 }, (_, index) => suspects.observeCrash(
    [`part-${index}`],
    { sentMs: EARLIER_MS, server: 's' },
    START_MS,
  ));
  observeCrashes(suspects, ['bad'], Array.from({ length: 100 }, (_, index) => `s${index}`));
  expect(suspects.getReport('part-0', START_MS).crashes).toEqual([]);
  expect(suspects.getReport('bad', START_MS).crashes).toHaveLength(16);
  expect(suspects.findBlocked(['bad'], START_MS)).toBe('bad');
});

// Guards against a blocked trait that is forgotten because many servers end, each of which breaks
// requests that have nothing to do with it.
test('a blocked trait is kept when many single crashes are reported', () => {
  const suspects = CrashSuspects.createCrashSuspects();
  observeCrashes(suspects, ['bad'], ['s1', 's2', 's3']);
  Array.from({ length: 5_000 }, (_, index) => suspects.observeCrash(
    [`request-${index}`],
    { sentMs: EARLIER_MS, server: 's4' },
    NOW_MS,
  ));
  expect(suspects.findBlocked(['bad'], NOW_MS)).toBe('bad');
});

// Guards against the refusal of a popular part because a whole data centre was lost: requests with
// the part were waiting at each of its servers.
test('servers that end at the same time block nothing, and requests are retried', () => {
  const suspects = CrashSuspects.createCrashSuspects();
  ['s1', 's2', 's3', 's4', 's5'].forEach((server, index) => {
    suspects.observeCrash(['popular'], { sentMs: EARLIER_MS, server }, START_MS + 20 * index);
  });
  expect(suspects.findBlocked(['popular'], NOW_MS)).toBeUndefined();
  expect(suspects.isSuspect(['popular'], NOW_MS)).toBe(false);
});

// Guards against a request whose retries end further servers within the time in which those of a
// lost data centre would end: four servers, each one sent the request after the last one ended.
describe('a request that was sent to a server after the last one had ended', () => {
  const observeRetry = (
    suspects: CrashSuspects.CrashSuspects,
    server: string,
    sentMs: number,
  ): void => {
    suspects.observeCrash(['bad'], { sentMs, server }, sentMs + 60);
  };

  test('may be retried after the second crash, and is blocked after the third', () => {
    const suspects = CrashSuspects.createCrashSuspects();
    observeRetry(suspects, 's1', START_MS);
    observeRetry(suspects, 's2', START_MS + 61);
    expect(suspects.isSuspect(['bad'], NOW_MS)).toBe(false);
    expect(suspects.findBlocked(['bad'], NOW_MS)).toBeUndefined();
    observeRetry(suspects, 's3', START_MS + 140);
    expect(suspects.findBlocked(['bad'], NOW_MS)).toBe('bad');
  });

  test('is recognised if other daemons sent it', () => {
    const suspects = CrashSuspects.createCrashSuspects();
    ['s1', 's2', 's3'].forEach((server, index) => {
      const other = CrashSuspects.createCrashSuspects();
      observeRetry(other, server, START_MS + 70 * index);
      suspects.mergeReport('bad', other.getReport('bad', NOW_MS), NOW_MS);
    });
    expect(suspects.findBlocked(['bad'], NOW_MS)).toBe('bad');
  });

  test('is not blamed if it was waiting at all of them when they ended', () => {
    const suspects = CrashSuspects.createCrashSuspects();
    ['s1', 's2', 's3', 's4'].forEach((server, index) => {
      suspects.observeCrash(
        ['popular'],
        { sentMs: START_MS - 20 * index, server },
        START_MS + 20 * index,
      );
    });
    expect(suspects.findBlocked(['popular'], NOW_MS)).toBeUndefined();
  });
});

test('a burst of requests with the part blocks it within a second', () => {
  const suspects = CrashSuspects.createCrashSuspects();
  Array.from({ length: 10 }, (_, index) => (
    suspects.observeCrash(
      ['bad'],
      { sentMs: EARLIER_MS, server: `s${index}` },
      START_MS + 100 * index,
    )
  ));
  expect(suspects.findBlocked(['bad'], NOW_MS)).toBe('bad');
});

// Guards against blaming a part for connections that servers in trouble reset at random.
test('a crash does not count if its server answers a later request', () => {
  const suspects = CrashSuspects.createCrashSuspects();
  observeCrashes(suspects, ['rare'], ['s1', 's2', 's3']);
  suspects.observeServerAnswer('s2', START_MS + 300);
  expect(suspects.findBlocked(['rare'], NOW_MS)).toBe('rare');
  suspects.observeServerAnswer('s2', START_MS + 900);
  expect(suspects.findBlocked(['rare'], NOW_MS)).toBeUndefined();
});
