/** Record bodies of the stream `usage`. A window is identified by its start in wall ms. */
import * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';
import * as UsageAmounts from './UsageAmounts.js';

/** Record kinds of the stream `usage`. */
export const USAGE_KINDS = {
  counters: 'usage.counters',
  reported: 'usage.reported',
  seal: 'usage.seal',
} as const;

/**
 * Cumulative counters of one incarnation of a daemon for one window. The body has `source` because
 * a peer may append the counters of a lost daemon.
 */
export const UsageCounters = Schema.Struct({
  source: Core.Writer,
  window: Schema.Int,
  accounts: UsageAmounts.AccountUsage,
});
export type UsageCounters = typeof UsageCounters.Type;

/** Value of `base` in the first seal of a chain. */
export const NO_SEAL = '';

/** Usage of one window that is contained in a seal. */
export const SealPart = Schema.Struct({
  window: Schema.Int,
  accounts: UsageAmounts.AccountUsage,
});
export type SealPart = typeof SealPart.Type;

/** Fixes the usage that is reported for a window. */
export const UsageSeal = Schema.Struct({
  window: Schema.Int,
  /**
   * Record id of the newest seal that the reporter had read, or `NO_SEAL`. An offset does not
   * identify a seal, as one entry can contain two seals.
   */
  base: Schema.String,
  /** Fencing token of the duty `reporting`. */
  fence: Schema.Int,
  /** Log timestamp of the newest entry that the reporter had read, in milliseconds. */
  plannedMs: Schema.Number,
  /** Usage of the window itself, and corrections of earlier windows. */
  parts: Schema.Array(SealPart),
});
export type UsageSeal = typeof UsageSeal.Type;

/** Records that the platform has accepted the report of a sealed window. */
export const UsageReported = Schema.Struct({ window: Schema.Int, sealId: Schema.String });
export type UsageReported = typeof UsageReported.Type;
