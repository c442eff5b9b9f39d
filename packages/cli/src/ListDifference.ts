/** Difference between two versions of the operators' lists, by list and name. */
import type * as Config from '@berylyoke/config';
import * as util from 'node:util';

/** What happened to one item of a list. `keys` names the changed keys. */
export interface ListChange {
  readonly list: string;
  readonly id: string;
  readonly change: 'added' | 'changed' | 'removed';
  readonly keys: readonly string[];
}

type Item = Readonly<Record<string, unknown>>;

const CHANGE_SIGNS: Readonly<Record<ListChange['change'], string>> = {
  added: '+', changed: '~', removed: '-',
};

function indexItems(items: readonly Item[]): ReadonlyMap<string, Item> {
  return new Map(items.map((item) => [String(item.id ?? item.path), item]));
}

function listChangedKeys(before: Item, after: Item): readonly string[] {
  return [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .filter((key) => !util.isDeepStrictEqual(before[key], after[key]))
    .sort();
}

function compareItems(
  list: string,
  before: readonly Item[],
  after: readonly Item[],
): readonly ListChange[] {
  const old = indexItems(before);
  const fresh = indexItems(after);
  return [...new Set([...old.keys(), ...fresh.keys()])].flatMap<ListChange>((id) => {
    const from = old.get(id);
    const to = fresh.get(id);
    if (from === undefined) {
      return [{
        change: 'added', id, keys: [], list,
      }];
    }
    if (to === undefined) {
      return [{
        change: 'removed', id, keys: [], list,
      }];
    }
    const keys = listChangedKeys(from, to);
    return keys.length === 0 ? [] : [{
      change: 'changed', id, keys, list,
    }];
  });
}

/** Compares two versions; the changes lead from `before` to `after`. */
export function compareLists(
  before: Config.Lists,
  after: Config.Lists,
): readonly ListChange[] {
  return [
    ...compareItems('accounts', before.accounts, after.accounts),
    ...compareItems('plans', before.plans, after.plans),
    ...compareItems('classes', before.classes, after.classes),
    ...compareItems('models', before.models, after.models),
    ...compareItems('routes', before.routes, after.routes),
  ];
}

/** Formats changes, one on each line. */
export function formatChanges(changes: readonly ListChange[]): string {
  return changes.map(({
    change, id, keys, list,
  }) => (
    `  ${CHANGE_SIGNS[change]} ${list} ${id}${keys.length === 0 ? '' : ` (${keys.join(', ')})`}`
  )).join('\n');
}
