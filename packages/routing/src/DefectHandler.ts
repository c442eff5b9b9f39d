/**
 * Handler of last resort for errors that no part of the daemon expected. One unexpected error must
 * not end the requests of all other callers; a broken invariant of shared state, or errors without
 * end, must end the process, because a restarted daemon reads its state anew.
 */
import * as Core from '@berylyoke/core';

/** Errors within the interval that end the process: a daemon that keeps failing serves nobody. */
const MAX_DEFECTS = 20;
const DEFECT_INTERVAL_MS = 10_000;

/** What the handler works with. */
export interface DefectHandlerContext {
  readonly clock: Core.Clock;
  readonly logger: Core.Logger;
  readonly onDefect: () => void;
  /** Ends the process after the log was written. */
  readonly endProcess: () => void;
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error);
}

/** Handler of one unexpected error; names the request that it ended, if it belongs to one. */
export type DefectHandler = (error: unknown, requestId?: string) => void;

/** Creates a handler. */
export function createDefectHandler(context: DefectHandlerContext): DefectHandler {
  let recentMs: readonly Core.Millis[] = [];
  return (error, requestId) => {
    const nowMs = context.clock.readMonotonic();
    recentMs = [...recentMs.filter((atMs) => nowMs - atMs < DEFECT_INTERVAL_MS), nowMs];
    const isFatal = error instanceof Core.InvariantError || recentMs.length >= MAX_DEFECTS;
    context.onDefect();
    context.logger.error({
      error: describeError(error), isFatal, requestId,
    }, 'unexpected error');
    if (isFatal) context.endProcess();
  };
}

/** Registers a handler for the process; returns it with its undo. */
export function registerDefectHandler(context: DefectHandlerContext): {
  readonly handleDefect: DefectHandler;
  readonly unregister: () => void;
} {
  const handleDefect = createDefectHandler(context);
  const handle = (error: unknown): void => handleDefect(error);
  process.on('uncaughtException', handle);
  process.on('unhandledRejection', handle);
  return {
    handleDefect,
    unregister: () => {
      process.off('uncaughtException', handle);
      process.off('unhandledRejection', handle);
    },
  };
}
