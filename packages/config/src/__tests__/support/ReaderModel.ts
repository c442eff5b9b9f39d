/**
 * Model of three readers of one configuration stream. Generated steps append to the log, expire
 * entries, and let the readers read, restart or receive entries and states from peers. The expected
 * state at each offset is computed independently of the reducers under test.
 */
import type * as Log from '@berylyoke/log';
import * as HashMap from 'effect/HashMap';
import * as fc from 'fast-check';
import * as Config from '../../index.js';

/** A generated step. Indexes and counts are limited to what exists when the step runs. */
export type Step = { readonly _tag: 'edit'; readonly base: number; readonly plan: number }
  | { readonly _tag: 'issue'; readonly key: number }
  | { readonly _tag: 'withdraw'; readonly key: number }
  | { readonly _tag: 'repeat'; readonly record: number }
  | { readonly _tag: 'capture'; readonly reader: number }
  | { readonly _tag: 'snapshot'; readonly captured: number }
  | { readonly _tag: 'expire'; readonly count: number }
  | { readonly _tag: 'read'; readonly reader: number; readonly count: number }
  | { readonly _tag: 'restart'; readonly reader: number }
  | { readonly _tag: 'boot-from-peer'; readonly reader: number; readonly captured: number }
  | {
    readonly _tag: 'relay';
    readonly reader: number;
    readonly after: number;
    readonly count: number;
  };

const anyIndex = fc.nat({ max: 9 });
const anyKey = fc.nat({ max: 3 });
const anyRecord = fc.nat({ max: 99 });
const anyCount = fc.integer({ max: 9, min: 1 });
const anyReader = fc.nat({ max: 2 });
const { constant } = fc;

const STEP_ARBITRARIES: { readonly [Tag in Step['_tag']]: {
  readonly weight: number;
  readonly arbitrary: fc.Arbitrary<Extract<Step, { readonly _tag: Tag }>>;
} } = {
  'boot-from-peer': {
    arbitrary: fc.record({
      _tag: constant('boot-from-peer' as const), captured: anyIndex, reader: anyReader,
    }),
    weight: 2,
  },
  capture: {
    arbitrary: fc.record({ _tag: constant('capture' as const), reader: anyReader }), weight: 3,
  },
  edit: {
    arbitrary: fc.record({
      _tag: constant('edit' as const), base: fc.integer({ max: 1, min: -1 }), plan: anyIndex,
    }),
    weight: 3,
  },
  expire: {
    arbitrary: fc.record({ _tag: constant('expire' as const), count: fc.nat({ max: 6 }) }),
    weight: 1,
  },
  issue: { arbitrary: fc.record({ _tag: constant('issue' as const), key: anyKey }), weight: 3 },
  read: {
    arbitrary: fc.record({
      _tag: constant('read' as const), count: anyCount, reader: anyReader,
    }),
    weight: 9,
  },
  relay: {
    arbitrary: fc.record({
      _tag: constant('relay' as const), after: anyIndex, count: anyCount, reader: anyReader,
    }),
    weight: 3,
  },
  repeat: {
    arbitrary: fc.record({ _tag: constant('repeat' as const), record: anyRecord }), weight: 3,
  },
  restart: {
    arbitrary: fc.record({ _tag: constant('restart' as const), reader: anyReader }), weight: 1,
  },
  snapshot: {
    arbitrary: fc.record({ _tag: constant('snapshot' as const), captured: anyIndex }), weight: 2,
  },
  withdraw: {
    arbitrary: fc.record({ _tag: constant('withdraw' as const), key: anyKey }), weight: 2,
  },
};

/** Generates schedules with a log, three readers, delayed snapshots and relays. */
export const steps: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.oneof(...Object.values(STEP_ARBITRARIES)),
  { maxLength: 80, minLength: 20, size: 'max' },
);

/** A fault injected into the model: replaced rules, or changed contents of snapshots. */
export interface ModelOverrides {
  readonly rules?: Partial<Config.ConfigRules>;
  readonly mapSnapshot?: (
    body: Config.EncodedConfigSnapshot,
  ) => Config.EncodedConfigSnapshot;
}

interface ReaderState {
  readonly reader: Config.ConfigReader;
  readonly next: number;
  readonly after: number;
}

interface Model {
  readonly entries: readonly Log.LogEntry[];
  readonly first: number;
  readonly captured: readonly Config.EncodedConfigSnapshot[];
  readonly readers: readonly ReaderState[];
}

const initialReaderState: ReaderState = {
  after: -1, next: 0, reader: Config.initialConfigReader,
};

function buildLists(plan: number): Config.Lists {
  const name = `p${plan}`;
  return {
    ...Config.initialConfigState.lists,
    accounts: [{ id: 'a', plan: name }],
    classes: [{
      betweenTokensMs: 52, firstTokenMs: 100, floorShare: 0, id: 'c', maxQueueMs: 1, tier: 0,
    }],
    plans: [{
      classes: ['c'], concurrentRequests: 1, id: name, models: [], tokensPerMinute: 1, weight: 1,
    }],
  };
}

