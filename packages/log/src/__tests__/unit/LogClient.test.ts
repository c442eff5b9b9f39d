import * as Core from '@berylyoke/core';
import * as Testkit from '@berylyoke/testkit';
import * as Effect from 'effect/Effect';
import * as Vitest from 'vitest';
import * as Log from '../../index.js';

const {
  afterEach, describe, expect, test,
} = Vitest;

const writer = { daemonId: 'd1', incarnation: '1-a' };
const FAST_OPTIONS: Partial<Log.LogClientOptions> = {
  appendBackoff: { baseMs: 2, maxMs: 20 },
  appendsPerSecond: 1_000,
  appendTimeoutMs: 200,
  readBackoff: { baseMs: 2, maxMs: 20 },
  readWaitMs: 50,
  repeatBackoff: { baseMs: 20, maxMs: 100 },
};

let cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.reverse().map((close) => close()));
  cleanups = [];
});

async function startLog(options: Testkit.FakeLogOptions = {}): Promise<Testkit.FakeLog> {
  const fake = await Testkit.startFakeLog(options);
  cleanups.push(fake.close);
  return fake;
}

function openClient(
  fake: Testkit.FakeLog,
  options: Partial<Log.LogClientOptions> = {},
): Log.InstrumentedLogClient {
  const client = Log.createLogClient(
    Log.createHttpLog(fake.url),
    writer,
    Core.systemClock,
    { ...FAST_OPTIONS, ...options },
  );
  cleanups.push(client.close);
  return client;
}

interface RecordingReader {
  readonly ids: string[];
  readonly offsets: number[];
  readonly gaps: number[];
  readonly reader: Log.LogReader;
}

function createRecordingReader(): RecordingReader {
  const recording = { gaps: [] as number[], ids: [] as string[], offsets: [] as number[] };
  return {
    ...recording,
    reader: {
      onEntry: ({ offset, records }) => {
        recording.offsets.push(offset);
        recording.ids.push(...records.map(({ recordId }) => recordId));
      },
      onGap: (first) => {
        recording.gaps.push(first);
      },
    },
  };
}

function createRecords(count: number): readonly Log.LogRecord[] {
  return Array.from({ length: count }, (_, index) => (
    { ...Log.createRecord(writer, 'x', index), recordId: `r${index}` }
  ));
}

function waitFor(condition: () => void): Promise<void> {
  return Vitest.vi.waitFor(condition, { interval: 2, timeout: 30_000 });
}

function appendAll(
  client: Log.LogClient,
  records: readonly Log.LogRecord[],
): Promise<readonly number[]> {
  return Promise.all(records.map((record) => (
    Effect.runPromise(client.appendAndReadBack('s', record))
  )));
}

describe('group commit', () => {
  test('combines records that arrive together into few appends, in order', async () => {
    const fake = await startLog();
    const client = openClient(fake, {
      appendBurst: 1, appendsPerSecond: 50, repeatBackoff: { baseMs: 3_600_000, maxMs: 3_600_000 },
    });
    const records = createRecords(500);
    await appendAll(client, records);
    expect(fake.countAppends()).toBeLessThanOrEqual(3);
    const ids = fake.listEntries('s').flatMap((entry) => entry.records.map((r) => r.recordId));
    expect(ids).toEqual(records.map(({ recordId }) => recordId));
  });

  test('refuses a record above the limit as not sent, so that memory stays bounded', async () => {
    const fake = await startLog();
    fake.faults.set([{
      count: 1_000, delayMs: 0, kind: 'refusal', operation: 'append',
    }]);
    const client = openClient(fake, { recordsInFlight: 3 });
    const [a, b, c, d, e] = createRecords(5) as [Log.LogRecord, Log.LogRecord, Log.LogRecord,
      Log.LogRecord, Log.LogRecord];
    const fibers = [a, b, c].map((record) => Effect.runFork(client.appendAndReadBack('s', record)));
    await waitFor(() => expect(client.getCounts().recordsInFlight).toBe(3));
    expect(await Effect.runPromise(Effect.flip(client.append('s', d))))
      .toMatchObject({ _tag: 'LogUnavailableError', sent: false });
    expect(await Effect.runPromise(Effect.flip(client.appendAndReadBack('s', e))))
      .toMatchObject({ _tag: 'ReadBackTimeoutError', reason: 'busy', sent: false });
    fake.faults.set([]);
    await waitFor(() => expect(client.getCounts().recordsInFlight).toBe(0));
    expect(fibers).toHaveLength(3);
  });
});

