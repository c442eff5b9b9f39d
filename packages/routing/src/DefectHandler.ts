/**
 * Handles unexpected errors (defects) of the daemon. A single defect must not end the requests of
 * all other callers. A violated invariant of shared state, or repeated defects, must end the
 * process, because a restarted daemon reads its state again.
 */
import * as Core from '@berylyoke/core';

/** Defects within the interval that end the process: a daemon that keeps failing serves nobody. */
const MAX_DEFECTS = 20;
const DEFECT_INTERVAL_MS = 10_000;

/** Dependencies of the handler. */
export interface DefectHandlerContext {
  readonly clock: Core.Clock;
  readonly logger: Core.Logger;
  readonly onDefect: () => void;
  /** Ends the process once the log is flushed. */
  readonly endProcess: () => void;
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error);
}

/** Handles one defect; `requestId` is the request that it ended, if there is one. */
export type DefectHandler = (error: unknown, requestId?: string) => void;

/** Creates a defect handler. */
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

/** Creates a handler and registers it for uncaught errors and rejections of the process. */
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