/** Expected state after a prefix of the log, computed without the reducers under test. */
interface Expected {
  readonly version: number;
  readonly plan: string | undefined;
  readonly keys: ReadonlyMap<string, boolean>;
  readonly known: ReadonlySet<string>;
}

function reduceExpected(expected: Expected, record: Log.LogRecord): Expected {
  if (record.kind === Config.CONFIG_KINDS.snapshot) return expected;
  if (expected.known.has(record.recordId)) return expected;
  const known = new Set(expected.known).add(record.recordId);
  const body = record.body as { baseVersion: number; lists: Config.Lists; keyId: string };
  if (record.kind === Config.CONFIG_KINDS.edit) {
    return body.baseVersion !== expected.version ? { ...expected, known } : {
      ...expected, known, plan: body.lists.plans[0]?.id, version: expected.version + 1,
    };
  }
  const isIssue = record.kind === Config.CONFIG_KINDS.keyIssue;
  if (isIssue && expected.keys.has(body.keyId)) return { ...expected, known };
  return { ...expected, keys: new Map(expected.keys).set(body.keyId, isIssue), known };
}

function buildExpected(entries: readonly Log.LogEntry[], offset: number): Expected {
  return entries.slice(0, offset + 1).flatMap(({ records }) => records)
    .reduce(reduceExpected, {
      keys: new Map(), known: new Set(), plan: undefined, version: 0,
    });
}

function appendRecord(model: Model, kind: string, body: unknown, recordId?: string): Model {
  const offset = model.entries.length;
  return {
    ...model,
    entries: [...model.entries, {
      offset,
      records: [{
        body,
        kind,
        recordId: recordId ?? `r${offset}`,
        writer: { daemonId: 'w', incarnation: '1-a' },
      }],
      timestampMs: offset,
    }],
  };
}

function setReader(model: Model, number: number, state: ReaderState): Model {
  return {
    ...model, readers: model.readers.map((old, i) => (i === number ? state : old)),
  };
}

type Reducer = (reader: Config.ConfigReader, event: Config.ReaderEvent) => Config.ConfigReader;
type Handler<Tag extends Step['_tag']> = (
  model: Model,
  step: Extract<Step, { readonly _tag: Tag }>,
  reduce: Reducer,
  overrides: ModelOverrides,
) => Model;

/** Gets a captured state, counted back from the newest one. */
const getCaptured = (
  { captured }: Model,
  back: number,
): Config.EncodedConfigSnapshot | undefined => captured[captured.length - 1 - back];

const getReader = (model: Model, number: number): ReaderState => (
  model.readers[number] ?? initialReaderState
);

const HANDLERS: { readonly [Tag in Step['_tag']]: Handler<Tag> } = {
  'boot-from-peer': (model, { captured, reader: number }, reduce) => {
    const body = getCaptured(model, captured);
    const state = getReader(model, number);
    return setReader(model, number, {
      ...state, reader: reduce(state.reader, { _tag: 'peer-state', body }),
    });
  },
  capture: (model, { reader: number }, _, { mapSnapshot = (body) => body }) => {
    const { config } = getReader(model, number).reader;
    return config.offset < 0 ? model : {
      ...model,
      captured: [...model.captured, mapSnapshot(Config.buildSnapshot(config))],
    };
  },
  edit: (model, { base, plan }) => appendRecord(model, Config.CONFIG_KINDS.edit, {
    baseVersion: Math.max(0, buildExpected(model.entries, model.entries.length).version + base),
    lists: buildLists(plan),
  }),
  expire: (model, { count }) => ({
    ...model, first: Math.min(model.entries.length, model.first + count),
  }),
  issue: (model, { key }) => appendRecord(model, Config.CONFIG_KINDS.keyIssue, {
    account: 'a', digest: `${model.entries.length}`, keyId: `key00${key}`,
  }),
  read: (model, { count, reader: number }, reduce) => {
    const state = getReader(model, number);
    const { offset } = state.reader.config;
    const from = Math.max(state.next, offset + 1);
    const after = from === state.next ? state.after : offset;
    if (from < model.first) {
      return setReader(model, number, {
        after: model.first - 1,
        next: model.first,
        reader: reduce(state.reader, { _tag: 'gap', firstOffset: model.first }),
      });
    }
    const entries = model.entries.slice(from, from + count);
    return setReader(model, number, {
      after: from + entries.length - 1,
      next: from + entries.length,
      reader: reduce(state.reader, { _tag: 'entries', afterOffset: after, entries }),
    });
  },
  relay: (model, { after, count, reader: number }, reduce) => {
    const start = model.entries.length - after;
    if (start < 0) return model;
    const state = getReader(model, number);
    return setReader(model, number, {
      ...state,
      reader: reduce(state.reader, {
        _tag: 'entries',
        afterOffset: start - 1,
        entries: model.entries.slice(start, start + count),
      }),
    });
  },
  repeat: (model, { record }) => {
    const entry = model.entries[record % Math.max(1, model.entries.length)];
    const [repeated] = entry?.records ?? [];
    return repeated === undefined
      ? model
      : appendRecord(model, repeated.kind, repeated.body, repeated.recordId);
  },
  restart: (model, { reader: number }) => setReader(model, number, initialReaderState),
  snapshot: (model, { captured }) => {
    const body = getCaptured(model, captured);
    return body === undefined
      ? model
      : appendRecord(model, Config.CONFIG_KINDS.snapshot, body);
  },
  withdraw: (model, { key }) => appendRecord(
    model,
    Config.CONFIG_KINDS.keyWithdraw,
    { keyId: `key00${key}` },
  ),
};

