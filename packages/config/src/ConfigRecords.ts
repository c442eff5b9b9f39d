/** Schemas of the record bodies in the configuration stream. */
import * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';
import * as Lists from './Lists.js';
import * as ListsChange from './ListsChange.js';

/** Record kinds of the configuration stream. */
export const CONFIG_KINDS = {
  edit: 'config.edit',
  keyIssue: 'key.issue',
  keyWithdraw: 'key.withdraw',
  snapshot: 'config.snapshot',
} as const;

const Version = Schema.Int.pipe(Schema.nonNegative());

/** An edit with only the changed rows, and the version that they apply to. */
export const ChangeEdit = Schema.Struct({
  baseVersion: Version, change: ListsChange.ListsChange,
});

/** An edit that replaces all lists, and the version on which it is based. */
export const FullEdit = Schema.Struct({ baseVersion: Version, lists: Lists.Lists });

/** An edit. The command line writes changes; full lists are for small lists or the first edit. */
export const ConfigEdit = Schema.Union(ChangeEdit, FullEdit);
export type ConfigEdit = typeof ConfigEdit.Type;

/** A new key of a client account. */
export const KeyIssue = Schema.Struct({
  account: Core.ListName, digest: Schema.String, keyId: Core.KeyId,
});
export type KeyIssue = typeof KeyIssue.Type;

/** A withdrawal of a key. The reader may not have seen the record that issued the key. */
export const KeyWithdraw = Schema.Struct({ keyId: Core.KeyId });
export type KeyWithdraw = typeof KeyWithdraw.Type;

/** Result of an edit; `stale-base` if its base version was not the current version. */
export const EditReason = Schema.Literal('accepted', 'invalid', 'stale-base');
export type EditReason = typeof EditReason.Type;

/** An edit and its result. */
export const EditOutcome = Schema.Struct({
  recordId: Schema.String,
  offset: Schema.Int,
  timestampMs: Schema.Number,
  writer: Schema.String,
  baseVersion: Schema.Int,
  accepted: Schema.Boolean,
  reason: EditReason,
});
export type EditOutcome = typeof EditOutcome.Type;

/** A key in a snapshot; withdrawn keys are included, so that they cannot be issued again. */
export const SnapshotKey = Schema.Struct({
  account: Schema.String,
  digest: Schema.String,
  keyId: Core.KeyId,
  withdrawn: Schema.Boolean,
});

/** The complete state after the entry at `coveredOffset`. */
export const ConfigSnapshot = Schema.Struct({
  coveredOffset: Schema.Int.pipe(Schema.nonNegative()),
  state: Schema.Struct({
    history: Schema.Array(EditOutcome),
    keys: Schema.Array(SnapshotKey),
    lists: Lists.Lists,
    seen: Schema.Array(Schema.String),
    version: Schema.Int.pipe(Schema.nonNegative()),
  }),
});
export type ConfigSnapshot = typeof ConfigSnapshot.Type;
export type EncodedConfigSnapshot = typeof ConfigSnapshot.Encoded;
