/** Bodies of the records in the configuration stream. */
import * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';
import * as Lists from './Lists.js';
import * as ListsChange from './ListsChange.js';

/** Kinds of the configuration stream. */
export const CONFIG_KINDS = {
  edit: 'config.edit',
  keyIssue: 'key.issue',
  keyWithdraw: 'key.withdraw',
  snapshot: 'config.snapshot',
} as const;

const Version = Schema.Int.pipe(Schema.nonNegative());

/** An edit that carries its changes, and the version that they apply to. */
export const ChangeEdit = Schema.Struct({
  baseVersion: Version, change: ListsChange.ListsChange,
});

/** An edit that replaces the lists as a whole, and the version that they were made from. */
export const WholeEdit = Schema.Struct({ baseVersion: Version, lists: Lists.Lists });

/** An edit. The command line writes changes; whole lists are for small or first ones. */
export const ConfigEdit = Schema.Union(ChangeEdit, WholeEdit);
export type ConfigEdit = typeof ConfigEdit.Type;

/** A new key of a client account. */
export const KeyIssue = Schema.Struct({
  account: Core.ListName, digest: Schema.String, keyId: Core.KeyId,
});
export type KeyIssue = typeof KeyIssue.Type;

/** A key that stops working. It may name a key whose issue was never seen. */
export const KeyWithdraw = Schema.Struct({ keyId: Core.KeyId });
export type KeyWithdraw = typeof KeyWithdraw.Type;

/** What became of an edit: `stale-base` when it was not made from the version in force. */
export const EditReason = Schema.Literal('accepted', 'invalid', 'stale-base');
export type EditReason = typeof EditReason.Type;

/** An edit and what became of it. */
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

/** A key in a snapshot; withdrawn keys are included, so that none can be issued again. */
export const SnapshotKey = Schema.Struct({
  account: Schema.String,
  digest: Schema.String,
  keyId: Core.KeyId,
  withdrawn: Schema.Boolean,
});

/** The whole state after the entry at `coveredOffset`. */
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