/** Entries in one read of the final phase; few, so that entries after a gap have to be kept. */
const CATCH_UP_COUNT = 3;

/** Names of the properties; at least one mutant violates each of them. */
export const PROPERTIES = [
  'agreement', 'catch-up', 'no-return-of-a-key', 'no-step-back', 'only-first-edit',
] as const;
export type Property = typeof PROPERTIES[number];

/** A violated property, and the index of the step that violated it. */
export interface Violation {
  readonly property: Property;
  readonly step: number;
}

function listActiveKeys(config: Config.ConfigState): readonly string[] {
  return [...config.keys]
    .filter(([, { withdrawn }]) => !withdrawn)
    .map(([keyId]) => keyId)
    .sort();
}

function hasActiveWithdrawnKey(model: Model, config: Config.ConfigState): boolean {
  const { keys } = buildExpected(model.entries, config.offset);
  return listActiveKeys(config).some((keyId) => keys.get(keyId) === false);
}

function hasExpectedEdits(model: Model, config: Config.ConfigState): boolean {
  const { plan, version } = buildExpected(model.entries, config.offset);
  return config.version === version && config.lists.plans[0]?.id === plan;
}

function isRegression(before: Config.ConfigState, after: Config.ConfigState): boolean {
  return after.offset < before.offset
    || after.version < before.version
    || HashMap.toEntries(before.keys).some(([keyId, key]) => (
      key.withdrawn && Config.findKey(after, keyId)?.withdrawn !== true
    ));
}

/** Runs a schedule and lists the violations snapshot. */
export function runSchedule(
  schedule: readonly Step[],
  overrides: ModelOverrides = {},
): readonly Violation[] {
  const rules = { ...Config.CONFIG_RULES, ...overrides.rules };
  const reduce: Reducer = (state, event) => Config.reduceReader(state, event, rules);
  const snapshots = new Map<number, string>();
  const violations: Violation[] = [];
  let model: Model = {
    captured: [], entries: [], first: 0, readers: [0, 1, 2].map(() => initialReaderState),
  };
  schedule.forEach((step, number) => {
    const before = model.readers;
    const handle = HANDLERS[step._tag] as Handler<Step['_tag']>;
    model = handle(model, step, reduce, overrides);
    model.readers.forEach(({ reader: { config } }, i) => {
      const previous = before[i]?.reader.config;
      if (config === previous || config.offset < 0) return;
      const report = (property: Property): void => {
        violations.push({ property, step: number });
      };
      if (previous !== undefined && isRegression(previous, config) && step._tag !== 'restart') {
        report('no-step-back');
      }
      if (hasActiveWithdrawnKey(model, config)) report('no-return-of-a-key');
      if (!hasExpectedEdits(model, config)) report('only-first-edit');
      const snapshot = JSON.stringify(Config.buildSnapshot(config));
      if ((snapshots.get(config.offset) ?? snapshot) !== snapshot) report('agreement');
      snapshots.set(config.offset, snapshot);
    });
  });
  // After the oldest snapshot that closes every gap has been appended, every reader must reach the
  // end of the log with enough readCount.
  const retainedState = model.entries.slice(0, model.first + 1).reduce(
    (state, entry) => Config.reduceConfig(state, entry),
    Config.initialConfigState,
  );
  if (retainedState.offset >= 0) {
    model = appendRecord(model, Config.CONFIG_KINDS.snapshot, Config.buildSnapshot(retainedState));
  }
  const readCount = Math.ceil(model.entries.length / CATCH_UP_COUNT) + 2;
  Array.from({ length: readCount }).forEach(() => {
    model.readers.forEach((_, number) => {
      model = HANDLERS.read(
        model,
        { _tag: 'read', count: CATCH_UP_COUNT, reader: number },
        reduce,
        overrides,
      );
    });
  });
  if (model.readers.some(({ reader: { config } }) => config.offset < model.entries.length - 1)) {
    violations.push({ property: 'catch-up', step: schedule.length });
  }
  return violations;
}
