import { describe, expect, it } from 'vitest';
import * as Scheduling from '../../index.js';

const TOP_CLASS = { classId: 'stock', floorShare: 0.02, tier: 0 };
const LOW_CLASS = { classId: 'drafts', floorShare: 0.02, tier: 3 };

function buildRequest(
  fields: Partial<Scheduling.QueuedRequest<null>>,
): Scheduling.QueuedRequest<null> {
  return {
    account: 'acme',
    class: TOP_CLASS,
    costTokens: 100,
    latestStartMs: 10_000,
    payload: null,
    pool: 'model',
    queuedMs: 0,
    requestId: 'r',
    weight: 1,
    ...fields,
  };
}

describe('FairQueue', () => {
  it('dispatches the higher tier first, and a lower tier only by its floor', () => {
    const queue = Scheduling.createFairQueue<null>();
    Array.from({ length: 200 }, (_, i) => i).forEach((i) => {
      queue.queueRequest(buildRequest({ requestId: `t${i}` }));
      queue.queueRequest(buildRequest({ class: LOW_CLASS, requestId: `l${i}` }));
    });
    const tiers = Array.from({ length: 100 }, () => (
      queue.dequeueRequest('model', 1).request?.class.tier
    ));
    // A floor of 0.02 is one dispatch in 50; the class is due after 50 dispatches of others.
    expect(tiers.filter((tier) => tier === 3)).toHaveLength(1);
  });

  it('sheds the latest start of the account with the most work in the lowest tier', () => {
    const queue = Scheduling.createFairQueue<null>({
      ...Scheduling.defaultQueueOptions, maxRequests: 3,
    });
    queue.queueRequest(buildRequest({ class: LOW_CLASS, latestStartMs: 5, requestId: 'big-1' }));
    queue.queueRequest(buildRequest({ class: LOW_CLASS, latestStartMs: 6, requestId: 'big-2' }));
    queue.queueRequest(buildRequest({ account: 'small', class: LOW_CLASS, requestId: 'small-1' }));
    const shed = queue.queueRequest(buildRequest({ requestId: 'top' }));
    expect(shed.map(({ request }) => request.requestId)).toEqual(['big-2']);
    const second = queue.queueRequest(buildRequest({
      class: LOW_CLASS, latestStartMs: 9, requestId: 'x',
    }));
    expect(second.map(({ request }) => request.requestId)).toEqual(['x']);
  });

  it('returns expired requests instead of dispatching them', () => {
    const queue = Scheduling.createFairQueue<null>();
    queue.queueRequest(buildRequest({ latestStartMs: 10, requestId: 'late' }));
    queue.queueRequest(buildRequest({ latestStartMs: 30, requestId: 'good' }));
    const { expired, request } = queue.dequeueRequest('model', 20);
    expect(expired.map((shed) => shed.request.requestId)).toEqual(['late']);
    expect(request?.requestId).toBe('good');
    expect(queue.countRequests()).toBe(0);
  });

  it('does not let an idle account accumulate a claim to dispatches', () => {
    const queue = Scheduling.createFairQueue<null>();
    Array.from({ length: 40 }, (_, i) => i).forEach((i) => {
      queue.queueRequest(buildRequest({ account: 'busy', requestId: `b${i}` }));
    });
    Array.from({ length: 20 }, () => queue.dequeueRequest('model', 1));
    Array.from({ length: 20 }, (_, i) => i).forEach((i) => {
      queue.queueRequest(buildRequest({ account: 'idle', requestId: `i${i}` }));
    });
    const served = Array.from({ length: 10 }, () => (
      queue.dequeueRequest('model', 1).request?.account
    ));
    expect(served.filter((account) => account === 'busy')).toHaveLength(5);
  });
});
