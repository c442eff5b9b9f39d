/** Step `choose` of a request: waits for a dispatch until the request is aborted. */
import type * as RequestTypes from './RequestTypes.js';
import * as Refusal from './Refusal.js';
import type * as RelayChat from './RelayChat.js';

const CANCELLED_OUTCOME: RequestTypes.AttemptOutcome = {
  durationMs: 0, firstTokenMs: undefined, outputTokens: 0, result: 'cancelled',
};

/** Gets the refusal given as the reason of an abort, or `caller_left` if there is none. */
export function getAbortRefusal({ reason }: AbortSignal): Refusal.Refusal {
  return Refusal.isRefusal(reason)
    ? reason
    : Refusal.createRefusal('caller_left', 'the caller closed the connection');
}

function waitForDispatch(
  pending: Promise<RequestTypes.Dispatch | Refusal.Refusal>,
  signal: AbortSignal,
): Promise<RequestTypes.Dispatch | Refusal.Refusal> {
  return new Promise((resolve, reject) => {
    let isAborted = false;
    const handleAbort = (): void => {
      isAborted = true;
      resolve(getAbortRefusal(signal));
    };
    signal.addEventListener('abort', handleAbort, { once: true });
    pending.then((result) => {
      signal.removeEventListener('abort', handleAbort);
      // A dispatch that arrives after the abort is returned unused.
      if (isAborted && !Refusal.isRefusal(result)) result.settle(CANCELLED_OUTCOME);
      else resolve(result);
    }, reject);
  });
}

/** Acquires a dispatch; a request that is aborted while it waits is refused as not run. */
export async function acquireDispatch(
  context: RelayChat.RelayContext,
  request: RequestTypes.ClassifiedRequest,
  excluded: readonly string[],
): Promise<RequestTypes.Dispatch | Refusal.Refusal> {
  const { requestId, signal, trace } = request.received;
  const span = trace?.startChild('berylyoke.choose');
  const result = signal.aborted
    ? getAbortRefusal(signal)
    : await waitForDispatch(context.ports.get('dispatch').acquire(request, excluded), signal);
  if (Refusal.isRefusal(result)) {
    span?.end(result.code);
    context.explain(requestId, 'choose', 'refused', { code: result.code, excluded });
    return result;
  }
  span?.end('dispatched');
  request.onDispatched?.();
  context.explain(requestId, 'choose', 'dispatched', { excluded, server: result.server.id });
  return {
    ...result,
    settle: (outcome) => {
      context.recordServerResult(result.server.id, outcome.result);
      result.settle(outcome);
    },
  };
}
