/** Bodies of the records in the configuration stream. */
import * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';
import * as Lists from './Lists.js';

/** Kinds of the configuration stream. */
export const CONFIG_KINDS = {
  edit: 'config.edit',
  keyIssue: 'key.issue',
  keyWithdraw: 'key.withdraw',
  snapshot: 'config.snapshot',
} as const;

/** An edit: the lists as a whole, and the version that they were made from. */
export const ConfigEdit = Schema.Struct({
  baseVersion: Schema.Int.pipe(Schema.nonNegative()),
  lists: Lists.Lists,
});
export type ConfigEdit = typeof ConfigEdit.Type;

/** A new key of a client account. */
export const KeyIssue = Schema.Struct({
  account: Core.ListName, digest: Schema.String, keyId: Core.KeyId,
});
export type KeyIssue = typeof KeyIssue.Type;

/** A key that stops working. */
export const KeyWithdraw = Schema.Struct({ keyId: Core.KeyId });
export type KeyWithdraw = typeof KeyWithdraw.Type;
