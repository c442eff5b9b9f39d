/**
 * Differences between two versions of the lists, shown to operators after a conflict or before
 * publishing.
 */
import * as Lists from './Lists.js';
import * as TomlFile from './TomlFile.js';

/** A row that differs. `fields` is empty unless the row is in both versions. */
export interface ListDifference {
  readonly list: keyof Lists.Lists;
  /** The `id` of the row, or the `path` of a route. */
  readonly id: string;
  readonly change: 'added' | 'changed' | 'removed';
  readonly fields: readonly FieldDifference[];
}

/** A field that differs between two versions of a row. */
export interface FieldDifference {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

type Row = Readonly<Record<string, unknown>>;

const LIST_KEYS: Readonly<Record<keyof Lists.Lists, string>> = {
  accounts: 'id', classes: 'id', models: 'id', plans: 'id', routes: 'path',
};

const LIST_NAMES = ['accounts', 'plans', 'classes', 'models', 'routes'] as const;

function isEqual(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

function diffFields(before: Row, after: Row): readonly FieldDifference[] {
  return [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .filter((field) => !isEqual(before[field], after[field]))
    .map((field) => ({ after: after[field], before: before[field], field }));
}

function diffRows(
  list: keyof Lists.Lists,
  before: ReadonlyMap<string, Row>,
  after: ReadonlyMap<string, Row>,
): readonly ListDifference[] {
  return [...new Set([...before.keys(), ...after.keys()])].flatMap<ListDifference>((id) => {
    const oldRow = before.get(id);
    const newRow = after.get(id);
    if (oldRow === undefined) {
      return [{
        change: 'added', fields: [], id, list,
      }];
    }
    if (newRow === undefined) {
      return [{
        change: 'removed', fields: [], id, list,
      }];
    }
    const fields = diffFields(oldRow, newRow);
    return fields.length === 0 ? [] : [{
      change: 'changed', fields, id, list,
    }];
  });
}

/** Compares two versions of the lists row by row; the order of rows is ignored. */
export function diffLists(before: Lists.Lists, after: Lists.Lists): readonly ListDifference[] {
  return LIST_NAMES.flatMap((list) => {
    const mapRows = (lists: Lists.Lists): ReadonlyMap<string, Row> => new Map(
      (lists[list] as readonly Row[]).map((row) => [String(row[LIST_KEYS[list]]), row]),
    );
    return diffRows(list, mapRows(before), mapRows(after));
  });
}

/** Formats differences, one line for each added or removed row and each changed field. */
export function renderDifferences(differences: readonly ListDifference[]): string {
  return differences.flatMap(({
    change, fields, id, list,
  }) => {
    if (change === 'added') return [`+ ${list} ${id}`];
    if (change === 'removed') return [`- ${list} ${id}`];
    return fields.map(({ after, before, field }) => (
      `~ ${list} ${id}: ${TomlFile.formatPath([field])} `
      + `${JSON.stringify(before) ?? 'unset'} -> ${JSON.stringify(after) ?? 'unset'}`
    ));
  }).join('\n');
}
