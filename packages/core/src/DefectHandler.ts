/**
 * Handles unexpected errors (defects) of the daemon. A defect in the handling of a request ends
 * only that request, however often it occurs: whatever a caller or a server sends, the requests of
 * all others go on. A violated invariant of shared state ends the process, because a restarted
 * daemon reads its state again. So do repeated defects outside of requests, since the loops that
 * keep the state of the daemon current may have ended with them.
 */
import type * as Clock from './Clock.js';
import * as Invariant from './Invariant.js';
import type * as Logging from './Logging.js';

/** Defects outside of requests within the interval that end the process. */
const MAX_BACKGROUND_DEFECTS = 20;
const DEFECT_INTERVAL_MS = 10_000;

/** Where a defect occurred. */
export type DefectCause = 'background' | 'invariant' | 'request';

/** Dependencies of the handler. */
export interface DefectHandlerContext {
  readonly clock: Clock.Clock;
  readonly logger: Logging.Logger;
  readonly onDefect: (cause: DefectCause) => void;
  /** Ends the process once the log is flushed. */
  readonly endProcess: () => void;
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error);
}

/** Handles one defect; `requestId` is the request that it ended, undefined if there is none. */
export type DefectHandler = (error: unknown, requestId?: string) => void;

function getCause(error: unknown, requestId: string | undefined): DefectCause {
  if (error instanceof Invariant.InvariantError) return 'invariant';
  return requestId === undefined ? 'background' : 'request';
}

/** Creates a defect handler. */
export function createDefectHandler(context: DefectHandlerContext): DefectHandler {
  let recentMs: readonly Clock.Millis[] = [];
  const isTooFrequent = (): boolean => {
    const nowMs = context.clock.readMonotonic();
    recentMs = [...recentMs.filter((atMs) => nowMs - atMs < DEFECT_INTERVAL_MS), nowMs];
    return recentMs.length >= MAX_BACKGROUND_DEFECTS;
  };
  const checkFatal: Readonly<Record<DefectCause, () => boolean>> = {
    background: isTooFrequent,
    invariant: () => true,
    request: () => false,
  };
  return (error, requestId) => {
    const cause = getCause(error, requestId);
    const isFatal = checkFatal[cause]();
    context.onDefect(cause);
    context.logger.error({
      cause, error: describeError(error), isFatal, requestId,
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

/**
 * Wraps a callback so that an error which it throws is passed to `handleError`. Node.js would
 * report the error of an event listener as an uncaught error of the process.
 */
export function withErrorHandler<Values extends readonly unknown[]>(
  callback: (...values: Values) => void,
  handleError: (error: unknown) => void,
): (...values: Values) => void {
  return (...values) => {
    try {
      callback(...values);
    } catch (error) {
      handleError(error);
    }
  };
}
