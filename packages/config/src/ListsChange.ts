/**
 * Changes of the lists, row by row. An edit contains only its changes: with 2,300 client accounts
 * the complete lists take 83 kB, and 14,000 edits a day of that size would exceed the 10 kB/s that
 * a daemon may use for control traffic.
 */
import * as Schema from 'effect/Schema';
import * as Lists from './Lists.js';

function createChangeSchema<A, I>(row: Schema.Schema<A, I>) {
  return Schema.optional(Schema.Struct({
    put: Schema.Array(row),
    /** Ids of removed rows; paths in the case of routes. */
    remove: Schema.Array(Schema.String),
  }));
}

/** Added or replaced rows, and removed rows, of each list that changes. */
export const ListsChange = Schema.Struct({
  accounts: createChangeSchema(Lists.ClientAccount),
  classes: createChangeSchema(Lists.RequestClass),
  models: createChangeSchema(Lists.Model),
  plans: createChangeSchema(Lists.Plan),
  routes: createChangeSchema(Lists.Route),
});
export type ListsChange = typeof ListsChange.Type;

interface RowChange<Row> {
  readonly put: readonly Row[];
  readonly remove: readonly string[];
}

type GetKey<Row> = (row: Row) => string;

function buildRowChange<Row>(
  before: readonly Row[],
  after: readonly Row[],
  getKey: GetKey<Row>,
): RowChange<Row> | undefined {
  const oldRows = new Map(before.map((row) => [getKey(row), JSON.stringify(row)]));
  const keptRows = new Set(after.map(getKey));
  const put = after.filter((row) => oldRows.get(getKey(row)) !== JSON.stringify(row));
  const remove = [...oldRows.keys()].filter((key) => !keptRows.has(key));
  return put.length + remove.length === 0 ? undefined : { put, remove };
}

function applyRowChange<Row>(
  rows: readonly Row[],
  change: RowChange<Row> | undefined,
  getKey: GetKey<Row>,
): readonly Row[] {
  if (change === undefined) return rows;
  const replaced = new Map(change.put.map((row) => [getKey(row), row]));
  const removed = new Set(change.remove);
  const keptRows = rows.filter((row) => !removed.has(getKey(row))).map((row) => {
    const next = replaced.get(getKey(row)) ?? row;
    replaced.delete(getKey(row));
    return next;
  });
  return [...keptRows, ...replaced.values()];
}

const getId = ({ id }: { readonly id: string }): string => id;
const getPath = ({ path }: Lists.Route): string => path;

/** Builds the changes that turn `before` into `after`. */
export function buildListsChange(before: Lists.Lists, after: Lists.Lists): ListsChange {
  return {
    accounts: buildRowChange(before.accounts, after.accounts, getId),
    classes: buildRowChange(before.classes, after.classes, getId),
    models: buildRowChange(before.models, after.models, getId),
    plans: buildRowChange(before.plans, after.plans, getId),
    routes: buildRowChange(before.routes, after.routes, getPath),
  };
}

/** Applies changes; unchanged lists are the same objects as before. */
export function applyListsChange(lists: Lists.Lists, change: ListsChange): Lists.Lists {
  return {
    accounts: applyRowChange(lists.accounts, change.accounts, getId),
    classes: applyRowChange(lists.classes, change.classes, getId),
    models: applyRowChange(lists.models, change.models, getId),
    plans: applyRowChange(lists.plans, change.plans, getId),
    routes: applyRowChange(lists.routes, change.routes, getPath),
  };
}