describe('large records', () => {
  const large = Array.from({ length: 6 }, (_, index) => (
    { ...Log.createRecord(writer, 'x', 'a'.repeat(400)), recordId: `large${index}` }
  ));

  test('are split over several appends, so that the size of an append stays bounded', async () => {
    const fake = await startLog();
    const client = openClient(fake, { bytesPerAppend: 1_000 });
    await appendAll(client, large);
    const sizes = fake.listEntries('s').map(({ records }) => records.length);
    expect(Math.max(...sizes)).toBe(2);
    expect(client.getCounts()).toMatchObject({ bytesInFlight: 0, recordsInFlight: 0 });
  });

  test('are refused above the limit on bytes, unless no other record is in flight', async () => {
    const fake = await startLog();
    fake.faults.set([{
      count: 1_000, delayMs: 0, kind: 'refusal', operation: 'append',
    }]);
    const client = openClient(fake, { bytesInFlight: 100 });
    const [first, second] = large as [Log.LogRecord, Log.LogRecord];
    const firstAppend = Effect.runPromise(client.appendAndReadBack('s', first));
    await waitFor(() => expect(client.getCounts().recordsInFlight).toBe(1));
    expect(await Effect.runPromise(Effect.flip(client.appendAndReadBack('s', second))))
      .toMatchObject({ reason: 'busy', sent: false });
    fake.faults.set([]);
    await firstAppend;
  });
});

describe('log faults', () => {
  interface FaultCase {
    readonly name: string;
    readonly faults: readonly Testkit.EncodedFault[];
  }
  const cases: readonly FaultCase[] = [
    {
      faults: [
        {
          count: 8, delayMs: 0, kind: 'refusal', operation: 'append',
        },
        {
          count: 8, delayMs: 0, kind: 'refusal', operation: 'read',
        },
      ],
      name: 'an outage',
    },
    {
      faults: [
        {
          count: 4, delayMs: 60, kind: 'delay', operation: 'append',
        },
        {
          count: 4, delayMs: 60, kind: 'delay', operation: 'read',
        },
      ],
      name: 'slow responses',
    },
    {
      faults: [{
        count: 2, delayMs: 0, kind: 'lost-answer', operation: 'append',
      }],
      name: 'lost responses',
    },
    {
      faults: [{
        count: 3, delayMs: 0, kind: 'duplicate', operation: 'append',
      }],
      name: 'duplicated appends',
    },
    {
      faults: [{
        count: 2, delayMs: 0, kind: 'silence', operation: 'append',
      }],
      name: 'appends without a response',
    },
  ];

  test.each(cases)('with $name each record is read back and delivered once', async ({ faults }) => {
    const fake = await startLog();
    const client = openClient(fake);
    const recording = createRecordingReader();
    client.registerReader('s', 0, recording.reader);
    fake.faults.set(faults);
    const records = createRecords(20);
    await appendAll(client, records);
    expect([...recording.ids].sort()).toEqual(records.map(({ recordId }) => recordId).sort());
    expect(client.getCounts().recordsInFlight).toBe(0);
  });

  test('an append that is not read back is reported as sent if it may be stored', async () => {
    const fake = await startLog();
    fake.faults.set([{
      count: 1_000, delayMs: 0, kind: 'refusal', operation: 'read',
    }]);
    const client = openClient(fake);
    const record = Log.createRecord(writer, 'x', {});
    const failure = Effect.flip(client.appendAndReadBack('s', record, { timeoutMs: 100 }));
    expect(await Effect.runPromise(failure)).toMatchObject({ reason: 'deadline', sent: true });
    expect(client.getCounts().recordsInFlight).toBe(0);
  });

  test('appends and reads back off during an outage instead of a busy loop', async () => {
    const fake = await startLog();
    fake.faults.set(['append', 'read'].map((operation) => ({
      count: 1_000_000, delayMs: 0, kind: 'refusal' as const, operation,
    })));
    const backoff = { baseMs: 3_600_000, maxMs: 3_600_000 };
    const client = openClient(fake, { appendBackoff: backoff, readBackoff: backoff });
    const records = createRecords(20);
    client.registerReader('s', 0, createRecordingReader().reader);
    records.forEach((record) => Effect.runFork(client.appendAndReadBack('s', record)));
    await waitFor(() => expect(client.getCounts()).toMatchObject({ failedAppends: 1 }));
    await waitFor(() => expect(client.getCounts().streams.s?.failedReads).toBe(1));
    // New records must not shorten the back-off. Failures of another client show that time passed.
    Effect.runFork(client.appendAndReadBack('s', Log.createRecord(writer, 'x', {})));
    const other = openClient(fake);
    Effect.runFork(other.appendAndReadBack('t', Log.createRecord(writer, 'x', {})));
    await waitFor(() => expect(other.getCounts().failedAppends).toBeGreaterThan(6));
    const { failedAppends, streams } = client.getCounts();
    expect([failedAppends, streams.s?.failedReads]).toEqual([1, 1]);
  });

  test('closing the client fails the appends that wait for a read-back', async () => {
    const fake = await startLog();
    fake.faults.set([{
      count: 1_000, delayMs: 0, kind: 'refusal', operation: 'append',
    }]);
    const client = openClient(fake);
    const [record] = createRecords(1) as [Log.LogRecord];
    const failure = Effect.runPromise(Effect.flip(client.appendAndReadBack('s', record)));
    await waitFor(() => expect(client.getCounts().recordsInFlight).toBe(1));
    client.close();
    expect(await failure).toMatchObject({ reason: 'closed' });
  });
});

