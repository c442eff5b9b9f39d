/** Bodies of the records in the stream `usage`. Windows are named by their start in wall ms. */
import * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';
import * as UsageAmounts from './UsageAmounts.js';

/** Kinds of the stream `usage`. */
export const USAGE_KINDS = {
  counters: 'usage.counters',
  reported: 'usage.reported',
  seal: 'usage.seal',
} as const;

/**
 * Cumulative counters of one incarnation of a daemon for one window. A peer may append them for a
 * daemon that is lost, hence `source` is in the body.
 */
export const UsageCounters = Schema.Struct({
  source: Core.Writer,
  window: Schema.Int,
  accounts: UsageAmounts.AccountUsage,
});
export type UsageCounters = typeof UsageCounters.Type;

/** Base of a seal that begins a chain. */
export const NO_SEAL = '';

/** Use of one window that a seal accounts for. */
export const SealPart = Schema.Struct({
  window: Schema.Int,
  accounts: UsageAmounts.AccountUsage,
});
export type SealPart = typeof SealPart.Type;

/** Fixes the figures of a window. */
export const UsageSeal = Schema.Struct({
  window: Schema.Int,
  /**
   * Record id of the newest seal that the reporter had read, or `NO_SEAL`. An offset would not do:
   * one entry can hold two seals.
   */
  base: Schema.String,
  /** Fencing token of the duty `reporting`. */
  fence: Schema.Int,
  /** Log timestamp of the newest entry that the reporter had read, in milliseconds. */
  plannedMs: Schema.Number,
  /** The window's own use, and corrections of earlier windows. */
  parts: Schema.Array(SealPart),
});
export type UsageSeal = typeof UsageSeal.Type;

/** The platform has accepted the report of a sealed window. */
export const UsageReported = Schema.Struct({ window: Schema.Int, sealId: Schema.String });
export type UsageReported = typeof UsageReported.Type;
