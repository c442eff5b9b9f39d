import * as Schema from 'effect/Schema';
import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as Config from '../../index.js';

const { describe, expect, test } = Vitest;

const decodeLists = Schema.decodeUnknownSync(Config.Lists);

function buildLists(accounts: readonly (readonly [string, string])[]): Config.Lists {
  return decodeLists({
    accounts: accounts.map(([id, plan]) => ({ id, plan })),
    classes: [{ firstTokenMs: 100, id: 'chat', tier: 1 }],
    plans: ['basic', 'gold'].map((id) => ({ classes: ['chat'], id })),
  });
}

const accountRows = fc.uniqueArray(
  fc.tuple(fc.constantFrom('a', 'b', 'c', 'd', 'e'), fc.constantFrom('basic', 'gold')),
  { selector: ([id]) => id },
);

describe('a change of the lists', () => {
  test('gives the new lists when applied to the old ones, whatever was edited', () => {
    fc.assert(fc.property(accountRows, accountRows, (before, after) => {
      const [old, next] = [buildLists(before), buildLists(after)];
      const result = Config.applyListsChange(old, Config.buildListsChange(old, next));
      expect(Config.diffLists(next, result)).toEqual([]);
    }), { seed: 41 });
  });

  test('carries one row when one of 2,300 accounts changes', () => {
    const rows = Array.from({ length: 2_300 }, (_, i) => [`account-${i}`, 'basic'] as const);
    const old = buildLists(rows);
    const next = buildLists(rows.map(([id], i) => [id, i === 7 ? 'gold' : 'basic']));
    const change = Config.buildListsChange(old, next);
    expect(change).toMatchObject({ accounts: { put: [{ id: 'account-7' }], remove: [] } });
    expect(change.plans).toBeUndefined();
  });
});
