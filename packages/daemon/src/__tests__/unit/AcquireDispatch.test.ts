import * as Vitest from 'vitest';
import * as AcquireDispatch from '../../AcquireDispatch.js';
import * as DefaultRetryBudget from '../../DefaultRetryBudget.js';
import type * as RequestTypes from '../../RequestTypes.js';
import * as Refusal from '../../Refusal.js';
import type * as RelayChat from '../../RelayChat.js';

const { describe, expect, test } = Vitest;

function acquireWithPending(
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
  test('is refused at once as not run when its key is withdrawn', async () => {
    const abort = new AbortController();
    const pendingResult = acquireWithPending(abort, new Promise(() => {}));
    abort.abort(Refusal.createRefusal('key_withdrawn', 'the key was withdrawn'));
    expect(await pendingResult).toMatchObject({ code: 'key_withdrawn', notRun: true });
  });

  test('returns a dispatch that arrives after its caller has disconnected', async () => {
    const abort = new AbortController();
    const settledResults: string[] = [];
    let resolveDispatch: (value: RequestTypes.Dispatch) => void = () => undefined;
    const pendingResult = acquireWithPending(abort, new Promise((resolve) => {
      resolveDispatch = resolve;
    }));
    abort.abort();
    expect(await pendingResult).toMatchObject({ code: 'caller_left' });
    resolveDispatch({
      server: {} as RequestTypes.BackendServer, settle: ({ result }) => settledResults.push(result),
    });
    await Vitest.vi.waitUntil(() => settledResults.length > 0);
    expect(settledResults).toEqual(['cancelled']);
  });
});

describe('the retry budget', () => {
  test('bounds the retries when every attempt fails, but never denies a resume', () => {
    const retryBudget = DefaultRetryBudget.createDefaultRetryBudget();
    const grantedCount = Array.from({ length: 10_000 }, () => {
      retryBudget.addRequest();
      return retryBudget.claim(false);
    }).filter((isGranted) => isGranted).length;
    expect(grantedCount).toBeLessThanOrEqual(10_000 * 0.1 + 50);
    expect(retryBudget.claim(true)).toBe(true);
  });
});
