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
  test('produces the new lists when applied to the old ones, for any edit', () => {
    fc.assert(fc.property(accountRows, accountRows, (before, after) => {
      const [oldLists, newLists] = [buildLists(before), buildLists(after)];
      const result = Config.applyListsChange(oldLists, Config.buildListsChange(oldLists, newLists));
      expect(Config.diffLists(newLists, result)).toEqual([]);
    }), { seed: 41 });
  });

  test('contains only one row if one of 2,300 accounts changes', () => {
    const rows = Array.from({ length: 2_300 }, (_, i) => [`account-${i}`, 'basic'] as const);
    const oldLists = buildLists(rows);
    const newLists = buildLists(rows.map(([id], i) => [id, i === 7 ? 'gold' : 'basic']));
    const change = Config.buildListsChange(oldLists, newLists);
    expect(change).toMatchObject({ accounts: { put: [{ id: 'account-7' }], remove: [] } });
    expect(change.plans).toBeUndefined();
  });
});
