import * as Core from '@berylyoke/core';
import * as Effect from 'effect/Effect';
import { afterEach, expect, test } from 'vitest';
import * as CrashReports from '../../CrashReports.js';
import * as Ports from '../../Ports.js';
import * as RequestTraits from '../../RequestTraits.js';

const started: CrashReports.CrashReports[] = [];

afterEach(() => started.splice(0).forEach(({ stop }) => stop()));

type Written = Parameters<Ports.WritableKeyedFeed['write']>[0];

function startReports(
  daemonId: string,
  write: Ports.WritableKeyedFeed['write'],
  readTrueTime = (): number => 1_000_000,
): CrashReports.CrashReports {
  const reports = CrashReports.startCrashReports({
    daemonId, logger: Core.createLogger('silent', {}), readTrueTime, write,
  });
  started.push(reports);
  return reports;
}

function applyWritten(reports: CrashReports.CrashReports, written: Written): void {
  reports.applyChanges(written.map(({ key, raw }) => ({
    key, offset: 0, raw, value: raw === undefined ? undefined : CrashReports.decodeCrashReport(raw),
  })));
}

// Guards against knowledge that is lost because the store did not answer.
test('a report that the store did not take is written again', async () => {
  const written: Written[] = [];
  let isDown = true;
  const reports = startReports('vm-1', (values) => {
    if (isDown) {
      isDown = false;
      return Effect.fail(new Ports.StoreUnavailable({ call: 'c', detail: 'd', sent: true }));
    }
    written.push(values);
    return Effect.void;
  });
  reports.observeCrash(['bad'], 's1', 10);
  await expect.poll(() => written.flat().map(({ key }) => key)).toEqual(['bad/vm-1']);
});

// Guards against knowledge that is gone with a store that returned from an older copy.
test('reports are written again on request, those of this daemon only', async () => {
  const written: Written[] = [];
  const reports = startReports('vm-1', (values) => {
    written.push(values);
    return Effect.void;
  });
  reports.observeCrash(['bad'], 's1', 10);
  applyWritten(reports, [{
    key: 'other/vm-2',
    raw: Buffer.from('{"clearedMs":0,"crashes":[{"atMs":1000000,"server":"s2"}]}'),
  }]);
  await expect.poll(() => written.length).toBe(1);
  reports.rewrite();
  await expect.poll(() => written.flat().map(({ key }) => key)).toEqual(['bad/vm-1', 'bad/vm-1']);
});

test('part ids of callers may contain any character', async () => {
  const written: Written[] = [];
  const times = [1_000_000, 1_001_000, 1_002_000];
  times.forEach((nowMs, index) => startReports(`vm-${index}`, (values) => {
    written.push(values);
    return Effect.void;
  }, () => nowMs).observeCrash(['a/b c'], `s${index}`, 10));
  await expect.poll(() => written.length).toBe(3);
  const reader = startReports('vm-9', () => Effect.void, () => 1_003_000);
  applyWritten(reader, written.flat());
  expect(reader.findBlocked(['a/b c'])).toBe('a/b c');
  expect(reader.findBlocked(['a'])).toBeUndefined();
});

test('requests and prompt parts that are blocked are counted apart', () => {
  const reports = startReports('vm-1', () => Effect.void);
  const [part = '', request = ''] = RequestTraits.listTraits(['part'], 'digest');
  const raw = Buffer.from(JSON.stringify({
    clearedMs: 0,
    crashes: [1, 2, 3].map((index) => ({ atMs: 1_000_000 - index * 1_000, server: `s${index}` })),
  }));
  applyWritten(reports, [{ key: `${request}/vm-2`, raw }]);
  expect([reports.countBlocked('fingerprint'), reports.countBlocked('promptPart')]).toEqual([1, 0]);
  applyWritten(reports, [{ key: `${part}/vm-2`, raw }]);
  expect([reports.countBlocked('fingerprint'), reports.countBlocked('promptPart')]).toEqual([1, 1]);
});

// Guards against a crash at an infinite time, which would block its trait for good.
test('a report with a number that is too large is ignored', () => {
  const crash = '{"atMs":1e999,"server":"s"}';
  expect(CrashReports.decodeCrashReport(Buffer.from(`{"clearedMs":0,"crashes":[${crash}]}`)))
    .toBeUndefined();
  expect(CrashReports.decodeCrashReport(Buffer.from('{"clearedMs":1e999,"crashes":[]}')))
    .toBeUndefined();
});

test('a malformed report is ignored', () => {
  const reader = startReports('vm-1', () => Effect.void);
  applyWritten(reader, [
    { key: 'bad/vm-2', raw: Buffer.from('{"crashes":1}') }, { key: 'bad', raw: Buffer.from('x') },
  ]);
  expect(reader.countBlocked('promptPart')).toBe(0);
});