describe('readers', () => {
  test('are told of expired offsets by a gap and continue after it', async () => {
    const fake = await startLog();
    createRecords(10).forEach((record) => fake.append('s', [record]));
    fake.expireBefore('s', 7);
    const client = openClient(fake);
    const recording = createRecordingReader();
    client.registerReader('s', 0, recording.reader);
    await waitFor(() => expect(recording.offsets).toEqual([7, 8, 9]));
    expect(recording.gaps).toEqual([7]);
  });

  test('are told of a gap while they read new entries', async () => {
    const fake = await startLog();
    const client = openClient(fake);
    const recording = createRecordingReader();
    client.registerReader('s', 0, recording.reader);
    const [a, b, c] = createRecords(3) as [Log.LogRecord, Log.LogRecord, Log.LogRecord];
    fake.append('s', [a]);
    await waitFor(() => expect(recording.offsets).toEqual([0]));
    fake.faults.set([{
      count: 5, delayMs: 0, kind: 'refusal', operation: 'read',
    }]);
    fake.append('s', [b]);
    await waitFor(() => expect(client.getCounts().streams.s?.failedReads).toBeGreaterThan(0));
    fake.append('s', [c]);
    fake.expireBefore('s', 2);
    await waitFor(() => expect(recording.offsets).toContain(2));
    expect(
      recording.gaps.length + recording.offsets.filter((offset) => offset === 1).length,
    ).toBe(1);
  });

  test('replay page by page when they register late, before read-backs complete', async () => {
    const fake = await startLog();
    const records = createRecords(30);
    records.forEach((record) => fake.append('s', [record]));
    const client = openClient(fake, { entriesPerRead: 4 });
    const early = createRecordingReader();
    const late = createRecordingReader();
    client.registerReader('s', 20, early.reader);
    await waitFor(() => expect(early.offsets).toHaveLength(10));
    client.registerReader('s', 0, late.reader);
    expect(client.getStatus('s').caughtUp).toBe(false);
    const extra = { ...Log.createRecord(writer, 'x', 0), recordId: 'extra' };
    // A read-back promises that every reader has received the record, so it waits for the late one.
    await Effect.runPromise(client.appendAndReadBack('s', extra));
    expect(late.ids).toEqual([...records.map(({ recordId }) => recordId), 'extra']);
    expect(early.ids).toEqual(late.ids.slice(20));
  });

  test('still receive entries when another reader throws, and the error is reported', async () => {
    const fake = await startLog();
    const errors: unknown[] = [];
    const client = openClient(fake, { onReaderError: (_, error) => errors.push(error) });
    const recording = createRecordingReader();
    const failure = { _tag: 'TestFailure' };
    client.registerReader('s', 0, {
      onEntry: () => {
        throw Object.assign(new Error('reader fails'), failure);
      },
    });
    client.registerReader('s', 0, recording.reader);
    await appendAll(client, createRecords(2));
    expect(recording.ids).toEqual(['r0', 'r1']);
    expect(errors).toHaveLength(recording.offsets.length);
  });

  test('do not poll a log that ignores waitMs in a busy loop', async () => {
    let reads = 0;
    const port: Log.LogPort = {
      append: () => Effect.succeed(0),
      read: ({ from }) => Effect.sync(() => {
        reads += 1;
        return { entries: [], first: 0, next: from };
      }),
    };
    const client = Log.createLogClient(port, writer, Core.systemClock, { emptyReadMs: 3_600_000 });
    cleanups.push(client.close);
    client.registerReader('s', 0, createRecordingReader().reader);
    await waitFor(() => expect(reads).toBe(1));
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    expect(reads).toBe(1);
  });
});
