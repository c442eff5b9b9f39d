/** Slopes of the configuration, the keys and the log tail. */
import * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Testkit from '@berylyoke/testkit';
import * as Effect from 'effect/Effect';
import * as CapacityCase from './CapacityCase.js';

const WRITER = { daemonId: 'bench', incarnation: '1-a' };
const POLL_MS = 1;

/** Builds lists with a number of accounts, 8 models and 5 classes, as the target size has. */
export function buildLists(accounts: number): Config.EncodedLists {
  const classes = Array.from({ length: 5 }, (_, tier) => ({
    firstTokenMs: 890, id: `class-${tier}`, tier,
  }));
  const models = Array.from({ length: 8 }, (_, i) => ({
    defaultClass: 'class-2', id: `model-${i}`,
  }));
  return {
    accounts: Array.from({ length: accounts }, (_, i) => ({ id: `account-${i}`, plan: 'plan' })),
    classes,
    models,
    plans: [{
      classes: ['class-0', 'class-1', 'class-2', 'class-3', 'class-4'],
      id: 'plan',
      models: models.map(({ id }) => id),
    }],
    routes: [],
  };
}

function buildEdit(offset: number, accounts: number): Log.LogEntry {
  return {
    offset,
    records: [Log.createRecord(WRITER, Config.CONFIG_KINDS.edit, {
      baseVersion: offset, lists: buildLists(accounts),
    })],
    timestampMs: offset,
  };
}

function buildChangeEntry(offset: number, baseVersion: number): Log.LogEntry {
  const account = { id: `account-${offset}`, plan: 'plan' };
  return {
    offset,
    records: [Log.createRecord(WRITER, Config.CONFIG_KINDS.edit, {
      baseVersion, change: { accounts: { put: [account], remove: [] } },
    })],
    timestampMs: offset,
  };
}

function buildKeyEntry(offset: number): Log.LogEntry {
  return {
    offset,
    records: [Log.createRecord(WRITER, Config.CONFIG_KINDS.keyIssue, {
      account: `account-${offset % 2_300}`,
      digest: Config.hashSecret(String(offset)),
      keyId: `key${String(offset).padStart(9, '0')}`,
    })],
    timestampMs: offset,
  };
}

function reduceEntries(entries: readonly Log.LogEntry[]): Config.ConfigState {
  return entries.reduce<Config.ConfigState>(
    (state, entry) => Config.reduceConfig(state, entry),
    Config.initialConfigState,
  );
}

async function measureCatchUp(entries: number): Promise<number> {
  const fake = await Testkit.startFakeLog();
  const port = Log.createHttpLog(fake.url);
  const records = Array.from({ length: entries }, (_, i) => buildKeyEntry(i).records);
  await Effect.runPromise(Effect.forEach(records, (batch) => port.append('config', batch), {
    concurrency: 8, discard: true,
  }));
  const client = Log.createLogClient(port, WRITER, Core.systemClock);
  let seen = 0;
  const elapsedMs = await CapacityCase.measureMillis(() => new Promise((resolve) => {
    client.registerReader('config', 0, {
      onEntry: () => {
        seen += 1;
        if (seen === entries) setTimeout(resolve, POLL_MS);
      },
    });
  }));
  client.close();
  await fake.close();
  return elapsedMs;
}

const EDITS = 20;

/** Cases of the configuration and the log tail. */
export const CONFIG_CASES: readonly CapacityCase.CapacityCase[] = [
  {
    costUnit: 'bytes of one edit record of whole lists',
    measure: async (accounts) => JSON.stringify(buildEdit(0, accounts)).length,
    name: 'config-edit-bytes',
    sizeUnit: 'accounts',
    sizes: [100, 575, 1_150, 2_300],
  },
  {
    costUnit: 'bytes of one edit record that changes a row',
    measure: async () => JSON.stringify(buildChangeEntry(1, 1)).length,
    name: 'config-change-bytes',
    sizeUnit: 'accounts',
    sizes: [100, 1_150, 2_300],
  },
  {
    costUnit: 'µs of processor time to apply an edit that changes a row',
    measure: (accounts) => {
      const state = reduceEntries([buildEdit(0, accounts)]);
      const entries = Array.from({ length: EDITS }, (_, i) => buildChangeEntry(i + 1, i + 1));
      return CapacityCase.measureProcessorMicros(EDITS, () => {
        entries.reduce<Config.ConfigState>((now, entry) => Config.reduceConfig(now, entry), state);
      });
    },
    name: 'config-change-apply',
    sizeUnit: 'accounts',
    sizes: [100, 575, 1_150, 2_300],
  },
  {
    costUnit: 'µs of processor time to apply one edit of whole lists',
    measure: (accounts) => {
      const entries = Array.from({ length: EDITS }, (_, i) => buildEdit(i, accounts));
      return CapacityCase.measureProcessorMicros(EDITS, () => {
        reduceEntries(entries);
      });
    },
    name: 'config-edit-apply',
    sizeUnit: 'accounts',
    sizes: [100, 575, 1_150, 2_300],
  },
  {
    costUnit: 'µs of processor time to apply one issued key',
    measure: (keys) => {
      const state = reduceEntries(Array.from({ length: keys }, (_, i) => buildKeyEntry(i)));
      const more = Array.from({ length: EDITS }, (_, i) => buildKeyEntry(keys + i));
      return CapacityCase.measureProcessorMicros(EDITS, () => {
        more.reduce<Config.ConfigState>((now, entry) => Config.reduceConfig(now, entry), state);
      });
    },
    name: 'key-apply',
    sizeUnit: 'keys',
    sizes: [1_000, 5_000, 10_000, 20_000],
  },
  {
    costUnit: 'bytes of heap for all keys',
    measure: (keys) => CapacityCase.measureHeapBytes(() => (
      reduceEntries(Array.from({ length: keys }, (_, i) => buildKeyEntry(i)))
    )),
    name: 'key-memory',
    sizeUnit: 'keys',
    sizes: [1_000, 2_500, 5_000, 10_000],
  },
  {
    costUnit: 'ms to catch up from the log over loopback',
    measure: measureCatchUp,
    name: 'log-catch-up',
    sizeUnit: 'entries',
    sizes: [500, 1_000, 2_000, 4_000],
  },
];
