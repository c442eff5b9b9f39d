import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Effect from 'effect/Effect';
import * as Vitest from 'vitest';
import * as FakeLog from '../../FakeLog.js';

const { describe, expect, test } = Vitest;

const writer = { daemonId: 'd1', incarnation: '1-a' };

describe('the log client against the fake log', () => {
  test('delivers an entry once when the answer to its append is lost', async () => {
    const fake = await FakeLog.startFakeLog();
    const client = Log.createLogClient(Log.createHttpLog(fake.url), writer, Core.systemClock);
    const recordIds: string[] = [];
    client.registerReader('s', 0, {
      onEntry: ({ records }) => {
        recordIds.push(...records.map(({ recordId }) => recordId));
      },
    });
    fake.faults.set([{
      count: 1, delayMs: 0, kind: 'lost-answer', operation: 'append',
    }]);
    const record = Log.createRecord(writer, 'x', {});
    expect(await Effect.runPromise(client.appendAndReadBack('s', record))).toBe(0);
    expect(recordIds).toEqual([record.recordId]);
    client.close();
    await fake.close();
  });
});
