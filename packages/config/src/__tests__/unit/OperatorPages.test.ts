import * as Either from 'effect/Either';
import * as Schema from 'effect/Schema';
import * as fs from 'node:fs/promises';
import * as Vitest from 'vitest';
import * as Config from '../../index.js';

const { describe, expect, test } = Vitest;

async function readPage(name: string): Promise<string> {
  return fs.readFile(new URL(`../../../../../docs/operators/${name}`, import.meta.url), 'utf8');
}

const TABLES: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
  entry: Config.ListenAddress.fields,
  limits: Config.Limits.fields,
  operator: Config.ListenAddress.fields,
  peer: Config.ListenAddress.fields,
  platform: Config.Settings.fields.platform.fields,
  timing: Config.Timing.fields,
  trace: { otlpUrl: true },
};

/** Lists the keys of the schema as they are written in a file. */
function listKeys(): readonly string[] {
  return Object.keys(Config.Settings.fields).flatMap((key) => (
    TABLES[key] === undefined
      ? [Config.formatPath([key])]
      : Object.keys(TABLES[key]).map((inner) => Config.formatPath([key, inner]))
  ));
}

function getValue(settings: unknown, key: string): unknown {
  return key.split('.').reduce<unknown>((value, part) => (
    (value as Record<string, unknown> | undefined)?.[
      part.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase())
    ]
  ), settings);
}

const REQUIRED_SETTINGS = {
  daemonId: 'd',
  dataCentre: 'dc',
  entry: { port: 0 },
  operator: { port: 0 },
  peer: { port: 0 },
  platform: { logUrl: 'http://a', vmListUrl: 'http://a' },
  region: 'r',
};

describe('the documentation for operators', () => {
  test('the example lists are valid', async () => {
    const text = await readPage('lists.example.toml');
    const lists = Config.decodeToml(Config.Lists, 'lists.example.toml', text);
    expect(Either.isRight(lists) ? Config.checkReferences(lists.right) : lists.left.message)
      .toEqual([]);
  });

  // Guards against documentation of settings or defaults that differ from those of the program.
  test('the reference of settings lists every key with its default', async () => {
    const rows = (await readPage('settings.md')).split('\n').flatMap((line) => {
      const [, key, , value] = /^\| `([a-z_.]+)` \| ([^|]+) \| ([^|]+) \|/.exec(line) ?? [];
      return key === undefined || value === undefined ? [] : [[key, value.trim()] as const];
    });
    expect(rows.map(([key]) => key).sort()).toEqual([...listKeys()].sort());
    const settings = Schema.decodeUnknownSync(Config.Settings)(REQUIRED_SETTINGS);
    rows.filter(([, value]) => value.startsWith('`')).forEach(([key, value]) => {
      const found = getValue(settings, key);
      const text = typeof found === 'string' ? found : JSON.stringify(found);
      expect([key, `\`${text}\``]).toEqual([key, value]);
    });
    const withoutDefault = rows
      .filter(([, value]) => value === 'none' || value === 'that of `peer`');
    expect(withoutDefault.map(([key]) => getValue(settings, key)))
      .toEqual(withoutDefault.map(() => undefined));
  });

  test('the reference of lists contains every key', async () => {
    const page = await readPage('lists.md');
    const schemas = [
      Config.ClientAccount, Config.Plan, Config.RequestClass, Config.Model, Config.Route,
    ];
    const keys = schemas.flatMap(({ fields }) => Object.keys(fields))
      .map((key) => Config.formatPath([key]));
    expect(keys.filter((key) => !page.includes(`| \`${key}\` |`))).toEqual([]);
  });
});
