import * as Vitest from 'vitest';
import * as AcquireDispatch from '../../AcquireDispatch.js';
import * as DefaultRetryBudget from '../../DefaultRetryBudget.js';
import type * as RequestTypes from '../../RequestTypes.js';
import * as Refusal from '../../Refusal.js';
import type * as RelayChat from '../../RelayChat.js';

const { describe, expect, test } = Vitest;

function createQueuedRequest(
  abort: AbortController,
  pending: Promise<RequestTypes.Dispatch | Refusal.Refusal>,
): Promise<RequestTypes.Dispatch | Refusal.Refusal> {
  const context = {
    explain: () => undefined, ports: { get: () => ({ acquire: () => pending }) },
  } as unknown as RelayChat.RelayContext;
  const request = {
    received: { requestId: 'r1', signal: abort.signal },
  } as unknown as RequestTypes.ClassifiedRequest;
  return AcquireDispatch.acquireDispatch(context, request, []);
}

describe('a request that waits for a dispatch', () => {
  test('is refused as not run at once when its key is withdrawn', async () => {
    const abort = new AbortController();
    const waiting = createQueuedRequest(abort, new Promise(() => {}));
    abort.abort(Refusal.createRefusal('key_withdrawn', 'the key was withdrawn'));
    expect(await waiting).toMatchObject({ code: 'key_withdrawn', notRun: true });
  });

  test('gives a dispatch back that comes after its caller has left', async () => {
    const abort = new AbortController();
    const results: string[] = [];
    let dispatch: (value: RequestTypes.Dispatch) => void = () => undefined;
    const waiting = createQueuedRequest(abort, new Promise((resolve) => {
      dispatch = resolve;
    }));
    abort.abort();
    expect(await waiting).toMatchObject({ code: 'caller_left' });
    dispatch({
      server: {} as RequestTypes.BackendServer, settle: ({ result }) => results.push(result),
    });
    await Vitest.vi.waitUntil(() => results.length > 0);
    expect(results).toEqual(['cancelled']);
  });
});

describe('the retry budget', () => {
  test('does not double the load when every attempt fails', () => {
    const retry = DefaultRetryBudget.createDefaultRetryBudget();
    const granted = Array.from({ length: 10_000 }, () => {
      retry.addRequest();
      return retry.claim(false);
    }).filter((isGranted) => isGranted).length;
    expect(granted).toBeLessThanOrEqual(10_000 * 0.1 + 50);
    expect(retry.claim(true)).toBe(true);
  });
});
