import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import {
  afterEach, describe, expect, test,
} from 'vitest';
import * as BaseVersions from '../../BaseVersions.js';
import * as Ports from '../../Ports.js';

describe('the base version of a service', () => {
  test.each([
    {
      base: undefined, chosen: 'v1', unlistedMs: 0, versions: { v1: 2 }, when: 'is its only one',
    },
    {
      base: undefined,
      chosen: 'v2',
      unlistedMs: 0,
      versions: { v1: 1, v2: 3 },
      when: 'is that of most servers at first',
    },
    {
      base: 'v1',
      chosen: 'v1',
      unlistedMs: 0,
      versions: { v1: 1, v2: 3 },
      when: 'stays beside another one',
    },
    {
      base: 'v1',
      chosen: 'v1',
      unlistedMs: BaseVersions.RETIRED_AFTER_MS - 1,
      versions: { v2: 3 },
      when: 'stays while its streams may be resumed',
    },
    {
      base: 'v1',
      chosen: 'v2',
      unlistedMs: BaseVersions.RETIRED_AFTER_MS,
      versions: { v2: 3 },
      when: 'moves on after that',
    },
    {
      base: 'v1',
      chosen: 'v2',
      unlistedMs: BaseVersions.RETIRED_AFTER_MS,
      versions: { v3: 2, v2: 2 },
      when: 'moves on to the same one at each daemon',
    },
    {
      base: 'v1',
      chosen: 'v1',
      unlistedMs: BaseVersions.RETIRED_AFTER_MS,
      versions: {},
      when: 'stays without servers',
    },
  ])('$when', ({
    base, chosen, unlistedMs, versions,
  }) => {
    expect(BaseVersions.chooseBaseVersion({
      base,
      unlistedMs,
      versions: new Map(Object.entries<number | undefined>(versions)
        .map(([version, count = 0]) => [version, count])),
    })).toBe(chosen);
  });
});

const started: BaseVersions.BaseVersions[] = [];

afterEach(() => started.splice(0).forEach(({ stop }) => stop()));

interface Written {
  readonly key: string;
  readonly value: string | undefined;
  readonly expectedEnd: number | undefined;
}

/** Starts the base versions of a daemon that lists `versions` and writes to `written`. */
function startBases(
  written: Written[],
  options: Partial<BaseVersions.BaseVersionsContext> = {},
): BaseVersions.BaseVersions {
  const bases = BaseVersions.startBaseVersions({
    clock: Core.systemClock,
    countDaemons: () => 1,
    getPosition: () => 7,
    isCurrent: () => true,
    isListCurrent: () => true,
    listServices: () => ['s'],
    countVersions: () => new Map([['v1', 2]]),
    logger: Core.createLogger('silent', {}),
    random: () => 0,
    write: (values, expectedEnd) => {
      values.forEach(({ key, raw }) => (
        written.push({ expectedEnd, key, value: raw?.toString('utf8') })
      ));
      return Effect.void;
    },
    ...options,
  });
  started.push(bases);
  return bases;
}

function createChange(key: string, text: string): Parameters<
  BaseVersions.BaseVersions['applyChanges']
>[0][number] {
  const raw = Buffer.from(text);
  return {
    key, offset: 0, raw, value: BaseVersions.decodeBaseVersion(key, raw),
  };
}

test('is written only if the feed ends where it was read, and counts when it is read', async () => {
  const written: Written[] = [];
  const bases = startBases(written);
  await expect.poll(() => written[0]).toEqual({
    expectedEnd: 7, key: 'base-version:s', value: '{"version":"v1"}',
  });
  expect(bases.get('s')).toBeUndefined();
  bases.applyChanges([createChange('base-version:s', '{"version":"v1"}')]);
  expect(bases.get('s')).toBe('v1');
});

// Guards against a daemon that lost contact: another version may have become the base meanwhile.
test('is not known to a daemon that has not read it lately', () => {
  let isCurrent = true;
  const bases = startBases([], { isCurrent: () => isCurrent });
  bases.applyChanges([createChange('base-version:s', '{"version":"v1"}')]);
  isCurrent = false;
  expect(bases.get('s')).toBeUndefined();
});

// Guards against an old list, which may lack servers of the base version that are back in service.
test('moves on only if the list of servers is current all the while', async () => {
  const written: Written[] = [];
  let nowMs = 0;
  let isListCurrent = false;
  const bases = startBases(written, {
    clock: { ...Core.systemClock, readMonotonic: () => nowMs },
    countVersions: () => new Map([['v2', 3]]),
    isListCurrent: () => isListCurrent,
  });
  bases.applyChanges([createChange('base-version:s', '{"version":"v1"}')]);
  const advance = async (): Promise<void> => {
    nowMs += BaseVersions.RETIRED_AFTER_MS + 1;
    await new Promise((resolve) => {
      setTimeout(resolve, 2 * BaseVersions.CHECK_INTERVAL_MS);
    });
  };
  await advance();
  expect(written).toEqual([]);
  isListCurrent = true;
  await advance();
  await expect.poll(() => written[0]?.value).toBe('{"version":"v2"}');
});

// Guards against a base version that is lost with a store which returned from an older copy.
test('is written again on request', async () => {
  const written: Written[] = [];
  const bases = startBases(written, { countVersions: () => new Map([['v1', 1], ['v2', 3]]) });
  bases.applyChanges([createChange('base-version:s', '{"version":"v1"}')]);
  bases.rewrite();
  await expect.poll(() => written.map(({ value }) => value)).toEqual(['{"version":"v1"}']);
});

test('is written by another try after the feed had moved', async () => {
  let tries = 0;
  startBases([], {
    write: () => {
      tries += 1;
      return Effect.fail(new Ports.EndMoved({ end: 8 }));
    },
  });
  await expect.poll(() => tries, { timeout: 5_000 }).toBeGreaterThan(1);
});

test('malformed records and crash reports are no base versions', () => {
  const decode = (key: string, text: string): unknown => (
    BaseVersions.decodeBaseVersion(key, Buffer.from(text))
  );
  expect(decode('base-version:s', '{"version":""}')).toBeUndefined();
  expect(decode('base-version:s', '{"version":1}')).toBeUndefined();
  expect(decode('part/vm-1', '{"version":"v1"}')).toBeUndefined();
});
